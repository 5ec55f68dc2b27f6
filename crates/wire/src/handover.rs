//! Planned hand-over of a slice between agents.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wingspar_world::{Fence, GroupId, NodeId, ServiceName, SliceRange};

use crate::{SessionId, StateVersion};

/// Agent to control leader: the slice was given up as asked; nothing of it runs here any more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Released {
    /// The group.
    pub group: GroupId,
    /// The agent that gave it up.
    pub node: NodeId,
    /// Its session.
    pub session: SessionId,
    /// Which hand-over this answers.
    pub hand_over: StateVersion,
    /// Service of the slice.
    pub service: ServiceName,
    /// The slice.
    pub range: SliceRange,
    /// Fence under which it was held.
    pub fence: Fence,
    /// The successor has all remembered requests.
    pub remembered_moved: bool,
}

/// Agent to agent: remembered requests of a slice that changes hands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Remember {
    /// The agent that gives the slice up.
    pub node: NodeId,
    /// Which hand-over this belongs to.
    pub hand_over: StateVersion,
    /// Service of the slice.
    pub service: ServiceName,
    /// The slice.
    pub range: SliceRange,
    /// Fence under which it was held.
    pub fence: Fence,
    /// Which part this is, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Remaining guard window after an earlier unplanned takeover, in milliseconds: during it an
    /// attempt that can't be told from a repeat is answered `unknown`.
    pub guard_remaining_ms: u64,
    /// The requests.
    pub requests: Vec<RememberedRequest>,
}

/// Agent to agent: one part was taken in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RememberReply {
    /// Which hand-over.
    pub hand_over: StateVersion,
    /// Service of the slice.
    pub service: ServiceName,
    /// The slice.
    pub range: SliceRange,
    /// Which part.
    pub part: u32,
}

/// One request that must not run again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RememberedRequest {
    /// 128-bit hash of the `Idempotency-Key`.
    pub id: [u64; 2],
    /// The key it was for.
    pub key: wingspar_world::KeyHash,
    /// Age in milliseconds when this was sent.
    pub age_ms: u64,
    /// How it ended.
    pub outcome: RememberedOutcome,
}

/// How a remembered request ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RememberedOutcome {
    /// It ran; the answer is kept as far as it is small.
    Ran {
        /// HTTP status of the answer.
        status: u16,
        /// `content-type` of the answer, if it had one.
        content_type: Option<String>,
        /// The answer's body; `None` when too large to keep.
        body: Option<Bytes>,
    },
    /// It started and nobody knows how it ended.
    Unknown,
}
