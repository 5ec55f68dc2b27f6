//! Settings of a control candidate.

use std::time::Duration;

use wingspar_consensus::Config;
use wingspar_world::GroupId;

/// Settings of a control candidate; all candidates of a group must use the same.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlSettings {
    /// The group this candidate may become a member of.
    pub group: GroupId,
    /// Voting members the group is to have.
    pub replicas: usize,
    /// Length of a session's lease, counted by the node from the sending of its renewal.
    pub lease: Duration,
    /// How far a node's clock and the leader's may drift apart within one lease.
    pub drift: Duration,
    /// Timing and limits of the replication.
    pub consensus: Config,
    /// A node that has not applied a configuration this long after its acceptance gets no lease.
    pub configuration_bound: Duration,
    /// Silence after which a voter is replaced while a majority lives.
    pub replace_after: Duration,
    /// Time between two announcements of presence.
    pub presence_interval: Duration,
    /// Time between two rounds of the leader's work that nothing else starts.
    pub tick_interval: Duration,
    /// Time between two writes of the snapshot to the store, when something changed.
    pub snapshot_interval: Duration,
    /// Pause before the store is asked again after it failed or had nothing new.
    pub store_retry: Duration,
    /// Time without an answer after which a store request counts as lost.
    pub store_timeout: Duration,
    /// The same for a watch, which the caller may hold for a few seconds.
    pub watch_timeout: Duration,
    /// Silence of every leader after which the store is asked whether the group lives elsewhere.
    pub leaderless_after: Duration,
    /// Time after which an operator's write that can't be settled is answered `Unknown`.
    pub write_deadline: Duration,
    /// Hand-overs that one session may be giving up at once.
    pub hand_overs_per_source: usize,
    /// Time between two rounds of placement for load.
    pub placement_interval: Duration,
    /// Shortest time between two rounds of publishing to nodes.
    pub publish_interval: Duration,
    /// Time after which something pushed and not yet confirmed is pushed again.
    pub push_retry: Duration,
    /// Longest time a planned stop of a member waits for leadership and membership to move on.
    pub leave_deadline: Duration,
}

impl ControlSettings {
    /// Default settings for a group.
    pub fn new(group: GroupId) -> Self {
        Self {
            group,
            replicas: 3,
            lease: Duration::from_millis(1_500),
            drift: Duration::from_millis(100),
            consensus: Config::default(),
            configuration_bound: Duration::from_secs(5),
            replace_after: Duration::from_secs(10),
            presence_interval: Duration::from_millis(250),
            tick_interval: Duration::from_millis(50),
            snapshot_interval: Duration::from_secs(1),
            store_retry: Duration::from_millis(200),
            store_timeout: Duration::from_secs(6),
            watch_timeout: Duration::from_secs(8),
            leaderless_after: Duration::from_secs(3),
            write_deadline: Duration::from_secs(10),
            hand_overs_per_source: 16,
            placement_interval: Duration::from_secs(1),
            publish_interval: Duration::from_millis(10),
            push_retry: Duration::from_millis(300),
            leave_deadline: Duration::from_secs(10),
        }
    }

    /// Time after the last answered renewal at which a session's lease is over for certain.
    pub fn lease_with_drift(&self) -> Duration {
        self.lease + self.drift
    }

    /// Store key of the group's object.
    pub fn group_key(&self) -> String {
        format!("groups/{}", self.group)
    }

    /// Store key of the group's snapshot.
    pub fn snapshot_key(&self) -> String {
        format!("groups/{}/snapshot", self.group)
    }
}
