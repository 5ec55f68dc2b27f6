//! What only a leader keeps, and what it does at each turn.

use std::collections::BTreeMap;
use std::time::Duration;

use wingspar_wire::{SessionId, StateVersion, TargetLoad};
use wingspar_world::{ConfigVersion, KeyHash, MonotonicTime, NodeId, ServiceName};

use crate::config_watch::ConfigWatch;
use crate::membership::MemberPlan;
use crate::moves::PendingMove;
use crate::placement::PlacementMemory;
use crate::snapshot::SnapshotWriter;
use crate::writes::PendingWrite;
use crate::{Control, Output};

/// Time between two searches for slices to assign or hand over while nothing changes.
const SCAN_INTERVAL: Duration = Duration::from_millis(250);

/// Soft state of a leader; the next one begins anew.
#[derive(Debug)]
pub(crate) struct Leading {
    pub(crate) sessions: BTreeMap<SessionId, SessionView>,
    /// Log index of the registration proposed for a node.
    pub(crate) registering: BTreeMap<NodeId, u64>,
    /// Assignments and hand-overs wait until this log index is applied, so that they are decided
    /// on a state that holds the ones before.
    pub(crate) barrier: u64,
    /// Log index of the completion proposed for a slice's hand-over.
    pub(crate) completing: BTreeMap<(ServiceName, KeyHash), u64>,
    pub(crate) watch: ConfigWatch,
    pub(crate) writes: BTreeMap<u64, PendingWrite>,
    pub(crate) last_write: u64,
    /// Writes to be asked again at a time.
    pub(crate) paused_writes: BTreeMap<u64, MonotonicTime>,
    pub(crate) moves: Vec<PendingMove>,
    pub(crate) placement: PlacementMemory,
    pub(crate) members: MemberPlan,
    pub(crate) snapshot: SnapshotWriter,
    /// Version of the state at the last round of decisions.
    pub(crate) decided_at: StateVersion,
    /// When to look through all slices although nothing changed.
    next_scan: MonotonicTime,
    pub(crate) published_at: MonotonicTime,
    pub(crate) published: StateVersion,
    /// Versions of the configuration with the time from acceptance until in force.
    pub(crate) in_force: Vec<(ConfigVersion, Duration)>,
    /// Version when the leader lease was first held, with everything committed before applied: the
    /// leader before may have reported it in force.
    pub(crate) configuration_floor: Option<ConfigVersion>,
}

/// What a leader knows of one session.
#[derive(Debug)]
pub(crate) struct SessionView {
    /// When a renewal was last answered with a lease, or the latest time it may have been.
    pub(crate) answered_at: MonotonicTime,
    /// Whether this leader has heard of the session.
    pub(crate) heard: bool,
    /// Send time of the newest renewal, by the node's clock.
    pub(crate) sent_at: MonotonicTime,
    pub(crate) config: ConfigVersion,
    pub(crate) grants: StateVersion,
    pub(crate) table: Option<StateVersion>,
    pub(crate) pushed_config: Push<ConfigVersion>,
    pub(crate) pushed_grants: Push<StateVersion>,
    pub(crate) pushed_table: Push<StateVersion>,
    /// Its end was proposed: it is never renewed again.
    pub(crate) ending: bool,
    /// It was proposed to note that the node is leaving.
    pub(crate) leaving_proposed: bool,
    pub(crate) targets: Vec<TargetLoad>,
}

/// What was last pushed to a node, and when.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Push<V> {
    pub(crate) version: V,
    pub(crate) at: MonotonicTime,
}

impl<V: Copy + Ord + Default> Push<V> {
    pub(crate) fn nothing() -> Self {
        Self {
            version: V::default(),
            at: MonotonicTime::ZERO,
        }
    }

    /// Whether `newest` is to be pushed to a node that is known to have `held`.
    pub(crate) fn is_due(&self, now: MonotonicTime, newest: V, held: V, retry: Duration) -> bool {
        held < newest && (self.version < newest || now.since(self.at) >= retry)
    }
}

impl SessionView {
    pub(crate) fn new(answered_at: MonotonicTime) -> Self {
        Self {
            answered_at,
            heard: false,
            sent_at: MonotonicTime::ZERO,
            config: ConfigVersion::default(),
            grants: StateVersion::default(),
            table: None,
            pushed_config: Push::nothing(),
            pushed_grants: Push::nothing(),
            pushed_table: Push::nothing(),
            ending: false,
            leaving_proposed: false,
            targets: Vec::new(),
        }
    }
}

impl Leading {
    pub(crate) fn new() -> Self {
        Self {
            sessions: BTreeMap::new(),
            registering: BTreeMap::new(),
            barrier: 0,
            completing: BTreeMap::new(),
            watch: ConfigWatch::default(),
            writes: BTreeMap::new(),
            last_write: 0,
            paused_writes: BTreeMap::new(),
            moves: Vec::new(),
            placement: PlacementMemory::default(),
            members: MemberPlan::default(),
            snapshot: SnapshotWriter::default(),
            decided_at: StateVersion::default(),
            next_scan: MonotonicTime::ZERO,
            published_at: MonotonicTime::ZERO,
            published: StateVersion::default(),
            in_force: Vec::new(),
            configuration_floor: None,
        }
    }
}

impl Control {
    /// One turn of the leader. Without a valid leader lease it decides nothing: another may lead.
    pub(crate) fn lead(&mut self, out: &mut Vec<Output>) {
        let due = self.now >= self.next_tick;
        if due {
            self.next_tick = self.now + self.settings.tick_interval;
        }
        if !self.holds_leader_lease() {
            return;
        }
        let configuration = self.configuration_version();
        if let Some(leading) = &mut self.leading {
            leading.configuration_floor.get_or_insert(configuration);
        }
        let version = self.state_version();
        let decided = self.leading.as_ref().map(|leading| leading.decided_at);
        let changed = decided != Some(version);
        if due || changed {
            self.sync_sessions();
            self.expire_sessions();
            self.decide_owners(changed);
            self.forget_completions();
            self.settle_writes(out);
            self.settle_moves(out);
        }
        if due {
            self.tend_placement();
            self.tend_configuration_watch(out);
            self.tend_members(out);
            self.tend_snapshot(out);
            self.note_in_force();
        }
        if let Some(leading) = &mut self.leading {
            leading.decided_at = version;
        }
        self.publish(due, out);
    }

    /// Looks through all slices when something changed, and now and then for what time brings.
    fn decide_owners(&mut self, changed: bool) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if !changed && self.now < leading.next_scan {
            return;
        }
        leading.next_scan = self.now + SCAN_INTERVAL;
        self.assign();
        self.tend_hand_overs();
    }

    pub(crate) fn state_version(&self) -> StateVersion {
        let replica = self.replica.as_ref();
        replica.map_or(StateVersion::default(), |it| it.state().version())
    }

    /// Whether what was last decided is applied, so that the state holds it.
    pub(crate) fn decisions_applied(&self) -> bool {
        let (Some(replica), Some(leading)) = (&self.replica, &self.leading) else {
            return false;
        };
        replica.applied_index() >= leading.barrier
    }
}
