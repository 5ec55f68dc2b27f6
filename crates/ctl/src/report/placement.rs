//! Placement of a service.

use serde_json::{Value, json};
use wingspar_control::operator::{AssignmentReason, PlacementReport, SliceReport, TargetReport};
use wingspar_wire::{Availability, SliceStatus, Takeover};

use super::table::Table;
use super::{Report, state_json, state_text};

impl Report {
    /// Who owns what, why and since when.
    pub(crate) fn placement(report: &PlacementReport) -> Self {
        let mut slices = Table::new(&["RANGE", "OWNER", "FENCE", "REASON", "TAKEOVER", "AGE"]);
        for slice in &report.slices {
            slices.row(slice_cells(slice));
        }
        let mut targets = Table::new(&["TARGET", "MACHINE", "STATE", "SLICES", "REQUESTS/S"]);
        for target in &report.targets {
            targets.row(target_cells(target));
        }
        let state = state_text(report.version);
        let text = format!(
            "service {}, state {state}\n\n{}\n{}",
            report.service,
            targets.render(),
            slices.render()
        );
        let slices = report.slices.iter().map(slice_json).collect::<Vec<_>>();
        let targets = report.targets.iter().map(target_json).collect::<Vec<_>>();
        let json = json!({
            "service": report.service,
            "state": state_json(report.version),
            "targets": targets,
            "slices": slices,
        });
        Self::new(text, json)
    }
}

fn slice_cells(slice: &SliceReport) -> Vec<String> {
    let owner = match &slice.status {
        SliceStatus::Served(target) => target.to_string(),
        SliceStatus::HandingOver { from, to } => format!("{from} -> {to}"),
        SliceStatus::Unserved { retry_after_ms } => format!("none (in {retry_after_ms} ms)"),
    };
    let takeover = match slice.takeover {
        Takeover::First => "first".to_owned(),
        Takeover::Planned => "planned".to_owned(),
        Takeover::Unplanned { age_ms } => format!("unplanned {} ago", age(age_ms)),
    };
    vec![
        slice.range.to_string(),
        owner,
        slice.fence.to_string(),
        reason(slice.reason).to_owned(),
        takeover,
        age(slice.age_ms),
    ]
}

fn slice_json(slice: &SliceReport) -> Value {
    let status = match &slice.status {
        SliceStatus::Served(target) => json!({ "state": "served", "owner": target }),
        SliceStatus::HandingOver { from, to } => {
            json!({ "state": "handing-over", "owner": from, "next": to })
        }
        SliceStatus::Unserved { retry_after_ms } => {
            json!({ "state": "unserved", "retry_after_ms": retry_after_ms })
        }
    };
    let takeover = match slice.takeover {
        Takeover::First => json!({ "kind": "first" }),
        Takeover::Planned => json!({ "kind": "planned" }),
        Takeover::Unplanned { age_ms } => json!({ "kind": "unplanned", "age_ms": age_ms }),
    };
    json!({
        "first": slice.range.first.to_string(),
        "last": slice.range.last.to_string(),
        "fence": slice.fence.to_string(),
        "status": status,
        "reason": reason(slice.reason),
        "takeover": takeover,
        "age_ms": slice.age_ms,
    })
}

fn reason(reason: AssignmentReason) -> &'static str {
    match reason {
        AssignmentReason::Initial => "initial",
        AssignmentReason::OwnerLost => "owner-lost",
        AssignmentReason::Drain => "drain",
        AssignmentReason::Balance => "balance",
        AssignmentReason::RegionShift => "region-shift",
        AssignmentReason::Operator => "operator",
    }
}

fn target_cells(target: &TargetReport) -> Vec<String> {
    vec![
        target.target.to_string(),
        target.machine.to_string(),
        availability(target.availability).to_owned(),
        target.slices.to_string(),
        format!("{:.1}", target.requests_per_second),
    ]
}

fn target_json(target: &TargetReport) -> Value {
    json!({
        "target": target.target,
        "machine": target.machine,
        "state": availability(target.availability),
        "slices": target.slices,
        "requests_per_second": target.requests_per_second,
    })
}

fn availability(availability: Availability) -> &'static str {
    match availability {
        Availability::Serving => "serving",
        Availability::Draining => "draining",
        Availability::Down => "down",
        Availability::Removed => "removed",
    }
}

/// A span of time in its two largest units.
fn age(milliseconds: u64) -> String {
    let seconds = milliseconds / 1_000;
    match seconds {
        0 => format!("{milliseconds}ms"),
        1..=59 => format!("{seconds}s"),
        60..=3_599 => format!("{}m{}s", seconds / 60, seconds % 60),
        3_600..=86_399 => format!("{}h{}m", seconds / 3_600, seconds % 3_600 / 60),
        _ => format!("{}d{}h", seconds / 86_400, seconds % 86_400 / 3_600),
    }
}
