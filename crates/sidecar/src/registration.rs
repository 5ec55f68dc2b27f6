//! The node's own object in the store, by which a new leader knows whom to wait for.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use wingspar_ownership::{NodeName, RegisteredNode};
use wingspar_platform::FormatError;
use wingspar_platform::objects::{self, Outcome};

use crate::logs::Event;
use crate::node::Node;
use crate::store::StoreError;

/// Kind of the objects that name nodes.
const KIND: &str = "wingspar-nodes";
/// Pause before a registration is tried again.
const PAUSE: Duration = Duration::from_millis(500);

/// What a node's object holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Where the node listens for others.
    pub address: SocketAddr,
    /// The service of the machine's target: it holds keys of no other.
    #[serde(default)]
    pub service: Option<String>,
}

/// Writes the node's object, and again whenever the store has come back from a copy, which may lack it.
pub async fn keep_registered(node: Rc<Node>) {
    loop {
        let came_back = node.store_came_back.notified();
        if !node.is_registered() && !node.is_stopping() {
            register(&node).await;
        } else {
            came_back.await;
        }
    }
}

/// Writes the node's object, until that succeeds.
async fn register(node: &Node) {
    let content = Registration {
        address: node.settings.internal(),
        service: Some(node.settings.node.service.clone()),
    };
    loop {
        match write(node, &content).await {
            Ok(()) => {
                node.registered.set(Some(node.store_era.get()));
                node.control_wakes.notify_one();
                return;
            }
            Err(error) => failed(node, "write", &error),
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(PAUSE.mul_f64(jitter)).await;
    }
}

async fn write(node: &Node, content: &Registration) -> Result<(), StoreError> {
    let create = objects::create(KIND, &node.name, content);
    let created = node.call_store(&create, None).await?;
    match created.outcome {
        Outcome::Done => Ok(()),
        Outcome::Conflict => replace(node, &created.body, content).await,
        other => Err(StoreError::Answered(other)),
    }
}

/// The object exists, from an earlier process: it is replaced if it says something else.
async fn replace(node: &Node, body: &[u8], content: &Registration) -> Result<(), StoreError> {
    let known = match objects::parse_object(body) {
        Ok(object) => object,
        // A conflict need not come with the object.
        Err(_) => {
            let get = objects::get(KIND, &node.name);
            objects::parse_object(&node.read_store(&get, None).await?)?
        }
    };
    // An object that can't be read is replaced too.
    if serde_json::from_slice::<Registration>(&known.content).is_ok_and(|known| known == *content) {
        return Ok(());
    }
    let replace = objects::replace(KIND, &node.name, known.revision, content);
    node.read_store(&replace, None).await?;
    Ok(())
}

/// Removes the node's object; the node holds nothing any more. Whether it is gone.
pub async fn unregister(node: &Node) -> bool {
    let remove = objects::remove(KIND, &node.name);
    match node.call_store(&remove, None).await {
        Ok(reply) if matches!(reply.outcome, Outcome::Done | Outcome::Missing) => true,
        Ok(reply) => {
            failed(node, "remove", &StoreError::Answered(reply.outcome));
            false
        }
        Err(error) => {
            failed(node, "remove", &error);
            false
        }
    }
}

fn failed(node: &Node, call: &'static str, error: &StoreError) {
    node.log.write(Event::StoreCallFailed {
        call,
        subject: "registration",
        problem: error.to_string(),
    });
}

/// All registered nodes; nothing if the store didn't tell.
pub async fn list(node: &Node) -> Option<Vec<RegisteredNode>> {
    match list_pages(node).await {
        Ok(nodes) => Some(nodes),
        Err(error) => {
            failed(node, "list", &error);
            None
        }
    }
}

async fn list_pages(node: &Node) -> Result<Vec<RegisteredNode>, StoreError> {
    let mut nodes = Vec::new();
    let mut after = None::<String>;
    loop {
        let call = objects::list(KIND, after.as_deref());
        let page = objects::parse_page(&node.read_store(&call, None).await?)?;
        for object in &page.objects {
            match serde_json::from_slice::<Registration>(&object.content) {
                Ok(registration) => nodes.push(RegisteredNode {
                    node: NodeName::from(object.name.as_str()),
                    address: registration.address,
                    service: registration.service,
                }),
                // Its node overwrites it at its next start.
                Err(error) => failed(node, "list", &FormatError::from(error).into()),
            }
        }
        match page.objects.last() {
            Some(last) if page.more => after = Some(last.name.clone()),
            _ => return Ok(nodes),
        }
    }
}
