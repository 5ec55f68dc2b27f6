//! Whether two targets held the same keys, from what targets were granted and let go.

use std::time::{Duration, Instant};

use wingspar_standins::fleet::{
    Holding, KeyChange, KeyEvent, KeySpan, LowFence, Overlap, fences_of_earlier_lives, holdings,
    low_fences, overlaps,
};

use crate::deployment::{Deployment, KEYED};

/// How long two targets may hold the same keys.
const ALLOWED: Duration = Duration::from_millis(500);

/// The targets whose keys have owners, each with what its lives were granted and let go; without the grants that
/// `excuses` names by machine and time.
fn events(deployment: &Deployment, excuses: impl Fn(usize, Instant) -> bool) -> Vec<Vec<KeyEvent>> {
    let machines = deployment.nodes.iter().enumerate();
    let keyed = machines.filter(|(_, machine)| machine.service == KEYED);
    let events = keyed.filter_map(|(node, machine)| {
        let mut events = machine.target.as_ref()?.key_events();
        events.retain(|event| {
            !matches!(event.change, KeyChange::Granted(..)) || !excuses(node, event.at)
        });
        Some(events)
    });
    events.collect()
}

/// No two targets have held the same keys, and fences have risen from one holder of a key to the next. Grants that
/// `excuses` names by machine and time don't count.
pub fn keys_had_one_holder(
    deployment: &Deployment,
    began_at: Instant,
    excuses: impl Fn(usize, Instant) -> bool,
) -> Result<(), String> {
    let events = events(deployment, excuses);
    let held = events.iter().map(|events| holdings(events));
    let held = held.collect::<Vec<_>>();
    let mut problems = overlaps(&held, ALLOWED)
        .iter()
        .map(|overlap| describe_overlap(overlap, began_at))
        .collect::<Vec<_>>();
    let of_targets = low_fences(&held);
    problems.extend(of_targets.iter().map(|low| describe_fence(low, began_at)));
    for (node, events) in events.iter().enumerate() {
        let of_lives = fences_of_earlier_lives(events);
        problems.extend(of_lives.iter().map(|low| {
            let described = describe_fence(low, began_at);
            format!("target {node}, an earlier life: {described}")
        }));
    }
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems.join("\n  "))
    }
}

fn millis(at: Instant, began_at: Instant) -> u128 {
    at.saturating_duration_since(began_at).as_millis()
}

fn describe(holding: &Holding, began_at: Instant) -> String {
    let KeySpan { from, to, fence } = holding.span;
    format!(
        "life {} {from}-{to} under {fence} from {} to {} ms",
        holding.life,
        millis(holding.since, began_at),
        millis(holding.until, began_at),
    )
}

fn describe_overlap(overlap: &Overlap, began_at: Instant) -> String {
    format!(
        "keys {}-{} were held by two targets from {} ms for {:?}: {}; {}",
        overlap.from,
        overlap.to,
        millis(overlap.since, began_at),
        overlap.lasted,
        describe(&overlap.first, began_at),
        describe(&overlap.second, began_at),
    )
}

fn describe_fence(low: &LowFence, began_at: Instant) -> String {
    let KeySpan { from, to, fence } = low.granted;
    format!(
        "life {} took {from}-{to} under {fence} at {} ms, after {}",
        low.life,
        millis(low.at, began_at),
        describe(&low.held, began_at),
    )
}
