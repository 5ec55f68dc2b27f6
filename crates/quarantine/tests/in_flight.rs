//! Which requests count as in flight when a target terminates.

use std::time::Duration;

use wingspar_quarantine::{
    Caller, CallerRequest, EndEvidence, Fingerprint, InFlight, Suspect, TargetEnd,
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(fingerprint: u64) -> CallerRequest {
    CallerRequest {
        fingerprint: Fingerprint(fingerprint),
        content: Fingerprint(fingerprint),
        caller: Caller(1),
    }
}

const LIFE: &str = "target";

fn suspects(in_flight: &mut InFlight, now: Duration, evidence: EndEvidence) -> Vec<Suspect> {
    let termination = in_flight.target_ended(now, LIFE, evidence);
    termination.map_or_else(Vec::new, |termination| termination.suspects)
}

fn fingerprints(in_flight: &mut InFlight, now: Duration) -> Vec<u64> {
    let suspects = suspects(in_flight, now, EndEvidence::NextIncarnation);
    suspects
        .into_iter()
        .map(|suspect| suspect.request.fingerprint.0)
        .collect()
}

/// A request whose connection breaks while the target's address refuses connections; returns the termination.
fn crash(in_flight: &mut InFlight, millis: u64, request_id: &str) -> Option<TargetEnd> {
    let run = in_flight.start(at(millis), request(1), request_id);
    in_flight.connection_broke(at(millis + 1), run);
    let ended = in_flight.target_ended(at(millis + 2), LIFE, EndEvidence::RefusesConnections)?;
    let requests = ended.suspects.iter().map(|suspect| &suspect.request_id);
    assert!(requests.eq([request_id]), "{ended:?}");
    Some(ended.end)
}

#[test]
fn an_answered_request_is_no_suspect() {
    let mut in_flight = InFlight::default();
    let answered = in_flight.start(at(0), request(1), "a");
    let _running = in_flight.start(at(10), request(2), "b");
    let broken = in_flight.start(at(20), request(3), "c");
    in_flight.answered(at(50), answered);
    in_flight.connection_broke(at(90), broken);
    let ended = suspects(&mut in_flight, at(91), EndEvidence::RefusesConnections);
    let seen = ended
        .iter()
        .map(|suspect| (suspect.request_id.as_str(), suspect.ran_for));
    assert_eq!(seen.collect::<Vec<_>>(), [("b", at(81)), ("c", at(70))]);
    let again = in_flight.target_ended(at(92), LIFE, EndEvidence::RefusesConnections);
    assert_eq!(again, None, "suspects are returned once");
}

#[test]
fn a_request_lost_long_before_the_end_is_no_suspect() {
    let mut in_flight = InFlight::default();
    let left = in_flight.start(at(0), request(1), "left");
    in_flight.given_up(at(100), left);
    let broken = in_flight.start(at(5_000), request(2), "broken");
    in_flight.connection_broke(at(5_060), broken);
    // The next incarnation reports seconds after the termination.
    assert_eq!(fingerprints(&mut in_flight, at(9_000)), [2]);
}

#[test]
fn the_end_of_an_idle_target_has_no_suspects() {
    let mut in_flight = InFlight::default();
    let left = in_flight.start(at(0), request(1), "left");
    in_flight.given_up(at(100), left);
    let later = in_flight.start(at(16_000), request(2), "later");
    in_flight.answered(at(16_100), later);
    assert!(fingerprints(&mut in_flight, at(17_000)).is_empty());
}

#[test]
fn a_request_sent_after_the_end_is_no_suspect() {
    let mut in_flight = InFlight::default();
    let reset = in_flight.start(at(0), request(1), "reset alone");
    in_flight.connection_broke(at(10), reset);
    let served = in_flight.start(at(20), request(2), "served");
    in_flight.answered(at(60), served);
    let crashing = in_flight.start(at(70), request(3), "crashing");
    let beside = in_flight.start(at(90), request(4), "beside it");
    in_flight.connection_broke(at(130), crashing);
    in_flight.connection_broke(at(130), beside);
    for number in 0..5 {
        let too_late = in_flight.start(at(140 + number), request(10 + number), "too late");
        in_flight.connection_broke(at(141 + number), too_late);
    }
    // A connection reset shortly before may have been the first sign of the termination.
    assert_eq!(fingerprints(&mut in_flight, at(700)), [1, 3, 4]);
}

/// Guards against a target that keeps its id and whose terminations count as one, so that the request that causes them is
/// never refused.
#[test]
fn terminations_of_a_target_that_keeps_its_id_are_different_ones() {
    let mut in_flight = InFlight::default();
    let mut ends = Vec::new();
    for number in 0..4 {
        let end = crash(
            &mut in_flight,
            number * 7_000,
            &format!("crashing-{number}"),
        );
        ends.push(end.expect("a termination"));
        // Its next incarnation reports, which is known under the same name if it doesn't say when it began.
        let next = in_flight.target_ended(
            at(number * 7_000 + 2_500),
            LIFE,
            EndEvidence::NextIncarnation,
        );
        assert_eq!(next, None, "a termination that is reported twice is one");
    }
    ends.sort_unstable();
    ends.dedup();
    assert_eq!(ends.len(), 4);
}

/// Guards against an incarnation that terminates before its first report and whose termination passes for the one before.
#[test]
fn an_incarnation_that_has_not_reported_terminates_too() {
    let mut in_flight = InFlight::default();
    let first = crash(&mut in_flight, 0, "first").expect("a termination");
    let second = crash(&mut in_flight, 600, "second").expect("a termination");
    assert_ne!(first, second);
    let next = in_flight.target_ended(at(900), LIFE, EndEvidence::NextIncarnation);
    assert_eq!(next, None, "it is the termination of the second one");
}

/// Guards against a termination that counts twice because a run noticed it late.
#[test]
fn a_run_that_ends_after_its_termination_was_recorded_shows_no_other_one() {
    let mut in_flight = InFlight::default();
    let late = in_flight.start(at(0), request(2), "late");
    let crashing = in_flight.start(at(10), request(1), "crashing");
    in_flight.connection_broke(at(20), crashing);
    let ended = suspects(&mut in_flight, at(21), EndEvidence::RefusesConnections);
    assert_eq!(ended.len(), 2);
    in_flight.connection_broke(at(25), late);
    let again = in_flight.target_ended(at(26), LIFE, EndEvidence::RefusesConnections);
    assert_eq!(again, None);
}

/// Guards against a run that is forgotten because the termination before it became known while it ran: its own crash then
/// had no suspect.
#[test]
fn a_run_at_the_next_incarnation_is_a_suspect_when_that_one_terminates() {
    let mut in_flight = InFlight::default();
    let first = in_flight.start(at(0), request(1), "first");
    in_flight.connection_broke(at(5), first);
    let second = in_flight.start(at(300), request(3), "second");
    // The address never refused connections, so only the next incarnation's report shows the termination.
    assert_eq!(fingerprints(&mut in_flight, at(310)), [1]);
    in_flight.connection_broke(at(340), second);
    let ended = suspects(&mut in_flight, at(341), EndEvidence::RefusesConnections);
    let seen = ended.iter().map(|suspect| suspect.request.fingerprint.0);
    assert!(seen.eq([3]), "{ended:?}");
}

/// Guards against a termination that is dated by a reset while an answer was still arriving: the request that caused it
/// began later and was no suspect.
#[test]
fn a_part_of_an_answer_shows_that_the_target_is_up() {
    let mut in_flight = InFlight::default();
    let download = in_flight.start(at(0), request(1), "download");
    in_flight.responding(at(40), download);
    let reset = in_flight.start(at(50), request(2), "reset alone");
    in_flight.connection_broke(at(60), reset);
    in_flight.responding(at(5_000), download);
    let crashing = in_flight.start(at(5_100), request(3), "crashing");
    in_flight.connection_broke(at(5_101), crashing);
    in_flight.connection_broke(at(5_102), download);
    assert_eq!(fingerprints(&mut in_flight, at(5_103)), [1, 3]);
}
