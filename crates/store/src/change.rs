//! A write that can be recognised afterwards by the change id in its value.

use serde_json::Value;

use crate::key::{InvalidRequest, check_key, check_value};
use crate::object::{ABSENT, Revision, Version};
use crate::operation::Operation;

/// Field of an object's value that names the change which wrote it.
pub const CHANGE_ID_FIELD: &str = "change_id";

/// A put whose value carries a change id that no other change uses.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    key: String,
    value: Value,
    expect: Version,
    since: Revision,
    change_id: String,
}

impl Change {
    /// A change of the object `key` from version `expect` to `value`. The value is a JSON object
    /// with a string field `change_id`.
    ///
    /// # Errors
    /// When the key or the value breaks a rule, or there is no change id.
    pub fn new(key: &str, value: Value, expect: Version) -> Result<Self, InvalidRequest> {
        check_key(key)?;
        check_value(&value)?;
        let change_id = change_id_of(&value)
            .ok_or(InvalidRequest::NoChangeId)?
            .to_owned();
        Ok(Self {
            key: key.to_owned(),
            value,
            expect,
            since: expect,
            change_id,
        })
    }

    /// Tells a revision that the store had before the change was first sent. A creation needs it to
    /// be found in a history that doesn't reach back to the beginning.
    #[must_use]
    pub fn since(mut self, revision: Revision) -> Self {
        self.since = revision.max(self.expect);
        self
    }

    /// Key of the changed object.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Version that the change replaces; 0 when it creates the object.
    #[must_use]
    pub fn expect(&self) -> Version {
        self.expect
    }

    /// The change's id.
    #[must_use]
    pub fn change_id(&self) -> &str {
        &self.change_id
    }

    /// The write itself.
    #[must_use]
    pub fn put(&self) -> Operation {
        Operation::Put {
            key: self.key.clone(),
            value: self.value.clone(),
            expect: self.expect,
        }
    }

    /// The read of everything that happened to the object since before the change was sent.
    #[must_use]
    pub fn read_history(&self) -> Operation {
        Operation::Watch {
            prefix: self.key.clone(),
            after: self.since,
        }
    }

    /// Whether the change creates its object.
    #[must_use]
    pub fn is_creation(&self) -> bool {
        self.expect == ABSENT
    }

    /// Whether a stored value was written by this change.
    #[must_use]
    pub fn wrote(&self, value: &Value) -> bool {
        change_id_of(value) == Some(self.change_id.as_str())
    }
}

/// The change id that a stored value carries.
#[must_use]
pub fn change_id_of(value: &Value) -> Option<&str> {
    value.get(CHANGE_ID_FIELD)?.as_str()
}
