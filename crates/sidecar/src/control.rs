//! The control loop: leases, the leadership, the table, load reports.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};
use wingspar_ownership::{
    Epoch, Leader, LeaderReference, LeaseReply, PeerView, Renewal, Step, Time,
};
use wingspar_platform::objects::{self, Outcome};

use crate::directory::Directory;
use crate::internal;
use crate::logs::Event;
use crate::node::Node;
use crate::registration;
use crate::target_calls::carry_out;

/// Kind and name of the object that names the leader.
const LEADER_KIND: &str = "wingspar-leadership";
const LEADER_NAME: &str = "leader";
/// How often the loop looks at its clock.
const TICK: Duration = Duration::from_millis(100);
/// Two renewals that something hurried on are at least this far apart.
const HURRIED_RENEWALS: Duration = Duration::from_millis(40);
/// Peers that are asked whom they hear.
const PEERS_ASKED: usize = 5;
/// How often load is reported.
const LOAD_EVERY: Duration = Duration::from_millis(1_000);
/// A leader that couldn't confirm for this long asks a node that reaches the store to take over.
const CONFIRM_TROUBLE: Duration = Duration::from_millis(3_500);
/// How often it asks.
const TAKE_OVER_EVERY: Duration = Duration::from_millis(1_000);
/// A confirmation that a new node waits for comes this long after the last.
const HURRIED_CONFIRMATION: Duration = Duration::from_millis(200);
/// Largest datagram.
const DATAGRAM_BYTES: usize = 65_000;

/// What nodes tell each other in datagrams.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Datagram {
    /// A node asks its leader for a lease.
    Renew(Box<Renewal>),
    /// The leader answers.
    Lease(LeaderReference, LeaseReply),
    /// The node that was asked doesn't lead.
    NotLeading(Option<LeaderReference>),
    /// Whom do you hear?
    Ask,
    /// This one, that long ago in milliseconds.
    Tell(Option<LeaderReference>, u64),
    /// The leader asks a node to take over from its epoch.
    TakeOver(Epoch),
    /// The leader's table, or its configuration, has changed.
    Notice(LeaderReference, u64, u64),
}

/// The control loop's own state.
pub struct Control {
    node: Rc<Node>,
    socket: UdpSocket,
    next_renewal: Cell<Time>,
    last_renewal: Cell<Time>,
    next_load: Cell<Time>,
    next_take_over: Cell<Time>,
    confirming: Cell<bool>,
    last_confirmation: Cell<Time>,
    fetching_table: Cell<bool>,
    fetching_configuration: Cell<bool>,
    noticed: Cell<(u64, u64, u64)>,
    /// The object's revision and epoch when it was last read; nothing if it doesn't exist.
    object: RefCell<Option<(u64, Epoch)>>,
}

impl Control {
    /// A loop on a socket.
    pub fn new(node: Rc<Node>, socket: UdpSocket) -> Rc<Self> {
        let now = node.now();
        Rc::new(Self {
            node,
            socket,
            next_renewal: Cell::new(now),
            last_renewal: Cell::new(Time::default()),
            next_load: Cell::new(now),
            next_take_over: Cell::new(now),
            confirming: Cell::new(false),
            last_confirmation: Cell::new(Time::default()),
            fetching_table: Cell::new(false),
            fetching_configuration: Cell::new(false),
            noticed: Cell::new((0, 0, 0)),
            object: RefCell::new(None),
        })
    }

    /// Runs until the process ends.
    pub async fn run(self: Rc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.receive(&buffer[..length], from);
                    }
                }
                _ = ticks.tick() => self.tick(),
                () = self.node.control_wakes.notified() => self.hurry(),
            }
        }
    }

    /// Something has changed that the leader should hear of.
    fn hurry(self: &Rc<Self>) {
        let earliest = self.last_renewal.get() + HURRIED_RENEWALS;
        self.next_renewal
            .set(self.next_renewal.get().min(earliest.max(self.node.now())));
        self.tick();
    }

    fn tick(self: &Rc<Self>) {
        let now = self.node.now();
        self.elect(now);
        self.lead(now);
        if now >= self.next_renewal.get() {
            self.renew(now);
        }
        self.order(now);
        if now >= self.next_load.get() {
            self.next_load.set(now + LOAD_EVERY);
            self.report_load(now);
        }
        let node = &self.node;
        node.metrics
            .running
            .set(i64::try_from(node.slots.running()).unwrap_or(0));
        node.metrics
            .waiting
            .set(i64::try_from(node.slots.waiting()).unwrap_or(0));
    }

    /// Makes the calls that are due at the target.
    fn order(&self, now: Time) {
        let orders = self.node.holder.borrow_mut().orders(now);
        for order in orders {
            tokio::task::spawn_local(carry_out(self.node.clone(), order));
        }
    }

    // --- renewals ---

    fn renewal(&self, now: Time) -> Renewal {
        let node = &self.node;
        let mut holder = node.holder.borrow_mut();
        let held = holder.held(now);
        Renewal {
            node: node.name.clone(),
            life: node.life,
            zone: node.settings.node.zone.clone(),
            address: node.settings.internal(),
            sent_at: now,
            epoch: holder.epoch(),
            applied: holder.applied(),
            clean: holder.is_clean(),
            held,
            released: holder.released(),
            target: node.target.borrow().state(now),
            leaving: node.is_stopping(),
            registered: node.registered.get(),
            configuration_version: node.configuration_version(),
            store_reachable: node.store_reachable.get(),
        }
    }

    fn renew(self: &Rc<Self>, now: Time) {
        self.next_renewal.set(now + self.node.timing.renew_every);
        self.last_renewal.set(now);
        let Some(leader) = self.node.election.borrow().leader().cloned() else {
            return;
        };
        let renewal = self.renewal(now);
        if self.node.leader.borrow().is_some() {
            if let Some(reply) = self.lease(now, &renewal) {
                self.leased(now, &leader, &reply);
            }
            return;
        }
        self.send(leader.address, &Datagram::Renew(Box::new(renewal)));
    }

    /// The leader's side of a renewal.
    fn lease(&self, now: Time, renewal: &Renewal) -> Option<LeaseReply> {
        let mut leader = self.node.leader.borrow_mut();
        let mut reply = leader.as_mut()?.renewal(now, renewal)?;
        reply.configuration_version = self.node.configuration_version();
        Some(reply)
    }

    /// The node's side of the leader's answer.
    fn leased(self: &Rc<Self>, now: Time, leader: &LeaderReference, reply: &LeaseReply) {
        self.follow(now, leader);
        if self
            .node
            .election
            .borrow()
            .leader()
            .is_none_or(|known| known.epoch != leader.epoch)
        {
            return;
        }
        self.node.election.borrow_mut().heard(now);
        self.node.holder.borrow_mut().lease(now, reply);
        self.order(now);
        self.catch_up(leader, reply.table_version, reply.configuration_version);
    }

    /// Fetches what the leader has and this node lacks.
    fn catch_up(self: &Rc<Self>, leader: &LeaderReference, table: u64, configuration: u64) {
        let directory = self.node.directory.borrow().clone();
        let known = (directory.table().epoch, directory.table().version);
        if known < (leader.epoch, table) && self.node.leader.borrow().is_none() {
            self.fetch_table(leader.address);
        }
        if configuration > self.node.configuration_version() {
            self.fetch_configuration(leader.address);
        }
    }

    fn fetch_table(self: &Rc<Self>, from: SocketAddr) {
        if self.fetching_table.replace(true) {
            return;
        }
        let control = self.clone();
        tokio::task::spawn_local(async move {
            let fetched = internal::fetch_table(&control.node, from).await;
            control.fetching_table.set(false);
            let Some(table) = fetched else {
                return;
            };
            let directory = control.node.directory.borrow().clone();
            let known = directory.table();
            if (table.epoch, table.version) > (known.epoch, known.version) {
                control.node.set_table(table);
            }
        });
    }

    fn fetch_configuration(self: &Rc<Self>, from: SocketAddr) {
        if self.fetching_configuration.replace(true) {
            return;
        }
        let control = self.clone();
        tokio::task::spawn_local(async move {
            let fetched = internal::fetch_configuration(&control.node, from).await;
            control.fetching_configuration.set(false);
            if let Some(configuration) = fetched {
                control.node.configure(configuration, "node");
            }
        });
    }

    // --- datagrams ---

    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        // A datagram that can't be sent is as one that is lost.
        let _sent = self.socket.try_send_to(&internal::encode(datagram), to);
    }

    fn receive(self: &Rc<Self>, bytes: &[u8], from: SocketAddr) {
        let Ok(datagram) = ciborium::from_reader::<Datagram, _>(bytes) else {
            return;
        };
        let now = self.node.now();
        match datagram {
            Datagram::Renew(renewal) => self.answer_renewal(now, &renewal, from),
            Datagram::Lease(leader, reply) => self.leased(now, &leader, &reply),
            Datagram::NotLeading(leader) => self.not_leading(now, leader.as_ref(), from),
            Datagram::Ask => {
                let election = self.node.election.borrow();
                let leading = self
                    .node
                    .leader
                    .borrow()
                    .as_ref()
                    .is_some_and(|leader| leader.may_lease(now));
                let heard_ago = if leading {
                    Duration::ZERO
                } else {
                    now.since(election.heard_at())
                };
                let ago = u64::try_from(heard_ago.as_millis()).unwrap_or(u64::MAX);
                self.send(from, &Datagram::Tell(election.leader().cloned(), ago));
            }
            Datagram::Tell(leader, ago) => {
                let view = PeerView {
                    leader,
                    heard_ago: Duration::from_millis(ago),
                };
                if let Some(leader) = &view.leader {
                    self.follow(now, leader);
                }
                self.node.election.borrow_mut().peer(now, &view);
            }
            Datagram::TakeOver(epoch) => {
                let known = self
                    .node
                    .election
                    .borrow()
                    .leader()
                    .map(|leader| leader.epoch);
                if known == Some(epoch) && !self.node.is_stopping() {
                    self.node.election.borrow_mut().vacant(now, true);
                    self.elect(now);
                }
            }
            Datagram::Notice(leader, table, configuration) => {
                let is_new = self.follow(now, &leader);
                let known = self
                    .node
                    .election
                    .borrow()
                    .leader()
                    .map(|leader| leader.epoch);
                if known == Some(leader.epoch) {
                    self.catch_up(&leader, table, configuration);
                }
                if is_new {
                    self.renew(now);
                }
            }
        }
    }

    fn answer_renewal(self: &Rc<Self>, now: Time, renewal: &Renewal, from: SocketAddr) {
        let own = self.node.election.borrow().leader().cloned();
        if self.node.leader.borrow().is_none() {
            self.send(from, &Datagram::NotLeading(own));
            return;
        }
        if renewal.configuration_version > self.node.configuration_version() {
            self.fetch_configuration(renewal.address);
        }
        let reply = self.lease(now, renewal);
        self.tell_changes(now);
        if let (Some(leader), Some(reply)) = (own, reply) {
            self.send(from, &Datagram::Lease(leader, reply));
        }
    }

    /// The node that was taken for the leader isn't, or not any more.
    fn not_leading(self: &Rc<Self>, now: Time, known: Option<&LeaderReference>, from: SocketAddr) {
        if let Some(known) = known
            && self.follow(now, known)
        {
            self.renew(now);
            return;
        }
        let mut election = self.node.election.borrow_mut();
        if election
            .leader()
            .is_some_and(|leader| leader.address == from)
        {
            election.vacant(now, false);
        }
    }

    /// Follows a leader if its epoch is later than the one known. Returns whether it is.
    fn follow(&self, now: Time, leader: &LeaderReference) -> bool {
        if !self.node.election.borrow_mut().learn(now, leader) {
            return false;
        }
        self.node.log.write(Event::LeaderKnown {
            leader: &leader.node,
            epoch: leader.epoch.0,
        });
        self.node
            .metrics
            .epoch
            .set(i64::try_from(leader.epoch.0).unwrap_or(0));
        self.node.holder.borrow_mut().promise(leader.epoch);
        self.step_down(leader.epoch);
        self.next_renewal.set(now);
        true
    }

    // --- leadership ---

    fn step_down(&self, later: Epoch) {
        let mut leading = self.node.leader.borrow_mut();
        if let Some(leader) = leading.as_ref()
            && leader.epoch() < later
        {
            self.node.log.write(Event::LeadershipLost {
                epoch: leader.epoch().0,
                detail: "a later epoch is known",
            });
            *leading = None;
        }
    }

    fn elect(self: &Rc<Self>, now: Time) {
        if self.node.is_stopping() && self.node.leader.borrow().is_none() {
            return;
        }
        let peers = self.node.directory.borrow().nodes() - 1;
        let step = self.node.election.borrow_mut().tick(now, peers);
        match step {
            Some(Step::AskPeers) => self.ask_peers(),
            Some(Step::ReadObject) => self.read_object(),
            Some(Step::Claim) | None => {}
        }
    }

    fn ask_peers(&self) {
        let directory = self.node.directory.borrow().clone();
        let others = directory
            .table()
            .members
            .iter()
            .filter(|member| member.node != self.node.name)
            .sample(&mut rand::rng(), PEERS_ASKED);
        for member in others {
            self.send(member.address, &Datagram::Ask);
        }
    }

    fn read_object(self: &Rc<Self>) {
        let control = self.clone();
        tokio::task::spawn_local(async move {
            let sent_at = control.node.now();
            let call = objects::get(LEADER_KIND, LEADER_NAME);
            let reply = control.node.store.call(&call).await;
            let now = control.node.now();
            let named = match reply {
                Ok(reply) if reply.outcome == Outcome::Done => match read_leader(&reply.body) {
                    Some((revision, leader)) => {
                        *control.object.borrow_mut() = Some((revision, leader.epoch));
                        Some(leader)
                    }
                    None => return control.node.election.borrow_mut().look_again(now),
                },
                Ok(reply) if reply.outcome == Outcome::Missing => {
                    *control.object.borrow_mut() = None;
                    None
                }
                _ => {
                    control
                        .node
                        .store_answered(false, "leadership can't be read");
                    return control.node.election.borrow_mut().look_again(now);
                }
            };
            control.node.store_answered(true, "read");
            if let Some(named) = &named {
                if control.is_own(named) && control.node.leader.borrow().is_none() {
                    // An earlier claim was done after all: it held when this read was sent.
                    return control.won(named.clone(), sent_at).await;
                }
                control.follow(now, named);
            }
            let step = control
                .node
                .election
                .borrow_mut()
                .object_read(now, named.as_ref());
            if step == Some(Step::Claim) {
                control.claim().await;
            }
        });
    }

    fn is_own(&self, leader: &LeaderReference) -> bool {
        leader.node == self.node.name && leader.life == self.node.life
    }

    /// Replaces the object that was read with the next epoch.
    async fn claim(self: &Rc<Self>) {
        let node = &self.node;
        let object = *self.object.borrow();
        let epoch = Epoch(object.map_or(1, |(_, epoch)| epoch.0 + 1));
        let leader = LeaderReference {
            epoch,
            node: node.name.clone(),
            life: node.life,
            address: node.settings.internal(),
        };
        let call = match object {
            Some((revision, _)) => objects::replace(LEADER_KIND, LEADER_NAME, revision, &leader),
            None => objects::create(LEADER_KIND, LEADER_NAME, &leader),
        };
        let sent_at = node.now();
        let reply = node.store.call(&call).await;
        let now = node.now();
        match reply {
            Ok(reply) if reply.outcome == Outcome::Done => return self.won(leader, sent_at).await,
            Ok(reply) if reply.outcome == Outcome::Conflict => {
                if let Some((_, named)) = read_leader(&reply.body)
                    && self.follow(now, &named)
                {
                    self.renew(now);
                    return;
                }
            }
            _ => {}
        }
        node.election.borrow_mut().look_again(now);
    }

    /// This node leads: it reads whom to wait for and tells everybody.
    async fn won(self: &Rc<Self>, leader: LeaderReference, claimed_at: Time) {
        let node = &self.node;
        let Some(registered) = registration::list(node).await else {
            return node.election.borrow_mut().look_again(node.now());
        };
        let now = node.now();
        if !self.follow(now, &leader) && !node.election.borrow().is_self() {
            return;
        }
        node.election.borrow_mut().heard(now);
        let names = registered
            .iter()
            .map(|(name, _)| name.clone())
            .collect::<BTreeSet<_>>();
        node.log.write(Event::LeadershipTaken {
            epoch: leader.epoch.0,
            registered: names.len(),
        });
        let known = node.directory.borrow().table().clone();
        let leading = Leader::new(leader.epoch, node.timing, claimed_at, now, names, known);
        *node.leader.borrow_mut() = Some(leading);
        self.last_confirmation.set(claimed_at);
        let notice = Datagram::Notice(leader, 0, node.configuration_version());
        for (name, address) in &registered {
            if *name != node.name {
                self.send(*address, &notice);
            }
        }
        self.renew(now);
        self.tick();
    }

    fn lead(self: &Rc<Self>, now: Time) {
        let node = self.node.clone();
        let mut leading = node.leader.borrow_mut();
        let Some(leader) = leading.as_mut() else {
            return;
        };
        let keyed = node.routes.borrow().as_ref().map(|routes| {
            let services = &routes.configuration().services;
            services
                .iter()
                .filter(|service| service.keyed)
                .map(|service| service.name.clone())
                .collect::<BTreeSet<_>>()
        });
        if let Some(keyed) = keyed {
            leader.set_keyed_services(&keyed);
        }
        leader.tick(now);
        let hurried = leader.wants_confirmation(now)
            && now.since(self.last_confirmation.get()) >= HURRIED_CONFIRMATION;
        let due = now.since(self.last_confirmation.get()) >= node.timing.confirm_every;
        let trouble = now.since(leader.confirmed_at()) >= CONFIRM_TROUBLE;
        drop(leading);
        if (hurried || due) && !self.confirming.replace(true) {
            self.last_confirmation.set(now);
            self.confirm();
        }
        if (trouble || node.is_stopping()) && now >= self.next_take_over.get() {
            self.next_take_over.set(now + TAKE_OVER_EVERY);
            self.ask_to_take_over();
        }
        self.tell_changes(now);
    }

    /// Asks the store whether this node still leads.
    fn confirm(self: &Rc<Self>) {
        let control = self.clone();
        tokio::task::spawn_local(async move {
            let sent_at = control.node.now();
            let call = objects::get(LEADER_KIND, LEADER_NAME);
            let reply = crate::follow::call(&control.node, &call, None).await;
            control.confirming.set(false);
            let Some((_, named)) = reply.and_then(|reply| read_leader(&reply.body)) else {
                return;
            };
            let now = control.node.now();
            if control.is_own(&named) {
                if let Some(leader) = control.node.leader.borrow_mut().as_mut()
                    && leader.epoch() == named.epoch
                {
                    leader.confirm(sent_at);
                }
            } else {
                control.follow(now, &named);
            }
        });
    }

    /// Asks a node that reaches the store to lead, since this one doesn't, or stops.
    fn ask_to_take_over(&self) {
        let leading = self.node.leader.borrow();
        let Some(leader) = leading.as_ref() else {
            return;
        };
        let now = self.node.now();
        let heir = leader
            .members()
            .iter()
            .filter(|(name, member)| {
                **name != self.node.name && member.store_reachable && !member.view.leaving
            })
            .filter(|(_, member)| now.since(member.heard_at) < self.node.timing.suspect_after)
            .map(|(_, member)| member.view.address)
            .choose(&mut rand::rng());
        if let Some(heir) = heir {
            self.send(heir, &Datagram::TakeOver(leader.epoch()));
        }
    }

    /// Tells the members that the table or the configuration has changed.
    fn tell_changes(&self, now: Time) {
        let node = &self.node;
        let leading = node.leader.borrow();
        let Some(leader) = leading.as_ref() else {
            return;
        };
        let version = (
            leader.epoch().0,
            leader.table().version,
            node.configuration_version(),
        );
        if self.noticed.replace(version) == version {
            return;
        }
        let known = node.directory.borrow().table().version;
        if known != leader.table().version
            || node.directory.borrow().table().epoch != leader.epoch()
        {
            *node.directory.borrow_mut() = Rc::new(Directory::default());
            node.set_table(leader.table().clone());
        }
        let Some(reference) = node.election.borrow().leader().cloned() else {
            return;
        };
        let notice = Datagram::Notice(reference, version.1, version.2);
        for (name, member) in leader.members() {
            if *name != node.name && now.since(member.heard_at) < node.timing.leadership {
                self.send(member.view.address, &notice);
            }
        }
    }

    // --- load ---

    /// Tells the leader what the target's keys have seen.
    fn report_load(self: &Rc<Self>, now: Time) {
        let node = &self.node;
        let service = node.target.borrow().service().to_owned();
        if !node.is_keyed(&service) {
            return;
        }
        let totals = node.slots.totals();
        let report = node.key_load.borrow_mut().take(now, node, &service, totals);
        if let Some(leader) = node.leader.borrow_mut().as_mut() {
            leader.load(&report);
            return;
        }
        let Some(leader) = node.election.borrow().leader().cloned() else {
            return;
        };
        let node = node.clone();
        tokio::task::spawn_local(async move {
            internal::send_load(&node, leader.address, &report).await;
        });
    }
}

fn read_leader(body: &[u8]) -> Option<(u64, LeaderReference)> {
    let object = objects::parse_object(body).ok()?;
    let leader = serde_json::from_slice(&object.content).ok()?;
    Some((object.revision, leader))
}
