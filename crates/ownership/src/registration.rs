//! The object in the store by which a node registers itself.
//!
//! A call whose answer is lost may be executed seconds later, after another process of the node has
//! registered. Therefore every write names the revision that it replaces or removes, and a process
//! never adopts the object of an earlier one: it replaces that object, after which a delayed
//! removal by the earlier process names an outdated revision.
//!
//! After the store was restored from a copy, it assigns revisions again. So the object has another
//! name in each era, and a call from before the restore can't match an object written after it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, NodeName, StoreEra};

/// Content of the object of a node that registers itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The address at which other nodes reach the node.
    pub address: SocketAddr,
    /// Service of the node's target: the node holds keys of no other service. `None` if the object
    /// doesn't name it.
    #[serde(default)]
    pub service: Option<String>,
    /// The process that wrote the object; `None` if that runs an earlier version.
    #[serde(default)]
    pub life: Option<Incarnation>,
    /// The store era for which the object was written; `None` if the process runs an earlier
    /// version, which uses the same object in all eras.
    #[serde(default)]
    pub era: Option<StoreEra>,
}

/// A call about the node's object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistrationCall {
    /// Read the object.
    Read,
    /// Create the object.
    Create,
    /// Replace the object if it still has this revision.
    Replace {
        /// The revision to replace.
        revision: u64,
    },
    /// Remove the object if it still has this revision.
    Remove {
        /// The revision to remove.
        revision: u64,
    },
}

/// What the store's answer to a call shows of the node's object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoredRegistration {
    /// There is no object.
    Absent,
    /// The object at its current revision.
    Present {
        /// Revision of the object's last change.
        revision: u64,
        /// Content of the object; `None` if it can't be read.
        content: Option<Registration>,
    },
    /// There is an object, but the answer doesn't contain it.
    NotShown,
}

/// Progress of a process that registers its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegisterStep {
    /// The store holds the process's own object.
    Registered {
        /// Revision of the object.
        revision: u64,
    },
    /// The call to make next.
    Call(RegistrationCall),
}

/// Progress of a stopping process that removes its node's registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemoveStep {
    /// The store holds no object of this process.
    Removed,
    /// The call to make next.
    Call(RegistrationCall),
}

/// Ending of the names of objects that were written for this era; empty in the first one, in which
/// all versions use the same names.
fn name_suffix(era: Option<StoreEra>) -> String {
    match era {
        None | Some(StoreEra(0)) => String::new(),
        Some(StoreEra(era)) => format!(".era{era}"),
    }
}

impl Registration {
    /// Name of the object that holds this registration of a node.
    pub fn object_name(&self, node: &NodeName) -> String {
        format!("{}{}", &**node, name_suffix(self.era))
    }

    /// The node whose registration the object with this name holds.
    pub fn node(&self, object_name: &str) -> NodeName {
        let node = object_name.strip_suffix(&name_suffix(self.era));
        NodeName::from(node.unwrap_or(object_name))
    }

    /// The next step towards this registration, given what the store holds.
    pub fn register_step(&self, stored: &StoredRegistration) -> RegisterStep {
        match stored {
            StoredRegistration::Absent => RegisterStep::Call(RegistrationCall::Create),
            StoredRegistration::NotShown => RegisterStep::Call(RegistrationCall::Read),
            StoredRegistration::Present {
                revision,
                content: Some(content),
            } if content == self => RegisterStep::Registered {
                revision: *revision,
            },
            StoredRegistration::Present { revision, .. } => {
                let revision = *revision;
                RegisterStep::Call(RegistrationCall::Replace { revision })
            }
        }
    }

    /// The next step towards the removal of this registration, given what the store holds. An
    /// object of another process stays.
    pub fn remove_step(&self, stored: &StoredRegistration) -> RemoveStep {
        match stored {
            StoredRegistration::NotShown => RemoveStep::Call(RegistrationCall::Read),
            StoredRegistration::Present {
                revision,
                content: Some(content),
            } if content.life == self.life => {
                let revision = *revision;
                RemoveStep::Call(RegistrationCall::Remove { revision })
            }
            StoredRegistration::Absent | StoredRegistration::Present { .. } => RemoveStep::Removed,
        }
    }
}
