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

/// An `http://` URL without query or fragment. A trailing slash is dropped.
pub(crate) fn url(text: &str) -> Option<String> {
    let rest = text.strip_prefix("http://")?;
    let printable = rest.bytes().all(|byte| byte.is_ascii_graphic());
    if !printable || rest.contains(['?', '#', '@', '"', '<', '>', '\\']) {
        return None;
    }
    let authority = rest.split('/').next().unwrap_or_default();
    has_host(authority).then(|| text.trim_end_matches('/').to_owned())
}

fn has_host(authority: &str) -> bool {
    if authority.parse::<SocketAddr>().is_ok() {
        return true;
    }
    let (host, port) = match authority.split_once(':') {
        Some((host, port)) => (host, Some(port)),
        None => (authority, None),
    };
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'.';
    let port_fits = port.is_none_or(|port| port.parse::<u16>().is_ok_and(|port| port != 0));
    !host.is_empty() && host.bytes().all(allowed) && port_fits
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
