//! What a node's process knows of the lives of its target, and by which messages it learns that.

use super::heartbeats::{Heartbeat, Step};
use super::*;

/// Fraction of heartbeats that are lost.
const LOST_HEARTBEAT_RATE: f64 = 0.1;
/// Fraction of heartbeats that arrive late.
const LATE_HEARTBEAT_RATE: f64 = 0.3;
/// How late these arrive, in milliseconds.
const LATENESS_MS: std::ops::Range<u64> = 200..8_000;
/// Time that a health check or its answer takes, in milliseconds.
const HEALTH_CHECK_MS: std::ops::Range<u64> = 1..5;
/// Fraction of health checks whose answer takes longer.
const SLOW_HEALTH_CHECK_RATE: f64 = 0.05;
/// Time that such an answer takes, in milliseconds.
const SLOW_HEALTH_CHECK_MS: std::ops::Range<u64> = 50..450;
/// Most health checks that a process makes after its start, until one is answered.
const CHECKS_AFTER_START: usize = 4;
/// Interval between these, in milliseconds.
const CHECK_AFTER_START_INTERVAL_MS: u64 = 250;

/// What a node's process knows of the lives of its target.
#[derive(Default)]
pub struct KnownLives {
    /// Id of the life that the process takes to be at the target's address.
    pub current: Option<String>,
    /// Lives that have ended, as far as the process knows.
    ended: BTreeSet<String>,
    /// Whether requests have failed to reach the target since its last heartbeat.
    pub is_unreachable: bool,
    /// Id that was last passed to the participant.
    observed: Option<String>,
    /// The highest fence of a grant that the process sent.
    granted: Fence,
    /// The highest fence of a grant that was sent in the belief of an earlier life.
    granted_earlier: Fence,
}

impl KnownLives {
    /// Whether a heartbeat comes from a life that has ended.
    pub fn has_ended(&self, id: &str) -> bool {
        self.ended.contains(id)
    }

    /// Whether a heartbeat comes from another life than the known one, and nothing shows whether it
    /// has ended.
    pub fn is_unconfirmed(&self, id: &str) -> bool {
        let known = self.current.as_deref();
        known.is_some_and(|known| known != id) && !self.has_ended(id)
    }

    pub fn granted(&mut self, fence: Fence) {
        self.granted = self.granted.max(fence);
    }

    /// Whether a release takes back keys that were granted in the belief of an earlier life.
    pub fn is_of_earlier_life(&self, release: Fence) -> bool {
        release <= self.granted_earlier.for_release()
    }
}

impl World {
    /// Whether the node's process takes the life that is at the target's address to be there.
    pub(super) fn knows_target(&self, index: usize) -> bool {
        let machine = &self.machines[index];
        machine.lives.current.as_ref() == Some(&machine.target.id)
    }

    /// Whether the node reports that its target accepts requests.
    pub(super) fn accepts(&self, index: usize) -> bool {
        let machine = &self.machines[index];
        let is_reachable = if self.options.late_heartbeats {
            !machine.lives.is_unreachable && self.now >= machine.paused_until
        } else {
            machine.target.up
        };
        is_reachable && !machine.leaving
    }

    /// Returns how long a heartbeat takes to arrive; `None` if it is lost.
    pub(super) fn heartbeat_delay(&mut self) -> Option<u64> {
        let (faults_begin, faults_end) = FAULT_PERIOD_MS;
        if !self.options.late_heartbeats {
            let late = self.rng.random_bool(self.options.late_order_rate);
            let delay = if late { 500..5_000 } else { 1..5 };
            return Some(self.rng.random_range(delay));
        }
        let is_faulty = (faults_begin..faults_end).contains(&self.now);
        if is_faulty && self.rng.random_bool(LOST_HEARTBEAT_RATE) {
            return None;
        }
        let late = is_faulty && self.rng.random_bool(LATE_HEARTBEAT_RATE);
        let delay = if late { LATENESS_MS } else { 1..5 };
        Some(self.rng.random_range(delay))
    }

    /// The node's process has learned that this life is at its target's address.
    pub(super) fn life_begins(&mut self, index: usize, id: &str) {
        let lives = &mut self.machines[index].lives;
        if let Some(before) = lives.current.replace(id.to_owned())
            && before != id
        {
            lives.ended.insert(before);
        }
        self.observe(index, id);
    }

    /// Passes the id of the target's life to the participant.
    fn observe(&mut self, index: usize, id: &str) {
        let now = self.clock(index);
        self.trace(|| format!("node {index}: observes {id}"));
        let machine = &mut self.machines[index];
        let Some(participant) = &mut machine.participant else {
            return;
        };
        let is_new = participant.observe_target(now, id).is_some();
        let lives = &mut machine.lives;
        if is_new && lives.observed.is_some() {
            lives.granted_earlier = lives.granted;
        }
        lives.observed = Some(id.to_owned());
    }

    /// Contacts the target of a process that has just started.
    pub(super) fn contact_target_after_start(&mut self, index: usize, first: bool) {
        let life = self.machines[index].life;
        if self.options.late_heartbeats {
            self.check_after_start(index, life, CHECKS_AFTER_START);
        } else if first {
            let id = self.machines[index].target.id.clone();
            self.life_begins(index, &id);
        } else {
            let delay = self.rng.random_range(5..300);
            self.schedule(delay, move |world| world.target_contacted(index, life));
        }
    }

    /// The target reaches the node's process.
    pub(super) fn target_contacted(&mut self, index: usize, life: u64) {
        let machine = &self.machines[index];
        if machine.life != life || !machine.target.up {
            return;
        }
        let id = machine.target.id.clone();
        self.life_begins(index, &id);
    }

    /// Makes a health check while the process knows no life of its target. Half of them get no
    /// answer.
    fn check_after_start(&mut self, index: usize, life: u64, checks_left: usize) {
        if checks_left == 0 {
            return;
        }
        let answered = self.rng.random_bool(0.5);
        let delay = self.rng.random_range(5..CHECK_AFTER_START_INTERVAL_MS);
        self.schedule(delay, move |world| {
            let machine = &world.machines[index];
            if machine.life != life || machine.lives.current.is_some() {
                return;
            }
            if answered && world.now >= machine.frozen_until {
                world.target_contacted(index, life);
            }
            let rest = CHECK_AFTER_START_INTERVAL_MS - delay;
            world.schedule(rest, move |world| {
                world.check_after_start(index, life, checks_left - 1);
            });
        });
    }

    /// Makes a health check after a heartbeat of another life than the known one.
    pub(super) fn check_health(&mut self, heartbeat: Heartbeat) {
        let machine = &self.machines[heartbeat.index];
        let known = machine.lives.current.clone();
        let check = Step::CheckReachesTarget(heartbeat, machine.life, known);
        let delay = self.rng.random_range(HEALTH_CHECK_MS);
        self.after(delay, Event::Heartbeat(check));
    }

    /// The target that is up answers a health check.
    pub(super) fn check_reaches_target(
        &mut self,
        heartbeat: Heartbeat,
        life: u64,
        known: Option<String>,
    ) {
        let target = &self.machines[heartbeat.index].target;
        let answered_by = target.up.then(|| target.id.clone());
        let slow = self.rng.random_bool(SLOW_HEALTH_CHECK_RATE);
        let delay = if slow {
            SLOW_HEALTH_CHECK_MS
        } else {
            HEALTH_CHECK_MS
        };
        let delay = self.rng.random_range(delay);
        let checked = Step::Checked(heartbeat, life, known, answered_by);
        self.after(delay, Event::Heartbeat(checked));
    }

    /// Handles the answer to a health check, and then the heartbeat that it was made for. An answer
    /// counts only if nothing else has shown meanwhile which life is there.
    pub(super) fn health_checked(
        &mut self,
        heartbeat: Heartbeat,
        life: u64,
        known: Option<String>,
        answered_by: Option<String>,
    ) {
        let index = heartbeat.index;
        let machine = &mut self.machines[index];
        if machine.life != life {
            return;
        }
        if let Some(id) = answered_by
            && machine.lives.current == known
        {
            self.address_answered(index, &heartbeat.id, &id);
        }
        if !self.machines[index].lives.is_unconfirmed(&heartbeat.id) {
            self.receive_heartbeat(heartbeat);
        }
    }

    /// A health check that was made after a heartbeat of the life `reported` has shown which life is
    /// at the target's address.
    fn address_answered(&mut self, index: usize, reported: &str, id: &str) {
        let machine = &mut self.machines[index];
        let lives = &mut machine.lives;
        if reported != id {
            lives.ended.insert(reported.to_owned());
        }
        if lives.current.as_deref() == Some(id) {
            return;
        }
        lives.ended.remove(id);
        lives.ended.extend(lives.current.take());
        machine.last_heartbeat = None;
        if reported != id {
            self.observe(index, id);
        }
    }
}
