//! Mixes of two or more faults at once, drawn from a seed.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use wingspar_world::MonotonicTime;

use crate::fault::{CutShape, Fault, ScheduledFault, Whom};
use crate::network::{Conditions, MachineIndex};
use crate::topology::Topology;

/// Machines with back ends in every topology.
const BACK_END_MACHINES: MachineIndex = 5;
/// Shortest and longest time that a drawn fault lasts, in milliseconds.
const LASTS_MILLIS: std::ops::Range<u64> = 200..7_000;

/// Draws two to five faults; some of them always overlap.
pub fn draw(
    random: &mut ChaCha12Rng,
    begin: MonotonicTime,
    window: Duration,
) -> Vec<ScheduledFault> {
    let count = random.random_range(2..=5);
    let window_millis = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
    let first = random.random_range(0..window_millis / 2);
    let spread = random.random_range(1..window_millis / 2);
    let draw_one = |_| ScheduledFault {
        at: begin + Duration::from_millis(first + random.random_range(0..spread)),
        lasts: Duration::from_millis(random.random_range(LASTS_MILLIS)),
        fault: draw_fault(random),
    };
    (0..count).map(draw_one).collect()
}

fn draw_fault(random: &mut ChaCha12Rng) -> Fault {
    let whom = draw_whom(random);
    match random.random_range(0..16) {
        0 | 1 => Fault::Kill(whom),
        2 => Fault::Destroy(whom),
        3 | 4 => Fault::Pause(whom),
        5 => Fault::FreezeBackEnds(whom),
        6 => Fault::Leave(whom),
        7..=9 => Fault::Cut(whom, draw_shape(random)),
        10 => Fault::Slow(whom, Duration::from_millis(random.random_range(5..400))),
        11 | 12 => Fault::BadNetwork(Conditions {
            loss: random.random_range(0.0..0.3),
            duplication: random.random_range(0.0..0.3),
            reordering: random.random_range(0.0..0.3),
        }),
        13 => Fault::StoreDown,
        14 => Fault::StoreSlow(Duration::from_millis(random.random_range(50..3_000))),
        _ => Fault::StoreLosesAnswers(random.random_range(0.2..0.9)),
    }
}

fn draw_whom(random: &mut ChaCha12Rng) -> Whom {
    match random.random_range(0..10) {
        0..3 => Whom::Leader,
        3..6 => Whom::OwnerOf(random.random_range(0..Topology::keys().len())),
        6 => Whom::Router,
        _ => Whom::Number(random.random_range(0..BACK_END_MACHINES)),
    }
}

fn draw_shape(random: &mut ChaCha12Rng) -> CutShape {
    let other = random.random_range(0..BACK_END_MACHINES);
    match random.random_range(0..8) {
        0 => CutShape::OutOf,
        1 => CutShape::Into,
        2 => CutShape::Whole,
        3 => CutShape::From(other),
        4 => CutShape::OneWayTo(other),
        5 => CutShape::Zone,
        6 => CutShape::Region,
        _ => CutShape::Platform,
    }
}
