//! Majority replication in memory as a state machine without I/O.
//!
//! A [`Replica`] is one member of one generation of a control group. It follows the Raft algorithm
//! (Ongaro and Ousterhout, 2014; Ongaro's thesis, 2014) with pre-vote, check-quorum, leader lease,
//! single-server membership change through non-voting learners, log compaction with snapshot
//! transfer, and leadership transfer. It reads no clock and opens no socket: the caller passes
//! `now` and received messages in and carries out the [`Output`]s.
//!
//! Nothing is kept on disk. A process that restarts has a new `NodeId` and joins as a learner; it
//! never resumes the votes of the process before it.

mod apply;
mod config;
mod counters;
mod election;
mod error;
mod follower;
mod inspect;
mod lease;
mod log;
mod membership;
mod message;
mod output;
mod progress;
mod propose;
mod receive;
mod replica;
mod replication;
mod state_machine;
mod transfer;

pub use config::{Config, ConfigError};
pub use counters::Counters;
pub use error::{InvariantViolation, ProposeError};
pub use inspect::PeerStatus;
pub use log::{Entry, EntryId, Log, LogPosition, Payload, Splice, SpliceError};
pub use membership::{Membership, MembershipChange, MembershipError};
pub use message::{AppendOutcome, Body, Message, SnapshotImage};
pub use output::{Output, Role};
pub use replica::Replica;
pub use state_machine::StateMachine;
