//! Exit codes.

use wingspar_api::status::Failure;

/// How a command ended; its number is the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Done = 0,
    /// The command was done, but its output could not be written.
    Output = 1,
    /// The command line is wrong; nothing was sent.
    Usage = 2,
    /// The request was refused as wrong; nothing was changed.
    Refused = 3,
    /// The object has another version than expected; nothing was changed.
    Conflict = 4,
    /// Nobody could answer in time; nothing was changed.
    Unavailable = 5,
    /// A change may or may not have taken effect.
    Unknown = 6,
    /// There is no such thing; nothing was changed.
    NotFound = 7,
}

impl ExitStatus {
    /// The exit code.
    pub const fn code(self) -> u8 {
        self as u8
    }
}

impl From<&Failure> for ExitStatus {
    fn from(failure: &Failure) -> Self {
        match failure {
            Failure::Invalid(_) => Self::Refused,
            Failure::NotFound => Self::NotFound,
            Failure::Conflict { .. } => Self::Conflict,
            Failure::NotLeader { .. } | Failure::Unavailable { .. } => Self::Unavailable,
            Failure::Unknown { .. } => Self::Unknown,
        }
    }
}
