//! Clients that send requests at a steady rate.

use std::time::{Duration, Instant};

use reqwest::StatusCode;

use crate::deployment::Deployment;

/// Time between two requests of each load: 50 a second.
const GAP: Duration = Duration::from_millis(20);
/// How a request ended.
pub struct End {
    /// Its status.
    pub status: StatusCode,
    /// Time until its answer began.
    pub took: Duration,
    /// When its client may come back, in seconds, if it was told.
    pub retry_after: Option<f64>,
}

/// Sends requests to all nodes in turn for so long.
pub async fn load(deployment: &Deployment, name: &str, path: &str, lasts: Duration) -> Vec<End> {
    load_at(deployment, &[0, 1, 2, 3], name, path, lasts).await
}

/// Sends requests to some nodes in turn for so long.
pub async fn load_at(
    deployment: &Deployment,
    nodes: &[usize],
    name: &str,
    path: &str,
    lasts: Duration,
) -> Vec<End> {
    let begun = Instant::now();
    let mut requests = Vec::new();
    let mut gaps = tokio::time::interval(GAP);
    for number in 0.. {
        gaps.tick().await;
        if begun.elapsed() >= lasts {
            break;
        }
        let node = nodes[number % nodes.len()];
        let request = deployment.request(node, path, &format!("{name}-{number}"));
        let key = number * 7_919 % 65_536;
        let request = request.header("x-wingspar-shard-key", key);
        requests.push(tokio::spawn(async move {
            let begun = Instant::now();
            let answer = request.send().await.ok()?;
            let retry_after = answer.headers().get("retry-after");
            let retry_after = retry_after.and_then(|told| told.to_str().ok()?.parse().ok());
            Some(End {
                status: answer.status(),
                took: begun.elapsed(),
                retry_after,
            })
        }));
    }
    let mut ends = Vec::new();
    for request in requests {
        ends.extend(request.await.expect("no panic"));
    }
    ends
}
