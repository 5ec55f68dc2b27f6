//! Tenant quotas enforced across all nodes.
//!
//! Tenants are hashed to [`Shard`]s, and each shard is owned by one node under a lease. The owner
//! keeps a token bucket per tenant ([`Owner`]). Before a router reads the body of a request, it
//! requests a token from the owner ([`Ask`], [`Answer`]). Three other mechanisms take part:
//!
//! * Routers cache a refusal briefly, so that requests over the quota cost no message
//!   ([`RefusalCache`]).
//! * While no owner answers, each node admits an equal share of a part of the requests that the
//!   operator tolerates beyond the quota ([`FallbackLimiter`]).
//! * Tokens whose requests did not run are returned to the owner ([`ReturnedTokens`]).
//!
//! [`Tolerance`] describes how the tolerated requests are divided among these mechanisms, so that
//! their sum stays within the bound whatever fails.
//!
//! Times are durations on the clock of one process.

mod bucket;
mod fallback;
mod history;
mod known_nodes;
mod limit;
mod message;
mod owner;
mod refusal_cache;
mod shard;

pub use fallback::{FallbackLimiter, NodePosition};
pub use known_nodes::KnownNodes;
pub use limit::{Limit, Tolerance};
pub use message::{Answer, Ask, Decision, Message, OwnershipId, ReturnedTokens};
pub use owner::{Owner, Ownership, Usage};
pub use refusal_cache::RefusalCache;
pub use shard::{SHARD_COUNT, Shard};
