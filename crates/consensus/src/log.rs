//! The replicated log: entries above a base that compaction moves up.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Membership;

/// A place in the history of a group; ordered by generation, then term, then index.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The group's generation.
    pub generation: u32,
    /// The leader's term within the generation.
    pub term: u64,
    /// The entry's index; never falls, also across generations.
    pub index: u64,
}

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}.{}",
            self.generation, self.term, self.index
        )
    }
}

/// A place in the log of one generation; of two logs, the one whose last id is greater is the more
/// up to date.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct EntryId {
    /// The leader's term.
    pub term: u64,
    /// The entry's index.
    pub index: u64,
}

impl EntryId {
    /// Adds the generation.
    pub fn in_generation(self, generation: u32) -> LogPosition {
        LogPosition {
            generation,
            term: self.term,
            index: self.index,
        }
    }
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Payload<C> {
    /// First entry of a term; commits what earlier terms left.
    Noop,
    /// A command for the state machine.
    Command(C),
    /// The membership from here on.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Where it stands.
    pub id: EntryId,
    /// What it holds.
    pub payload: Payload<C>,
}

/// What a log did with a leader's entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Splice {
    /// The log equals the leader's up to this index.
    pub matched: u64,
    /// First index whose entry was dropped because it differed.
    pub truncated_from: Option<u64>,
    /// Number of entries dropped.
    pub truncated: u64,
    /// First index whose entry is new.
    pub appended_from: Option<u64>,
}

/// Why a log took none of a leader's entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SpliceError {
    /// The entry before them is missing or differs.
    #[error("no match before the entries; the logs may be equal up to {hint}")]
    Mismatch {
        /// Highest index that may still be equal.
        hint: u64,
    },
    /// The entries have gaps, falling terms, or terms beyond the leader's.
    #[error("the entries are not in order")]
    Malformed,
    /// The entries contradict what is committed.
    #[error("the entries contradict the committed entry {0}")]
    CommittedConflict(u64),
}

/// Entries above a base.
#[derive(Debug, Clone)]
pub struct Log<C> {
    base: EntryId,
    entries: VecDeque<Entry<C>>,
}

impl<C: Clone> Log<C> {
    /// An empty log above a base.
    pub fn new(base: EntryId) -> Self {
        Self {
            base,
            entries: VecDeque::new(),
        }
    }

    /// The last entry no longer held.
    pub fn base(&self) -> EntryId {
        self.base
    }

    /// The last entry, or the base of an empty log.
    pub fn last(&self) -> EntryId {
        self.entries.back().map_or(self.base, |entry| entry.id)
    }

    /// The entry at an index, if it is held.
    pub fn get(&self, index: u64) -> Option<&Entry<C>> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries held, in order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry<C>> {
        self.entries.iter()
    }

    /// The id of the entry at an index; known for the base, too.
    pub fn id_at(&self, index: u64) -> Option<EntryId> {
        if index == self.base.index {
            return Some(self.base);
        }
        self.get(index).map(|entry| entry.id)
    }

    /// Appends an entry of a leader's own.
    pub fn append(&mut self, term: u64, payload: Payload<C>) -> EntryId {
        let index = self.last().index + 1;
        let id = EntryId { term, index };
        self.entries.push_back(Entry { id, payload });
        id
    }

    /// Copies entries from an index on, within limits of count and size, at least one if any.
    pub fn copy_from(
        &self,
        index: u64,
        max_entries: usize,
        max_bytes: usize,
        bytes_of: impl Fn(&Payload<C>) -> usize,
    ) -> Vec<Entry<C>> {
        let Some(offset) = index.checked_sub(self.base.index + 1) else {
            return Vec::new();
        };
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        let mut copied = Vec::new();
        let mut bytes = 0_usize;
        for entry in self.entries.iter().skip(offset).take(max_entries) {
            bytes = bytes.saturating_add(bytes_of(&entry.payload));
            if bytes > max_bytes && !copied.is_empty() {
                break;
            }
            copied.push(entry.clone());
        }
        copied
    }

    /// Takes in a leader's entries: entries that differ are dropped with all that follow, entries
    /// already held stay, also those beyond the leader's last one sent. `committed` is the commit
    /// index, below which nothing is ever dropped; `leader_term` bounds the entries' terms.
    pub fn splice(
        &mut self,
        previous: EntryId,
        entries: Vec<Entry<C>>,
        committed: u64,
        leader_term: u64,
    ) -> Result<Splice, SpliceError> {
        check_order(previous, &entries, leader_term)?;
        self.check_previous(previous, committed)?;
        let mut splice = Splice {
            matched: (previous.index + entries.len() as u64).max(self.base.index),
            truncated_from: None,
            truncated: 0,
            appended_from: None,
        };
        for entry in entries {
            self.splice_one(entry, committed, &mut splice)?;
        }
        Ok(splice)
    }

    fn check_previous(&self, previous: EntryId, committed: u64) -> Result<(), SpliceError> {
        // Entries below the base are committed, so every legitimate leader holds the same.
        if previous.index < self.base.index || self.id_at(previous.index) == Some(previous) {
            return Ok(());
        }
        if previous.index <= committed {
            return Err(SpliceError::CommittedConflict(previous.index));
        }
        let hint = self.conflict_hint(previous.index).max(committed);
        Err(SpliceError::Mismatch { hint })
    }

    /// Highest index that may still be equal when the entry at `index` is missing or differs: a
    /// whole term that differs is skipped at once.
    fn conflict_hint(&self, index: u64) -> u64 {
        let Some(conflicting) = self.get(index) else {
            return self.last().index.min(index.saturating_sub(1));
        };
        let term = conflicting.id.term;
        let mut hint = index - 1;
        while hint > self.base.index && self.id_at(hint).is_some_and(|id| id.term == term) {
            hint -= 1;
        }
        hint
    }

    fn splice_one(
        &mut self,
        entry: Entry<C>,
        committed: u64,
        splice: &mut Splice,
    ) -> Result<(), SpliceError> {
        let index = entry.id.index;
        if index <= self.base.index || self.id_at(index) == Some(entry.id) {
            return Ok(());
        }
        if index <= committed {
            return Err(SpliceError::CommittedConflict(index));
        }
        if index <= self.last().index {
            splice.truncated_from = Some(index);
            splice.truncated = self.truncate_from(index);
        }
        splice.appended_from.get_or_insert(index);
        self.entries.push_back(entry);
        Ok(())
    }

    fn truncate_from(&mut self, index: u64) -> u64 {
        let kept = usize::try_from(index - self.base.index - 1).unwrap_or(usize::MAX);
        let dropped = self.entries.len().saturating_sub(kept);
        self.entries.truncate(kept);
        dropped as u64
    }

    /// Drops entries up to an index, which becomes the base.
    pub fn compact_to(&mut self, index: u64) {
        while self.base.index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.base = entry.id;
        }
    }

    /// Drops everything and starts above a snapshot's last entry.
    pub fn reset(&mut self, base: EntryId) {
        self.base = base;
        self.entries.clear();
    }
}

fn check_order<C>(
    previous: EntryId,
    entries: &[Entry<C>],
    leader_term: u64,
) -> Result<(), SpliceError> {
    let mut before = previous;
    for entry in entries {
        let next = before.index.checked_add(1);
        let in_order = next == Some(entry.id.index) && entry.id.term >= before.term;
        if !in_order || entry.id.term > leader_term {
            return Err(SpliceError::Malformed);
        }
        before = entry.id;
    }
    Ok(())
}
