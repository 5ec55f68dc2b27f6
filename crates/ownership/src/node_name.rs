//! Names of nodes.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

/// A node's name, as in its settings.
///
/// The names of one deployment have the same length and prefix, and a leader compares the holders
/// of a thousand ranges with the renewing node hundreds of times a second. So the hashes are
/// compared first, which doesn't follow the pointer to the text.
#[derive(Clone, PartialOrd, Ord)]
pub struct NodeName {
    text: Arc<str>,
    hash: u64,
}

impl From<&str> for NodeName {
    fn from(text: &str) -> Self {
        Self {
            hash: xxh3_64(text.as_bytes()),
            text: Arc::from(text),
        }
    }
}

impl PartialEq for NodeName {
    fn eq(&self, other: &Self) -> bool {
        self.hash == other.hash && self.text == other.text
    }
}

impl Eq for NodeName {}

impl Hash for NodeName {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.hash.hash(state);
    }
}

impl Deref for NodeName {
    type Target = str;

    fn deref(&self) -> &str {
        &self.text
    }
}

impl fmt::Display for NodeName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.text)
    }
}

impl fmt::Debug for NodeName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&*self.text, formatter)
    }
}

impl Serialize for NodeName {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.text)
    }
}

impl<'de> Deserialize<'de> for NodeName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Ok(Self::from(text.as_str()))
    }
}
