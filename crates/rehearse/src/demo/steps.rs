//! What is done to the deployment, one thing after the other.

use std::time::{Duration, Instant};

use serde_json::json;
use wingspar_standins::fleet::StoreFaults;

use super::DemoError;
use super::deployment::{DRAIN_S, Deployment, EVACUATE_S, PLAIN, ZONES};
use super::evidence::{Emptied, Place, Step};
use super::load::Load;
use super::machine::Machine;

/// The key whose owner is moved and lost.
const KEY: u16 = 0;
/// Time between disturbances in which everything settles.
const SETTLE: Duration = Duration::from_secs(1);
/// Time for which an emptied place is looked at after its bound.
const LOOKED_AT: Duration = Duration::from_secs(2);
/// Time for which the store is down: longer than a leader needs to confirm itself.
const STORE_DOWN: Duration = Duration::from_secs(4);
/// Time for which a tenant sends more than its quota: a window of the quota, and a part of the next.
const SURGE: Duration = Duration::from_secs(6);

/// The deployment under load, and what has been done to it.
pub(super) struct Play<'a> {
    began_at: Instant,
    deployment: &'a mut Deployment,
    load: &'a Load,
    progress: &'a dyn Fn(&str),
    steps: Vec<Step>,
    emptied: Vec<Emptied>,
}

impl<'a> Play<'a> {
    /// Nothing has been done yet.
    pub(super) fn new(
        began_at: Instant,
        deployment: &'a mut Deployment,
        load: &'a Load,
        progress: &'a dyn Fn(&str),
    ) -> Self {
        Self {
            began_at,
            deployment,
            load,
            progress,
            steps: Vec::new(),
            emptied: Vec::new(),
        }
    }

    /// What was done, and what had to be empty meanwhile.
    pub(super) fn record(mut self) -> (Vec<Step>, Vec<Emptied>) {
        self.end_step();
        (self.steps, self.emptied)
    }

    /// All steps.
    pub(super) async fn run_all(&mut self) -> Result<(), DemoError> {
        self.calm().await;
        self.move_key().await?;
        self.evacuate_zone().await?;
        self.drain_target().await?;
        self.kill_owner().await?;
        self.kill_leader().await?;
        self.take_store_down().await?;
        self.exceed_quota().await;
        Ok(())
    }

    /// The steps that take least time: a loss, a drain and a quota.
    pub(super) async fn run_short(&mut self) -> Result<(), DemoError> {
        self.calm().await;
        self.drain_target().await?;
        self.kill_owner().await?;
        self.exceed_quota().await;
        Ok(())
    }

    fn now_us(&self) -> u64 {
        self.began_at.elapsed().as_micros() as u64
    }

    fn say(&self, what: &str) {
        let at = self.began_at.elapsed().as_secs_f64();
        let (served, other) = self.load.counts();
        (self.progress)(&format!(
            "{at:>5.1} s  {what}  [{served} served, {other} not]"
        ));
    }

    fn end_step(&mut self) {
        let now = self.now_us();
        if let Some(step) = self.steps.last_mut() {
            step.until_us = now;
        }
    }

    fn begin(&mut self, name: &str) {
        self.end_step();
        let from_us = self.now_us();
        self.steps.push(Step {
            name: name.to_owned(),
            from_us,
            until_us: from_us,
        });
        self.say(name);
    }

    /// Waits until a machine's node is ready and leaves some time after that.
    async fn settle(&self, machine: usize) -> Result<(), DemoError> {
        let ready = async |deployment: &Deployment| deployment.is_ready(machine).await;
        self.deployment.until("the node is ready", ready).await?;
        self.deployment.pass(SETTLE).await;
        Ok(())
    }

    fn owner_name(&self) -> String {
        match self.deployment.owner(KEY) {
            Some(owner) => self.deployment.machines[owner].name(),
            None => "nobody".to_owned(),
        }
    }

    /// The machine that owns the key.
    async fn owner(&self) -> Result<usize, DemoError> {
        let owned = async |deployment: &Deployment| deployment.owner(KEY).is_some();
        self.deployment.until("the key has an owner", owned).await?;
        let nobody = || DemoError::NotInTime("the key has an owner".to_owned());
        self.deployment.owner(KEY).ok_or_else(nobody)
    }

    /// Waits until another machine owns the key.
    async fn owned_by_another(&self, before: usize) -> Result<(), DemoError> {
        let moved = async |deployment: &Deployment| {
            deployment.owner(KEY).is_some_and(|owner| owner != before)
        };
        self.deployment
            .until("the key has another owner", moved)
            .await?;
        let before = self.deployment.machines[before].name();
        self.say(&format!("key {KEY}: {before} -> {}", self.owner_name()));
        Ok(())
    }

    async fn calm(&mut self) {
        self.begin("calm");
        self.deployment.pass(SETTLE * 2).await;
    }

    /// A planned stop of a key's owner moves the key in order.
    async fn move_key(&mut self) -> Result<(), DemoError> {
        self.begin("a key moves: planned stop of its owner");
        let owner = self.owner().await?;
        self.say(&format!("key {KEY} belongs to {}", self.owner_name()));
        self.deployment.machines[owner].stop_process().await?;
        self.owned_by_another(owner).await?;
        self.deployment.start_process(owner).await?;
        self.settle(owner).await
    }

    async fn evacuate_zone(&mut self) -> Result<(), DemoError> {
        let (zone, _) = ZONES[ZONES.len() - 1];
        self.begin(&format!("zone {zone} is evacuated, and taken back"));
        self.deployment.store.write("evacuations", zone, json!({}));
        let bound = Duration::from_secs(EVACUATE_S);
        self.look_at(Place::Zone(zone.to_owned()), bound).await;
        self.deployment.store.remove("evacuations", zone);
        self.say(&format!("zone {zone} is back"));
        self.deployment.pass(SETTLE * 2).await;
        Ok(())
    }

    /// Lets the bound pass, and after that some time in which nothing may begin there.
    async fn look_at(&mut self, place: Place, bound: Duration) {
        self.deployment.pass(bound).await;
        let from_us = self.now_us();
        self.deployment.pass(LOOKED_AT).await;
        self.emptied.push(Emptied {
            place,
            from_us,
            until_us: self.now_us(),
        });
    }

    async fn drain_target(&mut self) -> Result<(), DemoError> {
        let machines = &mut self.deployment.machines;
        let target_id = |machine: &Machine| Some(machine.target.as_ref()?.id());
        let plain = machines
            .iter()
            .enumerate()
            .filter(|(_, machine)| machine.location.service == PLAIN);
        let mut running = plain.filter_map(|(number, machine)| Some((number, target_id(machine)?)));
        let none = || DemoError::NotInTime(format!("a target of {PLAIN} runs"));
        let (drained, id) = running.next().ok_or_else(none)?;
        machines[drained].accepting = false;
        self.begin(&format!("{id} is drained, and its next version starts"));
        let told = async |deployment: &Deployment| deployment.send_heartbeats().await;
        self.deployment
            .until("the target's leaving is acknowledged", told)
            .await?;
        self.look_at(Place::Target(id), Duration::from_secs(DRAIN_S))
            .await;
        self.deployment.machines[drained].end_target().await;
        self.deployment.machines[drained].start_target().await?;
        self.settle(drained).await
    }

    async fn kill_owner(&mut self) -> Result<(), DemoError> {
        let owner = self.owner().await?;
        let name = self.deployment.machines[owner].name();
        self.begin(&format!(
            "the owner of key {KEY}, {name}, is lost with its target"
        ));
        self.deployment.machines[owner].lose().await?;
        self.owned_by_another(owner).await?;
        self.deployment.machines[owner].start_target().await?;
        self.deployment.start_process(owner).await?;
        self.settle(owner).await
    }

    async fn kill_leader(&mut self) -> Result<(), DemoError> {
        let nobody = || DemoError::NotInTime("a node leads".to_owned());
        let leader = self.deployment.leader().ok_or_else(nobody)?;
        let name = self.deployment.machines[leader].name();
        self.begin(&format!("the leader, {name}, is killed"));
        self.deployment.machines[leader].kill_process()?;
        let replaced =
            async |deployment: &Deployment| deployment.leader().is_some_and(|now| now != leader);
        self.deployment
            .until("another node leads", replaced)
            .await?;
        if let Some(next) = self.deployment.leader() {
            self.say(&format!("{} leads", self.deployment.machines[next].name()));
        }
        self.deployment.start_process(leader).await?;
        self.settle(leader).await
    }

    async fn take_store_down(&mut self) -> Result<(), DemoError> {
        self.begin("the store is down, and back");
        let down = StoreFaults {
            unavailable: true,
            ..StoreFaults::default()
        };
        self.deployment.store.set_faults(down);
        self.deployment.pass(STORE_DOWN).await;
        self.deployment.store.set_faults(StoreFaults::default());
        self.say("the store is back");
        self.deployment.pass(SETTLE).await;
        Ok(())
    }

    async fn exceed_quota(&mut self) {
        self.begin("a tenant sends more than its quota");
        self.load.surge(true);
        self.deployment.pass(SURGE).await;
        self.load.surge(false);
    }
}
