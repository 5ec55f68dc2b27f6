//! Which nodes should lead.

use std::collections::BTreeSet;

use wingspar_ownership::{Fitness, TargetState};

fn target(service: &str, accepting: bool) -> TargetState {
    TargetState {
        id: "t".to_owned(),
        service: service.to_owned(),
        accepting,
        slots: 8,
        starts_per_s: None,
    }
}

fn fitness(service: &str, link_mbps: Option<f64>, members: usize) -> Fitness {
    let keyed = BTreeSet::from(["keyed".to_owned()]);
    Fitness::of(Some(&target(service, true)), &keyed, link_mbps, members)
}

#[test]
fn a_node_whose_target_owns_no_keys_comes_first() {
    assert_eq!(fitness("plain", None, 50), Fitness::Free);
    assert_eq!(fitness("keyed", None, 50), Fitness::Burdened);
    let leaving = target("plain", false);
    let keyed = BTreeSet::new();
    assert_eq!(
        Fitness::of(Some(&leaving), &keyed, None, 50),
        Fitness::Burdened
    );
    assert_eq!(Fitness::of(None, &keyed, None, 50), Fitness::Burdened);
}

#[test]
fn a_link_is_weak_for_many_members_only() {
    assert_eq!(fitness("plain", Some(10.0), 59), Fitness::Free);
    assert_eq!(fitness("plain", Some(10.0), 300), Fitness::WeakLink);
    assert_eq!(fitness("keyed", Some(200.0), 300), Fitness::Burdened);
    assert_eq!(fitness("plain", Some(1_000.0), 3_000), Fitness::Free);
}

#[test]
fn before_members_are_known_a_strong_link_comes_first() {
    assert_eq!(fitness("plain", Some(10.0), 0), Fitness::WeakLink);
    assert!(
        fitness("keyed", Some(200.0), 0).handicap() < fitness("plain", Some(10.0), 0).handicap()
    );
}
