//! What routers and owners tell each other. Names of fields are short: a message goes out for each request.

use serde::{Deserialize, Serialize};

use crate::Limit;

/// Names the time for which a process owns a shard; another for each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenureId(pub u64);

/// Tokens whose requests haven't run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Returned {
    /// The owner's tenure in which they were granted.
    #[serde(rename = "o")]
    pub tenure: TenureId,
    /// When, on its clock, in milliseconds.
    #[serde(rename = "t")]
    pub granted_at_ms: u64,
    /// How many.
    #[serde(rename = "n")]
    pub tokens: u16,
}

/// A router asks the owner of a tenant's shard for tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Alone of its kind among all asks of all processes; the same when the ask is sent again.
    #[serde(rename = "n")]
    pub number: u64,
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: String,
    /// Tokens wanted, one a request.
    #[serde(rename = "w")]
    pub wanted: u16,
    /// The tenant's limit, as the router knows it: of those that routers tell, the latest is in force.
    #[serde(rename = "l")]
    pub limit: Limit,
    /// Tokens that come back.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub returned: Vec<Returned>,
}

/// What an owner has decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Tokens granted.
    #[serde(rename = "g")]
    pub granted: u16,
    /// When the first request that got none may come back, in milliseconds from now.
    #[serde(rename = "a")]
    pub retry_after_ms: u32,
    /// The owner's tenure.
    #[serde(rename = "o")]
    pub tenure: TenureId,
    /// When it decided, on its clock, in milliseconds.
    #[serde(rename = "t")]
    pub decided_at_ms: u64,
    /// Whether tokens may soon be wanting, so that each that isn't used should come back.
    #[serde(rename = "s")]
    pub scarce: bool,
}

/// The answer to an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The ask's number.
    #[serde(rename = "n")]
    pub number: u64,
    /// What was decided; nothing if the process that was asked doesn't own the shard.
    #[serde(rename = "d")]
    pub decision: Option<Decision>,
}

/// A datagram between a router and an owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A router asks.
    #[serde(rename = "q")]
    Ask(Ask),
    /// An owner answers.
    #[serde(rename = "a")]
    Answer(Answer),
}
