//! The heartbeats of targets: lost, late, and beside them those of another writer.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;

use crate::deployment::Deployment;
use crate::target_heartbeats::Heartbeat;

/// How long a target waits for an acknowledgement.
const PATIENCE: Duration = Duration::from_secs(1);
/// How late a heartbeat arrives that is late, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 200..8_000;
/// One in so many heartbeats is late while some are.
const LATE: u32 = 3;

/// What becomes of a target's heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatHarm {
    /// They are lost.
    Lost,
    /// Some arrive late; their sender may have ended by then.
    Late,
    /// Another writer sends some for the same address, under another id.
    Foreign,
}

/// Sends the heartbeats of all targets.
#[derive(Debug, Default)]
pub struct Heartbeats {
    harms: BTreeMap<usize, HeartbeatHarm>,
    /// The heartbeat of each machine's target that is under way.
    sending: BTreeMap<usize, JoinHandle<()>>,
}

impl Heartbeats {
    /// Harms the heartbeats of a machine's target from now on.
    pub fn harm(&mut self, node: usize, harm: HeartbeatHarm) {
        self.harms.insert(node, harm);
    }

    /// They arrive again.
    pub fn heal(&mut self, node: usize) {
        self.harms.remove(&node);
    }

    /// Sends a heartbeat for each target whose last one was answered or given up.
    pub fn send(&mut self, deployment: &Deployment, random: &mut ChaCha8Rng) {
        for node in 0..deployment.nodes.len() {
            let is_sending = |sending: &JoinHandle<()>| !sending.is_finished();
            let Some(heartbeat) = deployment.next_heartbeat(node) else {
                continue;
            };
            match self.harms.get(&node) {
                Some(HeartbeatHarm::Lost) => continue,
                Some(HeartbeatHarm::Late) if random.random_range(0..LATE) == 0 => {
                    let late = Duration::from_millis(random.random_range(LATE_MS));
                    tokio::spawn(send(deployment, node, &heartbeat, late));
                    continue;
                }
                Some(HeartbeatHarm::Foreign) => {
                    let url = deployment.heartbeat_url(node, &format!("foreign-{node}"));
                    let foreign = Heartbeat {
                        url,
                        ..heartbeat.clone()
                    };
                    let call = deployment.heartbeat_request(&foreign).timeout(PATIENCE);
                    tokio::spawn(call.send());
                }
                Some(HeartbeatHarm::Late) | None => {}
            }
            if !self.sending.get(&node).is_some_and(is_sending) {
                let sending = tokio::spawn(send(deployment, node, &heartbeat, Duration::ZERO));
                self.sending.insert(node, sending);
            }
        }
    }
}

/// Sends a heartbeat after a while.
fn send(
    deployment: &Deployment,
    node: usize,
    heartbeat: &Heartbeat,
    late: Duration,
) -> impl Future<Output = ()> + use<> {
    let call = deployment.heartbeat_request(heartbeat).timeout(PATIENCE);
    let life = heartbeat.life;
    let keys = deployment.nodes[node]
        .target
        .as_ref()
        .map(|target| target.keys());
    async move {
        tokio::time::sleep(late).await;
        let sent = call.send().await;
        if sent.is_ok_and(|answer| answer.status() == 200)
            && let Some(keys) = keys
        {
            keys.note_acknowledged(life);
        }
    }
}
