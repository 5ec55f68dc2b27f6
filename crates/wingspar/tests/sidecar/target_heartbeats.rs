//! The heartbeats of a deployment's targets.

use std::time::Duration;

use serde_json::{Value, json};
use wingspar_standins::fleet::FleetTarget;

use crate::deployment::{Deployment, KEYED, eventually};

/// Time between two heartbeats of a target that takes its keys in the answers.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// The same while it lets go of keys.
const LETTING_GO: Duration = Duration::from_millis(60);

/// A heartbeat of a target as it was; it may be sent when that life has ended.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    /// Where it is sent.
    pub url: String,
    /// What it says.
    pub body: Value,
    /// Number of the target's life.
    pub life: u32,
}

impl Deployment {
    /// Sends a heartbeat for a machine's target.
    pub async fn heartbeat(&self, node: usize, state: &str, sequence: u64) {
        let Some(heartbeat) = self.heartbeat_of(node, state, sequence) else {
            return;
        };
        eventually("the heartbeat is acknowledged", || async {
            let sent = self.heartbeat_request(&heartbeat).send().await;
            sent.is_ok_and(|answer| answer.status() == 200)
        })
        .await;
        self.note_acknowledged(node, heartbeat.life);
    }

    fn note_acknowledged(&self, node: usize, life: u32) {
        if let Some(target) = &self.nodes[node].target {
            target.keys().note_acknowledged(life);
        }
    }

    /// Sends a target's heartbeats, and has it take the answers, until the machine is dropped.
    pub fn send_heartbeats(&mut self, node: usize) {
        let heartbeat = self.heartbeat_of(node, "ready", 0).expect("a target");
        let target = self.nodes[node].target.as_ref().expect("a target");
        let keys = (self.nodes[node].service == KEYED).then(|| target.keys());
        let client = self.client.clone();
        let sending = tokio::spawn(async move {
            let Heartbeat { url, mut body, .. } = heartbeat;
            for sequence in 1_u64.. {
                body["status"]["seq"] = json!(sequence);
                if let Some(keys) = &keys {
                    keys.tell(&mut body);
                }
                let sent_at = std::time::Instant::now();
                let call = client.put(&url).body(body.to_string());
                let call = call.timeout(Duration::from_secs(1));
                let answer = async { call.send().await?.bytes().await };
                let answer = answer.await.unwrap_or_default();
                let answer = serde_json::from_slice(&answer).unwrap_or(Value::Null);
                let lets_go = keys
                    .as_ref()
                    .is_some_and(|keys| keys.take(sent_at, &answer));
                tokio::time::sleep(if lets_go { LETTING_GO } else { HEARTBEAT }).await;
            }
        });
        self.nodes[node].sending = Some(sending.abort_handle());
    }

    /// A heartbeat of a machine's target; nothing while the target is away.
    pub fn heartbeat_of(&self, node: usize, state: &str, sequence: u64) -> Option<Heartbeat> {
        let machine = &self.nodes[node];
        let target = machine.target.as_ref().filter(|target| target.is_up())?;
        let mut body = json!({
            "address": machine.target_address.to_string(),
            "info": {"service": machine.service, "version": "v1", "zone": machine.zone, "capacity": 8},
            "status": {"state": state, "seq": sequence, "warmup_left_s": target.warmup().as_secs_f64()},
        });
        if self.names_births {
            body["born"] = json!(target.born());
        }
        Some(Heartbeat {
            url: self.heartbeat_url(node, &target.id()),
            body,
            life: target.crashes(),
        })
    }

    /// Where a machine's node takes the heartbeats of a target.
    pub fn heartbeat_url(&self, node: usize, id: &str) -> String {
        format!("http://{}/instances/{id}", self.nodes[node].heartbeats)
    }

    /// The call that brings a heartbeat.
    pub fn heartbeat_request(&self, heartbeat: &Heartbeat) -> reqwest::RequestBuilder {
        let call = self.client.put(&heartbeat.url);
        call.body(heartbeat.body.to_string())
    }

    /// Sends a heartbeat for each target.
    pub async fn heartbeats(&self, sequence: u64) {
        for node in 0..self.nodes.len() {
            self.heartbeat(node, "ready", sequence).await;
        }
    }

    /// Sends a heartbeat for each target, as far as its node takes it.
    pub async fn try_heartbeats(&self) {
        for node in 0..self.nodes.len() {
            if let Some(heartbeat) = self.next_heartbeat(node) {
                self.try_heartbeat(node, &heartbeat).await;
            }
        }
    }

    /// The next heartbeat of a machine's target: its number is above those before; nothing while the target is away.
    pub fn next_heartbeat(&self, node: usize) -> Option<Heartbeat> {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let sequence = since_epoch.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0));
        self.heartbeat_of(node, "ready", sequence)
    }

    /// Sends a heartbeat of a machine's target, if its node takes it at once.
    pub async fn try_heartbeat(&self, node: usize, heartbeat: &Heartbeat) {
        let call = self.heartbeat_request(heartbeat);
        let sent = call.timeout(Duration::from_millis(60)).send().await;
        if sent.is_ok_and(|answer| answer.status() == 200) {
            self.note_acknowledged(node, heartbeat.life);
        }
    }

    /// The target of a machine that has one.
    pub fn target(&self, node: usize) -> &FleetTarget {
        self.nodes[node].target.as_ref().expect("a target")
    }
}
