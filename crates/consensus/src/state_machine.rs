//! What is replicated: a deterministic state machine of the caller.

use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::LogPosition;

/// A deterministic state machine; equal commands in equal order give equal states.
pub trait StateMachine {
    /// One change of the state.
    type Command: Clone + Serialize + DeserializeOwned + PartialEq + Debug;
    /// The whole state in a form that can be sent.
    type Snapshot: Clone + Serialize + DeserializeOwned + Debug;

    /// Carries out a committed command; positions rise strictly.
    fn apply(&mut self, position: LogPosition, command: &Self::Command);

    /// Copies the state as of the last applied command.
    fn snapshot(&self) -> Self::Snapshot;

    /// Replaces the state.
    fn restore(&mut self, snapshot: Self::Snapshot);

    /// Approximate size in bytes of a command on the wire, used to bound messages.
    fn command_bytes(_command: &Self::Command) -> usize {
        size_of::<Self::Command>()
    }
}
