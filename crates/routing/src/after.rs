//! What follows from the result of a forwarding.
//!
//! The rule that everything here obeys: a request goes out again only when the try before it
//! certainly did not run, or when its contract says that running twice harms no one.

use std::time::Duration;

use wingspar_world::MonotonicTime;

use crate::attempt::{Attempt, AttemptResult, CurrentTry, GiveUp, Next};
use crate::counters::Counter;
use crate::outcome::{AgentRefusal, Outcome, Proof};
use crate::reason::Reason;
use crate::retry;
use crate::router::Router;

/// Statuses of 5xx answers that count against a target.
const FAILURE_STATUSES: [u16; 4] = [500, 502, 503, 504];
/// What agents and back ends say when another process owns the slice, or is about to.
const OWNERSHIP_REASONS: [&str; 8] = [
    "not_owner",
    "not_granted",
    "not_yet_owner",
    "handing_over",
    "stale_fence",
    "no_lease",
    "draining",
    "leaving",
];
/// What agents and back ends say when they have no room, or not yet.
const LOAD_REASONS: [&str; 4] = ["overloaded", "memory_full", "shed", "cold_start"];
/// What agents and back ends say when sending the request again at once can't help.
const FINAL_REASONS: [&str; 6] = [
    "in_progress",
    "key_missing",
    "deadline",
    "deadline_passed",
    "bad_request",
    "malformed",
];
/// Forwardings of a keyed request whose one owner can't be reached or refuses.
const MAX_TRIES_AT_OWNER: u32 = 2;
/// How long an unkeyed target is left alone that gives its work up.
const LEAVING_PAUSE: Duration = Duration::from_millis(500);

/// A refusal or failure that proves that the try did not run.
struct Refused {
    proof: Proof,
    reason: Reason,
    retry_after: Option<Duration>,
    kind: RefusalKind,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum RefusalKind {
    Ownership,
    Load,
    Final,
    Unreachable,
    Other,
}

impl Router {
    /// Decides what follows from a forwarding's result.
    pub fn after(
        &mut self,
        now: MonotonicTime,
        attempt: &mut Attempt,
        result: AttemptResult,
    ) -> Next {
        let Some(current) = attempt.current else {
            return self.without_try(now, attempt, result);
        };
        match result {
            AttemptResult::Answered { status } => self.answered(now, attempt, current, status),
            AttemptResult::Refused {
                refusal,
                reason,
                retry_after,
            } => {
                let refused = Refused::by_agent(refusal, reason, retry_after);
                self.refused(now, attempt, current, refused)
            }
            AttemptResult::NotConnected(failure) => {
                let refused = Refused {
                    proof: Proof::never_sent(failure),
                    reason: Reason::UNREACHABLE,
                    retry_after: None,
                    kind: RefusalKind::Unreachable,
                };
                self.refused(now, attempt, current, refused)
            }
            AttemptResult::Unknown { reason } => self.unproved(now, attempt, current, reason),
            AttemptResult::Lost => {
                self.note_failure(now, current);
                self.unproved(now, attempt, current, Reason::CONNECTION_LOST)
            }
            AttemptResult::BadAnswer => {
                self.note_failure(now, current);
                self.unproved(now, attempt, current, Reason::BAD_ANSWER)
            }
            AttemptResult::DeadlinePassed => {
                self.note_failure(now, current);
                self.end_unknown(attempt, Reason::DEADLINE)
            }
            AttemptResult::BodyCutShort => self.end_unknown(attempt, Reason::BODY_CUT_SHORT),
        }
    }

    /// Gives a request up that is not under way, such as one whose deadline passed in a wait.
    fn without_try(
        &mut self,
        now: MonotonicTime,
        attempt: &mut Attempt,
        result: AttemptResult,
    ) -> Next {
        self.stop_waiting(attempt);
        let reason = match result {
            AttemptResult::BodyCutShort => Reason::BODY_CUT_SHORT,
            _ => Reason::DEADLINE,
        };
        debug_assert!(now >= attempt.started, "time does not run backwards");
        let proof = Proof::refused_by_router();
        Next::GiveUp(self.give_up_after(attempt, proof, reason, Duration::ZERO))
    }

    fn answered(
        &mut self,
        now: MonotonicTime,
        attempt: &Attempt,
        current: CurrentTry,
        status: u16,
    ) -> Next {
        if FAILURE_STATUSES.contains(&status) {
            self.note_failure(now, current);
        } else {
            let latency = now.since(current.sent_at);
            let standing = self.targets.succeeded(current.target, latency);
            self.note_standing(current.target, standing);
        }
        let class = attempt.resolved.class;
        self.targets.answered(current.target, class);
        if let Some(state) = self.services.get_mut(&attempt.resolved.service) {
            state.limits.answered(now, &self.settings.limits);
        }
        self.counters.add(Counter::Ran);
        Next::Answer
    }

    fn refused(
        &mut self,
        now: MonotonicTime,
        attempt: &mut Attempt,
        current: CurrentTry,
        refused: Refused,
    ) -> Next {
        self.end_try(attempt, current);
        self.counters.add_for(Counter::Refusals, &refused.reason);
        self.learn(now, attempt, current, &refused);
        let Refused {
            proof,
            reason,
            retry_after,
            kind,
        } = refused;
        if self.may_retry(attempt, kind) {
            return self.retry(now, attempt, &reason, kind);
        }
        let retry_after = retry_after.unwrap_or(self.estimate(kind));
        Next::GiveUp(self.give_up_after(attempt, proof, reason, retry_after))
    }

    /// Takes to heart what a refusal says about the target and the table.
    fn learn(
        &mut self,
        now: MonotonicTime,
        attempt: &mut Attempt,
        current: CurrentTry,
        refused: &Refused,
    ) {
        match refused.kind {
            RefusalKind::Ownership => {
                attempt.refused_grant = current.fence.map(|fence| (current.target, fence));
                let pause = refused.retry_after.unwrap_or(LEAVING_PAUSE);
                self.targets.pause(now, current.target, pause);
            }
            RefusalKind::Final => {}
            RefusalKind::Load => {
                let class = attempt.resolved.class;
                let retry_after = refused.retry_after;
                self.targets
                    .refused(now, current.target, class, retry_after);
                if let Some(state) = self.services.get_mut(&attempt.resolved.service) {
                    state.limits.refused(now, &self.settings.limits);
                }
            }
            RefusalKind::Unreachable | RefusalKind::Other => self.note_failure(now, current),
        }
    }

    fn may_retry(&mut self, attempt: &Attempt, kind: RefusalKind) -> bool {
        if !attempt.may_send_again() || attempt.tries >= self.settings.max_tries {
            return false;
        }
        let has_one_owner = attempt.resolved.key.is_some();
        match kind {
            // A move is no overload, and a keyed request waits for news before its next try.
            RefusalKind::Ownership => true,
            RefusalKind::Final => false,
            // The one owner of a key has no room: only the caller can come back later.
            RefusalKind::Load if has_one_owner => false,
            _ if has_one_owner && attempt.tries >= MAX_TRIES_AT_OWNER => false,
            _ => self.spend_retry(attempt),
        }
    }

    fn spend_retry(&mut self, attempt: &Attempt) -> bool {
        let state = self.services.get_mut(&attempt.resolved.service);
        let has_budget = state.is_some_and(|state| state.budget.spend());
        if !has_budget {
            self.counters.add(Counter::RetryBudgetEmpty);
        }
        has_budget
    }

    fn retry(
        &mut self,
        now: MonotonicTime,
        attempt: &Attempt,
        reason: &Reason,
        kind: RefusalKind,
    ) -> Next {
        self.counters.add_for(Counter::Retries, reason);
        if kind == RefusalKind::Ownership {
            return Next::Retry { at: now };
        }
        let pause = retry::backoff(&self.settings.retry, attempt.tries, &mut self.random);
        Next::Retry { at: now + pause }
    }

    /// The try may have run.
    fn unproved(
        &mut self,
        now: MonotonicTime,
        attempt: &mut Attempt,
        current: CurrentTry,
        reason: Reason,
    ) -> Next {
        attempt.unproved = true;
        let more = attempt.tries < self.settings.max_tries && attempt.may_send_again();
        if more && now < attempt.deadline && self.spend_retry(attempt) {
            self.end_try(attempt, current);
            return self.retry(now, attempt, &reason, RefusalKind::Other);
        }
        self.end_unknown(attempt, reason)
    }

    fn end_unknown(&mut self, attempt: &mut Attempt, reason: Reason) -> Next {
        attempt.unproved = true;
        let retry_after = self.spread(self.settings.no_target_estimate);
        let give_up = GiveUp {
            outcome: Outcome::Unknown,
            reason,
            retry_after,
        };
        self.counters.add_outcome(give_up.outcome, &give_up.reason);
        Next::GiveUp(give_up)
    }

    fn end_try(&mut self, attempt: &mut Attempt, current: CurrentTry) {
        attempt.current = None;
        self.targets.ended(current.target, attempt.resolved.class);
    }

    fn note_failure(&mut self, now: MonotonicTime, current: CurrentTry) {
        let settings = self.settings.outlier;
        let standing = self.targets.failed(now, current.target, &settings);
        self.note_standing(current.target, standing);
    }

    fn estimate(&self, kind: RefusalKind) -> Duration {
        match kind {
            RefusalKind::Ownership => self.settings.hand_over_estimate,
            RefusalKind::Unreachable => self.settings.takeover_estimate,
            _ => self.settings.no_target_estimate,
        }
    }
}

impl Refused {
    fn by_agent(refusal: AgentRefusal, reason: Reason, retry_after: Option<Duration>) -> Self {
        let kind = if OWNERSHIP_REASONS.contains(&reason.as_str()) {
            RefusalKind::Ownership
        } else if LOAD_REASONS.contains(&reason.as_str()) {
            RefusalKind::Load
        } else if FINAL_REASONS.contains(&reason.as_str()) {
            RefusalKind::Final
        } else {
            RefusalKind::Other
        };
        Self {
            proof: Proof::refused(refusal),
            reason,
            retry_after,
            kind,
        }
    }
}
