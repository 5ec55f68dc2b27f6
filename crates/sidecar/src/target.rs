//! The state of the local target, as its heartbeats, health checks and responses report it.
//!
//! A *life* is one run of the target's process. Its name is derived from the target's ID and the time when the
//! process started.

use std::time::Duration;

use wingspar_ownership::{TargetState, Time};
use wingspar_platform::{Heartbeat, LifecycleState, born, id_of_life};

/// Number of ended lives of each kind that are remembered, so that delayed heartbeats from them are ignored.
const MAX_PAST_LIVES: usize = 16;
/// Maximum time between the sending of a heartbeat and its arrival. One that arrives this long after another was sent
/// after it, whatever their sequence numbers and births say.
pub const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(10);

/// The state of the local target.
#[derive(Debug, Default)]
pub struct Target {
    /// Name of the target's current life; `None` before the first heartbeat or health check.
    life: Option<String>,
    /// When the current life began, if the target reported that only after its ID. The life's name isn't changed
    /// then, since other nodes already use it.
    reported_birth: Option<u64>,
    service: String,
    /// Lives that have ended, as far as this process knows.
    past: Vec<String>,
    /// Targets that have deregistered. They may still answer for a while.
    deregistered: Vec<String>,
    sequence: u64,
    /// When the latest heartbeat arrived.
    last_heartbeat_at: Time,
    slots: u32,
    leaving_since: Option<Time>,
    /// A connection was refused or failed since the last heartbeat.
    unreachable: bool,
    /// Until this time, a newly started node process doesn't trust heartbeats before it has probed the target: the
    /// previous process may have acknowledged that the target is leaving.
    probe_until: Option<Time>,
    /// End of the target's warmup, as the target reported it.
    warming_until: Time,
    /// The target may have become cold again: it counts as warming up until it reports its warmup state at this time
    /// or later.
    trust_warmup_from: Option<Time>,
}

/// Whether the target is warming up after its start, in which case it can handle only a few requests per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarmupState {
    /// The target is warm.
    Warm,
    /// The target is warming up until this time.
    WarmingUntil(Time),
    /// The target may be warming up, and for how long isn't known yet.
    Suspected,
}

/// What a target reports in the response to a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// Whether the target accepts work.
    pub takes_work: bool,
    /// Number of requests that the target runs concurrently; `None` if it doesn't report that.
    pub slots: Option<u32>,
    /// Remaining warmup time; zero if the target is warm.
    pub warmup_left: Duration,
}

/// What a message from the target changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetChange {
    /// Nothing that is reported to other nodes.
    None,
    /// A new life of the target has begun.
    NewLife,
    /// The heartbeat names another target than the known one. It is applied once a health check of the target's
    /// address has shown that the other one is up.
    Unconfirmed,
    /// The target is leaving.
    Leaves,
    /// Any other change that is reported to other nodes.
    Changed,
}

impl Target {
    /// A target about which nothing is known. Until `probe_until`, heartbeats are trusted only after a health check.
    pub fn unknown(service: &str, probe_until: Option<Time>) -> Self {
        Self {
            service: service.to_owned(),
            probe_until,
            ..Self::default()
        }
    }

    /// ID of the target.
    pub fn id(&self) -> Option<&str> {
        self.life.as_deref().map(id_of_life)
    }

    /// Name of the current life.
    pub fn life(&self) -> Option<&str> {
        self.life.as_deref()
    }

    /// Name of the life that was known to have ended last; `None` if there is none.
    pub fn past_life(&self) -> Option<&str> {
        self.past.last().map(String::as_str)
    }

    /// Name of the target's service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Number of requests that the target runs concurrently.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Sequence number of the latest heartbeat of the current life.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Whether a heartbeat was overtaken by a later one of the same life, or comes from a life that has ended.
    pub fn is_stale(&self, now: Time, life: &str, sequence: u64) -> bool {
        if self.is_past(life) {
            !self.goes_on(now, life)
        } else {
            self.is_current(life) && self.is_overtaken(now, sequence)
        }
    }

    /// Whether a heartbeat of the current life was sent before the latest one.
    fn is_overtaken(&self, now: Time, sequence: u64) -> bool {
        sequence <= self.sequence && !self.is_silent(now, MAX_HEARTBEAT_DELAY)
    }

    /// Whether an earlier life under the current one's id still sends heartbeats although those of the current one have
    /// stopped. The current one is then an error: another sender has named a wrong birth.
    fn goes_on(&self, now: Time, life: &str) -> bool {
        let is_deregistered = self.deregistered.iter().any(|ended| ended == life);
        self.id() == Some(id_of_life(life))
            && !is_deregistered
            && self.is_silent(now, MAX_HEARTBEAT_DELAY)
    }

    /// When the current life began, if the target has reported it.
    fn born(&self) -> Option<u64> {
        self.life().and_then(born).or(self.reported_birth)
    }

    /// Whether `life` is the current life, as far as the target has reported.
    fn is_current(&self, life: &str) -> bool {
        let is_same = self.id() == Some(id_of_life(life));
        // A heartbeat without a birth says nothing of when the life began.
        let births = self.born().zip(born(life));
        is_same && births.is_none_or(|(own, its)| own == its)
    }

    /// Whether `life` has ended: the target reported that, or a later life of it is known.
    fn is_past(&self, life: &str) -> bool {
        let is_same = self.id() == Some(id_of_life(life));
        let is_earlier = born(life)
            .zip(self.born())
            .is_some_and(|(it, own)| it < own);
        let mut ended = self.past.iter().chain(&self.deregistered);
        ended.any(|ended| ended == life) || (is_same && is_earlier)
    }

    /// Whether a life that was taken for ended may run after all, as nothing shows that another target takes work.
    fn may_be_back(&self, life: &str) -> bool {
        let is_replaced = self.life.is_some() && self.leaving_since.is_none() && !self.unreachable;
        !is_replaced && self.past.iter().any(|past| past == life)
    }

    /// Whether this is the latest heartbeat of the current life.
    pub fn is_latest(&self, life: &str, sequence: u64) -> bool {
        self.is_current(life) && self.sequence == sequence
    }

    /// Applies a heartbeat.
    pub fn heartbeat(&mut self, now: Time, life: &str, heartbeat: &Heartbeat) -> TargetChange {
        let goes_on = self.is_past(life) && self.goes_on(now, life);
        if self.is_past(life) && !goes_on {
            return if self.may_be_back(life) {
                TargetChange::Unconfirmed
            } else {
                TargetChange::None
            };
        }
        let new_life = !self.is_current(life);
        if !new_life && self.is_overtaken(now, heartbeat.sequence) {
            // A target that is leaving doesn't take work again, so the order of its heartbeats doesn't matter.
            let says_leaving = heartbeat.state == LifecycleState::Draining;
            return if says_leaving && born(life) == self.born() {
                self.announces_leaving(now)
            } else {
                TargetChange::None
            };
        }
        if self.id().is_some_and(|known| known != id_of_life(life)) {
            return TargetChange::Unconfirmed;
        }
        if new_life {
            self.past.retain(|past| past != life);
            self.begin_life(life);
        }
        self.reported_birth = self.born().or(born(life));
        let before = (self.accepting(now), self.slots);
        self.sequence = heartbeat.sequence;
        self.last_heartbeat_at = now;
        self.slots = heartbeat.slots;
        self.service.clone_from(&heartbeat.service);
        self.unreachable = false;
        self.update_warmup(now, heartbeat.warmup_left);
        if heartbeat.state == LifecycleState::Draining && self.leaving_since.is_none() {
            self.leaving_since = Some(now);
            return TargetChange::Leaves;
        }
        if new_life {
            TargetChange::NewLife
        } else if before != (self.accepting(now), self.slots) {
            TargetChange::Changed
        } else {
            TargetChange::None
        }
    }

    /// The target announced in a response that it is leaving.
    pub fn announces_leaving(&mut self, now: Time) -> TargetChange {
        if self.leaving_since.is_some() {
            return TargetChange::None;
        }
        self.leaving_since = Some(now);
        TargetChange::Leaves
    }

    /// Whether the target has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// The target deregistered.
    pub fn leave(&mut self, now: Time, id: &str) -> TargetChange {
        let present = self.life.clone().filter(|_| self.id() == Some(id));
        let Some(present) = present else {
            add_bounded(&mut self.deregistered, id);
            return TargetChange::None;
        };
        add_bounded(&mut self.deregistered, &present);
        self.leaving_since.get_or_insert(now);
        TargetChange::Leaves
    }

    /// Applies the response to a health check; `id` is the target's ID in it.
    pub fn probed(&mut self, now: Time, id: &str, health: Health) -> TargetChange {
        self.probe_until = None;
        // The response doesn't contain the target's start time; a heartbeat will.
        let new_life = self.id() != Some(id);
        if new_life {
            self.found_at_address(id);
            if self.is_past(id) {
                return TargetChange::None;
            }
            self.begin_life(id);
        }
        if let Some(slots) = health.slots {
            self.slots = slots;
        }
        self.trust_warmup_from = None;
        self.warming_until = now + health.warmup_left;
        if !health.takes_work {
            self.leaving_since.get_or_insert(now);
        }
        if new_life {
            TargetChange::NewLife
        } else {
            TargetChange::Changed
        }
    }

    /// A connection to the target failed. If the target has ended, it will be warming up when it is back.
    pub fn failed(&mut self, now: Time) {
        self.unreachable = true;
        self.suspect_warmup(now);
    }

    /// Something may have made the target cold; only what it reports from `trusted_from` on counts.
    pub fn suspect_warmup(&mut self, trusted_from: Time) {
        self.trust_warmup_from = Some(trusted_from);
    }

    /// Whether the target is warming up.
    pub fn warmup_state(&self, now: Time) -> WarmupState {
        if self.trust_warmup_from.is_some() {
            WarmupState::Suspected
        } else if now < self.warming_until {
            WarmupState::WarmingUntil(self.warming_until)
        } else {
            WarmupState::Warm
        }
    }

    fn update_warmup(&mut self, now: Time, seconds_left: f64) {
        let left = Duration::try_from_secs_f64(seconds_left).unwrap_or_default();
        self.warming_until = now + left;
        if self
            .trust_warmup_from
            .is_some_and(|trusted_from| now >= trusted_from)
        {
            self.trust_warmup_from = None;
        }
    }

    /// The target with this ID has answered at the address, so every other one has ended. If it isn't the known one, its
    /// service is unknown until its heartbeat, so nothing is started until then. Returns whether the known target has
    /// ended.
    pub fn found_at_address(&mut self, id: &str) -> bool {
        if self.id() == Some(id) {
            return false;
        }
        self.past.retain(|past| id_of_life(past) != id);
        let before = self.life.take();
        if let Some(before) = &before {
            self.remember(before);
        }
        before.is_some()
    }

    /// A health check that was sent after a heartbeat of `life` has shown the target `id` at the address.
    pub fn health_checked_for(&mut self, life: &str, id: &str) {
        if id_of_life(life) != id {
            self.remember(life);
        }
        self.found_at_address(id);
    }

    /// Whether routers should send new requests to the target.
    pub fn accepting(&self, now: Time) -> bool {
        let probed = self.probe_until.is_none_or(|until| now >= until);
        self.life.is_some()
            && probed
            && self.leaving_since.is_none()
            && !self.unreachable
            && self.slots > 0
    }

    /// Whether no heartbeat has arrived for `span`.
    pub fn is_silent(&self, now: Time, span: Duration) -> bool {
        now.since(self.last_heartbeat_at) >= span
    }

    /// Whether a request that has arrived may start. At a leaving target it may do so only during the grace period.
    pub fn may_start(&self, now: Time, drain_grace: Duration) -> bool {
        let drained = self
            .leaving_since
            .is_some_and(|since| now.since(since) >= drain_grace);
        self.life.is_some() && !drained && self.slots > 0
    }

    /// The state reported to other nodes; `None` if no target is known.
    pub fn state(&self, now: Time) -> Option<TargetState> {
        Some(TargetState {
            id: self.life.clone()?,
            service: self.service.clone(),
            accepting: self.accepting(now),
            slots: self.slots,
            starts_per_s: None,
        })
    }

    fn begin_life(&mut self, life: &str) {
        if let Some(before) = self.life.take() {
            self.remember(&before);
        }
        self.life = Some(life.to_owned());
        self.reported_birth = None;
        self.sequence = 0;
        self.leaving_since = None;
        self.unreachable = false;
        self.trust_warmup_from = None;
    }

    fn remember(&mut self, life: &str) {
        add_bounded(&mut self.past, life);
    }
}

/// Adds a life to a list unless it contains it; the oldest is dropped if the list is full.
fn add_bounded(lives: &mut Vec<String>, life: &str) {
    if lives.iter().any(|known| known == life) {
        return;
    }
    if lives.len() >= MAX_PAST_LIVES {
        lives.remove(0);
    }
    lives.push(life.to_owned());
}
