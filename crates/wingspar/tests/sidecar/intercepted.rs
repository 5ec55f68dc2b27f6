//! Deployments some of whose targets' answers are bytes of a test's own.

use serde_json::Value;
use wingspar_standins::net::{InterceptedRequest, RawAnswer};

use crate::deployment::{Deployment, Wiring, eventually};

/// Version of the configuration with the test's routes.
const VERSION: u64 = 9;

/// Starts a deployment with these routes, in which targets answer by this rule.
pub async fn with_answers(
    test: u8,
    routes: Value,
    rule: fn(&InterceptedRequest) -> Option<RawAnswer>,
) -> Deployment {
    let wiring = Wiring {
        intercepted: true,
        ..Wiring::default()
    };
    let deployment = Deployment::start_with(test, &wiring).await;
    deployment.configure(VERSION, routes);
    for (index, node) in deployment.nodes.iter().enumerate() {
        node.target_interceptor.answer_by(rule);
        eventually("the routes are in force", || async {
            deployment.configuration_version(index).await == Some(VERSION)
        })
        .await;
    }
    deployment
}

/// How many answers of targets were the test's own.
pub fn answered(deployment: &Deployment) -> usize {
    let nodes = deployment.nodes.iter();
    nodes.map(|node| node.target_interceptor.answered()).sum()
}
