//! Lookup, change and memory of a million-slice table against a `BTreeMap` of the same slices.
//!
//! Run with `cargo bench -p wingspar-routing --bench lookup`. The bounds are ratios of two
//! measurements of one run, so that a slow machine does not fail them; exits 1 if one is broken.
//! Absolute figures are printed for reading only.

use std::collections::{BTreeMap, HashMap};
use std::hint::black_box;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wingspar_routing::SliceTable;
use wingspar_wire::{SliceEntry, SliceStatus, StateVersion, TableUpdate};
use wingspar_world::{Fence, GroupId, KeyHash, MonotonicTime, ServiceName, SliceRange, TargetName};

const SLICES: u32 = 1_000_000;
const TARGETS: u64 = 400;
const LOOKUPS: usize = 2_000_000;
const CHANGES: usize = 20_000;
const ROUNDS: usize = 5;
/// Longest accepted time of a lookup, as a multiple of the baseline's.
const MAX_LOOKUP_RATIO: f64 = 0.5;
/// The same in a table whose slices crowd in one place, which defeats the table's guesses.
const MAX_CROWDED_RATIO: f64 = 1.0;
/// Longest accepted time of a change of one slice, as a multiple of the baseline's.
const MAX_CHANGE_RATIO: f64 = 3.0;
/// Most accepted memory of a slice in bytes; a count of bytes, not a measurement.
const MAX_SLICE_BYTES: f64 = 40.0;

type Baseline = HashMap<ServiceName, BTreeMap<u64, (u64, Fence, TargetName)>>;

fn main() {
    let mut random = ChaCha8Rng::seed_from_u64(20);
    let service = ServiceName::new("stoc").expect("valid");
    let entries = entries(&service, SliceRange::partition(SLICES));
    let mut table = SliceTable::default();
    let load = timed(|| table.apply(MonotonicTime::ZERO, &update(None, 1, entries.clone())));
    let mut baseline = baseline(&entries);
    let bytes = table.heap_bytes() as f64 / f64::from(SLICES);
    let keys: Vec<KeyHash> = (0..LOOKUPS).map(|_| KeyHash(random.random())).collect();

    let (lookup, lookup_baseline) = lookups(&table, &baseline, &service, &keys);
    let (change, change_baseline) = changes(&mut table, &mut baseline, &entries, &mut random);
    let after = table.heap_bytes() as f64 / f64::from(SLICES);
    let (crowded, crowded_baseline) = crowded_lookups(&service, &mut random);

    println!("slices                      {SLICES}");
    println!(
        "load of the whole table     {:.0} ms",
        load.as_secs_f64() * 1e3
    );
    println!("lookup                      {lookup:.0} ns (BTreeMap {lookup_baseline:.0} ns)");
    println!("lookup, crowded             {crowded:.0} ns (BTreeMap {crowded_baseline:.0} ns)");
    println!("change of one slice         {change:.0} ns (BTreeMap {change_baseline:.0} ns)");
    println!("memory a slice              {bytes:.1} bytes, after changes {after:.1}");
    let bounds = [
        (
            "lookup / BTreeMap",
            lookup / lookup_baseline,
            MAX_LOOKUP_RATIO,
        ),
        (
            "crowded / BTreeMap",
            crowded / crowded_baseline,
            MAX_CROWDED_RATIO,
        ),
        (
            "change / BTreeMap",
            change / change_baseline,
            MAX_CHANGE_RATIO,
        ),
        ("bytes a slice", bytes.max(after), MAX_SLICE_BYTES),
    ];
    let mut is_broken = false;
    for (name, value, bound) in bounds {
        let verdict = if value <= bound { "ok" } else { "BROKEN" };
        println!("{name:<27} {value:.2} (bound {bound:.2}) {verdict}");
        is_broken |= value > bound;
    }
    std::process::exit(i32::from(is_broken));
}

/// Half of the slices lie in one thousandth of the ring, and half of the lookups go there.
fn crowded_lookups(service: &ServiceName, random: &mut ChaCha8Rng) -> (f64, f64) {
    const CROWD: u64 = u64::MAX / 1_000;
    let half = SLICES / 2;
    let mut starts = Vec::with_capacity(SLICES as usize);
    starts.extend((0..u64::from(half)).map(|number| CROWD / u64::from(half) * number));
    let rest = (u64::MAX - CROWD) / u64::from(half);
    starts.extend((0..u64::from(half)).map(|number| CROWD + rest * number));
    let ends = starts
        .iter()
        .skip(1)
        .map(|start| start - 1)
        .chain([u64::MAX]);
    let ranges = starts.iter().zip(ends);
    let ranges = ranges.map(|(first, last)| SliceRange::new(KeyHash(*first), KeyHash(last)));
    let ranges = ranges
        .map(|range| range.expect("ends are in order"))
        .collect();
    let entries = entries(service, ranges);
    let mut table = SliceTable::default();
    table.apply(MonotonicTime::ZERO, &update(None, 1, entries.clone()));
    let key = |number: usize| match number % 2 {
        0 => KeyHash(random.random_range(0..CROWD)),
        _ => KeyHash(random.random()),
    };
    let keys: Vec<KeyHash> = (0..LOOKUPS).map(key).collect();
    lookups(&table, &baseline(&entries), service, &keys)
}

fn entries(service: &ServiceName, ranges: Vec<SliceRange>) -> Vec<SliceEntry> {
    let entry = |(number, range): (u64, SliceRange)| SliceEntry {
        service: service.clone(),
        range,
        fence: Fence {
            generation: 1,
            sequence: number + 1,
        },
        status: SliceStatus::Served(target(number)),
    };
    (0..).zip(ranges).map(entry).collect()
}

fn target(number: u64) -> TargetName {
    TargetName::new(&format!("stoc-{}", number % TARGETS)).expect("valid")
}

fn update(since: Option<u64>, sequence: u64, slices: Vec<SliceEntry>) -> TableUpdate {
    let version = |sequence| StateVersion {
        generation: 1,
        sequence,
    };
    TableUpdate {
        group: GroupId(0),
        since: since.map(version),
        version: version(sequence),
        slices,
        targets: Vec::new(),
        more: false,
    }
}

fn baseline(entries: &[SliceEntry]) -> Baseline {
    let mut baseline = Baseline::new();
    for entry in entries {
        change_baseline(&mut baseline, entry);
    }
    baseline
}

fn change_baseline(baseline: &mut Baseline, entry: &SliceEntry) {
    let SliceStatus::Served(target) = &entry.status else {
        unreachable!("all slices are served");
    };
    let slices = match baseline.get_mut(&entry.service) {
        Some(slices) => slices,
        None => baseline.entry(entry.service.clone()).or_default(),
    };
    let value = (entry.range.last.0, entry.fence, target.clone());
    slices.insert(entry.range.first.0, value);
}

/// Nanoseconds of one lookup in the table and in the baseline: the best of several rounds, taken
/// in turn.
fn lookups(
    table: &SliceTable,
    baseline: &Baseline,
    service: &ServiceName,
    keys: &[KeyHash],
) -> (f64, f64) {
    let (mut ours, mut theirs) = (Duration::MAX, Duration::MAX);
    for _ in 0..ROUNDS {
        ours = ours.min(timed(|| {
            for key in keys {
                black_box(table.lookup(service, *key));
            }
        }));
        theirs = theirs.min(timed(|| {
            for key in keys {
                let found = baseline[service].range(..=key.0).next_back();
                black_box(found.filter(|(_, (last, _, _))| key.0 <= *last));
            }
        }));
    }
    (nanos_each(ours, keys.len()), nanos_each(theirs, keys.len()))
}

/// Nanoseconds of one change of owner, one update each, in the table and in the baseline.
fn changes(
    table: &mut SliceTable,
    baseline: &mut Baseline,
    entries: &[SliceEntry],
    random: &mut ChaCha8Rng,
) -> (f64, f64) {
    let (mut ours, mut theirs) = (Duration::MAX, Duration::MAX);
    let mut sequence = u64::from(SLICES);
    for _ in 0..ROUNDS {
        let mut updates = Vec::with_capacity(CHANGES);
        for _ in 0..CHANGES {
            sequence += 1;
            let mut entry = entries[random.random_range(0..entries.len())].clone();
            entry.fence.sequence = sequence;
            entry.status = SliceStatus::Served(target(sequence));
            updates.push(update(Some(1), sequence, vec![entry]));
        }
        ours = ours.min(timed(|| {
            for update in &updates {
                black_box(table.apply(MonotonicTime::ZERO, update));
            }
        }));
        theirs = theirs.min(timed(|| {
            for update in &updates {
                change_baseline(baseline, &update.slices[0]);
            }
        }));
    }
    (nanos_each(ours, CHANGES), nanos_each(theirs, CHANGES))
}

fn timed<Value>(work: impl FnOnce() -> Value) -> Duration {
    let started = Instant::now();
    black_box(work());
    started.elapsed()
}

fn nanos_each(duration: Duration, count: usize) -> f64 {
    duration.as_secs_f64() * 1e9 / count as f64
}
