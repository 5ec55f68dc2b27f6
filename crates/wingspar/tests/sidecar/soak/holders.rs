//! Each key has one holder; grants don't count that were delayed on their way to a target.

use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::ownership::keys_had_one_holder;

/// Grants don't count that arrive this soon after their sender went on or their link healed.
const THAW: Duration = Duration::from_millis(300);

/// Spans in which grants to a machine's target don't count; without an end while they last.
#[derive(Debug)]
pub struct Holders {
    began_at: Instant,
    delays: Vec<(usize, Instant, Option<Instant>)>,
}

impl Holders {
    /// No delays yet.
    pub fn new(began_at: Instant) -> Self {
        Self {
            began_at,
            delays: Vec::new(),
        }
    }

    /// The link to a machine's target is harmed from now on.
    pub fn link_harmed(&mut self, node: usize) {
        self.delays.push((node, Instant::now(), None));
    }

    /// The link to a machine's target has healed.
    pub fn link_healed(&mut self, node: usize) {
        let open = self.delays.iter_mut();
        for (_, _, until) in open.filter(|(of, _, until)| *of == node && until.is_none()) {
            *until = Some(Instant::now() + THAW);
        }
    }

    /// A machine's process that stood still goes on.
    pub fn went_on(&mut self, node: usize) {
        let now = Instant::now();
        self.delays.push((node, now, Some(now + THAW)));
    }

    /// No two targets have held the same keys for long, and fences have risen.
    pub fn check(&self, deployment: &Deployment) -> Result<(), String> {
        let delayed = |node, at| {
            let mut delays = self.delays.iter();
            delays.any(|(of, since, until)| {
                *of == node && *since <= at && until.is_none_or(|until| at < until)
            })
        };
        keys_had_one_holder(deployment, self.began_at, delayed)
    }
}
