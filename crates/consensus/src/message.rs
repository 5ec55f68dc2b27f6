//! Messages between replicas. Loss, repetition and reordering are tolerated.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wingspar_world::{GroupId, MonotonicTime, NodeId};

use crate::{Entry, EntryId, LogPosition, Membership};

/// A message with what every receiver checks before it looks inside.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message<C, P> {
    /// The group.
    pub group: GroupId,
    /// The group's generation.
    pub generation: u32,
    /// Where the generation's log began; `None` from a learner that knows nothing yet.
    pub origin: Option<LogPosition>,
    /// The process meant, so that a later incarnation at the same address refuses it.
    pub to: NodeId,
    /// The sender's term.
    pub term: u64,
    /// Where the sender's membership stands in its log.
    pub membership_at: EntryId,
    /// The content.
    pub body: Body<C, P>,
}

/// Content of a message. `sent_at` is a time of the sender's clock that the answer hands back in
/// `echo`; nobody else reads it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body<C, P> {
    /// Would you vote for me in `next_term`? Binds nobody.
    PreVote {
        /// The term the sender would stand in.
        next_term: u64,
        /// Last entry of the sender's log.
        last: EntryId,
    },
    /// Answer to a pre-vote.
    PreVoteResponse {
        /// The term asked about.
        next_term: u64,
        /// Whether the sender would vote for the asker.
        granted: bool,
    },
    /// Vote for me in this message's term.
    Vote {
        /// Last entry of the sender's log.
        last: EntryId,
        /// The leader of the term before gave up its lease and told the sender to stand.
        transfer: bool,
    },
    /// Answer to a vote request.
    VoteResponse {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries of the leader's log; none in a probe.
    Append {
        /// The entry right before.
        previous: EntryId,
        /// Entries in order without a gap.
        entries: Vec<Entry<C>>,
        /// The leader's commit index.
        commit: u64,
        /// Send time by the leader's clock.
        sent_at: MonotonicTime,
    },
    /// Answer to `Append` and `Snapshot`.
    AppendResponse {
        /// What became of the entries.
        outcome: AppendOutcome,
        /// `sent_at` of the message answered.
        echo: MonotonicTime,
    },
    /// The leader lives. Small, so that it fits a datagram.
    Heartbeat {
        /// Commit index, no further than what the receiver is known to hold.
        commit: u64,
        /// Send time by the leader's clock.
        sent_at: MonotonicTime,
    },
    /// Answer to `Heartbeat`, and to any leader's message of an earlier term.
    HeartbeatResponse {
        /// `sent_at` of the message answered.
        echo: MonotonicTime,
    },
    /// The state in place of entries no longer in the leader's log.
    Snapshot {
        /// The state.
        image: SnapshotImage<P>,
        /// Send time by the leader's clock.
        sent_at: MonotonicTime,
    },
    /// The sender gave up its lease and leadership of this term: stand for election at once.
    TimeoutNow,
    /// The committed membership excludes the receiver.
    NotMember {
        /// Where that membership stands in the log.
        excluded_at: EntryId,
    },
}

/// What became of entries sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The receiver's log equals the leader's up to this index.
    Accepted {
        /// The index.
        matched: u64,
    },
    /// The entry before those sent is missing or differs.
    Rejected {
        /// Index of that entry.
        previous_index: u64,
        /// Highest index that may still be equal.
        hint: u64,
    },
}

/// The state machine as of one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SnapshotImage<P> {
    /// The last entry applied.
    pub last: EntryId,
    /// The membership in force there.
    pub membership: Membership,
    /// Where that membership stands in the log.
    pub membership_at: EntryId,
    /// The state; shared, because several learners may be sent the same.
    pub state: Arc<P>,
}
