//! The slice table as routers get it: whole, or what changed since a version.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use wingspar_wire::{Message, SliceEntry, SliceStatus, StateVersion, TableUpdate, TargetEntry};
use wingspar_world::{ServiceName, SliceRange, Target, TargetName};

use crate::state::{GroupState, Slice, SliceMap, Touched};
use crate::{Control, Output};

/// Most slices in one part of a table update, so that a part stays well below the frame limit.
const SLICES_PER_PART: usize = 10_000;
/// Estimated time until a slice without owner is served again.
const UNSERVED_RETRY: Duration = Duration::from_millis(300);

impl Control {
    /// Sends the table's changes since a version, or all of it when those are forgotten.
    pub(crate) fn send_table(&mut self, to: SocketAddr, have: StateVersion, out: &mut Vec<Output>) {
        let Some(replica) = &self.replica else {
            return;
        };
        let state = replica.state();
        let version = state.history().last();
        let known = have != StateVersion::default();
        let changes = state.history().since(have).filter(|_| known);
        let changed = changes.map(|changes| changed_entries(state, changes));
        let since = changed.as_ref().map(|_| have);
        let (slices, targets) = changed.unwrap_or_else(|| (all_slices(state), all_targets(state)));
        self.send_table_parts(to, (since, version), slices, targets, out);
    }

    fn send_table_parts(
        &mut self,
        to: SocketAddr,
        (since, version): (Option<StateVersion>, StateVersion),
        slices: Vec<SliceEntry>,
        targets: Vec<TargetEntry>,
        out: &mut Vec<Output>,
    ) {
        let mut parts: Vec<&[SliceEntry]> = slices.chunks(SLICES_PER_PART).collect();
        if parts.is_empty() {
            parts.push(&[]);
        }
        let last = parts.len() - 1;
        let mut targets = Some(targets);
        for (position, part) in parts.into_iter().enumerate() {
            let update = TableUpdate {
                group: self.settings.group,
                since,
                version,
                slices: part.to_vec(),
                targets: targets.take().unwrap_or_default(),
                more: position < last,
            };
            self.counters.table_updates_sent += 1;
            Self::send(to, Message::Table(update), out);
        }
    }
}

fn changed_entries<'a>(
    state: &GroupState,
    changes: impl Iterator<Item = &'a Touched>,
) -> (Vec<SliceEntry>, Vec<TargetEntry>) {
    let mut slices: BTreeSet<(&ServiceName, SliceRange)> = BTreeSet::new();
    let mut targets: BTreeSet<(&ServiceName, &TargetName)> = BTreeSet::new();
    for touched in changes {
        match touched {
            Touched::Slices(service, range) => {
                let current = state.slices(service).into_iter();
                let current = current.flat_map(|it| it.overlapping(*range));
                slices.extend(current.map(|slice| (service, slice.range)));
            }
            Touched::Target(service, target) => {
                targets.insert((service, target));
            }
        }
    }
    let slice = |(service, range): (&ServiceName, SliceRange)| {
        let slice = state.slices(service)?.get(&range)?;
        Some(slice_entry(service, slice))
    };
    let target = |(service, target)| target_entry(state, service, target);
    let slices = slices.into_iter().filter_map(slice).collect();
    (slices, targets.into_iter().map(target).collect())
}

fn all_slices(state: &GroupState) -> Vec<SliceEntry> {
    let entries = |(service, slices): (&ServiceName, &SliceMap)| {
        let entries = slices.iter().map(|slice| slice_entry(service, slice));
        entries.collect::<Vec<_>>()
    };
    state.services().flat_map(entries).collect()
}

fn all_targets(state: &GroupState) -> Vec<TargetEntry> {
    let targets = state.configuration().targets.values();
    let entry = |target: &Target| target_entry(state, &target.service, &target.name);
    targets.map(|(_, target)| entry(target)).collect()
}

fn slice_entry(service: &ServiceName, slice: &Slice) -> SliceEntry {
    SliceEntry {
        service: service.clone(),
        range: slice.range,
        fence: slice.fence,
        status: slice_status(slice),
    }
}

/// Who serves a slice, as routers and operators are told.
pub(crate) fn slice_status(slice: &Slice) -> SliceStatus {
    let to = slice.hand_over.as_ref().and_then(|it| it.to.as_ref());
    match (&slice.owner, to) {
        (Some(from), Some(to)) => SliceStatus::HandingOver {
            from: from.target.clone(),
            to: to.target.clone(),
        },
        (Some(owner), None) => SliceStatus::Served(owner.target.clone()),
        (None, _) => SliceStatus::Unserved {
            retry_after_ms: u64::try_from(UNSERVED_RETRY.as_millis()).unwrap_or(u64::MAX),
        },
    }
}

fn target_entry(state: &GroupState, service: &ServiceName, target: &TargetName) -> TargetEntry {
    let configured = state.target(target);
    TargetEntry {
        target: target.clone(),
        service: service.clone(),
        agent: configured.and_then(|configured| state.agent_address(configured)),
        availability: state.availability(target),
    }
}
