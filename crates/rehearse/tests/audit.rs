//! The audit finds each kind of broken promise, and none where all hold.

use wingspar_rehearse::audit::{Broken, Evidence, check};
use wingspar_rehearse::load::{Outcome, Record, RequestKind};
use wingspar_standins::backend::{JournalEntry, JournalOutcome, Violation};
use wingspar_world::KeyHash;

fn record(call: u64, outcome: Outcome) -> Record {
    Record {
        call,
        attempt: 1,
        request_id: format!("run-{call}-1"),
        service: 0,
        kind: RequestKind::Read,
        key: Some(KeyHash(call)),
        due_us: 0,
        end_us: 10,
        outcome,
        status: 200,
        reason: String::new(),
        retry_after_ms: None,
        wrong_answer: false,
    }
}

fn effect(call: u64, server: &str) -> JournalEntry {
    JournalEntry {
        sequence: call,
        server: server.to_owned(),
        request_id: format!("run-{call}-1"),
        idempotency_key: None,
        service: "stoc".to_owned(),
        method: "GET".to_owned(),
        key_hash: Some(KeyHash(call).to_string()),
        fence: Some("1.1".to_owned()),
        started_us: 100_000 * call,
        finished_us: Some(100_000 * call + 50_000),
        outcome: JournalOutcome::Completed,
        reason: None,
    }
}

fn audit(records: &[Record], journals: &[JournalEntry]) -> Vec<Broken> {
    check(Evidence {
        records,
        journals,
        complete: true,
    })
}

#[test]
fn kept_promises_pass() {
    let records = [
        record(1, Outcome::Ran),
        record(2, Outcome::NotRun),
        record(3, Outcome::Unknown),
        record(4, Outcome::Unknown),
    ];
    let journals = [effect(1, "stoc-1"), effect(3, "stoc-2")];
    assert_eq!(audit(&records, &journals), []);
}

#[test]
fn a_request_told_not_run_that_ran_is_found() {
    let broken = audit(&[record(1, Outcome::NotRun)], &[effect(1, "stoc-1")]);
    assert!(
        matches!(broken[..], [Broken::FalseNotRun { .. }]),
        "{broken:?}"
    );
}

#[test]
fn a_request_told_ran_that_nobody_ran_is_found() {
    let broken = audit(&[record(1, Outcome::Ran)], &[]);
    assert!(
        matches!(broken[..], [Broken::FalseRan { .. }]),
        "{broken:?}"
    );
}

#[test]
fn an_answer_of_another_request_is_found() {
    let mut wrong = record(1, Outcome::Ran);
    wrong.wrong_answer = true;
    let broken = audit(&[wrong], &[effect(1, "stoc-1")]);
    assert!(
        matches!(broken[..], [Broken::WrongAnswer { .. }]),
        "{broken:?}"
    );
}

#[test]
fn two_owners_at_once_are_found() {
    let other = JournalEntry {
        request_id: "run-9-1".to_owned(),
        fence: Some("1.2".to_owned()),
        started_us: 120_000,
        finished_us: Some(130_000),
        ..effect(1, "stoc-2")
    };
    let broken = audit(&[record(1, Outcome::Ran)], &[effect(1, "stoc-1"), other]);
    let overlap = |one: &Broken| matches!(one, Broken::Journals(Violation::Overlap { .. }));
    assert!(broken.iter().any(overlap), "{broken:?}");
}
