//! The slice table: who serves which part of each service's ring, as the control group last said.
//!
//! It is a cache. Being out of date costs a request one hop, never safety: the agent decides.

use std::collections::HashMap;
use std::time::Duration;

use wingspar_wire::{SliceEntry, SliceStatus, StateVersion, TableUpdate};
use wingspar_world::{Fence, GroupId, KeyHash, MonotonicTime, ServiceName, TargetName};

use crate::slice_map::SliceMap;

/// Number that stands for a target's name within one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetId(pub(crate) u32);

/// Who serves a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owner {
    /// Fence of the slice's newest grant.
    pub fence: Fence,
    /// Who serves it.
    pub status: OwnerStatus,
}

/// State of the slice that holds a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerStatus {
    /// The target serves it.
    Served(TargetId),
    /// It is being handed over.
    HandingOver {
        /// Owner so far.
        from: TargetId,
        /// Next owner.
        to: TargetId,
    },
    /// Nobody serves it before about this time.
    Unserved {
        /// When somebody is expected to.
        until: MonotonicTime,
    },
}

/// What became of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The table has this version now.
    Complete(StateVersion),
    /// Taken in; more parts follow.
    Partial,
    /// Nothing new in it.
    Stale,
    /// It builds on a version that the table does not have; pull from `have`.
    Gap {
        /// Version held.
        have: StateVersion,
    },
}

/// Slice tables of all services, in about 24 bytes a slice.
#[derive(Debug, Default)]
pub struct SliceTable {
    group: Option<GroupId>,
    version: StateVersion,
    services: HashMap<ServiceName, SliceMap<Cell>>,
    /// A full table that has not arrived whole yet, with the version it is going to have.
    incoming: Option<(StateVersion, HashMap<ServiceName, SliceMap<Cell>>)>,
    names: Names,
}

/// Names of targets and pairs of them, by the numbers that stand for them.
#[derive(Debug, Default)]
struct Names {
    ids: HashMap<TargetName, u32>,
    targets: Vec<TargetName>,
    pair_ids: HashMap<(u32, u32), u32>,
    pairs: Vec<(u32, u32)>,
}

/// One slice, packed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Cell {
    sequence: u64,
    generation: u32,
    status: PackedStatus,
}

/// Kind in the upper two bits, operand in the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PackedStatus(u32);

const KIND_SHIFT: u32 = 30;
const OPERAND_MASK: u32 = (1 << KIND_SHIFT) - 1;
const KIND_NONE: u32 = 0;
const KIND_SERVED: u32 = 1;
const KIND_HANDING_OVER: u32 = 2;
const KIND_UNSERVED: u32 = 3;
/// Precision of the time at which an unserved slice is expected back (reaches over three years).
const UNSERVED_TICK: Duration = Duration::from_millis(100);

impl PackedStatus {
    fn new(kind: u32, operand: u32) -> Self {
        assert!(
            operand <= OPERAND_MASK,
            "operand of a slice's status overflows"
        );
        Self(kind << KIND_SHIFT | operand)
    }

    fn kind(self) -> u32 {
        self.0 >> KIND_SHIFT
    }

    fn operand(self) -> u32 {
        self.0 & OPERAND_MASK
    }
}

impl Cell {
    const NONE: Self = Self {
        sequence: 0,
        generation: 0,
        status: PackedStatus(KIND_NONE),
    };
}

impl SliceTable {
    /// Version held; the default before the first full table.
    pub fn version(&self) -> StateVersion {
        self.version
    }

    /// Whether a full table has arrived.
    pub fn is_ready(&self) -> bool {
        self.group.is_some()
    }

    /// Takes in the slices of an update. Its targets are not looked at here.
    pub fn apply(&mut self, now: MonotonicTime, update: &TableUpdate) -> Applied {
        match update.since {
            None => self.apply_full(now, update),
            Some(since) => self.apply_delta(now, since, update),
        }
    }

    /// Who serves a key; `None` when the table says nothing of it.
    pub fn lookup(&self, service: &ServiceName, key: KeyHash) -> Option<Owner> {
        let cell = self.services.get(service)?.get(key.0);
        let status = self.names.unpack(cell.status)?;
        let fence = Fence {
            generation: cell.generation,
            sequence: cell.sequence,
        };
        Some(Owner { fence, status })
    }

    /// Name of a target.
    pub fn target_name(&self, id: TargetId) -> &TargetName {
        &self.names.targets[id.0 as usize]
    }

    /// Number that stands for a target; a new one when the name is new.
    pub fn target_id(&mut self, name: &TargetName) -> TargetId {
        TargetId(self.names.intern(name))
    }

    /// Slices held, over all services (holes included).
    pub fn slices(&self) -> usize {
        self.services.values().map(SliceMap::len).sum()
    }

    /// Bytes held on the heap for slices.
    pub fn heap_bytes(&self) -> usize {
        self.services.values().map(SliceMap::heap_bytes).sum()
    }

    /// Whether a part of any service's ring is missing from the table.
    pub fn has_holes(&self) -> bool {
        let hole = |(_, _, cell): (u64, u64, Cell)| cell.status.kind() == KIND_NONE;
        self.services.values().any(|map| map.ranges().any(hole))
    }

    fn apply_full(&mut self, now: MonotonicTime, update: &TableUpdate) -> Applied {
        let same_group = self.group == Some(update.group);
        if same_group && update.version < self.version {
            return Applied::Stale;
        }
        let (version, mut services) = match self.incoming.take() {
            Some((version, services)) if version == update.version => (version, services),
            _ => (update.version, HashMap::new()),
        };
        self.names.assign(&mut services, now, &update.slices);
        if update.more {
            self.incoming = Some((version, services));
            return Applied::Partial;
        }
        services.values_mut().for_each(SliceMap::compact);
        self.services = services;
        self.group = Some(update.group);
        self.version = version;
        Applied::Complete(version)
    }

    fn apply_delta(
        &mut self,
        now: MonotonicTime,
        since: StateVersion,
        update: &TableUpdate,
    ) -> Applied {
        let have = self.version;
        let same_line = since.generation == have.generation && since <= have;
        if self.group != Some(update.group) || !same_line {
            return Applied::Gap { have };
        }
        if update.version <= have {
            return Applied::Stale;
        }
        self.names.assign(&mut self.services, now, &update.slices);
        if update.more {
            return Applied::Partial;
        }
        self.version = update.version;
        Applied::Complete(update.version)
    }
}

impl Names {
    fn assign(
        &mut self,
        services: &mut HashMap<ServiceName, SliceMap<Cell>>,
        now: MonotonicTime,
        entries: &[SliceEntry],
    ) {
        for entry in entries {
            let cell = Cell {
                sequence: entry.fence.sequence,
                generation: entry.fence.generation,
                status: self.pack(now, &entry.status),
            };
            if !services.contains_key(&entry.service) {
                services.insert(entry.service.clone(), SliceMap::new(Cell::NONE));
            }
            let map = services.get_mut(&entry.service).expect("just inserted");
            map.assign(entry.range.first.0, entry.range.last.0, cell);
        }
    }

    fn intern(&mut self, name: &TargetName) -> u32 {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = u32::try_from(self.targets.len()).expect("fewer than 2^32 targets");
        self.ids.insert(name.clone(), id);
        self.targets.push(name.clone());
        id
    }

    fn intern_pair(&mut self, pair: (u32, u32)) -> u32 {
        if let Some(&id) = self.pair_ids.get(&pair) {
            return id;
        }
        let id = u32::try_from(self.pairs.len()).expect("fewer than 2^32 pairs of targets");
        self.pair_ids.insert(pair, id);
        self.pairs.push(pair);
        id
    }

    fn pack(&mut self, now: MonotonicTime, status: &SliceStatus) -> PackedStatus {
        match status {
            SliceStatus::Served(target) => PackedStatus::new(KIND_SERVED, self.intern(target)),
            SliceStatus::HandingOver { from, to } => {
                let pair = (self.intern(from), self.intern(to));
                PackedStatus::new(KIND_HANDING_OVER, self.intern_pair(pair))
            }
            SliceStatus::Unserved { retry_after_ms } => {
                let until = now + Duration::from_millis(*retry_after_ms);
                let tick = UNSERVED_TICK.as_micros() as u64;
                let ticks = until.as_micros().div_ceil(tick);
                let operand = ticks.min(u64::from(OPERAND_MASK)) as u32;
                PackedStatus::new(KIND_UNSERVED, operand)
            }
        }
    }

    fn unpack(&self, status: PackedStatus) -> Option<OwnerStatus> {
        let operand = status.operand();
        match status.kind() {
            KIND_SERVED => Some(OwnerStatus::Served(TargetId(operand))),
            KIND_HANDING_OVER => {
                let (from, to) = self.pairs[operand as usize];
                Some(OwnerStatus::HandingOver {
                    from: TargetId(from),
                    to: TargetId(to),
                })
            }
            KIND_UNSERVED => {
                let tick = UNSERVED_TICK.as_micros() as u64;
                let until = MonotonicTime::from_micros(u64::from(operand) * tick);
                Some(OwnerStatus::Unserved { until })
            }
            _ => None,
        }
    }
}
