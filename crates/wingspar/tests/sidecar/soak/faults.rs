//! Faults from outside the processes: their links, their signals, their store.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use wingspar_standins::fleet::{StoreCopy, StoreFaults};
use wingspar_standins::net::Harm;

use super::announcements::Announcements;
use super::credentials::Credentials;
use super::heartbeats::{HeartbeatHarm, Heartbeats};
use super::holders::Holders;
use super::leaving::Interruptions;
use super::quotas::{METERED, VARIED};
use crate::deployment::{Deployment, route};
use crate::quota_bound;

/// Time between the beginnings of two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..1_500;
/// How long a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 300..4_000;

/// How much longer than other faults a tenant sends many times its usual: as long as its quota's window.
const STORM_LASTS: Duration = quota_bound::WINDOW;
/// How much longer than other faults a target names a limit: until it binds, and for a span in which it is counted.
const LIMIT_LASTS: Duration = Duration::from_secs(8);
/// How much longer than other faults a target leaves before it ends: nodes may send it nothing for a while by then.
const LEAVING_LASTS: Duration = Duration::from_secs(5);
/// How often a copy of the store is kept.
const COPY_EVERY: Duration = Duration::from_millis(700);
/// How old the copy is, at most, that the store comes back from.
const OLDEST_COPY: Duration = Duration::from_secs(8);
/// How long the operator takes to write again what the store has lost.
const WRITTEN_AGAIN: Duration = Duration::from_millis(400);
/// Zones, each a region of its own.
const ZONES: [&str; 2] = ["a", "b"];
/// What a target that is slow after its start tells of it, until it is told otherwise.
const SLOW_FOR: Duration = Duration::from_secs(3);

/// How long a target that ends is away, and how long its first heartbeats are lost then, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 0..1_500;
const FIRST_LOST_MS: std::ops::Range<u64> = 200..3_000;

/// How a fault ends.
#[derive(Debug)]
enum End {
    StoreLink(usize),
    TargetLink(usize),
    Store,
    Resume(usize),
    Start(usize),
    Evacuation(&'static str),
    SlowTarget(usize),
    Limit(usize),
    Leaving(usize),
    /// A target begins its next life; whether under the same id.
    TargetAway(usize, bool),
    Heartbeats(usize),
    Storm(&'static str),
    /// The store is away, and comes back from a copy.
    StoreAway(StoreCopy),
    /// What the operator has written is written again.
    WrittenAgain,
}

/// Faults that are under way, and the story of all.
pub struct Faults {
    began_at: Instant,
    next_at: Instant,
    ends: Vec<(Instant, End)>,
    configuration: u64,
    credentials: Credentials,
    announcements: Announcements,
    interruptions: Interruptions,
    heartbeats: Heartbeats,
    holders: Holders,
    /// Copies of the store of the last seconds.
    copies: VecDeque<(Instant, StoreCopy)>,
    /// The last configuration, as the store holds it.
    written: Value,
    log: Vec<String>,
}

impl Faults {
    /// None yet.
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            began_at: now,
            next_at: now,
            ends: Vec::new(),
            configuration: 100,
            credentials: Credentials::new(seed),
            announcements: Announcements::default(),
            interruptions: Interruptions::default(),
            heartbeats: Heartbeats::default(),
            holders: Holders::new(now),
            copies: VecDeque::new(),
            written: Value::Null,
            log: Vec::new(),
        }
    }

    /// The faults so far, a line each.
    pub fn log(&self) -> &[String] {
        &self.log
    }

    /// The credentials of all configurations so far.
    pub fn credentials(&self) -> &Credentials {
        &self.credentials
    }

    /// What targets have announced.
    pub fn announcements(&self) -> &Announcements {
        &self.announcements
    }

    /// When processes were interrupted.
    pub fn interruptions(&self) -> &Interruptions {
        &self.interruptions
    }

    /// What targets held, with the delays of grants to them.
    pub fn holders(&self) -> &Holders {
        &self.holders
    }

    /// Sends the heartbeats of targets, as far as they aren't lost.
    pub fn send_heartbeats(&mut self, deployment: &Deployment, random: &mut ChaCha8Rng) {
        self.heartbeats.send(deployment, random);
    }

    /// A credential for a request.
    pub fn draw_credential(&mut self) -> &'static str {
        self.credentials.draw()
    }

    /// Tenants that send many times their usual now.
    pub fn storming(&self) -> Vec<&'static str> {
        let storming = self.ends.iter().filter_map(|(_, end)| match end {
            End::Storm(credential) => Some(*credential),
            _ => None,
        });
        storming.collect()
    }

    /// Writes the next configuration; each second one has a tenant's smaller quota.
    pub fn configure(&mut self, deployment: &Deployment) {
        let lowered = self.configuration % 2 == 1;
        self.configure_quotas(deployment, lowered);
    }

    /// Writes the next configuration, with a tenant's smaller quota or the larger one.
    pub fn configure_quotas(&mut self, deployment: &Deployment, lowered: bool) {
        self.configuration += 1;
        let version = self.configuration;
        self.note(&format!("configuration {version}"));
        let tenants = self.credentials.next_version(lowered);
        deployment.configure_tenants(version, routes(), tenants);
        let written = deployment.store.read("config", "main");
        self.written = written.expect("it has been written");
    }

    /// Keeps a copy of the store now and then.
    fn keep_copy(&mut self, deployment: &Deployment, now: Instant) {
        if self
            .copies
            .back()
            .is_some_and(|(at, _)| now - *at < COPY_EVERY)
        {
            return;
        }
        self.copies.push_back((now, deployment.store.copy()));
        while self
            .copies
            .front()
            .is_some_and(|(at, _)| now - *at > OLDEST_COPY)
        {
            self.copies.pop_front();
        }
    }

    /// The store is away for a moment; then it comes back from a copy.
    fn restore(&mut self, deployment: &Deployment, random: &mut ChaCha8Rng, until: Instant) {
        let (at, copy) = &self.copies[random.random_range(0..self.copies.len())];
        let age = at.elapsed().as_millis();
        self.ends.push((until, End::StoreAway(copy.clone())));
        deployment.store.set_faults(StoreFaults {
            unavailable: true,
            ..StoreFaults::default()
        });
        self.note(&format!("the store is away and has a copy {age} ms old"));
    }

    /// Writes again what the operator has written and the store may have lost.
    fn write_again(&self, deployment: &Deployment) {
        let store = &deployment.store;
        store.write("config", "main", self.written.clone());
        for zone in ZONES {
            let is_evacuated =
                |(_, end): &(_, End)| matches!(end, End::Evacuation(of) if *of == zone);
            let evacuated = self.ends.iter().any(is_evacuated);
            match (evacuated, store.read("evacuations", zone).is_some()) {
                (true, false) => store.write("evacuations", zone, json!({})),
                (false, true) => {
                    store.remove("evacuations", zone);
                }
                _ => {}
            }
        }
    }

    /// Version of the last configuration.
    pub fn configuration(&self) -> u64 {
        self.configuration
    }

    /// Ends what is over and begins another fault when it is time.
    pub async fn step(&mut self, deployment: &mut Deployment, random: &mut ChaCha8Rng) {
        let now = Instant::now();
        let (over, ends) = self.ends.drain(..).partition(|(at, _)| *at <= now);
        self.ends = ends;
        for (_, end) in over {
            self.end(deployment, end).await;
        }
        self.keep_copy(deployment, now);
        self.announcements.note_crashes(deployment);
        if now < self.next_at {
            return;
        }
        self.next_at = now + Duration::from_millis(random.random_range(PAUSE_MS));
        let until = now + Duration::from_millis(random.random_range(LASTS_MS));
        let node = random.random_range(0..deployment.nodes.len());
        self.begin(deployment, random, node, until).await;
    }

    /// Ends all faults.
    pub async fn heal(&mut self, deployment: &mut Deployment) {
        // One that comes back from a copy is written to again afterwards.
        while !self.ends.is_empty() {
            for (_, end) in std::mem::take(&mut self.ends) {
                self.end(deployment, end).await;
            }
        }
        self.note("all faults end");
    }

    fn note(&mut self, what: &str) {
        let at = self.began_at.elapsed().as_millis();
        self.log.push(format!("{at} ms: {what}"));
    }

    /// Whether a machine's process is stopped or about to be started again.
    fn is_away(&self, node: usize) -> bool {
        self.ends
            .iter()
            .any(|(_, end)| matches!(end, End::Resume(away) | End::Start(away) if *away == node))
    }

    async fn begin(
        &mut self,
        deployment: &mut Deployment,
        random: &mut ChaCha8Rng,
        node: usize,
        until: Instant,
    ) {
        let away = self.is_away(node);
        match random.random_range(0..28) {
            22 | 23 => {
                for node in draw_restarted(random, node) {
                    self.restart_target(deployment, random, node).await;
                }
            }
            24 => self.harm_heartbeats(node, HeartbeatHarm::Lost, until),
            25 | 26 => self.harm_heartbeats(node, HeartbeatHarm::Late, until),
            27 => self.harm_heartbeats(node, HeartbeatHarm::Foreign, until),
            21 => {
                self.announcements.begin_leaving(deployment, node);
                self.note(&format!("the target of {node} says that it leaves"));
                self.ends.push((until + LEAVING_LASTS, End::Leaving(node)));
            }
            19 | 20 => {
                let limit = self.announcements.begin_limit(deployment, random, node);
                self.note(&format!("the target of {node} names a limit of {limit}"));
                self.ends.push((until + LIMIT_LASTS, End::Limit(node)));
            }
            17 | 18 => self.restore(deployment, random, until),
            0 | 1 => {
                let harm = draw_harm(random);
                deployment.nodes[node].store_link.set(harm);
                self.note(&format!("store link of {node}: {harm:?}"));
                self.ends.push((until, End::StoreLink(node)));
            }
            2 | 3 => {
                let harm = draw_harm(random);
                deployment.nodes[node].target_link.set(harm);
                self.announcements.link_changed(node);
                self.holders.link_harmed(node);
                self.note(&format!("target link of {node}: {harm:?}"));
                self.ends.push((until, End::TargetLink(node)));
            }
            4 => {
                let faults = draw_store_faults(random);
                deployment.store.set_faults(faults);
                self.note(&format!("store: {faults:?}"));
                self.ends.push((until, End::Store));
            }
            10 => {
                let zone = ZONES[random.random_range(0..ZONES.len())];
                deployment.store.write("evacuations", zone, json!({}));
                self.note(&format!("zone {zone} is evacuated"));
                self.ends.push((until, End::Evacuation(zone)));
            }
            11 => {
                self.announcements.set_warmup(deployment, node, SLOW_FOR);
                self.note(&format!("the target of {node} is slow after its start"));
                self.ends.push((until, End::SlowTarget(node)));
            }
            12 => {
                if let Some(owner) = self.owner_of_quota(deployment).await {
                    self.pause(deployment, owner, until);
                }
            }
            13 => {
                if let Some(owner) = self.owner_of_quota(deployment).await {
                    self.kill(deployment, owner, until);
                }
            }
            14 => {
                let zone = ZONES[random.random_range(0..ZONES.len())];
                self.note(&format!("the region of zone {zone} is lost"));
                for node in 0..deployment.nodes.len() {
                    if deployment.nodes[node].zone == zone && !self.is_away(node) {
                        self.pause(deployment, node, until);
                    }
                }
            }
            15 | 16 => {
                let tenant = [METERED, VARIED][random.random_range(0..2)];
                self.note(&format!("{tenant} sends many times its usual"));
                self.ends.push((until + STORM_LASTS, End::Storm(tenant)));
            }
            5 | 6 if !away => self.pause(deployment, node, until),
            7 if !away => self.kill(deployment, node, until),
            8 if !away => {
                self.note(&format!("{node} is stopped in order"));
                deployment.terminate(node);
                self.interruptions.note(node);
                if !deployment.exited_well(node).await {
                    self.note(&format!("{node} didn't end by itself"));
                }
                self.ends.push((until, End::Start(node)));
            }
            _ => self.configure(deployment),
        }
    }

    /// A target ends, and begins its next life a little later; its first heartbeats may be lost.
    async fn restart_target(
        &mut self,
        deployment: &Deployment,
        random: &mut ChaCha8Rng,
        node: usize,
    ) {
        let keeps_id = random.random_range(0..2) == 0 && deployment.names_births;
        let back_at = Instant::now() + Duration::from_millis(random.random_range(AWAY_MS));
        deployment.target(node).end_life().await;
        self.note(&format!("the target of {node} ends"));
        self.ends.push((back_at, End::TargetAway(node, keeps_id)));
        if random.random_range(0..2) == 0 {
            let lost = Duration::from_millis(random.random_range(FIRST_LOST_MS));
            self.harm_heartbeats(node, HeartbeatHarm::Lost, back_at + lost);
        }
    }

    fn harm_heartbeats(&mut self, node: usize, harm: HeartbeatHarm, until: Instant) {
        self.heartbeats.harm(node, harm);
        self.note(&format!("heartbeats of {node}: {harm:?}"));
        self.ends.push((until, End::Heartbeats(node)));
    }

    fn pause(&mut self, deployment: &Deployment, node: usize, until: Instant) {
        deployment.signal(node, "-STOP");
        self.interruptions.note(node);
        self.note(&format!("{node} is paused"));
        self.ends.push((until, End::Resume(node)));
    }

    fn kill(&mut self, deployment: &mut Deployment, node: usize, until: Instant) {
        deployment.kill(node);
        self.interruptions.note(node);
        self.note(&format!("{node} is killed"));
        self.ends.push((until, End::Start(node)));
    }

    /// The machine whose node owns a tenant's quota, if one that runs says so.
    async fn owner_of_quota(&mut self, deployment: &Deployment) -> Option<usize> {
        let owner = deployment.owner_of_quota(METERED).await;
        let owner = owner.filter(|owner| !self.is_away(*owner))?;
        self.note(&format!("{owner} owns the quota of {METERED}"));
        Some(owner)
    }

    async fn end(&mut self, deployment: &mut Deployment, end: End) {
        match end {
            End::StoreLink(node) => deployment.nodes[node].store_link.set(Harm::None),
            End::TargetLink(node) => {
                deployment.nodes[node].target_link.set(Harm::None);
                self.announcements.link_changed(node);
                self.holders.link_healed(node);
            }
            End::TargetAway(node, keeps_id) => {
                deployment.target(node).begin_life(keeps_id).await;
                self.announcements.link_changed(node);
            }
            End::Heartbeats(node) => {
                self.heartbeats.heal(node);
                self.announcements.link_changed(node);
            }
            End::Store => deployment.store.set_faults(StoreFaults::default()),
            End::Resume(node) => {
                deployment.signal(node, "-CONT");
                self.interruptions.note(node);
                self.holders.went_on(node);
            }
            End::Start(node) => {
                deployment.start_process(node);
                self.interruptions.note(node);
            }
            End::Evacuation(zone) => {
                deployment.store.remove("evacuations", zone);
            }
            End::SlowTarget(node) => {
                self.announcements
                    .set_warmup(deployment, node, Duration::ZERO)
            }
            End::Leaving(node) => self.announcements.end_leaving(deployment, node),
            End::Limit(node) => self.announcements.end_limit(deployment, node),
            End::Storm(_) => {}
            End::StoreAway(copy) => {
                self.copies.clear();
                deployment.store.come_back(copy);
                deployment.store.set_faults(StoreFaults::default());
                let until = Instant::now() + WRITTEN_AGAIN;
                self.ends.push((until, End::WrittenAgain));
                return self.note("the store has come back from its copy");
            }
            End::WrittenAgain => self.write_again(deployment),
        }
        self.note(&format!("over: {end:?}"));
    }
}

/// The routes that the load uses.
fn routes() -> serde_json::Value {
    json!([
        route("orders", "/orders/", "idempotent", "orders"),
        route("book", "/book/", "non_idempotent", "orders"),
        route("stock", "/stock/", "idempotent", "stock"),
    ])
}

/// The machines whose targets start again together: any, or those whose keys have owners.
fn draw_restarted(random: &mut ChaCha8Rng, any: usize) -> Vec<usize> {
    match random.random_range(0..4) {
        0 => vec![any],
        1 => vec![0],
        2 => vec![1],
        _ => vec![0, 1],
    }
}

fn draw_harm(random: &mut ChaCha8Rng) -> Harm {
    match random.random_range(0..4) {
        0 => Harm::Delay(Duration::from_millis(random.random_range(20..400))),
        1 => Harm::OneWay,
        2 => Harm::Silent,
        _ => Harm::Reset,
    }
}

fn draw_store_faults(random: &mut ChaCha8Rng) -> StoreFaults {
    let kind = random.random_range(0..5);
    StoreFaults {
        unavailable: kind == 0,
        throttled: kind == 1,
        silent: kind == 2,
        history_from: if kind == 3 { u64::MAX } else { 0 },
        hides_kinds: kind == 4,
    }
}
