//! `platform` and `backend`: each stand-in as a process of its own.

use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;
use wingspar_standins::backend::{BackendSettings, BackendStandIn, ServiceTime};
use wingspar_standins::platform::PlatformStandIn;

use super::{CommandError, nothing_left, rehearse::block_on};

/// Runs the platform until the process is ended.
pub(super) fn platform(mut arguments: Arguments) -> Result<(), CommandError> {
    let listen: SocketAddr = arguments.value_from_str("--listen")?;
    nothing_left(arguments)?;
    block_on(async move {
        let server = PlatformStandIn::start(listen).await.map_err(failed)?;
        println!("platform listens on {}", server.local_addr());
        std::future::pending::<Result<(), CommandError>>().await
    })?
}

/// Runs a back end until the process is ended.
pub(super) fn backend(mut arguments: Arguments) -> Result<(), CommandError> {
    let listen: SocketAddr = arguments.value_from_str("--listen")?;
    let defaults = BackendSettings::default();
    let work_ms: Option<u64> = arguments.opt_value_from_str("--work-ms")?;
    let work = work_ms.map(|work| ServiceTime::Fixed(Duration::from_millis(work)));
    let settings = BackendSettings {
        admin_address: arguments.opt_value_from_str("--admin")?,
        name: arguments
            .opt_value_from_str("--name")?
            .unwrap_or(defaults.name),
        slots: arguments
            .opt_value_from_str("--slots")?
            .unwrap_or(defaults.slots),
        service_time: work.unwrap_or(defaults.service_time),
        ..BackendSettings::default()
    };
    nothing_left(arguments)?;
    block_on(async move {
        let server = BackendStandIn::start(listen, settings);
        let server = server.await.map_err(failed)?;
        println!("back end listens on {}", server.local_addr());
        std::future::pending::<Result<(), CommandError>>().await
    })?
}

fn failed(error: std::io::Error) -> CommandError {
    CommandError::Failed(error.to_string())
}
