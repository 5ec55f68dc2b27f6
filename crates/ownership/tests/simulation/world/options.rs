//! Options and results of a simulation run.

use wingspar_ownership::{Delivery, Timing};

/// Which faults are injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultPlan {
    /// Random faults at random times.
    Random,
    /// One node that isn't the leader loses power permanently, with its target.
    OneOwnerLost,
    /// The machines of the leader and of another owner lose power permanently, with their targets.
    LeaderAndOwnerLost,
    /// The leader's process is killed and restarts later.
    LeaderLost,
    /// The leader's machine is lost permanently, and the store is unreachable for a time.
    LeaderGoneAndStoreDown {
        /// Duration of the store outage, in milliseconds.
        for_ms: u64,
    },
    /// The store is unreachable for a time.
    StoreDown {
        /// Duration of the outage, in milliseconds.
        for_ms: u64,
    },
    /// All processes are killed at once; the targets keep running.
    AllKilled,
    /// Like `AllKilled`, but one machine that isn't the leader's never comes back.
    AllKilledOneGone,
}

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Timing of all nodes.
    pub timing: Timing,
    /// Which faults are injected.
    pub faults: FaultPlan,
    /// Disables a mechanism: agents forward requests whether or not their lease has ended.
    pub agents_ignore_leases: bool,
    /// Disables a mechanism: a new leader doesn't get the list of nodes to wait for.
    pub leaders_dont_wait: bool,
    /// Nodes register themselves, like those of an earlier version.
    pub nodes_register_themselves: bool,
    /// Disables a mechanism: the store removes a registration whatever its revision.
    pub removals_ignore_revisions: bool,
    /// Disables a mechanism: the store acknowledges registry pages without keeping them.
    pub lose_registry_pages: bool,
    /// Maximum clock drift, as a fraction of the rate.
    pub drift: f64,
    /// Fraction of store calls that are lost, and also the fraction that are carried out late.
    pub store_fault_rate: f64,
    /// Whether the store is repeatedly restored from a copy that is some seconds old.
    pub store_restores: bool,
    /// Disables a mechanism: the store doesn't announce that it was restored from a copy.
    pub hide_store_eras: bool,
    /// Fraction of orders to targets that get no answer and are carried out seconds later; also the
    /// fraction of heartbeats that arrive late, and of heartbeat responses that are lost.
    pub late_order_rate: f64,
    /// Whether nodes learn of the lives of their targets only by heartbeats, many of which are lost
    /// or late, and by health checks. Targets start again more often and more quickly then.
    pub late_heartbeats: bool,
    /// Disables a mechanism: heartbeats of lives that the node doesn't know are believed without a
    /// health check.
    pub believe_unknown_lives: bool,
    /// Disables a mechanism: nodes take keys that they granted in the belief of an earlier life as
    /// released, without an order to the target.
    pub new_lives_hold_nothing: bool,
    /// Number of machines, counted from the first, whose targets belong to a service without key
    /// owners.
    pub unkeyed_nodes: usize,
    /// How keys are assigned to targets.
    pub delivery: Delivery,
    /// Disables a mechanism: heartbeats that arrive after a later one are processed.
    pub process_late_heartbeats: bool,
    /// Disables a mechanism: a node's clock stops while its machine is suspended.
    pub clocks_stop_while_suspended: bool,
    /// Whether the operator repeatedly changes the zones in which keys may be owned.
    pub owner_zones_change: bool,
    /// Whether tenants have quotas, so that shards need owners.
    pub has_quotas: bool,
    /// Disables a mechanism: owners of shards don't check their lease before they grant tokens.
    pub shards_ignore_leases: bool,
}

impl Options {
    /// Returns options with no faults other than this plan and the loss and delay of datagrams.
    pub fn only(faults: FaultPlan) -> Self {
        Self {
            faults,
            store_fault_rate: 0.0,
            late_order_rate: 0.0,
            ..Self::default()
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            timing: Timing {
                large_fleet_size: 0,
                ..Timing::default()
            },
            faults: FaultPlan::Random,
            agents_ignore_leases: false,
            leaders_dont_wait: false,
            nodes_register_themselves: false,
            removals_ignore_revisions: false,
            lose_registry_pages: false,
            drift: 0.01,
            store_fault_rate: 0.03,
            store_restores: false,
            hide_store_eras: false,
            late_order_rate: 0.02,
            late_heartbeats: false,
            believe_unknown_lives: false,
            new_lives_hold_nothing: false,
            unkeyed_nodes: 0,
            delivery: Delivery::Calls,
            process_late_heartbeats: false,
            clocks_stop_while_suspended: false,
            owner_zones_change: false,
            has_quotas: false,
            shards_ignore_leases: false,
        }
    }
}

/// Results of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Summary {
    /// Longest time that any key went unserved after the start, in milliseconds.
    pub longest_unserved_ms: u64,
    /// Longest time that a key went unserved that was not owned by the lost node, in milliseconds.
    pub longest_unserved_elsewhere_ms: u64,
}

/// Invariants that the checker verifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// A key or a quota shard has at most one owner.
    OneOwner,
    /// The store holds the registration of each process that counts as registered.
    Registered,
    /// Every key and shard has an owner again after the faults.
    ServedAgain,
}

/// The first violation in a run.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time of the violation, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// What was observed.
    pub detail: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "at {} ms: {}", self.at_ms, self.detail)
    }
}
