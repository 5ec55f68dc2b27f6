//! Timing and size settings of a replica.

use std::time::Duration;

use thiserror::Error;

/// Settings of a replica; every member of a group must use the same timing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Shortest silence of the leader before a follower campaigns. No vote is given within this
    /// time of the last contact with a leader; the leader lease rests on it.
    pub election_timeout_min: Duration,
    /// Longest silence before a follower campaigns. A leader that has heard from no majority for
    /// this long steps down.
    pub election_timeout_max: Duration,
    /// Time between two rounds of heartbeats.
    pub heartbeat_interval: Duration,
    /// How far two members' clocks may drift apart within `election_timeout_min`.
    pub drift_bound: Duration,
    /// Most entries in one message.
    pub max_entries_per_message: usize,
    /// Size in bytes (see `StateMachine::command_bytes`) after which a message takes no more
    /// entries; a single larger entry still travels alone.
    pub max_bytes_per_message: usize,
    /// Most entries sent to one follower and not yet acknowledged.
    pub max_entries_in_flight: u64,
    /// Most entries a leader accepts beyond the commit index before it refuses proposals.
    pub max_uncommitted_entries: u64,
    /// Applied entries after which the log is cut; half as many stay for slow followers.
    pub snapshot_threshold_entries: u64,
    /// Time after which an unacknowledged snapshot is sent again.
    pub snapshot_retry: Duration,
    /// How many entries a learner may lag behind the leader's log and still be promoted.
    pub promotion_lag_entries: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            election_timeout_min: Duration::from_millis(600),
            election_timeout_max: Duration::from_millis(1_000),
            heartbeat_interval: Duration::from_millis(100),
            drift_bound: Duration::from_millis(100),
            max_entries_per_message: 256,
            max_bytes_per_message: 1 << 20,
            max_entries_in_flight: 4_096,
            max_uncommitted_entries: 65_536,
            snapshot_threshold_entries: 16_384,
            snapshot_retry: Duration::from_secs(2),
            promotion_lag_entries: 64,
        }
    }
}

/// Why settings can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The election timeout's bounds are reversed or equal, so split votes would repeat.
    #[error("the election timeout must have a maximum above its minimum")]
    ElectionTimeout,
    /// Too few heartbeats fit into an election timeout.
    #[error("at least two heartbeat intervals must fit into the shortest election timeout")]
    HeartbeatInterval,
    /// The drift bound leaves nothing of the lease.
    #[error("the drift bound must be shorter than the shortest election timeout")]
    DriftBound,
    /// A size limit is zero.
    #[error("limits of entries must be above zero")]
    ZeroLimit,
}

impl Config {
    /// Checks that the settings fit together.
    pub fn validate(&self) -> Result<(), ConfigError> {
        if self.election_timeout_min >= self.election_timeout_max {
            return Err(ConfigError::ElectionTimeout);
        }
        if self.heartbeat_interval.is_zero()
            || self.heartbeat_interval * 2 > self.election_timeout_min
        {
            return Err(ConfigError::HeartbeatInterval);
        }
        if self.drift_bound >= self.election_timeout_min {
            return Err(ConfigError::DriftBound);
        }
        let limits = [
            self.max_entries_per_message as u64,
            self.max_entries_in_flight,
            self.max_uncommitted_entries,
            self.snapshot_threshold_entries,
        ];
        if limits.contains(&0) {
            return Err(ConfigError::ZeroLimit);
        }
        Ok(())
    }
}
