//! The whole process: log, runtime, signals and node.

use tokio::signal::unix::{SignalKind, signal};
use wingspar_settings::{LogLevel, Settings};
use wingspar_telemetry::log::{Level, setup};

use crate::{Node, NodeError};

/// Runs a node until SIGTERM or SIGINT has ended it in order. A second signal ends it at once.
///
/// Errors: the node can't start.
pub fn run(settings: Settings) -> Result<(), NodeError> {
    setup(level(settings.telemetry.log_level), settings.telemetry.json)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), NodeError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let node = Node::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop();
    tokio::select! {
        () = node.stopped() => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
