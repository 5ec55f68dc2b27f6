//! What the platform stores: versioned objects, their change events, and the list of machines.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A store-wide revision. Each change of the store takes the next one; 0 means "never changed".
pub type Revision = u64;

/// An object's version: the revision at which it was last changed. As an expectation, 0 means
/// "must not exist".
pub type Version = u64;

/// The expectation of a writer that creates an object.
pub const ABSENT: Version = 0;

/// An object with its key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Key, for example `services/stoc`.
    pub key: String,
    /// Revision of the last change.
    pub version: Version,
    /// The stored JSON value; never null.
    pub value: Value,
}

/// The state of an object whose key is known from the context.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Current {
    /// Revision of the last change.
    pub version: Version,
    /// The stored JSON value; never null.
    pub value: Value,
}

/// Objects below a prefix, all as of one revision.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the store when it was read. A watch goes on from here.
    pub revision: Revision,
    /// The objects in the order of their keys.
    pub items: Vec<Object>,
}

/// One change of one object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Key of the changed object.
    pub key: String,
    /// Revision of the change.
    pub version: Version,
    /// The new value, or `None` when the object was deleted.
    pub value: Option<Value>,
}

/// Changes after a revision, in order.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct WatchBatch {
    /// Revision of the store when it was read. The next watch goes on from here.
    pub revision: Revision,
    /// The changes below the watched prefix.
    pub events: Vec<Event>,
}

/// Where a machine stands in its life, as told by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In use.
    Live,
    /// Will be taken away soon; still running.
    Leaving,
    /// Taken away. Nothing runs on it any more, and the name is not used again.
    Destroyed,
}

/// A machine of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Unique name; never used again after the machine was destroyed.
    pub name: String,
    /// Zone that the machine stands in.
    pub zone: String,
    /// IP address.
    pub address: String,
    /// State as of the list's revision.
    pub state: MachineState,
}

/// The platform's list of machines, which lags behind the truth.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MachineList {
    /// The list shows every change of a machine up to this revision and none after it.
    pub as_of_revision: Revision,
    /// The machines in the order of their names.
    pub machines: Vec<Machine>,
}
