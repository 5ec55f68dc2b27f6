//! Operations of the object API as messages, and the store's replies.
//!
//! The simulator carries these messages over its own network; the HTTP client and the HTTP stand-in
//! translate them to and from requests.

use serde_json::Value;

use crate::key::{InvalidRequest, check_delete_expectation, check_key, check_prefix, check_value};
use crate::object::{Current, Listing, MachineList, Object, Revision, Version, WatchBatch};

/// One request to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Operation {
    /// Reads all objects whose keys start with a prefix.
    List {
        /// The prefix; empty for everything.
        prefix: String,
    },
    /// Reads one object.
    Get {
        /// Its key.
        key: String,
    },
    /// Creates or replaces an object, if its version is the expected one.
    Put {
        /// Its key.
        key: String,
        /// The new value.
        value: Value,
        /// The version that is replaced; 0 if the object must not exist.
        expect: Version,
    },
    /// Deletes an object, if its version is the expected one.
    Delete {
        /// Its key.
        key: String,
        /// The version that is deleted; never 0.
        expect: Version,
    },
    /// Reads the changes after a revision.
    Watch {
        /// Only changes of objects whose keys start with this prefix.
        prefix: String,
        /// Only changes with a higher revision.
        after: Revision,
    },
    /// Reads the list of machines.
    Machines,
}

impl Operation {
    /// Checks the rules for keys, values and expectations, as the store does before anything else.
    ///
    /// # Errors
    /// Tells the first rule that the operation breaks.
    pub fn check(&self) -> Result<(), InvalidRequest> {
        match self {
            Operation::List { prefix } | Operation::Watch { prefix, .. } => check_prefix(prefix),
            Operation::Get { key } => check_key(key),
            Operation::Put { key, value, .. } => {
                check_key(key)?;
                check_value(value)
            }
            Operation::Delete { key, expect } => {
                check_key(key)?;
                check_delete_expectation(*expect)
            }
            Operation::Machines => Ok(()),
        }
    }

    /// Whether the operation can change the store, so that a lost answer leaves its effect unknown.
    #[must_use]
    pub fn is_write(&self) -> bool {
        matches!(self, Operation::Put { .. } | Operation::Delete { .. })
    }
}

/// The store's answer to an [`Operation`].
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// Answer to [`Operation::List`].
    Listing(Listing),
    /// Answer to [`Operation::Get`]; `None` when there is no such object.
    Object(Option<Object>),
    /// A put or delete took effect.
    Written {
        /// The revision of the change.
        version: Version,
    },
    /// A put or delete did not take effect, because the version is another.
    Conflict {
        /// What is there instead, if anything.
        current: Option<Current>,
    },
    /// Answer to [`Operation::Watch`].
    Changes(WatchBatch),
    /// The changes after the asked revision are no longer (or not yet) known: list again.
    HistoryLost {
        /// The store's revision now.
        revision: Revision,
    },
    /// Answer to [`Operation::Machines`].
    Machines(MachineList),
    /// The request breaks a rule and did nothing.
    Invalid(InvalidRequest),
}
