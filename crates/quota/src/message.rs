//! Messages between routers and shard owners. The field names on the wire are short, because a
//! message is sent for each request.

use serde::{Deserialize, Serialize};

use crate::Limit;

/// Identifies one uninterrupted ownership of a shard by a process. Tokens granted under another id
/// are not credited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OwnershipId(pub u64);

/// Tokens returned to the owner because their requests did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnedTokens {
    /// The ownership under which the tokens were granted.
    #[serde(rename = "o")]
    pub ownership_id: OwnershipId,
    /// Time of the grant on the owner's clock, in milliseconds.
    #[serde(rename = "t")]
    pub granted_at_ms: u64,
    /// Number of tokens.
    #[serde(rename = "n")]
    pub tokens: u16,
}

/// A router's request for tokens, sent to the owner of the tenant's shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Unique among the asks of all processes. A retry carries the same number, so that the owner
    /// answers it without granting again.
    #[serde(rename = "n")]
    pub number: u64,
    /// Name of the tenant.
    #[serde(rename = "t")]
    pub tenant: String,
    /// Number of tokens wanted, one per request; 0 if the ask only returns tokens.
    #[serde(rename = "w")]
    pub wanted: u16,
    /// The tenant's limit as known to the router. The owner applies the one with the latest
    /// version.
    #[serde(rename = "l")]
    pub limit: Limit,
    /// Tokens returned with this ask.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub returned: Vec<ReturnedTokens>,
}

/// An owner's decision on an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Number of tokens granted.
    #[serde(rename = "g")]
    pub granted: u16,
    /// Delay after which the first refused request should retry, in milliseconds; 0 if none was
    /// refused.
    #[serde(rename = "a")]
    pub retry_after_ms: u32,
    /// The ownership under which the owner decided.
    #[serde(rename = "o")]
    pub ownership_id: OwnershipId,
    /// Time of the decision on the owner's clock, in milliseconds.
    #[serde(rename = "t")]
    pub decided_at_ms: u64,
    /// Whether the bucket is running low, so that routers should return the tokens they don't use.
    #[serde(rename = "s")]
    pub scarce: bool,
}

/// The response to an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Number of the ask.
    #[serde(rename = "n")]
    pub number: u64,
    /// The decision; `None` if the receiver of the ask doesn't own the shard.
    #[serde(rename = "d")]
    pub decision: Option<Decision>,
}

/// A datagram between a router and an owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a router to an owner.
    #[serde(rename = "q")]
    Ask(Ask),
    /// From an owner to a router.
    #[serde(rename = "a")]
    Answer(Answer),
}
