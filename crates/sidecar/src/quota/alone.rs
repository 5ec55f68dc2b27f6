//! Requests that the node decides on alone, because no owner answers.

use std::time::Duration;

use wingspar_quota::Place;

use super::{OverQuota, RefusedBy, Source, Subject, time};
use crate::node::Node;

/// When a caller may come back that was refused because no owner answered: a lost owner is replaced within a few
/// seconds, one that moves within a fraction of one.
const COME_BACK: Duration = Duration::from_millis(400);

/// Admits a request if the node's share has any left.
pub fn admit(node: &Node, subject: &Subject) -> Result<Source, OverQuota> {
    let now = time(node);
    let admitted = place(node).is_some_and(|place| {
        let mut fallback = node.quotas.fallback.borrow_mut();
        fallback.admit(now, place, &subject.tenant, &subject.limit)
    });
    if admitted {
        Ok(Source::Alone(now))
    } else {
        Err(OverQuota {
            retry_after: COME_BACK,
            refused_by: RefusedBy::Alone,
        })
    }
}

/// The node's place among all; nothing if the leader doesn't name it.
fn place(node: &Node) -> Option<Place> {
    let directory = node.directory.borrow();
    let members = &directory.table().members;
    let most_nodes = &node.quotas.most_nodes;
    most_nodes.set(most_nodes.get().max(members.len()));
    let position = members.iter().position(|member| member.node == node.name)?;
    let nodes = most_nodes.get();
    Some(Place { position, nodes })
}
