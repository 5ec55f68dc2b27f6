//! Lease renewal: the one small message that every node sends all the time.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wingspar_world::{
    ConfigVersion, GroupId, KeyHash, Machine, MonotonicTime, NodeId, SliceRange, TargetName,
};

use crate::{SessionId, StateVersion};

/// Node to control leader: keep my session; here is what I have and how loaded I am.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// The group addressed.
    pub group: GroupId,
    /// The sender's process.
    pub node: NodeId,
    /// Where the sender stands.
    pub machine: Machine,
    /// The session to renew; `None` asks for a new one.
    pub session: Option<SessionId>,
    /// When this was sent on the sender's clock; returned in the reply. The lease counts from here.
    pub sent_at: MonotonicTime,
    /// Configuration version in force at the sender.
    pub config: ConfigVersion,
    /// Version of the grant list held.
    pub grants: StateVersion,
    /// Version of the slice table held, for routers.
    pub table: Option<StateVersion>,
    /// The node is stopping: take its slices away in order. Holding none and running nothing it
    /// ends its session by `finished`.
    pub leaving: bool,
    /// The node has nothing left to do and gives its session up.
    pub finished: bool,
    /// Load of each target beside this agent.
    pub targets: Vec<TargetLoad>,
}

/// Load of one target as the agent itself observed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetName,
    /// Requests running now.
    pub in_flight: u32,
    /// Requests waiting now.
    pub queued: u32,
    /// Requests started a second, over the last renewal intervals.
    pub requests_per_second: f32,
    /// The most loaded slices.
    pub slices: Vec<SliceLoad>,
    /// The most requested keys.
    pub hot_keys: Vec<HotKey>,
    /// The back end answers, as far as the agent observed.
    pub healthy: bool,
}

/// Load of one slice.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SliceLoad {
    /// The slice.
    pub range: SliceRange,
    /// Requests started a second.
    pub requests_per_second: f32,
}

/// A key that stands out.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct HotKey {
    /// The key's place on the ring.
    pub key: KeyHash,
    /// Requests started a second.
    pub requests_per_second: f32,
}

/// Control replica to node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RenewalReply {
    /// The group that answers.
    pub group: GroupId,
    /// `sent_at` of the renewal answered.
    pub sent_at: MonotonicTime,
    /// The answer.
    pub verdict: RenewalVerdict,
}

/// Answer to a renewal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RenewalVerdict {
    /// The session goes on.
    Renewed {
        /// The session.
        session: SessionId,
        /// Length of the lease in milliseconds, counted from `sent_at`.
        lease_ms: u64,
        /// Newest configuration; pull when behind.
        config: ConfigVersion,
        /// Newest grant list of this agent; pull when behind.
        grants: StateVersion,
        /// Newest slice table; routers pull when behind.
        table: StateVersion,
    },
    /// The session is unknown or over: drop all grants and register anew.
    SessionOver,
    /// The registration waits for a majority; ask again.
    Registering,
    /// The node did not apply an accepted configuration in time; it gets no lease until it has.
    ConfigurationBehind {
        /// The version it must have.
        required: ConfigVersion,
    },
    /// Somebody else leads.
    NotLeader {
        /// Internal-protocol address of the leader, if known.
        leader: Option<SocketAddr>,
    },
}

/// Node to control leader: send what I lack.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Pull {
    /// The configuration.
    Configuration {
        /// Version held.
        have: ConfigVersion,
    },
    /// The agent's grant list.
    Grants {
        /// The agent.
        node: NodeId,
        /// Its session.
        session: SessionId,
    },
    /// The slice table.
    Table {
        /// Version held; the default asks for all.
        have: StateVersion,
    },
}

impl TargetLoad {
    /// Load of a target that does nothing.
    pub fn idle(target: TargetName) -> Self {
        Self {
            target,
            in_flight: 0,
            queued: 0,
            requests_per_second: 0.0,
            slices: Vec::new(),
            hot_keys: Vec::new(),
            healthy: true,
        }
    }
}
