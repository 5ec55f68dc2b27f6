//! Validated names of things: short, printable, safe in logs, headers and URLs.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest accepted name in bytes (the DNS label limit).
pub const MAX_NAME_LENGTH: usize = 63;

/// Why a string is no valid name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NameError {
    /// The string is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The string is longer than [`MAX_NAME_LENGTH`] bytes.
    #[error("a name has at most {MAX_NAME_LENGTH} characters, this one has {0}")]
    TooLong(usize),
    /// The string holds a character outside the allowed set.
    #[error("a name holds only a-z, 0-9, '-' and '.', and starts with a letter or digit: {0:?}")]
    Character(String),
}

fn validate(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_LENGTH {
        return Err(NameError::TooLong(text.len()));
    }
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let inner = |byte: u8| allowed(byte) || byte == b'-' || byte == b'.';
    if !allowed(text.as_bytes()[0]) || !text.bytes().all(inner) {
        return Err(NameError::Character(text.to_owned()));
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        ///
        /// Cheap to clone; ordered and hashed by its text.
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks and wraps a name.
            pub fn new(text: &str) -> Result<Self, NameError> {
                validate(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;
            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;
            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }
    };
}

name_type!(
    /// Name of a region: zones joined by short links.
    RegionName
);
name_type!(
    /// Name of a zone: machines that tend to fail together.
    ZoneName
);
name_type!(
    /// Name of a machine; it outlives the processes that run there.
    MachineName
);
name_type!(
    /// Name of a service.
    ServiceName
);
name_type!(
    /// Name of a target: one back end of one service.
    TargetName
);
name_type!(
    /// Name of a placement policy.
    PolicyName
);
