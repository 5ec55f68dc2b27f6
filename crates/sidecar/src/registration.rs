//! The node's own object in the store, by which a new leader knows whom to wait for.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use wingspar_ownership::{NodeName, RegisteredNode};
use wingspar_platform::objects::{self, Outcome};

use crate::node::Node;

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

/// Writes the node's object, until that succeeds.
pub async fn register(node: Rc<Node>) {
    let content = Registration {
        address: node.settings.internal(),
        service: Some(node.settings.node.service.clone()),
    };
    loop {
        if write(&node, &content).await {
            node.registered.set(true);
            node.control_wakes.notify_one();
            return;
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(PAUSE.mul_f64(jitter)).await;
    }
}

async fn write(node: &Node, content: &Registration) -> bool {
    let created = node
        .store
        .call(&objects::create(KIND, &node.name, content))
        .await;
    match created {
        Ok(reply) if reply.outcome == Outcome::Done => true,
        Ok(reply) if reply.outcome == Outcome::Conflict => {
            replace(node, &reply.body, content).await
        }
        _ => false,
    }
}

/// The object exists, from an earlier process: it is replaced if it says something else.
async fn replace(node: &Node, body: &[u8], content: &Registration) -> bool {
    let known = match objects::parse_object(body) {
        Ok(object) => object,
        Err(_) => match node.store.call(&objects::get(KIND, &node.name)).await {
            Ok(reply) => match objects::parse_object(&reply.body) {
                Ok(object) => object,
                Err(_) => return false,
            },
            Err(_) => return false,
        },
    };
    if serde_json::from_slice::<Registration>(&known.content).is_ok_and(|known| known == *content) {
        return true;
    }
    let replaced = node
        .store
        .call(&objects::replace(KIND, &node.name, known.revision, content))
        .await;
    replaced.is_ok_and(|reply| reply.outcome == Outcome::Done)
}

/// Removes the node's object; the node holds nothing any more. Whether it is gone.
pub async fn unregister(node: &Node) -> bool {
    let reply = node.store.call(&objects::remove(KIND, &node.name)).await;
    reply.is_ok_and(|reply| matches!(reply.outcome, Outcome::Done | Outcome::Missing))
}

/// All registered nodes; nothing if the store didn't tell.
pub async fn list(node: &Node) -> Option<Vec<RegisteredNode>> {
    let mut nodes = Vec::new();
    let mut after = None::<String>;
    loop {
        let call = objects::list(KIND, after.as_deref());
        let reply = crate::follow::call(node, &call, None).await?;
        let page = objects::parse_page(&reply.body).ok()?;
        for object in &page.objects {
            if let Ok(registration) = serde_json::from_slice::<Registration>(&object.content) {
                nodes.push(RegisteredNode {
                    node: NodeName::from(object.name.as_str()),
                    address: registration.address,
                    service: registration.service,
                });
            }
        }
        match page.objects.last() {
            Some(last) if page.more => after = Some(last.name.clone()),
            _ => return Some(nodes),
        }
    }
}
