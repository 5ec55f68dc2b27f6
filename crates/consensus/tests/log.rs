//! Rules of taking in a leader's entries, over arbitrary logs.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use wingspar_consensus::{Entry, EntryId, Log, Payload, SpliceError};

/// Two logs that share a prefix and differ, in terms, from there on.
#[derive(Debug, Clone)]
struct Fork {
    shared: Vec<u64>,
    mine: Vec<u64>,
    theirs: Vec<u64>,
    committed: u64,
    sent_from: u64,
}

impl Arbitrary for Fork {
    fn arbitrary(random: &mut Gen) -> Self {
        let mut draw = |limit: u64| u64::arbitrary(random) % limit;
        let mut terms = |first: u64| {
            let mut term = first;
            let count = draw(8);
            let mut next = || {
                term += draw(3);
                term
            };
            (0..count).map(|_| next()).collect::<Vec<u64>>()
        };
        let shared = terms(1);
        let fork = shared.last().copied().unwrap_or(1);
        let mine = terms(fork + 1);
        let theirs = terms(mine.last().copied().unwrap_or(fork) + 1);
        let length = (shared.len() + theirs.len()) as u64;
        Self {
            committed: draw(shared.len() as u64 + 1),
            sent_from: draw(length + 1),
            shared,
            mine,
            theirs,
        }
    }
}

fn log_of(terms: impl Iterator<Item = u64>) -> Log<u64> {
    let mut log = Log::new(EntryId::default());
    for term in terms {
        log.append(term, Payload::Command(term));
    }
    log
}

fn ids(log: &Log<u64>) -> Vec<EntryId> {
    log.iter().map(|entry| entry.id).collect()
}

fn check(property: fn(Fork) -> bool) {
    let random = Gen::from_size_and_seed(64, 11);
    QuickCheck::new()
        .rng(random)
        .tests(5_000)
        .quickcheck(property);
}

fn sent(fork: &Fork, log: &Log<u64>) -> (EntryId, Vec<Entry<u64>>) {
    let previous = log.id_at(fork.sent_from).expect("within the log");
    let entries = log.copy_from(fork.sent_from + 1, usize::MAX, usize::MAX, |_| 0);
    (previous, entries)
}

#[test]
fn an_accepted_message_makes_the_logs_equal_and_a_refused_one_changes_nothing() {
    check(|fork| {
        let shared = fork.shared.iter().copied();
        let mut mine = log_of(shared.clone().chain(fork.mine.iter().copied()));
        let theirs = log_of(shared.chain(fork.theirs.iter().copied()));
        let before = ids(&mine);
        let (previous, entries) = sent(&fork, &theirs);
        let equal_before = mine.id_at(previous.index) == Some(previous);
        let sent_any = !entries.is_empty();
        match mine.splice(previous, entries, fork.committed, u64::MAX) {
            Ok(splice) => {
                let kept = !sent_any || fork.theirs.is_empty();
                let expected = if kept { before } else { ids(&theirs) };
                equal_before && splice.matched == theirs.last().index && ids(&mine) == expected
            }
            Err(SpliceError::Mismatch { hint }) => {
                let shared = fork.shared.len() as u64;
                // The hint goes back, but never below what is known to be equal.
                let in_range = hint < previous.index && hint >= fork.committed;
                !equal_before && in_range && ids(&mine) == before && previous.index > shared
            }
            Err(_) => false,
        }
    });
}

#[test]
fn what_is_committed_is_never_dropped() {
    check(|fork| {
        let shared = fork.shared.iter().copied();
        let mut mine = log_of(shared.clone().chain(fork.mine.iter().copied()));
        let theirs = log_of(shared.chain(fork.theirs.iter().copied()));
        let committed = mine.last().index;
        let before = ids(&mine);
        let (previous, entries) = sent(&fork, &theirs);
        let result = mine.splice(previous, entries, committed, u64::MAX);
        let kept = ids(&mine).starts_with(&before);
        let conflict = !fork.mine.is_empty() && !fork.theirs.is_empty();
        kept && (!conflict || !matches!(result, Ok(splice) if splice.truncated_from.is_some()))
    });
}

#[test]
fn a_compacted_log_answers_as_the_whole_one() {
    check(|fork| {
        let shared = fork.shared.iter().copied();
        let mut whole = log_of(shared.clone().chain(fork.mine.iter().copied()));
        let theirs = log_of(shared.chain(fork.theirs.iter().copied()));
        let mut cut = whole.clone();
        cut.compact_to(fork.committed);
        let (previous, entries) = sent(&fork, &theirs);
        let expected = whole.splice(previous, entries.clone(), fork.committed, u64::MAX);
        let result = cut.splice(previous, entries, fork.committed, u64::MAX);
        whole.compact_to(fork.committed);
        result == expected && ids(&cut) == ids(&whole) && cut.base() == whole.base()
    });
}

#[test]
fn disorder_is_refused() {
    let mut log = log_of([1, 1].into_iter());
    let entry = |term, index| Entry {
        id: EntryId { term, index },
        payload: Payload::Command(0),
    };
    let previous = EntryId { term: 1, index: 2 };
    let disorders = [
        vec![entry(1, 4)],
        vec![entry(2, 3), entry(1, 4)],
        vec![entry(9, 3)],
    ];
    for entries in disorders {
        let result = log.splice(previous, entries, 0, 5);
        assert_eq!(result, Err(SpliceError::Malformed));
    }
    assert_eq!(log.last(), previous);
}
