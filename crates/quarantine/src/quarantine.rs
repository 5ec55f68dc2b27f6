//! Decides which requests a node refuses.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::recent_successes::RecentSuccesses;
use crate::suspicion::{CountedEnd, Suspicion};
use crate::verdict::{LocalVerdict, whole_millis};
use crate::{
    CallerRequest, Callers, Fingerprint, Observation, QuarantineSnapshot, Reply, Report, Standing,
    TargetEnd, Verdict,
};

/// Number of terminations since a request's last successful completion from which it is refused, if
/// no other request with as many was in flight at the latest one, and none with the same content was served. One termination is no proof,
/// because up to all of the target's slots were in use then.
///
/// In runs on three deployments with repeated lookups, hot keys and impatient callers, 427 requests
/// were in flight at 89 terminations of targets that had crashed by themselves. Refusing after two
/// terminations refused none of them. A fifth of the terminations had a single suspect, so refusing
/// after one would have refused 19.
const ENDS_TO_REFUSE: usize = 2;
/// Number of terminations from which a request is refused even if other requests were in flight at
/// all of them too, or if a request of another caller or tenant with the same content was lately served.
const ENDS_TO_BE_CERTAIN: usize = 3;
/// How long a request is refused after two terminations. An innocent request completes successfully
/// afterwards; a crashing one terminates a third target, and all nodes have the verdict before it
/// can be sent again. A longer time spares targets further terminations, but costs the callers of a
/// wrongly refused request more.
const FIRST_REFUSAL_DURATION: Duration = Duration::from_secs(60);
/// How long a request is refused after three terminations. Each further one multiplies the time by
/// [`BACKOFF_FACTOR`].
const CERTAIN_REFUSAL_DURATION: Duration = Duration::from_secs(300);
/// Factor by which each further refusal is longer than the one before.
const BACKOFF_FACTOR: u32 = 8;
/// Maximum duration of a refusal.
const MAX_REFUSAL_DURATION: Duration = Duration::from_secs(6 * 3_600);
/// Time after a successful completion in which terminations at the same node don't count against
/// the request. This protects requests that many callers send, which are in flight at several
/// targets when two of them terminate within a tenth of a second.
const SUCCESS_PROTECTION_PERIOD: Duration = Duration::from_secs(30);
/// How long terminations count against a request that isn't refused.
const SUSPICION_RETENTION: Duration = Duration::from_secs(600);
/// How long the verdict that a request is released is kept and sent to other nodes.
const RELEASE_RETENTION: Duration = Duration::from_secs(60);
/// Shortest time until its expiry for which a verdict from another node is adopted. Otherwise nodes
/// whose clocks differ would send expiring verdicts back and forth.
const MIN_REMAINING_VALIDITY: Duration = Duration::from_secs(1);

/// Maximum number of requests with suspicions, at about 200 bytes each.
const MAX_SUSPICIONS: usize = 2_048;
/// Maximum number of verdicts; the one that expires first is evicted first.
const MAX_VERDICTS: usize = 256;
/// Maximum number of own observations kept for the next leader.
const MAX_OBSERVATIONS: usize = 256;
/// Maximum number of verdicts and of observations in one datagram; that many take about 700 and 600
/// bytes, and up to 300 bytes more each if callers are exempt.
const MAX_PER_DATAGRAM: usize = 8;

/// A change of the verdict on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VerdictChange {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The new decision.
    pub standing: Standing,
    /// Number of target terminations that the decision is based on.
    pub ends: u8,
    /// Time until the verdict expires.
    pub left: Duration,
    /// Callers whose requests aren't refused.
    pub served: Callers,
}

/// A termination seen by this node, with a request that was in flight.
#[derive(Debug, Clone, Copy)]
struct OwnObservation {
    number: u64,
    at: Duration,
    succeeded_at: Option<Duration>,
    request: CallerRequest,
    served: Callers,
    is_content_served: bool,
    end: TargetEnd,
}

/// State of a node's quarantine: suspicions, verdicts, and what the leader has acknowledged.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspicions: HashMap<Fingerprint, Suspicion>,
    verdicts: BTreeMap<Fingerprint, LocalVerdict>,
    recent_successes: RecentSuccesses,
    own: VecDeque<OwnObservation>,
    newest: u64,
    /// Number of the last own observation that the current leader has acknowledged.
    acknowledged: u64,
    leader_digest: u64,
}

impl Quarantine {
    /// Returns whether a caller's requests with this fingerprint are refused.
    pub fn refuses(&self, now: Duration, request: CallerRequest) -> bool {
        self.refusal(now, request.fingerprint)
            .is_some_and(|kept| !kept.served.contains(request.caller))
    }

    /// Returns whether requests with this fingerprint are refused, unless their caller is served.
    pub fn is_refused(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        self.refusal(now, fingerprint).is_some()
    }

    fn refusal(&self, now: Duration, fingerprint: Fingerprint) -> Option<LocalVerdict> {
        let kept = self.verdicts.get(&fingerprint).copied()?;
        (kept.standing == Standing::Refused && now < kept.until).then_some(kept)
    }

    /// Returns the verdicts on all refused requests.
    pub fn refused(&self, now: Duration) -> Vec<Verdict> {
        self.verdicts
            .iter()
            .filter(|(fingerprint, _)| self.is_refused(now, **fingerprint))
            .map(|(fingerprint, kept)| kept.told(now, *fingerprint))
            .collect()
    }

    /// Returns the number of terminations that count against a request, as far as this node knows.
    pub fn ends(&self, fingerprint: Fingerprint) -> usize {
        let suspicion = self.suspicions.get(&fingerprint);
        suspicion.map_or(0, Suspicion::ends)
    }

    /// Records that a caller's request completed successfully at this node's target. If it was refused, this caller's
    /// requests are exempt from now on.
    pub fn good_end(&mut self, now: Duration, request: CallerRequest) -> Option<VerdictChange> {
        self.recent_successes.add(now, request);
        let fingerprint = request.fingerprint;
        let served = Callers::from_iter([request.caller]);
        match self.refusal(now, fingerprint) {
            Some(kept) => self.exempt(now, fingerprint, kept, served),
            None => {
                if let Some(suspicion) = self.suspicions.get_mut(&fingerprint) {
                    suspicion.good_end(request.caller, now);
                }
                None
            }
        }
    }

    /// Exempts callers that have been served from a refusal; releases the request if nothing speaks against it any more.
    /// `None` if they were exempt before.
    fn exempt(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        mut kept: LocalVerdict,
        served: Callers,
    ) -> Option<VerdictChange> {
        if self.is_cleared_by(now, fingerprint, &kept, served) {
            return Some(self.release(now, fingerprint));
        }
        if !kept.served.insert_all(served) {
            return None;
        }
        kept.revision = kept.revision.saturating_add(1);
        Some(self.insert_verdict(now, fingerprint, kept))
    }

    /// Clears the evidence against served callers. Returns whether none is left of all that the verdict is based on; a node
    /// that has seen a part of it can't tell.
    fn is_cleared_by(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        verdict: &LocalVerdict,
        served: Callers,
    ) -> bool {
        let Some(suspicion) = self.suspicions.get_mut(&fingerprint) else {
            return false;
        };
        let knows_all = suspicion.ends() >= usize::from(verdict.ends.max(1));
        for caller in served.iter() {
            suspicion.good_end(caller, now);
        }
        knows_all && suspicion.ends() == 0
    }

    /// Releases a request, so that it runs again for all callers.
    pub fn release(&mut self, now: Duration, fingerprint: Fingerprint) -> VerdictChange {
        let suspicion = self.suspicions.entry(fingerprint).or_default();
        suspicion.release(now);
        suspicion.keep_until = now + SUSPICION_RETENTION;
        let before = self.verdicts.get(&fingerprint);
        let revision = before.map_or(0, |kept| kept.revision);
        suspicion.revision = suspicion.revision.max(revision).saturating_add(1);
        let kept = LocalVerdict {
            revision: suspicion.revision,
            standing: Standing::Released,
            ends: 0,
            first_end_at: now,
            until: now + RELEASE_RETENTION,
            served: Callers::default(),
        };
        self.insert_verdict(now, fingerprint, kept)
    }

    /// Records that the target beside this node has terminated with these requests in flight.
    pub fn target_ended(
        &mut self,
        now: Duration,
        end: TargetEnd,
        suspects: &[CallerRequest],
    ) -> Vec<VerdictChange> {
        let mut observations = Vec::with_capacity(suspects.len());
        let served_since = now.saturating_sub(SUCCESS_PROTECTION_PERIOD);
        for &request in suspects {
            let succeeded_at = self.recent_successes.last(request);
            if succeeded_at.is_some_and(|succeeded_at| {
                now.saturating_sub(succeeded_at) <= SUCCESS_PROTECTION_PERIOD
            }) {
                continue;
            }
            self.newest += 1;
            let own = OwnObservation {
                number: self.newest,
                at: now,
                succeeded_at,
                request,
                served: self
                    .recent_successes
                    .callers_since(served_since, request.fingerprint),
                is_content_served: self
                    .recent_successes
                    .is_content_served(served_since, request.content),
                end,
            };
            self.own.push_back(own);
            observations.push(own.told(now));
        }
        while self.own.len() > MAX_OBSERVATIONS {
            self.own.pop_front();
        }
        self.observed(now, &observations)
    }

    /// Adds observations to the suspicions and judges the requests concerned.
    fn observed(&mut self, now: Duration, observations: &[Observation]) -> Vec<VerdictChange> {
        self.remove_expired(now);
        let mut to_judge = Vec::new();
        for observation in observations {
            let ago = Duration::from_millis(observation.ms_ago);
            if ago > SUSPICION_RETENTION {
                continue;
            }
            let succeeded_at = observation
                .good_ms_ago
                .map(|ago| now.saturating_sub(Duration::from_millis(ago)));
            let suspicion = self.suspicions.entry(observation.fingerprint).or_default();
            if let Some(succeeded_at) = succeeded_at {
                suspicion.good_end(observation.caller, succeeded_at);
            }
            let at = now.saturating_sub(ago);
            for caller in observation.served.iter() {
                // At the latest; an end that counts against this caller may have come since.
                suspicion.good_end(caller, at.saturating_sub(SUCCESS_PROTECTION_PERIOD));
            }
            suspicion.keep_until = suspicion.keep_until.max(at + SUSPICION_RETENTION);
            let counted = CountedEnd {
                end: observation.end,
                caller: observation.caller,
                at,
                is_content_served: observation.is_content_served,
            };
            if suspicion.add(counted) && suspicion.ends() >= ENDS_TO_REFUSE {
                to_judge.push((observation.fingerprint, observation.end));
            }
        }
        let changes = to_judge
            .iter()
            .filter_map(|(fingerprint, end)| self.judge(now, *fingerprint, *end))
            .collect();
        self.evict_suspicions();
        changes
    }

    /// Refuses a request after another termination if there is enough evidence against it.
    fn judge(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        end: TargetEnd,
    ) -> Option<VerdictChange> {
        let suspects_of_end = self
            .suspicions
            .values()
            .filter(|other| other.ends() >= ENDS_TO_REFUSE && other.was_in_flight_at(end))
            .count();
        let known = self.verdicts.get(&fingerprint).copied();
        let suspicion = self.suspicions.get_mut(&fingerprint)?;
        let certain = suspicion.ends() >= ENDS_TO_BE_CERTAIN;
        let may_be_innocent = suspects_of_end > 1 || suspicion.is_content_served();
        if may_be_innocent && !certain {
            return None;
        }
        let span = if certain {
            let factor = BACKOFF_FACTOR.saturating_pow(suspicion.refusals);
            suspicion.refusals += 1;
            CERTAIN_REFUSAL_DURATION
                .saturating_mul(factor)
                .min(MAX_REFUSAL_DURATION)
        } else {
            FIRST_REFUSAL_DURATION
        };
        let revision = known
            .map_or(0, |kept| kept.revision)
            .max(suspicion.revision)
            .saturating_add(1);
        suspicion.revision = revision;
        suspicion.keep_until = now + span + SUSPICION_RETENTION;
        let kept = LocalVerdict {
            revision,
            standing: Standing::Refused,
            ends: u8::try_from(suspicion.ends()).unwrap_or(u8::MAX),
            first_end_at: suspicion.first_end_at()?,
            until: now + span,
            served: suspicion.served(),
        };
        Some(self.insert_verdict(now, fingerprint, kept))
    }

    /// Returns the state from which the next reports and replies to other nodes are built.
    pub fn snapshot(&mut self, now: Duration) -> QuarantineSnapshot {
        self.verdicts.retain(|_, kept| now < kept.until);
        let digest = self.digest();
        let unacknowledged = self.own.iter().filter(|own| own.number > self.acknowledged);
        let unacknowledged = unacknowledged
            .take(MAX_PER_DATAGRAM)
            .copied()
            .collect::<Vec<_>>();
        QuarantineSnapshot {
            digest,
            verdicts: self.verdicts_for_datagram(now),
            newest: unacknowledged
                .last()
                .map_or(self.acknowledged, |own| own.number),
            observations: unacknowledged.iter().map(|own| own.told(now)).collect(),
            leader_differs: digest != self.leader_digest,
        }
    }

    /// Returns whether some observations are not acknowledged by the leader.
    pub fn has_unacknowledged(&self) -> bool {
        self.own.iter().any(|own| own.number > self.acknowledged)
    }

    /// Resets the acknowledgments, because a new leader may not have received what was reported to
    /// the previous one.
    pub fn leader_changed(&mut self) {
        self.acknowledged = 0;
        self.leader_digest = 0;
    }

    /// Handles another node's report to this node, which is the leader. Returns the changed
    /// verdicts.
    pub fn reported(&mut self, now: Duration, report: &Report) -> Vec<VerdictChange> {
        let mut changes = self.told(now, &report.verdicts);
        changes.extend(self.observed(now, &report.observations));
        changes
    }

    /// Handles the leader's reply to a report. Returns the changed verdicts.
    pub fn answered(&mut self, now: Duration, reply: &Reply) -> Vec<VerdictChange> {
        self.acknowledged = self.acknowledged.max(reply.acknowledged);
        self.leader_digest = reply.digest;
        self.told(now, &reply.verdicts)
    }

    fn told(&mut self, now: Duration, verdicts: &[Verdict]) -> Vec<VerdictChange> {
        verdicts
            .iter()
            .filter_map(|verdict| self.adopt(now, verdict))
            .collect()
    }

    fn adopt(&mut self, now: Duration, verdict: &Verdict) -> Option<VerdictChange> {
        let mut told = LocalVerdict::from_wire(now, verdict);
        told.until = told.until.min(now + MAX_REFUSAL_DURATION);
        let fingerprint = verdict.fingerprint;
        let known = self.verdicts.get(&fingerprint).copied();
        if told.until < now + MIN_REMAINING_VALIDITY {
            return None;
        }
        if let Some(mut known) = known.filter(|known| !told.outranks(known)) {
            // Two nodes may have exempted different callers at the same time.
            let differs = told.ranks_like(&known) && known.served.insert_all(told.served);
            return differs.then(|| self.insert_verdict(now, fingerprint, known));
        }
        if told.standing == Standing::Released {
            if let Some(suspicion) = self.suspicions.get_mut(&fingerprint) {
                suspicion.release(now);
            }
            return Some(self.insert_verdict(now, fingerprint, told));
        }
        let change = self.insert_verdict(now, fingerprint, told);
        let mut served = told.served;
        served.insert_all(
            self.recent_successes
                .callers_since(told.first_end_at, fingerprint),
        );
        Some(
            self.exempt(now, fingerprint, told, served)
                .unwrap_or(change),
        )
    }

    fn insert_verdict(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        kept: LocalVerdict,
    ) -> VerdictChange {
        self.verdicts.insert(fingerprint, kept);
        if self.verdicts.len() > MAX_VERDICTS {
            let first = self.verdicts.iter().min_by_key(|(_, kept)| kept.until);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.verdicts.remove(&first);
            }
        }
        VerdictChange {
            fingerprint,
            standing: kept.standing,
            ends: kept.ends,
            left: kept.until.saturating_sub(now),
            served: kept.served,
        }
    }

    fn digest(&self) -> u64 {
        self.verdicts.iter().fold(0, |digest, (fingerprint, kept)| {
            digest ^ kept.digest(*fingerprint)
        })
    }

    /// Returns as many verdicts as fit into one datagram. The first one is chosen by a hash of the
    /// time, so that a node that reports repeatedly gets all of them, no matter which other nodes
    /// report in between.
    fn verdicts_for_datagram(&self, now: Duration) -> Vec<Verdict> {
        let count = self.verdicts.len();
        let hash = xxh3_64(&whole_millis(now).to_le_bytes());
        let start = match u64::try_from(count) {
            Ok(count) if count > 0 => usize::try_from(hash % count).unwrap_or(0),
            _ => 0,
        };
        let all = self.verdicts.iter().cycle().skip(start);
        all.take(MAX_PER_DATAGRAM.min(count))
            .map(|(fingerprint, kept)| kept.told(now, *fingerprint))
            .collect()
    }

    fn remove_expired(&mut self, now: Duration) {
        self.suspicions
            .retain(|_, suspicion| now < suspicion.keep_until);
        self.own
            .retain(|own| now.saturating_sub(own.at) <= SUSPICION_RETENTION);
    }

    /// Evicts the suspicions with the fewest terminations, the oldest first.
    fn evict_suspicions(&mut self) {
        let surplus = self.suspicions.len().saturating_sub(MAX_SUSPICIONS);
        if surplus == 0 {
            return;
        }
        let weights = self.suspicions.iter().map(|(fingerprint, suspicion)| {
            (suspicion.ends(), suspicion.last_end_at(), *fingerprint)
        });
        let ordered = weights.collect::<BTreeSet<_>>();
        for (_, _, fingerprint) in ordered.into_iter().take(surplus) {
            self.suspicions.remove(&fingerprint);
        }
    }
}

impl OwnObservation {
    fn told(&self, now: Duration) -> Observation {
        Observation {
            fingerprint: self.request.fingerprint,
            caller: self.request.caller,
            served: self.served,
            is_content_served: self.is_content_served,
            end: self.end,
            ms_ago: whole_millis(now.saturating_sub(self.at)),
            good_ms_ago: self
                .succeeded_at
                .map(|succeeded_at| whole_millis(now.saturating_sub(succeeded_at))),
        }
    }
}
