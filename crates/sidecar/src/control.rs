//! The node's control loop: performs the I/O of the ownership protocol, that is datagrams, calls to
//! the store, and grants and releases of keys at the target.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};
use wingspar_ownership::{
    Action, ClaimResult, Datagram, Leadership, LeadershipEvent, NodeContext, OwnerZones,
    RegistryPage, Stored, Time,
};
use wingspar_platform::FormatError;
use wingspar_platform::objects::{self, Call, Outcome};

use crate::configuration_fetch;
use crate::directory::Directory;
use crate::internal;
use crate::key_calls::execute_order;
use crate::key_exchange;
use crate::logs::Event;
use crate::node::Node;
use crate::owner_zones::owner_zones;
use crate::quarantine;
use crate::quota;
use crate::registration;
use crate::store::StoreError;

/// Kind and name of the store's object that names the leader.
const LEADER_KIND: &str = "wingspar-leadership";
const LEADER_NAME: &str = "leader";
/// Interval of the ticks that drive the protocol's timers.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the node reports the load of its target's keys to the leader.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Size of the receive buffer in bytes, and so the maximum length of a datagram.
const MAX_DATAGRAM_BYTES: usize = 65_000;

/// The control loop.
pub struct Control {
    node: Rc<Node>,
    socket: Rc<UdpSocket>,
    /// The zones in which keys may be owned, with the version of the configuration that they were
    /// computed for.
    owner_zones: RefCell<(u64, Rc<OwnerZones>)>,
}

impl Control {
    /// Creates a control loop that communicates over `socket`.
    pub fn new(node: Rc<Node>, socket: UdpSocket) -> Rc<Self> {
        let socket = Rc::new(socket);
        node.quotas.set_socket(socket.clone());
        Rc::new(Self {
            node,
            socket,
            owner_zones: RefCell::default(),
        })
    }

    /// Runs until the process ends.
    pub async fn run(self: Rc<Self>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut next_load = self.node.now();
        loop {
            let urgent_renewal = self.time_until_urgent_renewal();
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.receive(&buffer[..length], from);
                    }
                }
                _ = ticks.tick() => self.tick(&mut next_load),
                () = self.node.control_wakeup.notified() => self.run_now(),
                () = tokio::time::sleep(urgent_renewal.unwrap_or_default()),
                    if urgent_renewal.is_some() => self.run_now(),
            }
        }
    }

    /// Time until a renewal that reports a change is due: it doesn't wait for the next tick.
    fn time_until_urgent_renewal(&self) -> Option<Duration> {
        let due_at = self.node.participant.borrow().urgent_renewal()?;
        Some(due_at.since(self.node.now()))
    }

    /// The zones in which keys may be owned. They are needed for each datagram, so they are only
    /// recomputed when the configuration's version changes.
    fn owner_zones(&self) -> Rc<OwnerZones> {
        let mut cached = self.owner_zones.borrow_mut();
        let routes = self.node.routes.borrow();
        if let Some(configuration) = routes.as_ref().map(|routes| routes.configuration())
            && configuration.version != cached.0
        {
            let zones = owner_zones(configuration, &self.node.settings.zones);
            *cached = (configuration.version, Rc::new(zones));
        }
        cached.1.clone()
    }

    fn context(&self) -> NodeContext {
        let node = &self.node;
        let routes = node.routes.borrow();
        let services = routes
            .as_ref()
            .map(|routes| &routes.configuration().services);
        let keyed = services
            .into_iter()
            .flatten()
            .filter(|service| service.keyed);
        let mut target = node.target.borrow().state(node.now());
        if let Some(target) = &mut target {
            target.accepting &= !key_exchange::has_missed_heartbeats(node, &target.service);
            target.accepting &= !node.evacuations.borrow().is_own_zone_evacuated();
            target.starts_per_s = node.starts_per_s();
        }
        let registration = node.current_registration();
        NodeContext {
            target,
            leaving: node.is_stopping(),
            service: (!node.settings.node.registers_itself)
                .then(|| node.settings.node.service.clone()),
            registered_for: registration.map(|_| node.settings.node.service.clone()),
            registered_in: registration.unwrap_or_default().era,
            registered_revision: registration.unwrap_or_default().revision,
            configuration_version: node.configuration_version(),
            configuration_bytes: node.configuration_bytes(),
            configuration_checked_ago: node.configuration_checked_ago(),
            evacuations: node.evacuation_report(),
            quarantine: node.quarantine.borrow_mut().snapshot(node.clock.uptime()),
            store_reachable: node.store_reachable.get(),
            link_mbps: node.settings.node.link_mbps,
            keyed_services: keyed
                .map(|service| service.name.clone())
                .collect::<BTreeSet<_>>(),
            owner_zones: self.owner_zones(),
            has_quotas: node.quotas.are_in_use(),
        }
    }

    /// Runs the protocol at once because there is a change to report to the leader.
    fn run_now(self: &Rc<Self>) {
        let context = self.context();
        let actions = self
            .node
            .participant
            .borrow_mut()
            .renew_soon(self.node.now(), &context);
        self.carry_out(actions);
    }

    fn tick(self: &Rc<Self>, next_load: &mut Time) {
        let now = self.node.now();
        let context = self.context();
        let actions = self.node.participant.borrow_mut().tick(now, &context);
        self.carry_out(actions);
        if now >= *next_load {
            *next_load = now + LOAD_REPORT_INTERVAL;
            self.node.close_idle_peers();
            self.report_load(now);
        }
        quota::log_shard_changes(&self.node);
        let node = &self.node;
        let checked_ago = node.configuration_checked_ago();
        let checked_ms_ago =
            checked_ago.map_or(-1, |ago| i64::try_from(ago.as_millis()).unwrap_or(i64::MAX));
        node.metrics.configuration_age.set(checked_ms_ago);
        node.metrics
            .running
            .set(i64::try_from(node.slots.running()).unwrap_or(0));
        node.metrics
            .waiting
            .set(i64::try_from(node.slots.waiting()).unwrap_or(0));
    }

    fn receive(self: &Rc<Self>, bytes: &[u8], from: SocketAddr) {
        let Ok(datagram) = ciborium::from_reader::<Datagram, _>(bytes) else {
            self.node.metrics.unreadable_datagrams.inc();
            return;
        };
        if let Datagram::Quota(message) = datagram {
            quota::handle_message(&self.node, from, message);
            return;
        }
        let context = self.context();
        let now = self.node.now();
        let actions = self
            .node
            .participant
            .borrow_mut()
            .receive(now, &context, from, datagram);
        self.carry_out(actions);
    }

    fn carry_out(self: &Rc<Self>, actions: Vec<Action>) {
        key_exchange::wake_pending_response(&self.node, self.node.now());
        for action in actions {
            let control = self.clone();
            match action {
                // A datagram that can't be sent is treated like one that was lost.
                Action::Send(to, datagram) => {
                    let bytes = internal::encode(&datagram);
                    let metrics = &self.node.metrics;
                    metrics.count_control(datagram.kind(), bytes.len());
                    let _sent = self.socket.try_send_to(&bytes, to);
                }
                Action::Order(order) => {
                    tokio::task::spawn_local(execute_order(self.node.clone(), order));
                }
                Action::TableChanged => {
                    let table = self.node.participant.borrow().table().clone();
                    let members = table.members.iter();
                    self.node
                        .quotas
                        .add_nodes(members.map(|member| &*member.node));
                    let known_members = self.node.directory.borrow().table().members.len();
                    if known_members == 0 && !table.members.is_empty() {
                        self.node.log.write(Event::TableKnown {
                            epoch: table.epoch.0,
                            version: table.version,
                            members: table.members.len(),
                        });
                    }
                    let topology = self.node.selection.topology();
                    self.node.set_directory(Directory::new(table, topology));
                }
                Action::Log(event) => self.handle_leadership_event(&event),
                Action::ReadCachedLeadership => {
                    tokio::task::spawn_local(control.read_cached_leadership());
                }
                Action::ReadLeadership => {
                    tokio::task::spawn_local(control.read_leadership());
                }
                Action::Claim(revision, leader) => {
                    tokio::task::spawn_local(control.claim(revision, leader));
                }
                Action::Rewrite(revision, leadership) => {
                    tokio::task::spawn_local(control.rewrite(revision, leadership));
                }
                Action::ListRegistered => {
                    tokio::task::spawn_local(control.list_registered());
                }
                Action::RegisterSelf => {
                    self.node.registration.set_registers_itself();
                }
                Action::RegistrationMissing(revision) => {
                    registration::register_again(&self.node, revision);
                }
                Action::WriteRegistry(page) => {
                    tokio::task::spawn_local(control.write_registry(page));
                }
                Action::RemoveRegistry(name) => {
                    let node = self.node.clone();
                    tokio::task::spawn_local(async move {
                        registration::remove_page(&node, &name).await
                    });
                }
                Action::Confirm => {
                    tokio::task::spawn_local(control.confirm());
                }
                Action::FetchTable(from) => {
                    tokio::task::spawn_local(control.fetch_table(from));
                }
                Action::FetchConfiguration(from, version) => {
                    tokio::task::spawn_local(configuration_fetch::run(
                        self.node.clone(),
                        from,
                        version,
                    ));
                }
                Action::StoreEra(era) => {
                    self.node.observe_store_era(era);
                }
                Action::ConfigurationChecked(at) => self.node.configuration_checked(at),
                Action::QuarantineReported(report) => quarantine::reported(&self.node, &report),
                Action::QuarantineAnswered(reply) => quarantine::answered(&self.node, &reply),
                Action::EvacuationsReceived(evacuated, checked_at) => {
                    self.node.apply_leader_evacuations(evacuated, checked_at);
                }
            }
        }
    }

    fn handle_leadership_event(&self, event: &LeadershipEvent) {
        let log = &self.node.log;
        match event {
            LeadershipEvent::LeaderKnown(leader) => {
                self.node.quarantine.borrow_mut().leader_changed();
                self.node
                    .metrics
                    .epoch
                    .set(i64::try_from(leader.epoch.0).unwrap_or(0));
                log.write(Event::LeaderKnown {
                    leader: &leader.node,
                    epoch: leader.epoch.0,
                });
            }
            LeadershipEvent::LeadershipTaken {
                epoch,
                registered,
                unlisted,
            } => log.write(Event::LeadershipTaken {
                epoch: epoch.0,
                registered: *registered,
                unlisted: *unlisted,
            }),
            LeadershipEvent::KeysFreed(freed) => log.write(Event::KeysFreed {
                reason: freed.reason.name(),
                holder: freed.holder.as_deref().unwrap_or(""),
                holders: freed.holders,
                keys: freed.keys,
            }),
            LeadershipEvent::LeadershipLost(epoch) => log.write(Event::LeadershipLost {
                epoch: epoch.0,
                detail: "a later epoch is known",
            }),
        }
    }

    // --- calls to the store ---

    async fn read_stored(&self, call: Call) -> Result<Stored, StoreError> {
        match self.node.read_store(&call, None).await {
            Ok(body) => {
                let (revision, leadership) = parse_leader(&body)?;
                self.node.other_object_changed(revision);
                Ok(Some((revision, leadership)))
            }
            Err(StoreError::Answered(Outcome::Missing)) => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn read_leadership(self: Rc<Self>) {
        let sent_at = self.node.now();
        let call = objects::get(LEADER_KIND, LEADER_NAME);
        let stored = self.told(self.read_stored(call).await);
        let now = self.node.now();
        let actions =
            self.node
                .participant
                .borrow_mut()
                .leadership_read(now, sent_at, stored.ok_or(()));
        self.carry_out(actions);
    }

    async fn read_cached_leadership(self: Rc<Self>) {
        let call = objects::get_cached(LEADER_KIND, LEADER_NAME);
        let stored = self.told(self.read_stored(call).await);
        let leader = stored.flatten().map(|(_, leadership)| leadership);
        let context = self.context();
        let now = self.node.now();
        let actions = self
            .node
            .participant
            .borrow_mut()
            .cached_leader_read(now, &context, leader);
        self.carry_out(actions);
    }

    /// Returns the leader's object as read from the store; logs an error and returns `None` if that
    /// failed.
    fn told(&self, stored: Result<Stored, StoreError>) -> Option<Stored> {
        match stored {
            Ok(stored) => Some(stored),
            Err(error) => {
                self.failed("read", &error);
                None
            }
        }
    }

    fn failed(&self, call: &'static str, error: &StoreError) {
        self.node.log.write(Event::StoreCallFailed {
            call,
            subject: "leadership",
            problem: error.to_string(),
        });
    }

    async fn confirm(self: Rc<Self>) {
        let sent_at = self.node.now();
        let call = objects::get(LEADER_KIND, LEADER_NAME);
        let stored = self.told(self.read_stored(call).await).flatten();
        let actions =
            self.node
                .participant
                .borrow_mut()
                .confirmed(self.node.now(), sent_at, stored);
        self.carry_out(actions);
        self.run_now();
    }

    async fn claim(self: Rc<Self>, revision: Option<u64>, leader: Leadership) {
        let call = match revision {
            Some(revision) => objects::replace(LEADER_KIND, LEADER_NAME, revision, &leader),
            None => objects::create(LEADER_KIND, LEADER_NAME, &leader),
        };
        let sent_at = self.node.now();
        let result = match self.node.call_store(&call, None).await {
            // A write that was executed after the store was restored from a copy may have replaced
            // another object than the one that was read.
            Ok(reply) if reply.outcome == Outcome::Done && reply.era == leader.era => {
                ClaimResult::Won
            }
            Ok(reply) if reply.outcome == Outcome::Conflict => {
                ClaimResult::Conflict(self.told(parse_leader(&reply.body).map(Some)).flatten())
            }
            Ok(reply) => {
                self.failed("write", &StoreError::Answered(reply.outcome));
                ClaimResult::Failed
            }
            Err(error) => {
                self.failed("write", &error);
                ClaimResult::Failed
            }
        };
        let context = self.context();
        let now = self.node.now();
        let actions = self
            .node
            .participant
            .borrow_mut()
            .claim_ended(now, &context, sent_at, leader, result);
        self.carry_out(actions);
    }

    async fn rewrite(self: Rc<Self>, revision: u64, leadership: Leadership) {
        let call = objects::replace(LEADER_KIND, LEADER_NAME, revision, &leadership);
        if let Err(error) = self.node.call_store(&call, None).await {
            self.failed("write", &error);
        }
    }

    async fn list_registered(self: Rc<Self>) {
        let registered = registration::list(&self.node).await;
        let context = self.context();
        let now = self.node.now();
        let actions = self
            .node
            .participant
            .borrow_mut()
            .registered_listed(now, &context, registered);
        self.carry_out(actions);
    }

    async fn write_registry(self: Rc<Self>, page: RegistryPage) {
        if !registration::write_page(&self.node, &page).await {
            return;
        }
        let context = self.context();
        let now = self.node.now();
        let mut participant = self.node.participant.borrow_mut();
        let actions = participant.registry_written(now, &context, &page);
        drop(participant);
        self.carry_out(actions);
    }

    async fn fetch_table(self: Rc<Self>, from: SocketAddr) {
        let table = internal::fetch_table(&self.node, from).await;
        let actions = self.node.participant.borrow_mut().table_fetched(table);
        self.carry_out(actions);
    }

    /// Reports the load of the target's keys to the leader.
    fn report_load(self: &Rc<Self>, now: Time) {
        let node = &self.node;
        let service = node.target.borrow().service().to_owned();
        if !node.is_keyed(&service) {
            return;
        }
        let totals = node.slots.totals();
        let report = node
            .key_load
            .borrow_mut()
            .take_report(now, node, &service, totals);
        let mut participant = node.participant.borrow_mut();
        if participant.leader_state().is_some() {
            participant.load(&report);
            return;
        }
        let Some(leader) = participant.followed_leader().cloned() else {
            return;
        };
        let node = node.clone();
        tokio::task::spawn_local(async move {
            internal::send_load(&node, leader.address, &report).await;
        });
    }
}

fn parse_leader(body: &[u8]) -> Result<(u64, Leadership), StoreError> {
    let object = objects::parse_object(body)?;
    let leader = serde_json::from_slice(&object.content).map_err(FormatError::from)?;
    Ok((object.revision, leader))
}
