//! Sample workloads and the policies that suit them.

use std::time::Duration;

use wingspar_world::{PlacementPolicy, PolicyName, QuietWindow, RegionName, TargetName, ZoneName};

use super::workload::{Event, TimedEvent, Workload};
use crate::TargetState;

/// Slots of a target.
const SLOTS: u32 = 20;

/// Time over which agents count: twice the time constant of their decaying counts.
const COUNTING: Duration = Duration::from_secs(6);

/// Garden centres on a spring Saturday, 07:00 to 17:00: one line of plants gets popular, a target is
/// patched (drained and back), one is lost and comes back, and the favourites of the day change.
pub fn tegid(seed: u64) -> Workload {
    let zones = ["neuadd-a", "neuadd-b", "neuadd-c", "neuadd-d"];
    let targets = zones
        .iter()
        .zip(1..)
        .map(|(zone, number)| target(&format!("stoc-{number}"), "cymru-de", zone));
    Workload {
        name: "tegid/stoc",
        targets: targets.collect(),
        keys: 5_000,
        zipf_exponent: 0.9,
        requests_per_second: 400.0,
        hours: hours(7, 17, 0.02),
        start_minute: 7 * 60,
        length: Duration::from_secs(10 * 3_600),
        step: Duration::from_secs(5),
        counting: COUNTING,
        seed,
        events: vec![
            at_minute(
                90,
                Event::Hot {
                    rank: 40,
                    share: 0.15,
                },
            ),
            at_minute(150, Event::Drain(name("stoc-2"))),
            at_minute(165, Event::Return(name("stoc-2"))),
            at_minute(240, Event::Shift { ranks: 600 }),
            at_minute(330, Event::Lose(name("stoc-3"))),
            at_minute(345, Event::Return(name("stoc-3"))),
            at_minute(
                420,
                Event::Hot {
                    rank: 40,
                    share: 0.0,
                },
            ),
            at_minute(
                420,
                Event::Hot {
                    rank: 7,
                    share: 0.20,
                },
            ),
        ],
    }
}

/// A company register over one day and night at year end: nearly nothing by night, one large company
/// by day, a target joins in the morning, one is lost at night and comes back, one is drained.
pub fn caroni(seed: u64) -> Workload {
    let zones = [
        "pos-hall",
        "sanjuan-hall",
        "chag-hall",
        "pos-hall",
        "sanjuan-hall",
    ];
    let targets = zones
        .iter()
        .zip(1..)
        .map(|(zone, number)| target(&format!("lookup-{number}"), "trinidad-north", zone));
    Workload {
        name: "caroni/lookup-svc",
        targets: targets.collect(),
        keys: 5_000,
        zipf_exponent: 0.8,
        requests_per_second: 200.0,
        hours: hours(12, 21, 0.01),
        start_minute: 11 * 60,
        length: Duration::from_secs(24 * 3_600),
        step: Duration::from_secs(10),
        counting: COUNTING,
        seed,
        events: vec![
            at_minute(
                120,
                Event::Hot {
                    rank: 25,
                    share: 0.10,
                },
            ),
            at_minute(
                180,
                Event::Join(target("lookup-6", "trinidad-north", "chag-hall")),
            ),
            at_minute(300, Event::Drain(name("lookup-2"))),
            at_minute(320, Event::Return(name("lookup-2"))),
            at_minute(
                540,
                Event::Hot {
                    rank: 25,
                    share: 0.0,
                },
            ),
            at_minute(900, Event::Lose(name("lookup-4"))),
            at_minute(930, Event::Return(name("lookup-4"))),
        ],
    }
}

/// A policy for [`tegid`]: unavailable time weighs most. It balances soon, since an overloaded target
/// stalls tills, in many narrow slices, since then a hand-over stops few keys.
pub fn tegid_policy() -> PlacementPolicy {
    PlacementPolicy {
        slices_per_target: 256,
        imbalance_high: 1.25,
        imbalance_low: 1.1,
        churn_per_hour: 0.2,
        ..PlacementPolicy::with_defaults(policy_name("tegid"))
    }
}

/// A policy for [`caroni`]: churn weighs most, and nobody is on duty by night.
pub fn caroni_policy() -> PlacementPolicy {
    PlacementPolicy {
        slices_per_target: 256,
        imbalance_high: 1.5,
        imbalance_low: 1.2,
        churn_per_hour: 0.05,
        quiet_windows: vec![QuietWindow {
            from_minute: 22 * 60,
            to_minute: 11 * 60,
        }],
        ..PlacementPolicy::with_defaults(policy_name("caroni"))
    }
}

/// Full rate within the opening hours, `closed` of it outside.
fn hours(from: usize, to: usize, closed: f64) -> [f64; 24] {
    let mut hours = [closed; 24];
    hours[from..to].fill(1.0);
    hours[from] = 0.5;
    hours
}

fn at_minute(minutes: u64, event: Event) -> TimedEvent {
    TimedEvent {
        at: Duration::from_secs(minutes * 60),
        event,
    }
}

fn target(text: &str, region: &str, zone: &str) -> TargetState {
    TargetState {
        name: name(text),
        region: RegionName::new(region).expect("a sample's region has a valid name"),
        zone: ZoneName::new(zone).expect("a sample's zone has a valid name"),
        slots: SLOTS,
        accepts: true,
        requests_per_second: 0.0,
    }
}

fn name(text: &str) -> TargetName {
    TargetName::new(text).expect("a sample's target has a valid name")
}

fn policy_name(text: &str) -> PolicyName {
    PolicyName::new(text).expect("a sample's policy has a valid name")
}
