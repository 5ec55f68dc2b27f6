//! Queue of future events in a total, reproducible order.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use wingspar_world::MonotonicTime;

#[derive(Debug)]
struct Entry<Event> {
    at: MonotonicTime,
    number: u64,
    event: Event,
}

impl<Event> PartialEq for Entry<Event> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<Event> Eq for Entry<Event> {}

impl<Event> PartialOrd for Entry<Event> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<Event> Ord for Entry<Event> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events by time; events of one instant come out in the order in which they went in.
#[derive(Debug)]
pub struct EventQueue<Event> {
    entries: BinaryHeap<Reverse<Entry<Event>>>,
    now: MonotonicTime,
    pushed: u64,
}

impl<Event> Default for EventQueue<Event> {
    fn default() -> Self {
        Self {
            entries: BinaryHeap::new(),
            now: MonotonicTime::ZERO,
            pushed: 0,
        }
    }
}

impl<Event> EventQueue<Event> {
    /// True time of the event that came out last.
    pub fn now(&self) -> MonotonicTime {
        self.now
    }

    /// Adds an event; one in the past happens now.
    pub fn push(&mut self, at: MonotonicTime, event: Event) {
        self.pushed += 1;
        let entry = Entry {
            at: at.max(self.now),
            number: self.pushed,
            event,
        };
        self.entries.push(Reverse(entry));
    }

    /// Takes the next event and moves time to it, unless it lies after `limit`.
    pub fn pop_until(&mut self, limit: MonotonicTime) -> Option<Event> {
        let next = self.entries.peek()?;
        if next.0.at > limit {
            return None;
        }
        let Reverse(entry) = self.entries.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}
