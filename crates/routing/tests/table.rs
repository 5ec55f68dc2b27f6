//! The slice table against a plain model, and its versions.

mod support;

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use support::*;
use wingspar_routing::{Applied, OwnerStatus, SliceTable};
use wingspar_wire::{SliceEntry, SliceStatus, StateVersion};
use wingspar_world::{KeyHash, MonotonicTime, SliceRange};

fn owner_of(table: &SliceTable, key: u64) -> Option<(String, u64)> {
    let owner = table.lookup(&service_name("stoc"), KeyHash(key))?;
    match owner.status {
        OwnerStatus::Served(id) => Some((table.target_name(id).to_string(), owner.fence.sequence)),
        other => panic!("not served: {other:?}"),
    }
}

fn entry(first: u64, last: u64, sequence: u64) -> SliceEntry {
    let range = SliceRange::new(KeyHash(first), KeyHash(last)).unwrap();
    slice(range, sequence, served(&format!("t{}", sequence % 7)))
}

#[test]
fn later_entries_override_earlier_ones() {
    let mut table = SliceTable::default();
    let update = full(
        5,
        vec![
            entry(0, u64::MAX, 1),
            entry(100, 199, 2),
            entry(150, 160, 3),
        ],
    );
    assert_eq!(
        table.apply(MonotonicTime::ZERO, &update),
        Applied::Complete(version(5))
    );
    let expected = [
        (0, 1),
        (99, 1),
        (100, 2),
        (149, 2),
        (150, 3),
        (160, 3),
        (161, 2),
        (200, 1),
    ];
    for (key, sequence) in expected {
        assert_eq!(owner_of(&table, key).unwrap().1, sequence, "key {key}");
    }
    let merge = delta(5, 6, vec![entry(100, 199, 4)]);
    assert_eq!(
        table.apply(MonotonicTime::ZERO, &merge),
        Applied::Complete(version(6))
    );
    assert_eq!(owner_of(&table, 155), Some(("t4".to_owned(), 4)));
    assert_eq!(table.slices(), 3, "the slices inside are gone");
}

quickcheck! {
    /// Any order of overlapping changes gives what a map of single places gives.
    fn agrees_with_a_model(changes: Vec<(u16, u16)>, parts: u8) -> bool {
        let mut table = SliceTable::default();
        let mut model: BTreeMap<u64, u64> = BTreeMap::new();
        let mut entries = Vec::new();
        for (index, (one, other)) in changes.iter().enumerate() {
            let (first, last) = (one.min(other) % 2_000, one.max(other) % 2_000);
            let (first, last) = (u64::from(first.min(last)), u64::from(first.max(last)));
            entries.push(entry(first, last, index as u64 + 1));
            for place in first..=last {
                model.insert(place, index as u64 + 1);
            }
        }
        let size = entries.len() / (usize::from(parts % 4) + 1) + 1;
        let count = entries.chunks(size).count();
        for (number, part) in entries.chunks(size).enumerate() {
            let mut update = full(9, part.to_vec());
            update.more = number + 1 < count;
            table.apply(MonotonicTime::ZERO, &update);
        }
        (0..2_100).all(|place| {
            owner_of(&table, place).map(|(_, sequence)| sequence) == model.get(&place).copied()
        })
    }
}

#[test]
fn many_slices_survive_splits_merges_and_chunk_limits() {
    let mut table = SliceTable::default();
    let width = 1u64 << 40;
    let entries = (0..5_000u64)
        .map(|n| entry(n * width, n * width + width - 1, n + 1))
        .collect();
    table.apply(MonotonicTime::ZERO, &full(1, entries));
    for number in (0..5_000u64).rev() {
        let half = entry(number * width + 7, number * width + 9, 10_000 + number);
        table.apply(
            MonotonicTime::ZERO,
            &delta(1, 2 + 5_000 - number, vec![half]),
        );
    }
    for number in 0..5_000u64 {
        assert_eq!(owner_of(&table, number * width + 6).unwrap().1, number + 1);
        assert_eq!(
            owner_of(&table, number * width + 8).unwrap().1,
            10_000 + number
        );
        assert_eq!(owner_of(&table, number * width + 10).unwrap().1, number + 1);
    }
    let merge = entry(width, 4_000 * width - 1, 20_000);
    table.apply(MonotonicTime::ZERO, &delta(1, 9_000, vec![merge]));
    assert_eq!(owner_of(&table, 2_000 * width).unwrap().1, 20_000);
    assert_eq!(owner_of(&table, 4_000 * width).unwrap().1, 4_001);
    assert_eq!(owner_of(&table, 3).unwrap().1, 1);
    assert!(table.slices() < 1_000 * 3 + 10);
}

#[test]
fn gaps_stale_updates_and_other_generations_change_nothing() {
    let mut table = SliceTable::default();
    let now = MonotonicTime::ZERO;
    let early = delta(3, 4, vec![entry(0, 9, 1)]);
    let have = StateVersion::default();
    assert_eq!(table.apply(now, &early), Applied::Gap { have });
    table.apply(now, &full(5, vec![entry(0, u64::MAX, 1)]));
    let have = version(5);
    assert_eq!(
        table.apply(now, &delta(7, 8, vec![entry(0, 9, 2)])),
        Applied::Gap { have }
    );
    assert_eq!(
        table.apply(now, &delta(3, 5, vec![entry(0, 9, 2)])),
        Applied::Stale
    );
    assert_eq!(
        table.apply(now, &full(4, vec![entry(0, u64::MAX, 2)])),
        Applied::Stale
    );
    let mut other = delta(5, 6, vec![entry(0, 9, 2)]);
    other.since = Some(StateVersion {
        generation: 0,
        sequence: 5,
    });
    assert_eq!(table.apply(now, &other), Applied::Gap { have });
    assert_eq!(owner_of(&table, 5).unwrap().1, 1);
    // A delta from an older version that reaches further is welcome.
    let overlap = delta(4, 6, vec![entry(0, 9, 2)]);
    assert_eq!(table.apply(now, &overlap), Applied::Complete(version(6)));
    assert_eq!(owner_of(&table, 5).unwrap().1, 2);
}

#[test]
fn a_full_table_in_parts_counts_only_when_whole() {
    let mut table = SliceTable::default();
    let now = MonotonicTime::ZERO;
    table.apply(now, &full(5, vec![entry(0, u64::MAX, 1)]));
    let [low, high] = halves();
    let mut first = full(8, vec![slice(low, 2, served("t2"))]);
    first.more = true;
    assert_eq!(table.apply(now, &first), Applied::Partial);
    assert_eq!(owner_of(&table, 0).unwrap().1, 1);
    assert_eq!(table.version(), version(5));
    let second = full(8, vec![slice(high, 3, served("t3"))]);
    assert_eq!(table.apply(now, &second), Applied::Complete(version(8)));
    assert_eq!(owner_of(&table, 0).unwrap().1, 2);
    assert_eq!(owner_of(&table, u64::MAX).unwrap().1, 3);
    assert!(!table.has_holes());
    // The first part of the next one is lost: what is missing is seen as a hole.
    table.apply(now, &full(9, vec![slice(high, 4, served("t3"))]));
    assert!(table.has_holes());
    assert_eq!(owner_of(&table, 0), None);
}

#[test]
fn an_unserved_slice_tells_when_it_is_expected_back() {
    let mut table = SliceTable::default();
    let status = SliceStatus::Unserved {
        retry_after_ms: 1_650,
    };
    let update = full(5, vec![slice(SliceRange::FULL, 1, status)]);
    table.apply(at(1_000), &update);
    let owner = table.lookup(&service_name("stoc"), SOME_KEY).unwrap();
    assert_eq!(owner.status, OwnerStatus::Unserved { until: at(2_700) });
}
