//! Counts of what a replica refused or went through; for telemetry and tests.

/// Running totals since the replica was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Messages of another group.
    pub wrong_group: u64,
    /// Messages of another generation of the group.
    pub wrong_generation: u64,
    /// Messages addressed to another process, such as an earlier incarnation.
    pub wrong_recipient: u64,
    /// Messages of a group that started from another snapshot.
    pub wrong_origin: u64,
    /// Messages of a sender that the committed membership excludes.
    pub excluded_sender: u64,
    /// Answers of a process that is no member.
    pub unknown_sender: u64,
    /// Messages of an earlier term.
    pub stale_term: u64,
    /// Messages whose content contradicts itself or the committed log.
    pub malformed: u64,
    /// Messages that reached a replica already removed.
    pub after_removal: u64,
    /// Votes and pre-votes refused because a leader was heard of recently.
    pub refused_for_lease: u64,
    /// Pre-vote rounds started.
    pub pre_votes_started: u64,
    /// Elections started.
    pub elections_started: u64,
    /// Elections won.
    pub elections_won: u64,
    /// Leaderships given up because no majority answered.
    pub quorum_losses: u64,
    /// Leaderships handed over on purpose.
    pub transfers: u64,
    /// Snapshots sent, repeats included.
    pub snapshots_sent: u64,
    /// Snapshots taken in.
    pub snapshots_installed: u64,
    /// Entries dropped because a leader's log differed.
    pub entries_truncated: u64,
}
