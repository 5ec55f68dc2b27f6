//! Where a request goes now: to an agent, into a short wait, or back to its caller.

use std::time::Duration;

use rand::RngExt;
use wingspar_wire::StateVersion;
use wingspar_world::{Fence, KeyHash, MonotonicTime};

use crate::attempt::{Attempt, CurrentTry, Decision, Forward, GiveUp};
use crate::balance::{self, Candidate};
use crate::counters::Counter;
use crate::outcome::Proof;
use crate::reason::Reason;
use crate::router::Router;
use crate::table::{OwnerStatus, TargetId};

/// Least time to come back after that an answer names.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Share by which times to come back are stretched at random, so that callers don't come at once.
const RETRY_AFTER_SPREAD: f64 = 0.2;
/// Latency assumed of targets while none has been measured, in microseconds.
const UNKNOWN_LATENCY_MICROS: f64 = 10_000.0;

impl Router {
    /// Decides where a request goes. Ask again after a wait or when a retry is due.
    pub fn route(&mut self, now: MonotonicTime, attempt: &mut Attempt) -> Decision {
        debug_assert!(attempt.current.is_none(), "the try before has ended");
        let decision = self.decide(now, attempt);
        if !matches!(decision, Decision::Wait { .. }) {
            self.stop_waiting(attempt);
        }
        if let Decision::GiveUp(give_up) = &decision {
            self.counters.add_outcome(give_up.outcome, &give_up.reason);
        }
        decision
    }

    fn decide(&mut self, now: MonotonicTime, attempt: &mut Attempt) -> Decision {
        if now >= attempt.deadline {
            return self.refuse(attempt, Reason::DEADLINE, LEAST_RETRY_AFTER);
        }
        if !self.table.is_ready() {
            self.want_pull(now, StateVersion::default());
            let estimate = self.settings.no_target_estimate;
            return self.refuse(attempt, Reason::NOT_READY, estimate);
        }
        match attempt.resolved.key {
            Some(key) => self.decide_keyed(now, attempt, key),
            None => self.decide_unkeyed(now, attempt),
        }
    }

    fn decide_keyed(
        &mut self,
        now: MonotonicTime,
        attempt: &mut Attempt,
        key: KeyHash,
    ) -> Decision {
        let Some(owner) = self.table.lookup(&attempt.resolved.service, key) else {
            // Either the service is new or a part of the table was lost on the way.
            self.want_pull(now, StateVersion::default());
            let estimate = self.settings.no_target_estimate;
            return self.refuse(attempt, Reason::UNSERVED, estimate);
        };
        match owner.status {
            OwnerStatus::Unserved { until } => {
                let remaining = now.until(until);
                self.refuse(attempt, Reason::UNSERVED, remaining)
            }
            OwnerStatus::HandingOver { .. } => self.wait(now, attempt, Reason::HANDING_OVER),
            OwnerStatus::Served(target) => {
                if attempt.refused_grant == Some((target, owner.fence)) {
                    return self.wait(now, attempt, Reason::NOT_OWNER);
                }
                self.forward(now, attempt, target, Some(owner.fence))
            }
        }
    }

    fn decide_unkeyed(&mut self, now: MonotonicTime, attempt: &mut Attempt) -> Decision {
        let candidates = self.candidates(now, attempt);
        if let Some(target) = balance::pick(&candidates, &mut self.random) {
            return self.forward(now, attempt, target, None);
        }
        let class = attempt.resolved.class;
        let targets = self.targets.of_service(&attempt.resolved.service);
        let back_at = targets
            .filter_map(|(_, target)| target.back_at(now, class))
            .min();
        match back_at {
            Some(at) => self.refuse(attempt, Reason::OVERLOADED, now.until(at)),
            None => {
                self.want_pull(now, self.table.version());
                let estimate = self.settings.no_target_estimate;
                self.refuse(attempt, Reason::NO_TARGET, estimate)
            }
        }
    }

    /// Targets that may run an unkeyed request, without those it was sent to already if others
    /// are left.
    fn candidates(&self, now: MonotonicTime, attempt: &Attempt) -> Vec<Candidate> {
        let service = &attempt.resolved.service;
        let measured = self.targets.of_service(service);
        let latencies: Vec<f64> = measured
            .filter_map(|(_, one)| one.latency_micros())
            .collect();
        let unknown_latency = if latencies.is_empty() {
            UNKNOWN_LATENCY_MICROS
        } else {
            latencies.iter().sum::<f64>() / latencies.len() as f64
        };
        let eligible = self.targets.of_service(service);
        let eligible =
            eligible.filter(|(_, target)| target.is_eligible(now, attempt.resolved.class));
        let candidates = eligible.map(|(id, target)| Candidate {
            id,
            weight: target.weight(),
            cost: target.cost(unknown_latency),
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let untried = |one: &&Candidate| !attempt.tried.contains(&one.id);
        let untried: Vec<Candidate> = candidates.iter().filter(untried).copied().collect();
        if untried.is_empty() {
            candidates
        } else {
            untried
        }
    }

    fn forward(
        &mut self,
        now: MonotonicTime,
        attempt: &mut Attempt,
        target: TargetId,
        fence: Option<Fence>,
    ) -> Decision {
        let state = self.targets.get(target);
        let address = state.and_then(|state| Some((state.name.clone(), state.agent?)));
        let Some((name, agent)) = address else {
            let estimate = self.settings.takeover_estimate;
            return self.refuse(attempt, Reason::UNREACHABLE, estimate);
        };
        self.targets.started(target, attempt.resolved.class);
        attempt.tries += 1;
        attempt.tried.push(target);
        attempt.current = Some(CurrentTry {
            target,
            fence,
            sent_at: now,
        });
        Decision::Forward(Forward {
            target: name,
            agent,
            fence,
            remaining: now.until(attempt.deadline),
        })
    }

    /// Lets a request wait for a change of the table, if the waiting room and its own time allow.
    fn wait(&mut self, now: MonotonicTime, attempt: &mut Attempt, reason: Reason) -> Decision {
        let longest = now + self.settings.max_wait;
        let until = *attempt.wait_until.get_or_insert(longest);
        let until = until.min(attempt.deadline);
        if now >= until {
            if reason == Reason::NOT_OWNER {
                // The table calls current what the owner denies: get it anew.
                self.want_pull(now, StateVersion::default());
            }
            let estimate = self.settings.hand_over_estimate;
            return self.refuse(attempt, reason, estimate);
        }
        if !attempt.is_waiting {
            if self.waiting >= self.settings.max_waiting {
                let estimate = self.settings.hand_over_estimate;
                return self.refuse(attempt, Reason::WAITING_ROOM_FULL, estimate);
            }
            attempt.is_waiting = true;
            self.waiting += 1;
            self.counters.add(Counter::Waits);
        }
        if reason == Reason::NOT_OWNER {
            self.want_pull(now, self.table.version());
        }
        Decision::Wait { until }
    }

    /// Gives up a request that is under way nowhere.
    fn refuse(&mut self, attempt: &Attempt, reason: Reason, retry_after: Duration) -> Decision {
        let retry_after = self.spread(retry_after);
        let proof = Proof::refused_by_router();
        Decision::GiveUp(attempt.give_up(proof, reason, retry_after))
    }

    /// Stretches a time to come back a little, at random.
    pub(crate) fn spread(&mut self, retry_after: Duration) -> Duration {
        let stretch = 1.0 + self.random.random_range(0.0..RETRY_AFTER_SPREAD);
        retry_after.max(LEAST_RETRY_AFTER).mul_f64(stretch)
    }

    /// Gives a request up after a try, with a proof from that try.
    pub(crate) fn give_up_after(
        &mut self,
        attempt: &Attempt,
        proof: Proof,
        reason: Reason,
        retry_after: Duration,
    ) -> GiveUp {
        let retry_after = self.spread(retry_after);
        let give_up = attempt.give_up(proof, reason, retry_after);
        self.counters.add_outcome(give_up.outcome, &give_up.reason);
        give_up
    }
}
