//! Changes between versions lead from the one to the other, and only there.

mod common;

use common::configuration;
use quickcheck::quickcheck;
use wingspar_routes::{ChangeLog, Configuration, ConfigurationChanges};

fn follow(log: &mut ChangeLog, old: &Configuration, new: &Configuration) {
    let changes = ConfigurationChanges::between(old, new).expect("names tell all apart");
    log.append(changes, new);
}

quickcheck! {
    fn changes_lead_to_the_later_version(old: Vec<(u8, u8)>, new: Vec<(u8, u8)>) -> bool {
        let old = configuration(1, &old);
        let new = configuration(2, &new);
        let changes = ConfigurationChanges::between(&old, &new).expect("names tell all apart");
        let mut changed = old.clone();
        changes.apply(&mut changed) && changed == new
    }

    fn a_log_leads_from_any_version_that_it_knows_to_the_latest(versions: Vec<Vec<(u8, u8)>>) -> bool {
        let versions = versions
            .iter()
            .enumerate()
            .map(|(index, routes)| configuration(index as u64 * 3 + 1, routes))
            .collect::<Vec<_>>();
        let mut log = ChangeLog::default();
        for pair in versions.windows(2) {
            follow(&mut log, &pair[0], &pair[1]);
        }
        versions.iter().all(|from| {
            let Some(changes) = log.since(from.version) else {
                return true;
            };
            let mut changed = from.clone();
            changes.iter().all(|changes| changes.apply(&mut changed))
                && &changed == versions.last().expect("there is one")
        })
    }
}

#[test]
fn changes_of_another_version_change_nothing() {
    let old = configuration(4, &[(1, 1)]);
    let new = configuration(5, &[(2, 2)]);
    let changes = ConfigurationChanges::between(&old, &new).expect("names tell all apart");
    let mut other = configuration(3, &[(7, 7)]);
    let before = other.clone();
    assert!(!changes.apply(&mut other));
    assert_eq!(other, before);
}

#[test]
fn a_log_knows_small_changes_and_forgets_what_is_no_longer_worth_telling() {
    let routes = |count: u8| (0..count).map(|name| (name, name)).collect::<Vec<_>>();
    let mut log = ChangeLog::default();
    let first = configuration(1, &routes(40));
    let second = configuration(2, &routes(41));
    follow(&mut log, &first, &second);
    assert_eq!(log.since(1).map(|changes| changes.len()), Some(1));
    assert!(log.since(2).is_none(), "nothing has followed it");
    // Most of it differs: whoever lags is better given all of it.
    let third = configuration(3, &routes(200));
    follow(&mut log, &second, &third);
    assert!(log.since(1).is_none() && log.since(2).is_none());
}

#[test]
fn names_that_stand_twice_are_told_as_a_whole() {
    let old = configuration(1, &[(1, 1)]);
    let mut new = configuration(2, &[(1, 1)]);
    let again = new.routes.iter().next().expect("there is one").clone();
    new.routes.add(again);
    assert_eq!(ConfigurationChanges::between(&old, &new), None);
    assert_eq!(ConfigurationChanges::between(&new, &old), None);
}

#[test]
fn changes_that_lead_to_no_later_version_change_nothing() {
    let old = configuration(5, &[(1, 1)]);
    for version in [4, 5] {
        let new = configuration(version, &[(2, 2)]);
        let changes = ConfigurationChanges::between(&old, &new).expect("names tell all apart");
        let mut changed = old.clone();
        assert!(!changes.apply(&mut changed), "{version}");
        assert_eq!(changed, old);
    }
}
