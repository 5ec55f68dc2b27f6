//! Messages among control candidates and replicas.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wingspar_world::{GroupId, Machine, NodeId};

/// Control candidate to control candidate: who I am and what I belong to. Sent a few times a
/// second to every known candidate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Presence {
    /// The group.
    pub group: GroupId,
    /// The sender's process.
    pub node: NodeId,
    /// Where it stands.
    pub machine: Machine,
    /// What it is in the group.
    pub role: PresenceRole,
    /// Generation it belongs to; zero when it knows of no group.
    pub generation: u32,
    /// Leader it knows of.
    pub leader: Option<NodeId>,
    /// The process is stopping and wants to be replaced.
    pub leaving: bool,
    /// Random number of this sender, to be echoed by the receiver.
    pub nonce: u64,
    /// Nonce last received from the process at the address this is sent to: proves that the sender
    /// was running after that process had sent it. Zero for none.
    pub echo: u64,
}

/// Part that a control candidate plays in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PresenceRole {
    /// Ready to become a member.
    Spare,
    /// Receives the log without a vote.
    Learner,
    /// Voting member.
    Voter,
}

/// Replica to replica: a consensus message, encoded by the replicas' own codec.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Replication {
    /// The group.
    pub group: GroupId,
    /// The sender.
    pub from: NodeId,
    /// CBOR of the consensus message.
    pub payload: Bytes,
}
