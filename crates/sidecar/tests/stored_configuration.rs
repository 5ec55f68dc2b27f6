//! When a node knows without reading it that the configuration it has is the latest.

use wingspar_ownership::Time;
use wingspar_sidecar::stored_configuration::{Look, OneAtATime, StoredConfiguration};

fn look(revision: u64, asked_at: u64) -> Look {
    Look {
        revision,
        asked_at: Time(asked_at),
    }
}

/// Version 7, last changed at revision 10, read after a look at revision 12.
fn read_once() -> StoredConfiguration {
    let mut known = StoredConfiguration::default();
    assert!(!known.looked(look(12, 100)));
    assert_eq!(known.read(10, 7), None);
    known.read_after(look(12, 100));
    known
}

#[test]
fn nothing_is_known_before_the_first_read() {
    let mut known = StoredConfiguration::default();
    assert!(!known.looked(look(0, 1)));
    assert_eq!(known.version_at(0), None);
}

#[test]
fn what_was_read_is_the_latest_while_the_revision_stays() {
    let mut known = read_once();
    assert!(known.looked(look(12, 200)));
    assert!(!known.looked(look(13, 300)));
    assert_eq!(known.version_at(10), Some(7));
    assert_eq!(known.version_at(12), None);
}

#[test]
fn a_change_that_the_watch_tells_explains_an_earlier_look() {
    let mut known = read_once();
    assert!(!known.looked(look(13, 300)));
    assert!(!known.looked(look(13, 400)));
    assert_eq!(known.read(13, 8), Some(Time(300)));
    assert!(known.looked(look(13, 500)));
}

#[test]
fn a_change_before_the_look_does_not_explain_it() {
    let mut known = read_once();
    assert!(!known.looked(look(15, 300)));
    // Something else was changed at 15.
    assert_eq!(known.read(14, 8), None);
    assert!(!known.looked(look(15, 400)));
    known.read_after(look(15, 400));
    assert!(known.looked(look(15, 500)));
}

#[test]
fn a_read_that_found_a_later_change_than_the_look_reaches_further() {
    let mut known = read_once();
    assert!(!known.looked(look(13, 300)));
    assert_eq!(known.read(14, 8), Some(Time(300)));
    known.read_after(look(13, 300));
    assert!(known.looked(look(14, 400)));
}

#[test]
fn one_read_is_under_way_at_a_time() {
    let reading = OneAtATime::default();
    let turn = reading.begin();
    assert!(turn.is_some());
    assert!(reading.begin().is_none());
    assert!(reading.begin().is_none());
    assert!(reading.is_under_way());
    drop(turn);
    assert!(!reading.is_under_way());
    assert!(reading.begin().is_some());
}
