//! One mistake in a settings file or flag.

use std::fmt;

use thiserror::Error;

/// Where a value was given.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// Nowhere: the file as a whole lacks something.
    File,
    /// A line of the file, counted from 1.
    Line(usize),
    /// A command line flag, such as `--zone`.
    Flag(String),
}

impl fmt::Display for Place {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File => formatter.write_str("file"),
            Self::Line(line) => write!(formatter, "line {line}"),
            Self::Flag(flag) => write!(formatter, "flag {flag}"),
        }
    }
}

/// One mistake: where, which field, what was given and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Error)]
#[error("{place}: {field}: given {given}; allowed: {allowed}")]
pub struct Mistake {
    /// Where the value was given.
    pub place: Place,
    /// Path of the field, such as `timing.lease_ms`.
    pub field: String,
    /// The value as written; `nothing` when it is missing.
    pub given: String,
    /// What would be accepted.
    pub allowed: String,
}

impl Mistake {
    /// Line in the file, when the value was given there.
    pub fn line(&self) -> Option<usize> {
        match self.place {
            Place::Line(line) => Some(line),
            Place::File | Place::Flag(_) => None,
        }
    }
}
