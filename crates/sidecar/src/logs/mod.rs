//! Structured log lines: one JSON object per line on standard output.
//!
//! Lines pass through a bounded queue to a thread of their own. If standard output is read too
//! slowly, lines are dropped and counted, so that logging never delays a request.

mod event;

pub use event::{Event, SuspectLine};

use std::cell::Cell;
use std::sync::Arc;

use serde::Serialize;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

use crate::clock::{Clock, whole_millis};

/// Capacity of the queue in lines: as many as requests may cause in 25 seconds. The queue is
/// allocated in full at the start, at some 170 bytes per line.
const QUEUE_LINES: usize = 1024;

/// Initializes the process's log.
///
/// Errors: the logger can't be built.
pub fn setup() -> Result<(), spdlog::Error> {
    let capacity = std::num::NonZeroUsize::new(QUEUE_LINES).unwrap_or(std::num::NonZeroUsize::MIN);
    let pool = Arc::new(ThreadPool::builder().capacity(capacity).build()?);
    let output = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
        .build_arc()?;
    let sink = AsyncPoolSink::builder()
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .sink(output)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::All)
        .flush_level_filter(LevelFilter::Off)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Writes out the queued lines; called once before the process exits.
pub fn flush() {
    spdlog::default_logger().flush();
}

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    node: &'a str,
    #[serde(flatten)]
    event: Event<'a>,
}

/// Maximum number of lines about requests per second.
const REQUEST_LINES_PER_SECOND: u64 = 40;

/// The log of one node.
pub struct Log {
    node: String,
    clock: Clock,
    second: Cell<u64>,
    lines: Cell<u64>,
    suppressed: Cell<u64>,
}

impl Log {
    /// Creates the log of a node.
    pub fn new(node: &str, clock: Clock) -> Self {
        Self {
            node: node.to_owned(),
            clock,
            second: Cell::new(0),
            lines: Cell::new(0),
            suppressed: Cell::new(0),
        }
    }

    /// Writes an event, without a rate limit.
    pub fn write(&self, event: Event<'_>) {
        let line = Line {
            at_ms: whole_millis(self.clock.uptime()),
            node: &self.node,
            event,
        };
        if let Ok(text) = serde_json::to_string(&line) {
            spdlog::log!(Level::Info, "{}", text);
        }
    }

    /// Writes an event about a request, unless the limit for the current second has been reached.
    pub fn write_request(&self, event: Event<'_>) {
        let second = self.clock.uptime().as_secs();
        if second != self.second.get() {
            self.second.set(second);
            self.lines.set(0);
            let suppressed = self.suppressed.replace(0);
            if suppressed > 0 {
                self.write(Event::LinesLeftOut { count: suppressed });
            }
        }
        if self.lines.get() >= REQUEST_LINES_PER_SECOND {
            self.suppressed.set(self.suppressed.get() + 1);
            return;
        }
        self.lines.set(self.lines.get() + 1);
        self.write(event);
    }
}
