//! Set-up of the process's log: one line for each change of state, as text or JSON, on stderr.

use std::sync::Arc;

use spdlog::formatter::{FullFormatter, JsonFormatter};
use spdlog::sink::{Sink, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger};
use thiserror::Error;

pub use spdlog::Level;

/// The log could not be set up.
#[derive(Debug, Error)]
#[error("the log could not be set up: {0}")]
pub struct SetupError(#[from] spdlog::Error);

/// Makes lines of `level` and above go to stderr.
///
/// Errors: the sink can't be built.
pub fn setup(level: Level, json: bool) -> Result<(), SetupError> {
    let stream = StdStreamSink::builder().std_stream(StdStream::Stderr);
    let sink: Arc<dyn Sink> = if json {
        stream.formatter(JsonFormatter::new()).build_arc()?
    } else {
        stream.formatter(FullFormatter::new()).build_arc()?
    };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Writes one line: a stable event name, the node, and details.
pub fn event(level: Level, name: &str, node: &str, detail: &str) {
    spdlog::log!(level, "{}", name, kv: { node, detail });
}
