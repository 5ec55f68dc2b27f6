//! What a client knows after a request to the store.

use thiserror::Error;

use crate::key::InvalidRequest;
use crate::object::{Current, Revision, Version};
use crate::operation::Reply;

/// The end of one exchange with the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The store replied.
    Reply(Reply),
    /// No usable reply came after the request may have been sent: a write may have happened, or
    /// may still happen.
    Unknown {
        /// What went wrong, for people.
        cause: String,
    },
    /// The store certainly did nothing: the request was never sent, or the store said so.
    Unavailable {
        /// What went wrong, for people.
        cause: String,
    },
}

/// The outcome of a write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written {
        /// Revision of the change.
        version: Version,
    },
    /// The write did not take effect, because the object's version is another.
    Conflict {
        /// What is there instead; `None` when there is no such object.
        current: Option<Current>,
    },
    /// The write may have happened, or may still happen.
    Unknown {
        /// What went wrong, for people.
        cause: String,
    },
    /// The write did not happen: the store can't be reached, or said that it did nothing.
    Unavailable {
        /// What went wrong, for people.
        cause: String,
    },
    /// The write breaks a rule and did not happen.
    Invalid(InvalidRequest),
}

/// Why a read gave nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The store can't be reached, is too slow, or answered with something unreadable.
    #[error("store unavailable: {cause}")]
    Unavailable {
        /// What went wrong, for people.
        cause: String,
    },
    /// The request breaks a rule.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
    /// A watch can't go on from its revision: list again.
    #[error("history is lost; the store is at revision {revision}: list again")]
    HistoryLost {
        /// The store's revision now.
        revision: Revision,
    },
}

impl Answer {
    /// The outcome of a write that ended in this answer. A reply that doesn't fit a write proves
    /// nothing, so it counts as unknown.
    #[must_use]
    pub fn into_write_outcome(self) -> WriteOutcome {
        match self {
            Answer::Reply(Reply::Written { version }) => WriteOutcome::Written { version },
            Answer::Reply(Reply::Conflict { current }) => WriteOutcome::Conflict { current },
            Answer::Reply(Reply::Invalid(invalid)) => WriteOutcome::Invalid(invalid),
            Answer::Reply(other) => WriteOutcome::Unknown {
                cause: format!("reply {other:?} does not fit a write"),
            },
            Answer::Unknown { cause } => WriteOutcome::Unknown { cause },
            Answer::Unavailable { cause } => WriteOutcome::Unavailable { cause },
        }
    }

    /// The reply to a read. For a read it makes no difference whether the store saw the request.
    ///
    /// # Errors
    /// Everything that is not a reply with data.
    pub fn into_read_reply(self) -> Result<Reply, ReadError> {
        match self {
            Answer::Reply(Reply::Invalid(invalid)) => Err(ReadError::Invalid(invalid)),
            Answer::Reply(Reply::HistoryLost { revision }) => {
                Err(ReadError::HistoryLost { revision })
            }
            Answer::Reply(reply) => Ok(reply),
            Answer::Unknown { cause } | Answer::Unavailable { cause } => {
                Err(ReadError::Unavailable { cause })
            }
        }
    }
}
