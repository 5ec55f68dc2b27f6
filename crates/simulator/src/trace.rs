//! The last things that happened, for a short trace of a failing run.

use std::collections::VecDeque;
use std::fmt;

use wingspar_world::MonotonicTime;

/// Lines kept.
const LINES: usize = 60;

/// The last changes of state of a run.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    lines: VecDeque<(MonotonicTime, String)>,
    total: u64,
    is_echoed: bool,
}

impl Trace {
    /// A trace that also prints each line to standard error, for replays.
    pub fn echoed() -> Self {
        Self {
            is_echoed: true,
            ..Self::default()
        }
    }

    /// Adds a line.
    pub fn note(&mut self, at: MonotonicTime, line: String) {
        if self.is_echoed {
            eprintln!("{}", format_line(at, &line));
        }
        self.total += 1;
        if self.lines.len() == LINES {
            self.lines.pop_front();
        }
        self.lines.push_back((at, line));
    }

    /// Lines ever added.
    pub fn total(&self) -> u64 {
        self.total
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, line) in &self.lines {
            writeln!(formatter, "{}", format_line(*at, line))?;
        }
        Ok(())
    }
}

fn format_line(at: MonotonicTime, line: &str) -> String {
    let micros = at.as_micros();
    format!("{:>4}.{:06} {line}", micros / 1_000_000, micros % 1_000_000)
}
