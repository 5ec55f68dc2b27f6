//! Checks that span several fields.

use std::net::SocketAddr;

use crate::check::{Draft, TimingDraft, place_or_section};
use crate::mistake::Place;
use crate::reader::{Located, Reader};

/// Longest time from a loss to service again, in milliseconds: the product's promise.
const RECOVERY_BUDGET_MS: u64 = 4_000;
/// Votes of one election on the network, in milliseconds.
const VOTE_MS: u64 = 200;
/// Commit and publication of new owners, in milliseconds.
const PUBLISH_MS: u64 = 100;
/// Heartbeats that must be missed before an election starts.
const HEARTBEATS_PER_ELECTION: u64 = 3;

/// Notes every mistake that only shows when fields are seen together.
pub(crate) fn check(reader: &mut Reader<'_>, draft: &Draft) {
    check_parts(reader, draft);
    check_seeds(reader, draft);
    check_listeners(reader, draft);
    check_lease(reader, &draft.timing);
    check_election(reader, &draft.timing);
    check_recovery(reader, &draft.timing);
}

fn check_parts(reader: &mut Reader<'_>, draft: &Draft) {
    if !draft.has_part() {
        let allowed = "at least one of the sections [router], [agent] and [control]";
        reader.mistake(Place::File, "parts", "none", allowed);
    }
    if draft.control.is_some() && draft.platform.is_none() {
        let place = reader.section_place("control");
        let allowed = "a section [platform] with a url, since [control] needs one";
        reader.mistake(place, "platform.url", "nothing", allowed);
    }
}

fn check_seeds(reader: &mut Reader<'_>, draft: &Draft) {
    let alone = draft.router.is_none() && draft.agent.is_none() && !needs_peers(draft);
    if !alone && draft.seeds.is_empty() && !reader.has_mistake("seeds") {
        let allowed = "at least one control candidate, since router, agent and replicated control \
                       find the group by it";
        reader.mistake(Place::File, "seeds", "nothing", allowed);
    }
    for (index, seed) in draft.seeds.iter().enumerate() {
        let earlier = draft.seeds[..index].iter();
        if earlier.into_iter().any(|other| other.value == seed.value) {
            let given = format!("\"{}\"", seed.value);
            reader.mistake(seed.place.clone(), "seeds", &given, "each candidate once");
        }
    }
}

fn needs_peers(draft: &Draft) -> bool {
    let replicas = draft.control.as_ref();
    let replicas = replicas.and_then(|control| control.replicas.as_ref());
    replicas.is_some_and(|replicas| replicas.value > 1)
}

fn check_listeners(reader: &mut Reader<'_>, draft: &Draft) {
    let listeners = draft.listeners();
    for (index, (field, listen)) in listeners.iter().enumerate() {
        let mut earlier = listeners[..index].iter();
        if let Some((other, _)) = earlier.find(|(_, other)| collide(&other.value, &listen.value)) {
            let given = format!("\"{}\"", listen.value);
            let allowed = format!("an address that {other} does not use");
            reader.mistake(listen.place.clone(), field, &given, &allowed);
        }
    }
}

/// Whether two listeners can't stand beside each other. Port 0 is any free port.
fn collide(one: &SocketAddr, other: &SocketAddr) -> bool {
    let same_ip = one.ip() == other.ip();
    let any_ip = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && (same_ip || any_ip)
}

fn check_lease(reader: &mut Reader<'_>, timing: &TimingDraft) {
    let (Some(renewal), Some(lease), Some(drift)) = (&timing.renewal, &timing.lease, &timing.drift)
    else {
        return;
    };
    let least = 2 * renewal.value + drift.value;
    if lease.value <= least {
        let allowed = format!("more than {least}, which is 2 * renewal_ms + drift_ms");
        report(reader, "timing.lease_ms", lease, &allowed);
    }
}

fn check_election(reader: &mut Reader<'_>, timing: &TimingDraft) {
    let Some(shortest) = &timing.election_min else {
        return;
    };
    if let Some(heartbeat) = &timing.heartbeat {
        let least = HEARTBEATS_PER_ELECTION * heartbeat.value;
        if shortest.value < least {
            let allowed = format!("at least {least}, which is 3 * heartbeat_ms");
            report(reader, "timing.election_min_ms", shortest, &allowed);
        }
    }
    if let Some(longest) = &timing.election_max
        && longest.value <= shortest.value
    {
        let allowed = format!("more than election_min_ms, which is {}", shortest.value);
        report(reader, "timing.election_max_ms", longest, &allowed);
    }
}

/// Leader and owner lost together, with one split vote: two election timeouts, then the lease.
fn check_recovery(reader: &mut Reader<'_>, timing: &TimingDraft) {
    let (Some(lease), Some(drift), Some(election)) =
        (&timing.lease, &timing.drift, &timing.election_max)
    else {
        return;
    };
    let elections = 2 * election.value + VOTE_MS;
    let needed = elections + lease.value + drift.value + PUBLISH_MS;
    if needed > RECOVERY_BUDGET_MS {
        let others = needed - lease.value;
        let allowed = format!(
            "at most {}, since 2 * election_max_ms + {VOTE_MS} + lease_ms + drift_ms + \
             {PUBLISH_MS} must not exceed {RECOVERY_BUDGET_MS}",
            RECOVERY_BUDGET_MS.saturating_sub(others)
        );
        report(reader, "timing.lease_ms", lease, &allowed);
    }
}

fn report(reader: &mut Reader<'_>, field: &str, given: &Located<u64>, allowed: &str) {
    let place = place_or_section(&given.place, reader, "timing");
    reader.mistake(place, field, &given.value.to_string(), allowed);
}
