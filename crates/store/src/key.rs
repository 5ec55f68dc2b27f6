//! Rules for keys and values, checked by the client before sending and by the store itself.

use serde_json::Value;
use thiserror::Error;

use crate::object::{ABSENT, Version};

/// Longest key in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// Largest value in bytes of compact JSON.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;

/// Why the store refuses a request. Nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidRequest {
    /// The key has no characters, or an empty part between slashes.
    #[error("key {key:?} is empty or has an empty part")]
    EmptyKeyPart {
        /// The key as given.
        key: String,
    },
    /// A part of the key is `.` or `..`, which a path would not keep.
    #[error("key {key:?} has a part that is only dots")]
    DotKeyPart {
        /// The key as given.
        key: String,
    },
    /// The key is longer than [`MAX_KEY_BYTES`].
    #[error("key of {bytes} bytes is longer than {MAX_KEY_BYTES}")]
    KeyTooLong {
        /// Length of the key in bytes.
        bytes: usize,
    },
    /// The key has a character that is not allowed.
    #[error("key {key:?} has {character:?}; allowed are letters, digits, '-', '_', '.' and '/'")]
    KeyCharacter {
        /// The key as given.
        key: String,
        /// The first character that is not allowed.
        character: char,
    },
    /// A null value would look like a deletion in a watch.
    #[error("a value must not be null; delete the object instead")]
    NullValue,
    /// The value is larger than [`MAX_VALUE_BYTES`].
    #[error("value of {bytes} bytes is larger than {MAX_VALUE_BYTES}")]
    ValueTooLarge {
        /// Size of the value in bytes of compact JSON.
        bytes: usize,
    },
    /// A deletion must name the version that it deletes.
    #[error("a deletion must expect an existing version, not 0")]
    DeleteExpectsAbsent,
    /// A change that must be recognised later has no string field `change_id`.
    #[error("the value has no string field change_id")]
    NoChangeId,
    /// The store refused the request for a reason of its own.
    #[error("refused by the store: {reason}")]
    Refused {
        /// The store's words.
        reason: String,
    },
}

/// Checks a whole key.
///
/// # Errors
/// Tells the first rule that the key breaks.
pub fn check_key(key: &str) -> Result<(), InvalidRequest> {
    check_length_and_characters(key)?;
    for part in key.split('/') {
        check_part(key, part)?;
    }
    Ok(())
}

/// Checks a prefix: empty, a key, or a key cut off anywhere.
///
/// # Errors
/// Tells the first rule that the prefix breaks.
pub fn check_prefix(prefix: &str) -> Result<(), InvalidRequest> {
    check_length_and_characters(prefix)
}

/// Checks a value.
///
/// # Errors
/// Tells the first rule that the value breaks.
pub fn check_value(value: &Value) -> Result<(), InvalidRequest> {
    if value.is_null() {
        return Err(InvalidRequest::NullValue);
    }
    let bytes = compact_length(value);
    if bytes > MAX_VALUE_BYTES {
        return Err(InvalidRequest::ValueTooLarge { bytes });
    }
    Ok(())
}

/// Checks what a deletion expects.
///
/// # Errors
/// An expectation of [`ABSENT`] has nothing to delete.
pub fn check_delete_expectation(expect: Version) -> Result<(), InvalidRequest> {
    if expect == ABSENT {
        return Err(InvalidRequest::DeleteExpectsAbsent);
    }
    Ok(())
}

fn check_length_and_characters(key: &str) -> Result<(), InvalidRequest> {
    if key.len() > MAX_KEY_BYTES {
        return Err(InvalidRequest::KeyTooLong { bytes: key.len() });
    }
    match key.chars().find(|character| !is_allowed(*character)) {
        None => Ok(()),
        Some(character) => Err(InvalidRequest::KeyCharacter {
            key: key.to_owned(),
            character,
        }),
    }
}

fn check_part(key: &str, part: &str) -> Result<(), InvalidRequest> {
    if part.is_empty() {
        return Err(InvalidRequest::EmptyKeyPart {
            key: key.to_owned(),
        });
    }
    if part == "." || part == ".." {
        return Err(InvalidRequest::DotKeyPart {
            key: key.to_owned(),
        });
    }
    Ok(())
}

fn is_allowed(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.' | '/')
}

fn compact_length(value: &Value) -> usize {
    let mut counter = ByteCounter(0);
    serde_json::to_writer(&mut counter, value).expect("a JSON value always has a text form");
    counter.0
}

/// Counts what is written, so that a value's size is known without keeping its text.
struct ByteCounter(usize);

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
