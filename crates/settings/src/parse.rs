//! Reading single values: addresses, URLs, names and levels.

use std::net::SocketAddr;

use crate::settings::LogLevel;

/// An address to listen on; port 0 stands for any free port.
pub(crate) fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// An address that other machines are told: it must name one interface.
pub(crate) fn announced_address(text: &str) -> Option<SocketAddr> {
    address(text).filter(|address| !address.ip().is_unspecified())
}

/// An address of another machine: it must name one interface and one port.
pub(crate) fn remote_address(text: &str) -> Option<SocketAddr> {
    announced_address(text).filter(|address| address.port() != 0)
}

/// An `http://` URL of an IP address and a port, without a path: processes find each other by IP
/// numbers alone. A trailing slash is dropped.
pub(crate) fn url(text: &str) -> Option<String> {
    let authority = text.strip_prefix("http://")?.trim_end_matches('/');
    let address = remote_address(authority)?;
    Some(format!("http://{address}"))
}

/// A log level by its name.
pub(crate) fn log_level(text: &str) -> Option<LogLevel> {
    match text {
        "error" => Some(LogLevel::Error),
        "warn" => Some(LogLevel::Warn),
        "info" => Some(LogLevel::Info),
        "debug" => Some(LogLevel::Debug),
        _ => None,
    }
}
