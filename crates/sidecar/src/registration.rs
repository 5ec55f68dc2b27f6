//! The registry of nodes in the store, from which a new leader reads which nodes to wait for. It
//! consists of pages that leaders write for all nodes, and of an object for each node that
//! registers itself, as nodes of an earlier version do.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use serde::de::DeserializeOwned;
use tokio::sync::Notify;
use wingspar_ownership::{
    Incarnation, RegisterStep, RegisteredNodes, Registration, RegistrationCall, RegistryPage,
    RemoveStep, StoreEra, StorePosition, StoredRegistration,
};
use wingspar_platform::FormatError;
use wingspar_platform::objects::{self, Outcome};

use crate::logs::Event;
use crate::node::Node;
use crate::settings::Settings;
use crate::store::StoreError;

/// Kind of the objects of nodes that register themselves.
const NODE_KIND: &str = "wingspar-nodes";
/// Kind of the pages that leaders write.
const PAGE_KIND: &str = "wingspar-registry";
/// Mean pause before a failed registration is retried; the actual pause has jitter.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Maximum number of calls in a row for one registration or removal, in case other writers keep
/// changing the object.
const MAX_CALLS: usize = 5;

/// The node's own registration.
pub struct OwnRegistration {
    /// What this process writes in the store's first era.
    content: Registration,
    /// Whether the node registers itself in the store.
    registers_itself: Cell<bool>,
    /// Revision of the registration that the store acknowledged last; `None` if it hasn't any.
    acknowledged: Cell<Option<StorePosition>>,
    /// Whether the store may hold the registration, acknowledged or not.
    may_be_stored: Cell<bool>,
    /// Revision of the registration that a leader last found missing; 0 if none has.
    missing_revision: Cell<u64>,
    /// Notified when the registration may have to be written.
    wakeup: Notify,
}

impl OwnRegistration {
    /// The registration of the process with the incarnation `life`, which hasn't written it yet.
    pub fn new(settings: &Settings, life: Incarnation) -> Self {
        Self {
            content: Registration {
                address: settings.internal(),
                service: Some(settings.node.service.clone()),
                life: Some(life),
                era: Some(StoreEra::default()),
            },
            registers_itself: Cell::new(settings.node.registers_itself),
            acknowledged: Cell::default(),
            may_be_stored: Cell::default(),
            missing_revision: Cell::default(),
            wakeup: Notify::new(),
        }
    }

    /// What this process writes in an era of the store.
    fn content_in(&self, era: StoreEra) -> Registration {
        Registration {
            era: Some(era),
            ..self.content.clone()
        }
    }

    /// Revision of the registration that the store acknowledged last; `None` if it hasn't any.
    pub fn acknowledged(&self) -> Option<StorePosition> {
        self.acknowledged.get()
    }

    /// Whether the store may hold the registration, acknowledged or not.
    pub fn may_be_stored(&self) -> bool {
        self.may_be_stored.get()
    }

    /// Makes the node register itself from now on.
    pub fn set_registers_itself(&self) {
        self.registers_itself.set(true);
        self.wake();
    }

    /// Checks whether the registration has to be written again.
    pub fn wake(&self) {
        self.wakeup.notify_waiters();
    }
}

/// Registers the node once it is to register itself, and again whenever the store was restored from
/// a copy, which may lack the registration. A stopping node doesn't register.
pub async fn keep_registered(node: Rc<Node>) {
    loop {
        let wakeup = node.registration.wakeup.notified();
        let is_due =
            node.registration.registers_itself.get() && node.current_registration().is_none();
        if !is_due || node.is_stopping() {
            wakeup.await;
            continue;
        }
        if let Err(error) = register(&node).await {
            failed(&node, "write", &error);
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(RETRY_PAUSE.mul_f64(jitter)).await;
        }
    }
}

/// Has the node register again if the registration that a leader found missing is its latest.
pub fn register_again(node: &Node, revision: u64) {
    let registration = &node.registration;
    let current = node.current_registration();
    if current.is_some_and(|current| current.revision == revision) {
        node.log.write(Event::RegistrationMissing { revision });
        registration.missing_revision.set(revision);
        registration.acknowledged.set(None);
        registration.wake();
    }
}

/// Writes the node's object, replacing one of an earlier process.
async fn register(node: &Node) -> Result<(), StoreError> {
    let registration = &node.registration;
    let era = node.store_era.get();
    let content = registration.content_in(era);
    let mut call = RegistrationCall::Create;
    for _ in 0..MAX_CALLS {
        registration.may_be_stored.set(true);
        let stored = perform(node, &content, call).await?;
        match content.register_step(&stored) {
            RegisterStep::Call(next) => call = next,
            // The object is there after all; only a later revision shows that to the leader.
            RegisterStep::Registered { revision }
                if revision == registration.missing_revision.get() =>
            {
                call = RegistrationCall::Replace { revision };
            }
            RegisterStep::Registered { revision } => {
                let position = StorePosition { era, revision };
                registration.acknowledged.set(Some(position));
                registration.may_be_stored.set(true);
                node.control_wakeup.notify_one();
                return Ok(());
            }
        }
    }
    Err(StoreError::Answered(Outcome::Conflict))
}

/// Removes the object of a stopping node that can't hold anything any more. If that fails, the
/// object may still be stored.
pub async fn unregister(node: Rc<Node>) {
    let content = node.registration.content_in(node.store_era.get());
    let first = match node.current_registration() {
        Some(StorePosition { revision, .. }) => RegistrationCall::Remove { revision },
        None => RegistrationCall::Read,
    };
    match remove(&node, &content, first).await {
        Ok(()) => {
            node.registration.acknowledged.set(None);
            node.registration.may_be_stored.set(false);
        }
        Err(error) => failed(&node, "remove", &error),
    }
}

async fn remove(
    node: &Node,
    content: &Registration,
    first: RegistrationCall,
) -> Result<(), StoreError> {
    let mut call = first;
    for _ in 0..MAX_CALLS {
        let stored = perform(node, content, call).await?;
        match content.remove_step(&stored) {
            RemoveStep::Call(next) => call = next,
            RemoveStep::Removed => return Ok(()),
        }
    }
    Err(StoreError::Answered(Outcome::Conflict))
}

/// Makes a call about the node's object.
async fn perform(
    node: &Node,
    content: &Registration,
    call: RegistrationCall,
) -> Result<StoredRegistration, StoreError> {
    let name = &content.object_name(&node.name);
    let request = match call {
        RegistrationCall::Read => objects::get(NODE_KIND, name),
        RegistrationCall::Create => objects::create(NODE_KIND, name, content),
        RegistrationCall::Replace { revision } => {
            objects::replace(NODE_KIND, name, revision, content)
        }
        RegistrationCall::Remove { revision } => objects::remove_at(NODE_KIND, name, revision),
    };
    let reply = node.call_store(&request, None).await?;
    let is_removal = matches!(call, RegistrationCall::Remove { .. });
    match reply.outcome {
        Outcome::Done if is_removal => Ok(StoredRegistration::Absent),
        Outcome::Done | Outcome::Conflict => Ok(parse_stored(&reply.body)),
        Outcome::Missing => Ok(StoredRegistration::Absent),
        other => Err(StoreError::Answered(other)),
    }
}

fn parse_stored(body: &[u8]) -> StoredRegistration {
    match objects::parse_object(body) {
        Ok(object) => StoredRegistration::Present {
            revision: object.revision,
            content: serde_json::from_slice(&object.content).ok(),
        },
        Err(_) => StoredRegistration::NotShown,
    }
}

fn failed(node: &Node, call: &'static str, error: &StoreError) {
    node.log.write(Event::StoreCallFailed {
        call,
        subject: "registration",
        problem: error.to_string(),
    });
}

/// Creates a page of the registry. Returns whether the store has it.
pub async fn write_page(node: &Node, page: &RegistryPage) -> bool {
    let create = objects::create(PAGE_KIND, &page.name(), page);
    let error = match node.call_store(&create, None).await {
        // A page that exists has the same content: the response to an earlier call was lost.
        Ok(reply) if matches!(reply.outcome, Outcome::Done | Outcome::Conflict) => return true,
        Ok(reply) => StoreError::Answered(reply.outcome),
        Err(error) => error,
    };
    failed(node, "write", &error);
    false
}

/// Removes a page of the registry. If that fails, a later leader removes it.
pub async fn remove_page(node: &Node, name: &str) {
    let remove = objects::remove(PAGE_KIND, name);
    match node.call_store(&remove, None).await {
        Ok(reply) if matches!(reply.outcome, Outcome::Done | Outcome::Missing) => {}
        Ok(reply) => failed(node, "remove", &StoreError::Answered(reply.outcome)),
        Err(error) => failed(node, "remove", &error),
    }
}

/// Lists all registered nodes; `None` if the store can't be read.
pub async fn list(node: &Node) -> Option<RegisteredNodes> {
    match list_all(node).await {
        Ok(nodes) => Some(nodes),
        Err(error) => {
            failed(node, "list", &error);
            None
        }
    }
}

async fn list_all(node: &Node) -> Result<RegisteredNodes, StoreError> {
    let pages = list_kind::<RegistryPage>(node, PAGE_KIND).await?;
    let self_registered = list_kind::<Registration>(node, NODE_KIND).await?;
    let unreadable = pages.unreadable() + self_registered.unreadable();
    let is_complete = self_registered.unreadable() == 0;
    let self_registered_revision = if is_complete {
        self_registered.revision
    } else {
        0
    };
    let mut registered = RegisteredNodes {
        self_registered: BTreeMap::new(),
        self_registered_revision,
        pages: pages.read.into_iter().map(|(_, page)| page).collect(),
        unreadable_pages: pages.unreadable_names,
        unreadable,
    };
    for (name, registration) in self_registered.read {
        registered.add_self_registered(&name, registration);
    }
    Ok(registered)
}

/// All objects of a kind.
struct Listed<Content> {
    /// The names and contents of the readable objects.
    read: Vec<(String, Content)>,
    /// Names of the objects whose contents can't be read.
    unreadable_names: Vec<String>,
    /// Number of objects of which not even the name can be read.
    unnamed: usize,
    /// Revision of the store when the first page was read.
    revision: u64,
}

impl<Content> Listed<Content> {
    /// Number of objects that can't be read.
    fn unreadable(&self) -> usize {
        self.unreadable_names.len() + self.unnamed
    }
}

/// Lists all objects of a kind and logs those that can't be read.
async fn list_kind<Content: DeserializeOwned>(
    node: &Node,
    kind: &str,
) -> Result<Listed<Content>, StoreError> {
    let mut listed = Listed {
        read: Vec::new(),
        unreadable_names: Vec::new(),
        unnamed: 0,
        revision: 0,
    };
    let mut after = None::<String>;
    loop {
        let call = objects::list(kind, after.as_deref());
        let page = objects::parse_page(&node.read_store(&call, None).await?)?;
        if after.is_none() {
            listed.revision = page.revision;
        }
        for object in &page.objects {
            let name = object.name.clone();
            match serde_json::from_slice(&object.content) {
                Ok(content) => listed.read.push((name, content)),
                Err(error) => {
                    failed(node, "list", &FormatError::from(error).into());
                    listed.unreadable_names.push(name);
                }
            }
        }
        if page.unreadable > 0 {
            log_unnamed(node, page.unreadable);
            listed.unnamed += page.unreadable;
        }
        match page.objects.last() {
            Some(last) if page.more => after = Some(last.name.clone()),
            _ => return Ok(listed),
        }
    }
}

fn log_unnamed(node: &Node, count: usize) {
    node.log.write(Event::StoreCallFailed {
        call: "list",
        subject: "registration",
        problem: format!("{count} entries can't be read"),
    });
}
