//! Granting and releasing keys in the answers to the target's heartbeats.
//!
//! A heartbeat reports what the target holds or still works on, and what it has released. The
//! answer lists everything that the target is to hold from then on; the target releases the rest.
//! So the holder can tell that keys were taken or released only from the next heartbeat, and only a
//! heartbeat that was sent after an answer shows the effect of that answer. The caller drops
//! heartbeats that a later one has overtaken.

use std::time::Duration;

use super::{Announcement, Entry, HOLD_SHARE, Holder, MIN_HOLD, Phase};
use crate::{Fence, Holding, Released, Time, Wanted, step_function};

/// Time that the target gets to apply an answer before requests for new keys are sent to it.
const ANSWER_APPLY_DELAY: Duration = Duration::from_millis(2);
/// A row that is missing from this number of consecutive heartbeats, each sent after an answer that
/// listed it, counts as refused: the target has seen a higher fence.
const MAX_ROW_MISSES: u8 = 3;
/// The hold in an answer without rows, which makes the target release everything.
const EMPTY_ANSWER_HOLD: Duration = Duration::from_secs(1);
/// Most bytes of an answer that rows may take; the target ignores an answer of over 4 KiB.
const MAX_ROW_BYTES: usize = 3_900;
/// Bytes that a row takes without its handover state.
const ROW_BYTES: usize = 36;

/// A heartbeat's report about the target's keys.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct KeyReport {
    /// What the target holds or still works on.
    pub holds: Vec<Holding>,
    /// What the target has released since its last acknowledged heartbeat.
    pub released: Vec<Released>,
}

/// Everything that a target is to hold, in the answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyAssignment {
    /// The ranges with their fences.
    pub rows: Vec<Wanted>,
    /// How long the target may hold them, from when it sent the heartbeat.
    pub hold: Duration,
}

impl Holder {
    /// Handles a heartbeat's report; `now` is when the heartbeat arrived.
    pub fn reported(&mut self, now: Time, report: &KeyReport) {
        self.drop_stale(now);
        if !self.clean {
            self.confirm_cleared(now, report);
            return;
        }
        let mut entries = Vec::with_capacity(self.entries.len());
        for entry in std::mem::take(&mut self.entries) {
            if entry.phase == Phase::Releasing {
                self.record_release(now, entry, report, &mut entries);
            } else {
                compare(&entry, &report.holds, &mut entries);
            }
        }
        self.entries = entries;
        self.abandon_refused(now);
    }

    /// Abandons grants that the target keeps refusing; its heartbeats show that it doesn't hold
    /// them.
    fn abandon_refused(&mut self, now: Time) {
        let is_refused = |entry: &Entry| entry.misses >= MAX_ROW_MISSES;
        let refused = self.entries.iter().filter(|entry| is_refused(entry));
        let fences = refused.map(|entry| entry.fence).collect::<Vec<_>>();
        for fence in fences {
            self.abandon_outranked(now, fence, is_refused);
        }
    }

    /// A heartbeat names an unkeyed service, whose targets hold no keys. The heartbeat may be a late
    /// one of an earlier life, so what an earlier process granted counts as gone only once its
    /// lease has expired.
    pub fn set_unkeyed(&mut self, now: Time) {
        self.clean |= now >= self.earlier_leases_until;
    }

    /// An earlier process may have answered the target's last heartbeats. So a report counts only
    /// once the target may have processed an answer of this process, and the leases of the earlier
    /// one have expired: before that, the heartbeat may be a late one from before its last grants.
    fn confirm_cleared(&mut self, now: Time, report: &KeyReport) {
        let released = report.released.iter().cloned();
        self.released
            .extend(released.map(|released| (released, Fence::default(), now)));
        let have_leases_expired = now >= self.earlier_leases_until;
        if self.is_clearing && have_leases_expired && report.holds.is_empty() {
            self.is_clearing = false;
            self.clean = true;
        }
    }

    /// Records the parts of a releasing entry as released that the target no longer reports, once
    /// an answer has left the entry out.
    fn record_release(
        &mut self,
        now: Time,
        entry: Entry,
        report: &KeyReport,
        kept: &mut Vec<Entry>,
    ) {
        if entry.told == Announcement::NotSent {
            kept.push(entry);
            return;
        }
        let mut gone = vec![entry.range];
        for holding in &report.holds {
            gone = gone
                .into_iter()
                .flat_map(|part| part.without(holding.range))
                .collect();
            if let Some(range) = entry.range.intersection(holding.range) {
                kept.push(Entry {
                    range,
                    ..entry.clone()
                });
            }
        }
        let fence = entry.fence.for_release();
        for range in gone {
            let told = report
                .released
                .iter()
                .find(|told| told.range.overlaps(range));
            let released = Released {
                range,
                handover: told.and_then(|told| told.handover.clone()),
            };
            self.released.push((released, fence, now));
        }
    }

    /// Whether an answer sent now would contain a change that hasn't been sent to the target yet.
    pub fn has_changes(&self, now: Time) -> bool {
        if !self.clean {
            return !self.is_clearing;
        }
        let can_hold = self.remaining_hold(now) >= MIN_HOLD;
        can_hold
            && self.entries.iter().any(|entry| {
                entry.told == Announcement::NotSent
                    && (entry.phase == Phase::Releasing || !self.is_blocked(entry))
            })
    }

    /// The answer to a heartbeat that arrived at `arrived_at`; `None` without a lease to grant keys
    /// under.
    pub fn answer(&mut self, now: Time, arrived_at: Time) -> Option<KeyAssignment> {
        self.drop_stale(now);
        if !self.clean {
            self.is_clearing = true;
            return Some(KeyAssignment {
                rows: Vec::new(),
                hold: EMPTY_ANSWER_HOLD,
            });
        }
        // The target counts from when it sent the heartbeat, which was before it arrived.
        let hold = self.remaining_hold(arrived_at);
        if hold < MIN_HOLD || self.remaining_hold(now) < MIN_HOLD {
            return None;
        }
        let mut rows = Vec::new();
        for phase in [Phase::Held, Phase::Granting] {
            self.add_rows(phase, now, arrived_at + hold, &mut rows);
        }
        let left_out = |entry: &&mut Entry| entry.phase == Phase::Releasing;
        for entry in self.entries.iter_mut().filter(left_out) {
            entry.told = Announcement::Sent;
        }
        Some(KeyAssignment { rows, hold })
    }

    /// Adds the ranges of a phase to an answer as far as they fit. The caller adds those that the
    /// target holds first.
    fn add_rows(&mut self, phase: Phase, now: Time, until: Time, rows: &mut Vec<Wanted>) {
        let selected = (0..self.entries.len())
            .filter(|index| self.entries[*index].phase == phase)
            .filter(|index| !self.is_blocked(&self.entries[*index]));
        let mut selected = selected.collect::<Vec<_>>();
        selected.sort_by_key(|index| self.entries[*index].range);
        let mut bytes = rows.iter().map(bytes_of).sum::<usize>();
        let mut joins = false;
        for index in selected {
            let entry = &self.entries[index];
            let row = Wanted {
                range: entry.range,
                fence: entry.fence,
                handover: entry.handover.clone(),
            };
            // A target accepts or refuses a row as a whole, so only ranges that the target has
            // confirmed are merged.
            let is_confirmed = entry.told == Announcement::Confirmed;
            match rows.last_mut() {
                Some(last) if is_confirmed && joins && is_continued_by(last, &row) => {
                    last.range.to = row.range.to;
                }
                _ if bytes + bytes_of(&row) > MAX_ROW_BYTES => continue,
                _ => {
                    bytes += bytes_of(&row);
                    rows.push(row);
                }
            }
            joins = is_confirmed;
            self.mark_listed(index, now, until);
        }
    }

    /// Records that an answer lists an entry.
    fn mark_listed(&mut self, index: usize, now: Time, until: Time) {
        let lease_until = self.lease_until;
        let entry = &mut self.entries[index];
        if entry.phase == Phase::Granting {
            entry.serve_from = now + ANSWER_APPLY_DELAY;
        }
        entry.phase = Phase::Held;
        if entry.told == Announcement::NotSent {
            entry.told = Announcement::Sent;
        }
        entry.serve_until = entry.serve_until.max(until);
        entry.may_hold_until = lease_until;
    }

    /// The longest hold that an answer may grant the target, counted from `from`.
    fn remaining_hold(&self, from: Time) -> Duration {
        let left = self.lease_until.since(from);
        left.mul_f64(HOLD_SHARE).min(self.timing.max_hold)
    }

    /// Whether the target still has to release keys of this entry that it holds under another
    /// fence.
    fn is_blocked(&self, entry: &Entry) -> bool {
        entry.phase == Phase::Granting
            && self
                .entries
                .iter()
                .any(|other| other.phase == Phase::Releasing && other.range.overlaps(entry.range))
    }
}

/// Bytes that a row takes in an answer.
fn bytes_of(row: &Wanted) -> usize {
    ROW_BYTES + row.handover.as_ref().map_or(0, String::len)
}

/// Whether `row` begins right after the last key of `before`, under the same fence.
fn is_continued_by(before: &Wanted, row: &Wanted) -> bool {
    let follows = u32::from(before.range.to) + 1 == u32::from(row.range.from);
    follows && before.fence == row.fence
}

/// Splits an entry into the parts that a heartbeat reports as held under its fence, and the rest.
fn compare(entry: &Entry, holds: &[Holding], split: &mut Vec<Entry>) {
    let same = holds.iter().filter(|held| held.fence == entry.fence);
    let reported = same.filter_map(|held| held.range.intersection(entry.range));
    let reported = step_function::union(reported.collect());
    let mut missing = vec![entry.range];
    for range in &reported {
        missing = missing
            .into_iter()
            .flat_map(|part| part.without(*range))
            .collect();
    }
    split.extend(reported.into_iter().map(|range| Entry {
        range,
        handover: None,
        phase: Phase::Held,
        told: Announcement::Confirmed,
        misses: 0,
        ..entry.clone()
    }));
    let missed = u8::from(entry.told != Announcement::NotSent);
    split.extend(missing.into_iter().map(|range| Entry {
        range,
        phase: Phase::Granting,
        told: Announcement::NotSent,
        misses: entry.misses + missed,
        ..entry.clone()
    }));
}
