//! Decides when a node claims the leadership.

use std::time::Duration;

use crate::{Incarnation, LeaderReference, NodeName, Time, Timing};

/// How long a node waits for its peers to report which leader they follow.
const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(180);
/// A peer's contact with the leader within this time shows that the leader is alive.
const MAX_PEER_VIEW_AGE: Duration = Duration::from_millis(900);
/// Additional wait of a node that no peer answers, since it is probably the one that is cut off.
const ISOLATION_DELAY: Duration = Duration::from_millis(6_000);
/// Minimum mean delay before the leader's object is read again after a read or claim without a
/// result, and the part of the delay per known node. Together, any number of nodes sends about
/// forty calls a second to a store that is down.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(350);
const RETRY_DELAY_PER_NODE: Duration = Duration::from_millis(25);
/// Minimum span over which the waits of contending nodes are spread, and the part of the span per
/// known node. The first node contends after about 26 ms, and informing all others takes about as
/// long, so one or two nodes contend whatever their number. If only a fraction of the nodes is
/// left, the first contends proportionally later.
const MIN_CONTENTION_SPAN: Duration = Duration::from_millis(420);
const CONTENTION_SPAN_PER_NODE: Duration = Duration::from_millis(26);
/// Upper bound of the spans from which retry and contention delays are drawn, for when nearly all
/// known nodes are gone.
const MAX_DELAY_SPAN: Duration = Duration::from_secs(60);
/// Span over which the first waits of processes that have just started are spread: machines start
/// within 0.3 s of each other.
const START_CONTENTION_SPAN: Duration = Duration::from_millis(250);
/// Span over which the first waits are spread at the first start of the whole system, when clients
/// come seconds later.
const FIRST_START_CONTENTION_SPAN: Duration = Duration::from_millis(1_500);

/// A peer's report of which leader it follows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerView {
    /// The leader that the peer follows; `None` if it follows none.
    pub leader: Option<LeaderReference>,
    /// Time since the peer's last contact with that leader.
    pub contact_ago: Duration,
}

/// What the node has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ElectionStep {
    /// Query some peers for the leader that they follow.
    QueryPeers,
    /// Read the leader's object from the store's caches.
    ReadCached,
    /// Read the leader's object from the store.
    ReadObject,
    /// Replace the object that was read, or create it, with the next epoch.
    Claim,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The node follows a leader.
    Following,
    /// Peers have been queried for the leader that they follow; `answers` of them have replied
    /// without naming a live one.
    QueryingPeers { since: Time, answers: u32 },
    /// The node waits before it reads the leader's object.
    Waiting { until: Time },
    /// The read of the store's caches is in flight.
    ReadingCached { since: Time },
    /// The read of the leader's object is in flight.
    Reading { since: Time },
    /// The claim is in flight.
    Claiming { since: Time },
}

/// For this long, a new leader's denial is ignored: it may not have noticed its election yet,
/// because the answer to its claim or the list of nodes is still in flight.
const ELECTION_NOTICE_GRACE: Duration = Duration::from_millis(1_000);

/// Timeout of calls to the store.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A node's view of the leadership.
#[derive(Debug)]
pub struct Election {
    node: NodeName,
    life: Incarnation,
    timing: Timing,
    leader: Option<LeaderReference>,
    leader_contact_at: Time,
    /// When the node began to follow the leader.
    followed_since: Time,
    phase: Phase,
    contention_delay: Duration,
    /// Number of other nodes known.
    peers: u32,
    /// Number of nodes in the deployment, according to the leader's object.
    node_count: u32,
    /// Number of random waits so far; makes each one different.
    waits: u64,
}

impl Election {
    /// The view of a node that follows no leader yet. `first_start` is true if the whole system
    /// starts for the first time.
    pub fn new(
        node: NodeName,
        life: Incarnation,
        timing: Timing,
        first_start: bool,
        now: Time,
    ) -> Self {
        let spread = if first_start {
            FIRST_START_CONTENTION_SPAN
        } else {
            START_CONTENTION_SPAN
        };
        let mut election = Self {
            node,
            life,
            timing,
            leader: None,
            leader_contact_at: now,
            followed_since: now,
            phase: Phase::Following,
            contention_delay: Duration::ZERO,
            peers: 0,
            node_count: 0,
            waits: 0,
        };
        election.phase = Phase::Waiting {
            until: now + election.random_part(spread),
        };
        election
    }

    /// The leader that the node follows.
    pub fn leader(&self) -> Option<&LeaderReference> {
        self.leader.as_ref()
    }

    /// Whether this process is the leader.
    pub fn is_self(&self) -> bool {
        self.leader
            .as_ref()
            .is_some_and(|leader| leader.node == self.node && leader.life == self.life)
    }

    /// Sets how much longer than others the node waits before it contends.
    pub fn set_contention_delay(&mut self, contention_delay: Duration) {
        self.contention_delay = contention_delay;
    }

    /// Sets the number of nodes according to the leader's object; a process that has just started
    /// knows no other nodes.
    pub fn set_node_count(&mut self, nodes: u32) {
        self.node_count = nodes;
    }

    /// Time of the last contact with the leader, by this node or reported by a peer.
    pub fn leader_contact_at(&self) -> Time {
        self.leader_contact_at
    }

    /// Follows an observed leader unless one of the same or a later epoch is known. Returns whether
    /// it is followed now.
    pub fn observe_leader(&mut self, now: Time, leader: &LeaderReference) -> bool {
        let known = self
            .leader
            .as_ref()
            .map(|leader| leader.epoch)
            .unwrap_or_default();
        if leader.epoch <= known {
            return false;
        }
        self.leader = Some(leader.clone());
        self.leader_contact_at = now;
        self.followed_since = now;
        self.phase = Phase::Following;
        true
    }

    /// Handles an answer of the leader.
    pub fn leader_answered(&mut self, now: Time) {
        self.leader_contact_at = now;
        self.phase = Phase::Following;
    }

    /// Handles a reply of the leader's own process that it doesn't lead. The reply is ignored if
    /// the process was elected just now and may not have noticed it yet.
    pub fn leader_denied(&mut self, now: Time) {
        if now.since(self.followed_since) >= ELECTION_NOTICE_GRACE {
            self.begin_contention(now, false);
        }
    }

    /// Starts contending for the leadership: another process answers at the leader's address, or
    /// the leader requests that this node take over.
    pub fn begin_contention(&mut self, now: Time, at_once: bool) {
        if !matches!(self.phase, Phase::Following | Phase::QueryingPeers { .. }) {
            return;
        }
        let wait = if at_once {
            Duration::ZERO
        } else {
            self.contention_wait()
        };
        self.phase = Phase::Waiting { until: now + wait };
    }

    /// Handles a peer's report of which leader it follows.
    pub fn peer_answered(&mut self, now: Time, view: &PeerView) {
        if let Some(leader) = &view.leader {
            if self.observe_leader(now, leader) {
                return;
            }
            let same = self
                .leader
                .as_ref()
                .is_some_and(|known| known.epoch == leader.epoch);
            if same
                && view.contact_ago < MAX_PEER_VIEW_AGE
                && matches!(
                    self.phase,
                    Phase::QueryingPeers { .. } | Phase::Waiting { .. }
                )
            {
                // The leader is alive and only this node doesn't reach it. The node suspects the
                // leader again no later than the peer would; otherwise peers could keep each other
                // believing in a leader that is gone.
                let contact_at = now.before(view.contact_ago);
                self.leader_contact_at = self.leader_contact_at.max(contact_at);
                self.phase = Phase::Following;
                return;
            }
        }
        if let Phase::QueryingPeers { answers, .. } = &mut self.phase {
            *answers += 1;
        }
    }

    /// The step that is due now, if any. `peers` is the number of other nodes known.
    pub fn tick(&mut self, now: Time, peers: usize) -> Option<ElectionStep> {
        self.peers = u32::try_from(peers).unwrap_or(u32::MAX);
        match self.phase {
            Phase::Following => {
                if self.is_self() || now.since(self.leader_contact_at) < self.timing.suspect_after {
                    return None;
                }
                self.phase = Phase::QueryingPeers {
                    since: now,
                    answers: 0,
                };
                Some(ElectionStep::QueryPeers)
            }
            Phase::QueryingPeers { since, answers } => {
                if now.since(since) < PEER_ANSWER_TIMEOUT {
                    return None;
                }
                let isolated = answers == 0 && peers > 0;
                let extra = if isolated {
                    ISOLATION_DELAY
                } else {
                    Duration::ZERO
                };
                self.phase = Phase::Waiting {
                    until: now + self.contention_wait() + extra,
                };
                None
            }
            Phase::Waiting { until } => {
                if now < until {
                    return None;
                }
                if self.leader.is_none() {
                    self.phase = Phase::ReadingCached { since: now };
                    return Some(ElectionStep::ReadCached);
                }
                self.phase = Phase::Reading { since: now };
                Some(ElectionStep::ReadObject)
            }
            Phase::ReadingCached { since }
            | Phase::Reading { since }
            | Phase::Claiming { since } => {
                if now.since(since) >= STORE_CALL_TIMEOUT {
                    self.retry_later(now);
                }
                None
            }
        }
    }

    /// The store's caches named no leader that can be followed. Returns the next step: the read of
    /// the object itself.
    pub fn no_cached_leader(&mut self, now: Time) -> Option<ElectionStep> {
        if !matches!(self.phase, Phase::ReadingCached { .. }) {
            return None;
        }
        self.phase = Phase::Reading { since: now };
        Some(ElectionStep::ReadObject)
    }

    /// The object was read; `named` is its leader, if the object exists. Returns the claim to make,
    /// if any.
    pub fn object_read(
        &mut self,
        now: Time,
        named: Option<&LeaderReference>,
    ) -> Option<ElectionStep> {
        if !matches!(self.phase, Phase::Reading { .. }) {
            if let Some(named) = named {
                self.observe_leader(now, named);
            }
            return None;
        }
        if let Some(named) = named
            && self.observe_leader(now, named)
        {
            return None;
        }
        self.phase = Phase::Claiming { since: now };
        Some(ElectionStep::Claim)
    }

    /// The node begins to replace its own object, which is no longer valid.
    pub fn begin_claim(&mut self, now: Time) {
        self.phase = Phase::Claiming { since: now };
    }

    /// The object couldn't be read, or a claim had no clear result: waits before the next read.
    pub fn retry_later(&mut self, now: Time) {
        if matches!(
            self.phase,
            Phase::ReadingCached { .. } | Phase::Reading { .. } | Phase::Claiming { .. }
        ) {
            let mean = self.span(MIN_RETRY_DELAY, RETRY_DELAY_PER_NODE);
            let pause = mean / 2 + self.random_part(mean);
            self.phase = Phase::Waiting { until: now + pause };
        }
    }

    /// A random wait, so that nodes contend one after the other in an order that differs each time.
    fn contention_wait(&mut self) -> Duration {
        let span = self.span(MIN_CONTENTION_SPAN, CONTENTION_SPAN_PER_NODE);
        self.random_part(span) + self.contention_delay
    }

    /// A span in proportion to the number of nodes: `per_node` for each, at least `shortest` and at
    /// most [`MAX_DELAY_SPAN`].
    fn span(&self, shortest: Duration, per_node: Duration) -> Duration {
        let nodes = self.peers.max(self.node_count);
        per_node
            .saturating_mul(nodes)
            .clamp(shortest, MAX_DELAY_SPAN)
    }

    /// A pseudo-random part of a span that differs by process and each time (mixed as in
    /// SplitMix64).
    fn random_part(&mut self, span: Duration) -> Duration {
        self.waits += 1;
        let mixed = (self.life.0 ^ self.waits.wrapping_mul(0x9E37_79B9_7F4A_7C15))
            .wrapping_mul(0xD6E8_FEB8_6659_FD93);
        span.mul_f64((mixed >> 32) as f64 / f64::from(u32::MAX))
    }
}
