//! How often a node asks whether there is a later configuration.

use std::time::Duration;

use quickcheck::quickcheck;
use wingspar_ownership::Time;
use wingspar_sidecar::configuration_doubts::CheckRate;

/// Checks that begin within a time if each is asked for again and again and finds nothing.
fn checks_within(rate: &mut CheckRate, from: u64, until: u64) -> usize {
    let mut checks = 0;
    for now in (from..until).map(Time) {
        if rate.allows(now) {
            checks += 1;
            rate.found_nothing(now);
        }
    }
    checks
}

#[test]
fn checks_that_find_nothing_become_rare() {
    let mut rate = CheckRate::default();
    assert!(rate.allows(Time(1_000)));
    let first_minute = checks_within(&mut rate, 1_000, 61_000);
    assert!((8..=12).contains(&first_minute), "{first_minute}");
    let second_minute = checks_within(&mut rate, 61_000, 121_000);
    assert!((7..=8).contains(&second_minute), "{second_minute}");
}

#[test]
fn a_later_configuration_lets_checks_begin_at_once_again() {
    let mut rate = CheckRate::default();
    checks_within(&mut rate, 0, 60_000);
    assert!(!rate.allows(Time(60_001)));
    rate.found_later();
    assert!(rate.allows(Time(60_001)));
}

quickcheck! {
    /// Whenever requests come, no two checks are nearer than half a second while none finds anything.
    fn checks_keep_their_distance(gaps: Vec<u16>) -> bool {
        let mut rate = CheckRate::default();
        let mut now = Time(0);
        let mut last = None::<Time>;
        gaps.into_iter().all(|gap| {
            now = now + Duration::from_millis(u64::from(gap % 1_500));
            if !rate.allows(now) {
                return true;
            }
            rate.found_nothing(now);
            let before = last.replace(now);
            before.is_none_or(|before| now.since(before) >= Duration::from_millis(500))
        })
    }
}
