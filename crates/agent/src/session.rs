//! Session with the control group: finding the leader, renewals, and the lease on the own clock.
//!
//! The lease counts from the sending of the renewal that was granted and from nothing else. A
//! reply counts only when it answers a renewal that is still outstanding; when a lease lapses all
//! outstanding renewals are forgotten, so a late reply can't bring it back.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use wingspar_wire::{RenewalReply, RenewalVerdict, SessionId};
use wingspar_world::{Lease, MonotonicTime};

use crate::AgentSettings;

/// Renewals whose answers are still waited for.
const MAX_OUTSTANDING: usize = 32;
/// Redirections followed at once before waiting like after a failure.
const MAX_REDIRECTS: u32 = 3;
/// Silence of a leader, in retry intervals, after which another candidate is asked.
const SILENT_RETRIES: u32 = 2;
/// Shortest time between renewals, so that a burst of news makes no burst of them.
const SHORTEST_PAUSE: Duration = Duration::from_millis(20);
/// Pause while the group commits a registration.
const REGISTRATION_PAUSE: Duration = Duration::from_millis(50);
/// Doublings of the pause between tries, at most.
const MAX_BACKOFF_STEPS: u32 = 5;

#[derive(Debug, Clone, Copy)]
struct Outstanding {
    sent_at: MonotonicTime,
    session: Option<SessionId>,
}

/// A session that runs while its lease does.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Held {
    pub(crate) id: SessionId,
    pub(crate) lease: Lease,
}

/// What a reply changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplyEffect {
    /// The reply was old or meant for somebody else.
    Ignored,
    /// A session began.
    Begun(SessionId),
    /// The lease was extended.
    Renewed,
    /// The leader ended the session.
    Over,
    /// The configuration must be pulled first.
    ConfigurationBehind,
    /// Ask again, perhaps elsewhere.
    TryAgain,
}

#[derive(Debug)]
pub(crate) struct Session {
    seeds: Vec<SocketAddr>,
    next_seed: usize,
    leader: Option<SocketAddr>,
    held: Option<Held>,
    outstanding: VecDeque<Outstanding>,
    last_sent: Option<MonotonicTime>,
    next_renewal: MonotonicTime,
    /// When the first renewal was sent that nobody answered since.
    silent_since: Option<MonotonicTime>,
    unanswered: u32,
    redirects: u32,
    random: u64,
    renewal_interval: Duration,
    retry_interval: Duration,
    backoff_limit: Duration,
}

impl Session {
    pub(crate) fn new(
        settings: &AgentSettings,
        seeds: Vec<SocketAddr>,
        random: u64,
        now: MonotonicTime,
    ) -> Self {
        let next_seed = random as usize % seeds.len().max(1);
        Self {
            seeds,
            next_seed,
            leader: None,
            held: None,
            outstanding: VecDeque::new(),
            last_sent: None,
            next_renewal: now,
            silent_since: None,
            unanswered: 0,
            redirects: 0,
            random,
            renewal_interval: settings.renewal_interval,
            retry_interval: settings.retry_interval,
            backoff_limit: settings.backoff_limit,
        }
    }

    pub(crate) fn held(&self) -> Option<Held> {
        self.held
    }

    /// The session, if its lease runs at `now`.
    pub(crate) fn running(&self, now: MonotonicTime) -> Option<Held> {
        self.held.filter(|held| held.lease.is_valid(now))
    }

    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        self.leader
    }

    /// Where control messages go: the leader, or a candidate that may know it.
    pub(crate) fn destination(&self) -> Option<SocketAddr> {
        let seed = || self.seeds.get(self.next_seed % self.seeds.len().max(1));
        self.leader.or_else(|| seed().copied())
    }

    /// When something must be looked at: the next renewal or the end of the lease.
    pub(crate) fn next_wake(&self) -> MonotonicTime {
        let lease_end = self.held.map(|held| held.lease.expires_at());
        lease_end.map_or(self.next_renewal, |end| end.min(self.next_renewal))
    }

    pub(crate) fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.next_renewal
    }

    /// Asks for a renewal as soon as may be.
    pub(crate) fn hurry(&mut self, now: MonotonicTime) {
        let earliest = self.earliest(now);
        self.next_renewal = self.next_renewal.min(earliest);
    }

    /// When the next renewal may be sent. Never at the instant of the last, for the time of
    /// sending tells renewals apart.
    fn earliest(&self, now: MonotonicTime) -> MonotonicTime {
        let after_last = self.last_sent.map(|last| last + SHORTEST_PAUSE);
        after_last.map_or(now, |earliest| earliest.max(now))
    }

    /// Drops the session and all outstanding renewals.
    pub(crate) fn drop_session(&mut self, now: MonotonicTime) {
        self.held = None;
        self.outstanding.clear();
        self.hurry(now);
    }

    /// Notes a renewal as sent now. Returns where it goes.
    pub(crate) fn begin_renewal(&mut self, now: MonotonicTime) -> Option<SocketAddr> {
        let limit = self.retry_interval * SILENT_RETRIES;
        let silent = self.silent_since.is_some_and(|since| now >= since + limit);
        if silent || self.leader.is_none() {
            self.leader = None;
            self.next_seed = self.next_seed.wrapping_add(1);
        }
        if self.outstanding.len() >= MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(Outstanding {
            sent_at: now,
            session: self.held.map(|held| held.id),
        });
        self.last_sent = Some(now);
        let pause = self.pause().max(SHORTEST_PAUSE);
        self.next_renewal = now + pause;
        self.silent_since = self.silent_since.or(Some(now));
        self.unanswered = self.unanswered.saturating_add(1);
        self.destination()
    }

    /// Pause after a renewal: the interval, or shorter tries while a session is at stake, or
    /// growing ones without a session.
    fn pause(&mut self) -> Duration {
        if self.silent_since.is_none() && self.held.is_some() {
            return self.renewal_interval;
        }
        if self.held.is_some() {
            return self.jittered(self.retry_interval);
        }
        let steps = self.unanswered.min(MAX_BACKOFF_STEPS);
        let pause = self.retry_interval * 2u32.pow(steps);
        self.jittered(pause.min(self.backoff_limit))
    }

    /// Between half and the whole of a duration.
    fn jittered(&mut self, whole: Duration) -> Duration {
        self.random = split_mix(self.random);
        let share = (self.random >> 11) as f64 / (1u64 << 53) as f64;
        whole.mul_f64(0.5 + share / 2.0)
    }

    /// Takes in a reply. The lease must have been looked at for this `now` before.
    pub(crate) fn on_reply(
        &mut self,
        now: MonotonicTime,
        from: SocketAddr,
        reply: &RenewalReply,
    ) -> ReplyEffect {
        let Some(sent) = self.take_outstanding(reply.sent_at) else {
            return ReplyEffect::Ignored;
        };
        match &reply.verdict {
            RenewalVerdict::Renewed {
                session, lease_ms, ..
            } => self.on_renewed(now, from, sent, *session, *lease_ms),
            RenewalVerdict::SessionOver => self.on_over(now, sent),
            RenewalVerdict::Registering => {
                self.answered_by(from);
                self.next_renewal = now + self.jittered(REGISTRATION_PAUSE);
                ReplyEffect::TryAgain
            }
            RenewalVerdict::ConfigurationBehind { .. } => {
                self.answered_by(from);
                self.next_renewal = now + self.retry_interval;
                ReplyEffect::ConfigurationBehind
            }
            RenewalVerdict::NotLeader { leader } => self.on_not_leader(now, *leader),
        }
    }

    fn take_outstanding(&mut self, sent_at: MonotonicTime) -> Option<Outstanding> {
        let position = self
            .outstanding
            .iter()
            .position(|one| one.sent_at == sent_at)?;
        self.outstanding.remove(position)
    }

    fn answered_by(&mut self, from: SocketAddr) {
        self.leader = Some(from);
        self.silent_since = None;
        self.unanswered = 0;
        self.redirects = 0;
    }

    fn on_renewed(
        &mut self,
        now: MonotonicTime,
        from: SocketAddr,
        sent: Outstanding,
        session: SessionId,
        lease_ms: u64,
    ) -> ReplyEffect {
        let lease = Lease {
            renewed_at: sent.sent_at,
            duration: Duration::from_millis(lease_ms),
        };
        if !lease.is_valid(now) {
            return ReplyEffect::Ignored;
        }
        match &mut self.held {
            Some(held) if held.id == session => {
                if lease.expires_at() > held.lease.expires_at() {
                    held.lease = lease;
                }
                self.answered_by(from);
                ReplyEffect::Renewed
            }
            None if sent.session.is_none() => {
                self.held = Some(Held { id: session, lease });
                self.answered_by(from);
                self.next_renewal = sent.sent_at + self.renewal_interval;
                ReplyEffect::Begun(session)
            }
            _ => ReplyEffect::Ignored,
        }
    }

    fn on_over(&mut self, now: MonotonicTime, sent: Outstanding) -> ReplyEffect {
        let current = self.held.map(|held| held.id);
        if sent.session.is_none() || sent.session != current {
            return ReplyEffect::Ignored;
        }
        self.drop_session(now);
        ReplyEffect::Over
    }

    fn on_not_leader(&mut self, now: MonotonicTime, leader: Option<SocketAddr>) -> ReplyEffect {
        self.leader = leader;
        self.redirects = self.redirects.saturating_add(1);
        let at_once = leader.is_some() && self.redirects <= MAX_REDIRECTS;
        if at_once {
            self.silent_since = None;
            self.unanswered = 0;
            let after_last = self.last_sent.map(|last| last + Duration::from_micros(1));
            self.next_renewal = after_last.map_or(now, |earliest| earliest.max(now));
        } else {
            let pause = self.jittered(self.retry_interval);
            self.next_renewal = now + pause.max(SHORTEST_PAUSE);
        }
        ReplyEffect::TryAgain
    }
}

/// One step of the SplitMix64 generator; enough to spread tries of many nodes.
fn split_mix(state: u64) -> u64 {
    let mut mixed = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
