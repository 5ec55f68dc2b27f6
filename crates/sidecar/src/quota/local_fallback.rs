//! Local admission while no owner answers.

use std::time::Duration;

use wingspar_quota::{NodePosition, Shard};

use super::{OverQuota, RefusedBy, TenantLimit, TokenSource, quota_time, token_requests};
use crate::node::Node;

/// Expected time from an owner's last answer until another owner has replaced it: the remainder of its lease, and the
/// time until the other nodes have received the table with the new owner.
const EXPECTED_FAILOVER_TIME: Duration = Duration::from_millis(3_000);
/// Minimum retry delay of a request refused because no owner answers; several asks have failed by
/// then.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Admits a request if some of the node's own share is left.
pub fn admit(node: &Node, subject: &TenantLimit) -> Result<TokenSource, OverQuota> {
    let now = quota_time(node);
    let admitted = place(node).is_some_and(|place| {
        let mut fallback = node.quotas.fallback.borrow_mut();
        fallback.admit(now, place, &subject.tenant, &subject.limit)
    });
    if admitted {
        Ok(TokenSource::Fallback(now))
    } else {
        let silent_for = token_requests::silent_for(node, Shard::of(&subject.tenant));
        Err(OverQuota {
            retry_after: EXPECTED_FAILOVER_TIME
                .saturating_sub(silent_for)
                .max(MIN_RETRY_AFTER),
            refused_by: RefusedBy::Fallback,
        })
    }
}

/// Returns the node's position among all known nodes, or `None` if no leader's table has named the
/// node yet.
fn place(node: &Node) -> Option<NodePosition> {
    node.quotas.known_nodes.borrow().place(&node.name)
}
