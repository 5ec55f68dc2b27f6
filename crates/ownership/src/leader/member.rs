//! The leader's view of a node.

use crate::{Incarnation, MemberView, Renewal, Time};

/// Most earlier processes of a node whose late renewals are recognized.
const MAX_PAST_LIVES: usize = 16;

/// A node that renews with the leader.
#[derive(Debug, Clone)]
pub struct Member {
    /// The incarnation of the node's process.
    pub life: Incarnation,
    /// What the table shows of the node.
    pub view: MemberView,
    /// When the node's lease expires, on the leader's clock.
    pub lease_until: Time,
    /// Whether the target holds nothing that an earlier process of the node granted.
    pub clean: bool,
    /// Number of the node's assignment; rises with each change.
    pub(super) assignment: u64,
    /// Number of the assignment that was last sent to the node, and when the node was last called
    /// about a newer one.
    pub(super) told: (u64, Time),
    /// When the leader first had proof that the node's registration is in the store; `None` if it
    /// has none.
    pub(super) registered_at: Option<Time>,
    /// The service for which the store has the node registered.
    pub(super) registered_for: Option<String>,
    /// Whether the node's last call to the store succeeded.
    pub store_reachable: bool,
    /// Capacity of the machine's link in megabits per second; `None` if it isn't known.
    pub link_mbps: Option<f64>,
    /// Version of the node's configuration.
    pub configuration_version: u64,
    /// When the node's last renewal arrived, on the leader's clock.
    pub renewed_at: Time,
    /// The incarnations of the node's earlier processes, the last one last. Their late renewals are
    /// ignored.
    pub(super) past_lives: Vec<Incarnation>,
    /// A process that counts as an earlier one, and the first assignment that it can have applied
    /// only if it is still running.
    pub(super) challenged: Option<(Incarnation, u64)>,
    /// When the first renewal of the current process arrived.
    pub(super) life_seen_at: Time,
    /// Since when the node has reported no target; `None` if it reports one.
    pub(super) no_target_since: Option<Time>,
    /// When the node sent its newest renewal, on its own clock.
    pub(super) newest_sent_at: Time,
}

impl Member {
    /// Whether the node's target may hold keys of a service.
    pub(super) fn may_hold_keys_of(&self, service: &str) -> bool {
        let registered = self.registered_for.as_deref();
        let target = self.view.target.as_ref();
        registered.is_none_or(|registered| registered == service)
            || target.is_none_or(|target| target.service == service)
    }

    /// Whether a newer renewal of the same process has overtaken this one.
    pub(super) fn is_overtaken(&self, renewal: &Renewal) -> bool {
        renewal.life == self.life && renewal.sent_at < self.newest_sent_at
    }

    /// Whether a renewal is one of a process that counts as an earlier one. It doesn't if the
    /// renewal shows that the process is still running: then a late renewal of another process has
    /// displaced it.
    pub(super) fn is_past(&self, renewal: &Renewal) -> bool {
        let is_running = self
            .challenged
            .is_some_and(|(life, first)| life == renewal.life && renewal.applied >= first);
        self.past_lives.contains(&renewal.life) && !is_running
    }

    /// Records that a new process of the node has sent its first renewal.
    pub(super) fn begin_life(&mut self, now: Time, life: Incarnation) {
        if self.past_lives.len() >= MAX_PAST_LIVES {
            self.past_lives.remove(0);
        }
        self.past_lives.retain(|past| *past != life);
        self.past_lives.push(self.life);
        self.challenged = None;
        self.life = life;
        self.life_seen_at = now;
    }
}
