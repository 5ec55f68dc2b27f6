//! Seeded runs of whole clusters, and runs that must fail because a mechanism is taken away.

mod support;

use std::thread;

use support::chaos::Scenario;
use support::network::Forgery;
use wingspar_consensus::Counters;

const THREADS: u64 = 4;
const SEEDS: u64 = 900;
const SABOTAGED_SEEDS: u64 = 150;

/// Runs seeds on a few threads and returns what each gave, in order of threads.
fn run_all(seeds: u64, scenario: impl Fn(u64) -> Scenario + Sync) -> Vec<Result<Counters, String>> {
    let work = |thread: u64| {
        let mine = (0..seeds).filter(move |seed| seed % THREADS == thread);
        mine.map(|seed| scenario(seed).run()).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let threads = (0..THREADS).map(|thread| scope.spawn(move || work(thread)));
        let threads: Vec<_> = threads.collect();
        let results = threads
            .into_iter()
            .map(|thread| thread.join().expect("no panic"));
        results.flatten().collect()
    })
}

#[test]
fn seeds_keep_every_invariant_and_recover() {
    let results = run_all(SEEDS, Scenario::sound);
    let failures: Vec<_> = results.iter().filter_map(|it| it.as_ref().err()).collect();
    assert!(
        failures.is_empty(),
        "{} failed: {:#?}",
        failures.len(),
        &failures[..failures.len().min(5)]
    );
    let total = |count: fn(&Counters) -> u64| -> u64 { results.iter().flatten().map(count).sum() };
    let reached = [
        ("elections", total(|it| it.elections_won)),
        ("quorum losses", total(|it| it.quorum_losses)),
        ("transfers", total(|it| it.transfers)),
        ("snapshots", total(|it| it.snapshots_installed)),
        ("truncations", total(|it| it.entries_truncated)),
        ("refusals for the lease", total(|it| it.refused_for_lease)),
        ("excluded senders", total(|it| it.excluded_sender)),
    ];
    println!("{reached:?}");
    for (what, count) in reached {
        assert!(count > 0, "the seeds never reached: {what}");
    }
    assert_eq!(
        total(|it| it.malformed),
        0,
        "sound peers sent malformed messages"
    );
}

/// The checker must complain in some of the seeds, and with the words expected.
fn expect_complaint(words: &[&str], scenario: impl Fn(u64) -> Scenario + Sync) {
    let results = run_all(SABOTAGED_SEEDS, scenario);
    let failures: Vec<_> = results.into_iter().filter_map(Result::err).collect();
    let matching = failures
        .iter()
        .filter(|it| words.iter().any(|word| it.contains(word)));
    println!(
        "{} of {SABOTAGED_SEEDS} seeds failed, such as {:?}",
        failures.len(),
        failures.first()
    );
    assert!(matching.count() > 0, "the checker missed it: {failures:?}");
}

#[test]
fn checker_sees_a_restart_under_the_old_id() {
    expect_complaint(&["committed entry lost", "two leaders"], |seed| Scenario {
        amnesia: true,
        ..Scenario::sound(seed)
    });
}

#[test]
fn checker_sees_votes_without_the_log_restriction() {
    expect_complaint(&["committed entry lost"], |seed| Scenario {
        forgery: Forgery::LogClaims,
        ..Scenario::sound(seed)
    });
}

#[test]
fn checker_sees_votes_given_under_a_lease() {
    expect_complaint(&["lease:"], |seed| Scenario {
        forgery: Forgery::TransferClaims,
        ..Scenario::sound(seed)
    });
}

#[test]
fn checker_sees_leases_counted_from_the_answer() {
    expect_complaint(&["lease:"], |seed| Scenario {
        forgery: Forgery::Echoes,
        ..Scenario::sound(seed)
    });
}

#[test]
fn checker_sees_clocks_beyond_the_drift_bound() {
    expect_complaint(&["lease:"], |seed| Scenario {
        drift_ppm: 600_000,
        ..Scenario::sound(seed)
    });
}
