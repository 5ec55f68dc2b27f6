//! Running totals of a control candidate, for telemetry.

/// Totals since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ControlCounters {
    /// Renewals received.
    pub renewals: u64,
    /// Renewals answered with a lease.
    pub renewed: u64,
    /// Renewals refused because the session is over.
    pub session_over: u64,
    /// Renewals refused because the node's configuration is behind.
    pub configuration_behind: u64,
    /// Renewals that reached a replica without a valid leader lease.
    pub not_leader: u64,
    /// Sessions that ran out.
    pub sessions_lost: u64,
    /// Sessions given up by their nodes.
    pub sessions_finished: u64,
    /// Slices given an owner after a loss or at first.
    pub slices_assigned: u64,
    /// Hand-overs begun.
    pub hand_overs_begun: u64,
    /// Hand-overs completed.
    pub hand_overs_completed: u64,
    /// Hand-overs called off.
    pub hand_overs_cancelled: u64,
    /// Grant lists sent.
    pub grant_lists_sent: u64,
    /// Table updates sent, parts counted singly.
    pub table_updates_sent: u64,
    /// Configurations sent.
    pub configurations_sent: u64,
    /// Configuration changes applied.
    pub configuration_changes: u64,
    /// Store requests sent.
    pub store_requests: u64,
    /// Store answers that were unavailable or unknown.
    pub store_failures: u64,
    /// Snapshots written to the store.
    pub snapshots_written: u64,
    /// Messages that could not be read or were meant for another group.
    pub malformed: u64,
    /// Proposals that the replication refused.
    pub proposals_refused: u64,
    /// Operator requests received.
    pub operator_requests: u64,
}

impl ControlCounters {
    /// Names and values, in a fixed order.
    pub fn entries(&self) -> impl Iterator<Item = (&'static str, u64)> + use<> {
        [
            ("renewals", self.renewals),
            ("renewed", self.renewed),
            ("session_over", self.session_over),
            ("configuration_behind", self.configuration_behind),
            ("not_leader", self.not_leader),
            ("sessions_lost", self.sessions_lost),
            ("sessions_finished", self.sessions_finished),
            ("slices_assigned", self.slices_assigned),
            ("hand_overs_begun", self.hand_overs_begun),
            ("hand_overs_completed", self.hand_overs_completed),
            ("hand_overs_cancelled", self.hand_overs_cancelled),
            ("grant_lists_sent", self.grant_lists_sent),
            ("table_updates_sent", self.table_updates_sent),
            ("configurations_sent", self.configurations_sent),
            ("configuration_changes", self.configuration_changes),
            ("store_requests", self.store_requests),
            ("store_failures", self.store_failures),
            ("snapshots_written", self.snapshots_written),
            ("malformed", self.malformed),
            ("proposals_refused", self.proposals_refused),
            ("operator_requests", self.operator_requests),
        ]
        .into_iter()
    }
}
