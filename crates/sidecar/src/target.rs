//! What the node knows of the target beside it.

use std::time::Duration;

use wingspar_ownership::{TargetState, Time};
use wingspar_platform::{Heartbeat, LifecycleState};

/// New requests still start this long after the target said that it leaves, while routers learn of it.
const DRAIN_GRACE: Duration = Duration::from_millis(700);
/// Lives of the target that are remembered, so that their late heartbeats don't count.
const PAST_LIVES: usize = 16;

/// The target beside the node.
#[derive(Debug, Default)]
pub struct Target {
    id: Option<String>,
    service: String,
    past: Vec<String>,
    sequence: u64,
    /// When its last heartbeat came.
    heard_at: Time,
    slots: u32,
    leaving_since: Option<Time>,
    /// It refused or didn't answer a connection since its last heartbeat.
    unreachable: bool,
    /// A process that has just started asks the target itself before it trusts a heartbeat, since an
    /// earlier process may have acknowledged that it leaves.
    probe_until: Option<Time>,
    cold_until: Time,
}

/// What a heartbeat changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// Nothing that others must know.
    Nothing,
    /// A new life of the target.
    NewLife,
    /// The target leaves.
    Leaves,
    /// Anything else that others must know.
    Changed,
}

impl Target {
    /// A target of which nothing is known; heartbeats alone aren't trusted before `probe_until`.
    pub fn unknown(service: &str, probe_until: Option<Time>) -> Self {
        Self {
            service: service.to_owned(),
            probe_until,
            ..Self::default()
        }
    }

    /// Its id.
    pub fn id(&self) -> Option<&str> {
        self.id.as_deref()
    }

    /// Its service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Its slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Whether a heartbeat comes after a later one of the same life, or from a life that has ended.
    pub fn is_late(&self, id: &str, sequence: u64) -> bool {
        let is_past = self.past.iter().any(|past| past == id);
        is_past || (self.id.as_deref() == Some(id) && sequence <= self.sequence)
    }

    /// Whether a heartbeat is the last of the present life.
    pub fn is_newest(&self, id: &str, sequence: u64) -> bool {
        self.id.as_deref() == Some(id) && self.sequence == sequence
    }

    /// Takes in a heartbeat.
    pub fn heartbeat(&mut self, now: Time, id: &str, heartbeat: &Heartbeat) -> Heard {
        if self.past.iter().any(|past| past == id) {
            return Heard::Nothing;
        }
        let new_life = self.id.as_deref() != Some(id);
        if !new_life && heartbeat.sequence <= self.sequence {
            return Heard::Nothing;
        }
        if new_life {
            self.begin_life(id);
        }
        let before = (self.accepting(now), self.slots);
        self.sequence = heartbeat.sequence;
        self.heard_at = now;
        self.slots = heartbeat.slots;
        self.service.clone_from(&heartbeat.service);
        self.unreachable = false;
        self.cold_until =
            now + Duration::try_from_secs_f64(heartbeat.warmup_left).unwrap_or_default();
        if heartbeat.state == LifecycleState::Draining && self.leaving_since.is_none() {
            self.leaving_since = Some(now);
            return Heard::Leaves;
        }
        if new_life {
            Heard::NewLife
        } else if before != (self.accepting(now), self.slots) {
            Heard::Changed
        } else {
            Heard::Nothing
        }
    }

    /// The target says that it is gone.
    pub fn leave(&mut self, now: Time, id: &str) -> Heard {
        if self.id.as_deref() != Some(id) {
            self.remember(id);
            return Heard::Nothing;
        }
        self.remember(id);
        self.leaving_since.get_or_insert(now);
        Heard::Leaves
    }

    /// The answer to a health check: the id in it, and whether the target takes work.
    pub fn probed(&mut self, now: Time, id: &str, healthy: bool, slots: Option<u32>) -> Heard {
        self.probe_until = None;
        if self.past.iter().any(|past| past == id) {
            return Heard::Nothing;
        }
        let new_life = self.id.as_deref() != Some(id);
        if new_life {
            self.begin_life(id);
        }
        if let Some(slots) = slots {
            self.slots = slots;
        }
        if !healthy {
            self.leaving_since.get_or_insert(now);
        }
        if new_life {
            Heard::NewLife
        } else {
            Heard::Changed
        }
    }

    /// A connection to it failed.
    pub fn failed(&mut self) {
        self.unreachable = true;
    }

    /// Another target than the known one answered at its address: the known one has ended. Which
    /// service the other belongs to isn't known before its heartbeat, so nothing starts until then.
    pub fn other_answered(&mut self, id: &str) {
        if self.id.as_deref() == Some(id) {
            return;
        }
        if let Some(before) = self.id.take() {
            self.remember(&before);
        }
    }

    /// Whether routers should send it new work.
    pub fn accepting(&self, now: Time) -> bool {
        let probed = self.probe_until.is_none_or(|until| now >= until);
        self.id.is_some()
            && probed
            && self.leaving_since.is_none()
            && !self.unreachable
            && self.slots > 0
    }

    /// Whether no heartbeat has come for so long.
    pub fn is_silent(&self, now: Time, span: Duration) -> bool {
        now.since(self.heard_at) >= span
    }

    /// Whether a request that has arrived may start.
    pub fn may_start(&self, now: Time) -> bool {
        let drained = self
            .leaving_since
            .is_some_and(|since| now.since(since) >= DRAIN_GRACE);
        self.id.is_some() && !drained && self.slots > 0
    }

    /// What other nodes are told.
    pub fn state(&self, now: Time) -> Option<TargetState> {
        Some(TargetState {
            id: self.id.clone()?,
            service: self.service.clone(),
            accepting: self.accepting(now),
            slots: self.slots,
        })
    }

    fn begin_life(&mut self, id: &str) {
        if let Some(before) = self.id.take() {
            self.remember(&before);
        }
        self.id = Some(id.to_owned());
        self.sequence = 0;
        self.leaving_since = None;
        self.unreachable = false;
    }

    fn remember(&mut self, id: &str) {
        if self.past.len() >= PAST_LIVES {
            self.past.remove(0);
        }
        if !self.past.iter().any(|past| past == id) {
            self.past.push(id.to_owned());
        }
    }
}
