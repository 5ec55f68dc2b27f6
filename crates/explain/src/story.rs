//! The lines that tell of one request.

use std::collections::HashMap;
use std::fmt;

use crate::{Cause, Line};

/// What a node wrote this long before its line about a request may have caused it, in milliseconds: most causes, such as
/// a target's end or the loss of the leader, show within a few seconds.
const BEFORE_MS: u64 = 5_000;
/// Events that change what a node believes, and so what it does with requests.
const CHANGES: [&str; 12] = [
    "started",
    "stopping",
    "configuration_in_force",
    "zones_evacuated",
    "lost",
    "regained",
    "leader_known",
    "leadership_lost",
    "target_changed",
    "target_ended",
    "quarantined",
    "region_avoided",
];

/// What became of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Story {
    id: String,
    /// What the node that took the request wrote last about it.
    request: Option<Line>,
    /// What agents wrote about it, in the order of their lines.
    refused: Vec<Line>,
    /// What these nodes wrote shortly before.
    before: Vec<Line>,
}

impl Story {
    /// Picks the lines about the request with an id. The lines of a node are in the order in which it wrote them.
    pub fn of(id: &str, lines: &[Line]) -> Self {
        let lines = by_process(lines);
        let about = |event: &'static str| {
            let lines = lines.iter();
            lines.filter(move |(_, line)| line.event == event && line.text("id") == id)
        };
        let request = about("request").next_back();
        let refused = about("refused").collect::<Vec<_>>();
        let own = request.iter().chain(&refused).collect::<Vec<_>>();
        let is_before = |(process, line): &&(usize, &Line)| {
            CHANGES.contains(&line.event.as_str())
                && own.iter().any(|(own_process, about)| {
                    about.node == line.node
                        && own_process == process
                        && line.at_ms <= about.at_ms
                        && about.at_ms - line.at_ms <= BEFORE_MS
                })
        };
        let before = lines.iter().filter(is_before);
        let before = before.map(|(_, line)| (*line).clone()).collect();
        let request = request.map(|(_, line)| (*line).clone());
        let refused = refused.iter().map(|(_, line)| (*line).clone()).collect();
        Self {
            id: id.to_owned(),
            request,
            refused,
            before,
        }
    }

    /// Whether no line tells of the request.
    pub fn is_empty(&self) -> bool {
        self.request.is_none() && self.refused.is_empty()
    }

    /// What the node that took the request wrote last about it.
    pub fn request(&self) -> Option<&Line> {
        self.request.as_ref()
    }

    /// What the agent that was asked last wrote about it.
    pub fn last_refused(&self) -> Option<&Line> {
        let tried = self.request.as_ref().map(|request| request.text("tried"));
        let at_tried = self
            .refused
            .iter()
            .rev()
            .find(|line| Some(line.node.as_str()) == tried);
        at_tried.or(self.refused.last())
    }

    /// Whether a node wrote of an event shortly before its line about the request.
    pub fn has_event_before(&self, node: &str, event: &str) -> bool {
        let mut before = self.before.iter();
        before.any(|line| line.node == node && line.event == event)
    }

    /// Whether a node wrote of an event, with that text in one of its fields, shortly before its line about the request.
    pub fn has_before(&self, node: &str, event: &str, field: &str, text: &str) -> bool {
        self.before
            .iter()
            .any(|line| line.node == node && line.event == event && line.text(field) == text)
    }
}

/// Each line with the number of the process that wrote it among those of its node: times count from a process's start, so
/// those of two processes can't be compared.
fn by_process(lines: &[Line]) -> Vec<(usize, &Line)> {
    let mut starts = HashMap::<&str, usize>::new();
    let number = |line| {
        let Line { node, event, .. }: &Line = line;
        let started = starts.entry(node).or_default();
        *started += usize::from(event == "started");
        (*started, line)
    };
    lines.iter().map(number).collect()
}

impl fmt::Display for Story {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "Request {}", self.id)?;
        for line in self.refused.iter().chain(&self.request) {
            write_line(formatter, line)?;
        }
        if !self.before.is_empty() {
            writeln!(formatter, "Shortly before, at the same nodes:")?;
        }
        for line in &self.before {
            write_line(formatter, line)?;
        }
        writeln!(formatter, "Cause: {}", Cause::of(self))
    }
}

fn write_line(formatter: &mut fmt::Formatter<'_>, line: &Line) -> fmt::Result {
    let (at_ms, node, event) = (line.at_ms, &line.node, &line.event);
    writeln!(
        formatter,
        "  {at_ms:>8} ms  {node}  {event}  {}",
        line.fields()
    )
}
