//! Guards against a removal of a node's registration that the store executes after the node has
//! registered again: the next leader wouldn't wait for that node.

use reqwest::Method;
use serde_json::Value;

use crate::deployment::{Deployment, eventually};

const KIND: &str = "wingspar-nodes";
/// The restarted node.
const NODE: usize = 0;
const NAME: &str = "node-0";
/// More removals than a stopping process tries within its grace period.
const ALL_REMOVALS: usize = 12;

async fn registered(deployment: &Deployment) -> Value {
    eventually("the node is registered", || async {
        deployment.store.read(KIND, NAME).is_some()
    })
    .await;
    deployment.store.read(KIND, NAME).expect("an object")
}

/// Starts the node's process again and waits until it serves.
async fn restart(deployment: &mut Deployment, sequence: u64) {
    deployment.start_process(NODE);
    deployment.heartbeat(NODE, "ready", sequence).await;
    deployment.ready(NODE).await;
}

#[tokio::test]
async fn a_late_removal_by_an_earlier_process_keeps_a_registration() {
    let mut deployment = Deployment::start(83).await;
    registered(&deployment).await;
    deployment.store.hold_next(Method::DELETE, KIND, NAME);
    deployment.terminate(NODE);
    assert!(deployment.exited_well(NODE).await);
    assert_eq!(deployment.store.held(), 1, "the first removal");
    assert_eq!(deployment.store.read(KIND, NAME), None, "the second one");
    restart(&mut deployment, 2).await;
    let own = registered(&deployment).await;
    deployment.store.execute_held();
    assert_eq!(deployment.store.read(KIND, NAME), Some(own));
}

#[tokio::test]
async fn removals_that_are_all_late_keep_the_registration_of_the_next_process() {
    let mut deployment = Deployment::start(84).await;
    let earlier = registered(&deployment).await;
    for _ in 0..ALL_REMOVALS {
        deployment.store.hold_next(Method::DELETE, KIND, NAME);
    }
    deployment.terminate(NODE);
    assert!(deployment.exited_well(NODE).await);
    assert!(deployment.store.held() > 0);
    restart(&mut deployment, 2).await;
    eventually("the next process has registered", || async {
        let stored = deployment.store.read(KIND, NAME);
        stored.is_some_and(|stored| stored != earlier)
    })
    .await;
    let own = registered(&deployment).await;
    deployment.store.execute_held();
    assert_eq!(deployment.store.read(KIND, NAME), Some(own));
}

#[tokio::test]
async fn a_node_registers_again_if_a_new_leader_finds_its_registration_missing() {
    let mut deployment = Deployment::start(86).await;
    registered(&deployment).await;
    deployment.nothing_changes().await;
    let leader = deployment.leader();
    let lost = (0..2).find(|node| *node != leader).expect("two nodes");
    let name = format!("node-{lost}");
    assert!(deployment.store.remove(KIND, &name));
    deployment.kill(leader);
    eventually("the node has registered again", || async {
        deployment.store.read(KIND, &name).is_some()
    })
    .await;
}

/// Calls from before the restore name the object of the earlier era.
#[tokio::test]
async fn nodes_register_in_objects_of_their_own_after_a_restore_of_the_store() {
    let deployment = Deployment::start(87).await;
    registered(&deployment).await;
    deployment.store.come_back(deployment.store.copy());
    for node in 0..deployment.nodes.len() {
        let name = format!("node-{node}.era1");
        eventually("the node has registered again", || async {
            deployment.store.read(KIND, &name).is_some()
        })
        .await;
    }
}

#[tokio::test]
async fn a_planned_stop_removes_the_registration() {
    let mut deployment = Deployment::start(85).await;
    registered(&deployment).await;
    deployment.terminate(NODE);
    assert!(deployment.exited_well(NODE).await);
    assert_eq!(deployment.store.read(KIND, NAME), None);
}
