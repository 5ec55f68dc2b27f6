//! Placement status.

use wingspar_control::operator::{AssignmentReason, PlacementReport, SliceReport, TargetReport};
use wingspar_wire::{Availability, SliceStatus, StateVersion, Takeover};
use wingspar_world::{Fence, KeyHash, SliceRange};

use super::Mistakes;
use crate::v1;
use crate::v1::slice_status::Status as ProtoStatus;
use crate::v1::takeover::Kind as ProtoTakeover;

/// Writes a range.
pub fn range_to_proto(range: SliceRange) -> v1::KeyRange {
    v1::KeyRange {
        first: range.first.0,
        last: range.last.0,
    }
}

/// Reads a range.
pub(super) fn range_from_proto(mistakes: &mut Mistakes, range: v1::KeyRange) -> Option<SliceRange> {
    let first = KeyHash(range.first);
    let last = KeyHash(range.last);
    let read = SliceRange::new(first, last);
    if read.is_none() {
        let given = format!("{first}-{last}");
        mistakes.note("range", given, "FIRST-LAST with FIRST not above LAST");
    }
    read
}

/// Writes a version of the group's state.
pub fn state_version_to_proto(version: StateVersion) -> v1::StateVersion {
    v1::StateVersion {
        generation: version.generation,
        sequence: version.sequence,
    }
}

/// Reads a version of the group's state.
pub fn state_version_from_proto(version: Option<v1::StateVersion>) -> StateVersion {
    let version = version.unwrap_or_default();
    StateVersion {
        generation: version.generation,
        sequence: version.sequence,
    }
}

/// Writes a placement.
pub fn placement_to_proto(report: &PlacementReport) -> v1::Placement {
    v1::Placement {
        service: report.service.to_string(),
        version: Some(state_version_to_proto(report.version)),
        slices: report.slices.iter().map(slice_to_proto).collect(),
        targets: report.targets.iter().map(target_to_proto).collect(),
    }
}

fn slice_to_proto(slice: &SliceReport) -> v1::Slice {
    v1::Slice {
        range: Some(range_to_proto(slice.range)),
        fence: Some(v1::Fence {
            generation: slice.fence.generation,
            sequence: slice.fence.sequence,
        }),
        status: Some(status_to_proto(&slice.status)),
        reason: reason_to_proto(slice.reason).into(),
        takeover: Some(takeover_to_proto(slice.takeover)),
        age_ms: slice.age_ms,
    }
}

fn status_to_proto(status: &SliceStatus) -> v1::SliceStatus {
    let status = match status {
        SliceStatus::Served(target) => ProtoStatus::Served(target.to_string()),
        SliceStatus::HandingOver { from, to } => ProtoStatus::HandingOver(v1::HandingOver {
            from: from.to_string(),
            to: to.to_string(),
        }),
        SliceStatus::Unserved { retry_after_ms } => ProtoStatus::Unserved(v1::Unserved {
            retry_after_ms: *retry_after_ms,
        }),
    };
    v1::SliceStatus {
        status: Some(status),
    }
}

fn reason_to_proto(reason: AssignmentReason) -> v1::AssignmentReason {
    match reason {
        AssignmentReason::Initial => v1::AssignmentReason::Initial,
        AssignmentReason::OwnerLost => v1::AssignmentReason::OwnerLost,
        AssignmentReason::Drain => v1::AssignmentReason::Drain,
        AssignmentReason::Balance => v1::AssignmentReason::Balance,
        AssignmentReason::RegionShift => v1::AssignmentReason::RegionShift,
        AssignmentReason::Operator => v1::AssignmentReason::Operator,
    }
}

fn takeover_to_proto(takeover: Takeover) -> v1::Takeover {
    let kind = match takeover {
        Takeover::First => ProtoTakeover::First(v1::FirstTakeover {}),
        Takeover::Planned => ProtoTakeover::Planned(v1::PlannedTakeover {}),
        Takeover::Unplanned { age_ms } => {
            ProtoTakeover::Unplanned(v1::UnplannedTakeover { age_ms })
        }
    };
    v1::Takeover { kind: Some(kind) }
}

fn target_to_proto(target: &TargetReport) -> v1::TargetStatus {
    let availability = match target.availability {
        Availability::Serving => v1::Availability::Serving,
        Availability::Draining => v1::Availability::Draining,
        Availability::Down => v1::Availability::Down,
        Availability::Removed => v1::Availability::Removed,
    };
    v1::TargetStatus {
        target: target.target.to_string(),
        machine: target.machine.to_string(),
        availability: availability.into(),
        slices: target.slices,
        requests_per_second: target.requests_per_second,
    }
}

/// Reads a placement.
pub fn placement_from_proto(message: v1::Placement) -> Result<PlacementReport, Vec<String>> {
    let mut mistakes = Mistakes::default();
    let service = mistakes.name("placement.service", &message.service);
    let version = state_version_from_proto(message.version);
    let slices = message.slices.into_iter();
    let slices = slices.filter_map(|slice| read_slice(&mut mistakes, slice));
    let slices = slices.collect();
    let targets = message.targets.into_iter();
    let targets = targets.filter_map(|target| read_target(&mut mistakes, target));
    let targets = targets.collect();
    mistakes.finish(service.map(|service| PlacementReport {
        service,
        version,
        slices,
        targets,
    }))
}

fn read_slice(mistakes: &mut Mistakes, slice: v1::Slice) -> Option<SliceReport> {
    let range = mistakes.required("slice.range", slice.range)?;
    let fence = slice.fence.unwrap_or_default();
    let status = slice.status.and_then(|status| status.status);
    let status = mistakes.required("slice.status", status)?;
    let takeover = slice.takeover.and_then(|takeover| takeover.kind);
    let takeover = mistakes.required("slice.takeover", takeover)?;
    Some(SliceReport {
        range: range_from_proto(mistakes, range)?,
        fence: Fence {
            generation: fence.generation,
            sequence: fence.sequence,
        },
        status: read_status(mistakes, status)?,
        reason: read_reason(mistakes, slice.reason)?,
        takeover: read_takeover(takeover),
        age_ms: slice.age_ms,
    })
}

fn read_status(mistakes: &mut Mistakes, status: ProtoStatus) -> Option<SliceStatus> {
    Some(match status {
        ProtoStatus::Served(target) => SliceStatus::Served(mistakes.name("slice.served", &target)?),
        ProtoStatus::HandingOver(hand_over) => SliceStatus::HandingOver {
            from: mistakes.name("slice.from", &hand_over.from)?,
            to: mistakes.name("slice.to", &hand_over.to)?,
        },
        ProtoStatus::Unserved(unserved) => SliceStatus::Unserved {
            retry_after_ms: unserved.retry_after_ms,
        },
    })
}

fn read_reason(mistakes: &mut Mistakes, reason: i32) -> Option<AssignmentReason> {
    match v1::AssignmentReason::try_from(reason) {
        Ok(v1::AssignmentReason::Initial) => Some(AssignmentReason::Initial),
        Ok(v1::AssignmentReason::OwnerLost) => Some(AssignmentReason::OwnerLost),
        Ok(v1::AssignmentReason::Drain) => Some(AssignmentReason::Drain),
        Ok(v1::AssignmentReason::Balance) => Some(AssignmentReason::Balance),
        Ok(v1::AssignmentReason::RegionShift) => Some(AssignmentReason::RegionShift),
        Ok(v1::AssignmentReason::Operator) => Some(AssignmentReason::Operator),
        Ok(v1::AssignmentReason::Unspecified) | Err(_) => {
            mistakes.note("slice.reason", reason, "a reason of this version");
            None
        }
    }
}

fn read_takeover(takeover: ProtoTakeover) -> Takeover {
    match takeover {
        ProtoTakeover::First(_) => Takeover::First,
        ProtoTakeover::Planned(_) => Takeover::Planned,
        ProtoTakeover::Unplanned(unplanned) => Takeover::Unplanned {
            age_ms: unplanned.age_ms,
        },
    }
}

fn read_target(mistakes: &mut Mistakes, target: v1::TargetStatus) -> Option<TargetReport> {
    let availability = match v1::Availability::try_from(target.availability) {
        Ok(v1::Availability::Serving) => Availability::Serving,
        Ok(v1::Availability::Draining) => Availability::Draining,
        Ok(v1::Availability::Down) => Availability::Down,
        Ok(v1::Availability::Removed) => Availability::Removed,
        Ok(v1::Availability::Unspecified) | Err(_) => {
            let field = "target.availability";
            mistakes.note(
                field,
                target.availability,
                "an availability of this version",
            );
            return None;
        }
    };
    Some(TargetReport {
        target: mistakes.name("target.target", &target.target)?,
        machine: mistakes.name("target.machine", &target.machine)?,
        availability,
        slices: target.slices,
        requests_per_second: target.requests_per_second,
    })
}
