//! The state shared by all parts of a node. All of it lives on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Notify, watch};
use wingspar_ownership::{
    EvacuatedZones, EvacuationReport, Incarnation, NodeIdentity, NodeName, Participant, StoreEra,
    StorePosition, Time, Timing,
};
use wingspar_quarantine::{InFlight, Quarantine};
use wingspar_routes::RouteTable;

use crate::breaker::Breaker;
use crate::buffer_budget::BufferBudget;
use crate::caller_age::CallerAges;
use crate::clock::{Clock, whole_millis};
use crate::configuration::ConfigurationAnswers;
use crate::configuration_doubts::ConfigurationChecks;
use crate::connections::ConnectionPool;
use crate::deadline::Deadline;
use crate::directory::Directory;
use crate::evacuation::{Evacuations, OwnZoneChange};
use crate::inbound::InboundLimiter;
use crate::key_load::KeyLoad;
use crate::leaving_targets::LeavingTargets;
use crate::link::{LARGE_BODY_BYTES, Link};
use crate::logs::{Event, Log};
use crate::metrics::Metrics;
use crate::network_paths::Topology;
use crate::outages::OutageTracker;
use crate::quota::Quotas;
use crate::registration::OwnRegistration;
use crate::relay::Relays;
use crate::request_limit::RequestLimit;
use crate::retry_budget::RetryBudget;
use crate::selection::Selection;
use crate::settings::Settings;
use crate::slots::{Slots, StartLimit};
use crate::spill_over::SpillOver;
use crate::stop::{StopPhase, StopSchedule};
use crate::store::Store;
use crate::stored_configuration::ConfigurationReads;
use crate::target::{Target, WarmupState};
use crate::untracked_work::UntrackedWork;

/// Timeout for establishing a connection to another node.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle connections to other nodes are closed after this time. Each connection holds 16 KB of
/// buffers at both ends and every node connects to all others, so idle ones take most of a
/// process's memory, while a new connection costs one round trip.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for establishing a connection to the target, which runs on the same machine.
const TARGET_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Path of the health check until a configuration names one.
const DEFAULT_HEALTH_PATH: &str = "/healthz";
/// Requests per second, of those permitted at a target that is slow after its start, that are
/// reserved for the node's own health checks.
const RESERVED_STARTS_PER_S: f64 = 2.0;
/// Assumed upper bound of the time between the sending of a heartbeat and its arrival.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(1_000);

/// Encoded responses to requests for one version of the table, by path.
#[derive(Default)]
pub struct TableAnswers {
    /// Epoch and version of the table.
    pub newest: (u64, u64),
    /// The encoded responses, by path of the request.
    pub answers: HashMap<String, Bytes>,
    /// The path and the response with which this node received its latest table from the leader.
    pub received: Option<(String, Bytes)>,
}

/// The state of one node.
pub struct Node {
    pub settings: Settings,
    pub name: NodeName,
    pub clock: Clock,
    pub log: Log,
    pub metrics: Metrics,
    /// The client of the store.
    pub store: Store,
    /// Whether the last call to the store succeeded.
    pub store_reachable: Cell<bool>,
    /// The latest known era of the store.
    pub store_era: Cell<StoreEra>,
    /// The node's registration in the store.
    pub registration: OwnRegistration,
    /// The configuration in force; `None` before the first one.
    pub routes: RefCell<Option<Rc<RouteTable>>>,
    /// Encoded responses to other nodes' requests for the configuration.
    pub configuration_answers: RefCell<ConfigurationAnswers>,
    /// Checks whether refusals are due to an outdated configuration.
    pub configuration_doubts: ConfigurationChecks,
    /// Encoded responses to other nodes' requests for the table.
    pub table_answers: RefCell<TableAnswers>,
    /// The known nodes and the owners of keys.
    pub directory: RefCell<Rc<Directory>>,
    /// Notified when the directory changes.
    pub directory_changed: Notify,
    /// The node's own target.
    pub target: RefCell<Target>,
    /// Connections to the target for requests.
    pub target_connections: Rc<ConnectionPool>,
    /// Connections to the target for grants and releases of keys.
    pub target_orders: Rc<ConnectionPool>,
    /// Requests in flight at the target.
    pub runs: RefCell<InFlight>,
    /// Requests that are refused because targets ended while running them.
    pub quarantine: RefCell<Quarantine>,
    /// Quotas of tenants.
    pub quotas: Quotas,
    /// Slots of the target, with the queue for them.
    pub slots: Rc<Slots>,
    /// Limit on requests per second that the target announces.
    pub request_limit: RefCell<RequestLimit>,
    /// Circuit breaker for a target that rejects requests.
    pub breaker: RefCell<Breaker>,
    /// Work at the target that no request here waits for.
    pub untracked_work: RefCell<UntrackedWork>,
    /// Notified when untracked work leaves fewer slots than the target has.
    pub slots_reduced: Notify,
    /// Load of the machine's network link by large bodies.
    pub link: Rc<Link>,
    /// Large bodies in transfer to this machine.
    pub inbound: InboundLimiter,
    /// Bytes of request bodies that are buffered in memory.
    pub buffer_budget: Rc<BufferBudget>,
    /// Number of requests per key since the last load report.
    pub key_load: RefCell<KeyLoad>,
    /// The node's role in the ownership protocol.
    pub participant: RefCell<Participant>,
    /// State of reading the configuration from the store.
    pub configuration_reads: ConfigurationReads,
    /// When the process started.
    pub started_at: Time,
    /// When the configuration in force was last known to be the latest in the store; `None` if it
    /// never was.
    pub configuration_checked_at: Cell<Option<Time>>,
    /// The latest version of the configuration that another node has announced.
    pub configuration_announced: Cell<u64>,
    /// Whether a configuration is being fetched from another node.
    pub fetching_configuration: Cell<bool>,
    /// Evacuated zones, whose targets must receive no requests.
    pub evacuations: RefCell<Evacuations>,
    /// Notified when the target's health should be checked.
    pub target_check: Notify,
    /// Notified when the control loop has work that can't wait for its next tick.
    pub control_wakeup: Notify,
    /// Notified when a response to a heartbeat would contain a change of the target's keys.
    pub key_updates: Notify,
    /// Connections to other nodes.
    peers: RefCell<HashMap<SocketAddr, Rc<ConnectionPool>>>,
    /// Known state of other nodes' targets, for the selection of a destination.
    pub selection: Selection,
    /// Targets of other nodes that are leaving.
    pub leaving_targets: LeavingTargets,
    /// Decides whether tables are fetched from nodes of the own region.
    pub relays: RefCell<Relays>,
    /// Services whose requests are sent to other regions.
    pub spill_over: RefCell<SpillOver>,
    /// Estimates of how long requests can't be served while an owner, a target or the configuration
    /// is missing.
    pub outages: RefCell<OutageTracker>,
    /// How long callers had already waited when they sent their requests.
    pub caller_ages: RefCell<CallerAges>,
    /// Budget for retries and other extra sends.
    pub retry_budget: RefCell<RetryBudget>,
    /// The phase of a planned stop.
    pub stop: watch::Sender<StopPhase>,
    /// The times of the planned stop; `None` until it begins.
    pub stop_schedule: Cell<Option<StopSchedule>>,
    /// Number of requests that were refused since they might not have ended before the exit of this process.
    pub stop_refusals: Cell<usize>,
    /// Number of requests that were given up right before the exit of this process.
    pub stop_given_up: Cell<usize>,
    /// Requests of clients and other nodes whose responses haven't ended.
    pub in_flight: Cell<usize>,
    /// Number of incoming connections on which a request of a client is being received or answered, or whose last
    /// response may still be on its way.
    pub connections: Cell<usize>,
    /// Number of incoming connections of which a part of a response is still to be written.
    pub blocked_writes: Cell<usize>,
    /// Number of connections that are being closed and whose peer may still be sending.
    pub lingering: Cell<usize>,
    /// Number of connections that were idle for too long and whose peer hasn't closed its side yet.
    pub closing_idle: Cell<usize>,
    /// Total number of bytes that were discarded from connections that are being closed.
    pub discarded_bytes: Cell<u64>,
}

impl Node {
    /// Creates the state of a node that has just started.
    pub fn new(settings: Settings, life: Incarnation) -> Rc<Self> {
        let clock = Clock::start();
        let now = clock.now();
        let max_hold = Duration::from_secs_f64(settings.bounds.max_hold_s);
        let timing = Timing {
            max_hold,
            ..Timing::default()
        };
        let name = NodeName::from(settings.node.name.as_str());
        let identity = NodeIdentity {
            node: name.clone(),
            life,
            zone: settings.node.zone.clone(),
            address: settings.internal(),
        };
        let probe_until = (!settings.node.first_start).then(|| now + Duration::from_millis(1_200));
        Rc::new(Self {
            log: Log::new(&settings.node.name, clock),
            metrics: Metrics::new(),
            store: Store::new(settings.store.address),
            store_reachable: Cell::new(true),
            store_era: Cell::default(),
            registration: OwnRegistration::new(&settings, life),
            routes: RefCell::new(None),
            configuration_answers: RefCell::default(),
            configuration_doubts: ConfigurationChecks::default(),
            table_answers: RefCell::default(),
            directory: RefCell::new(Rc::new(Directory::default())),
            directory_changed: Notify::new(),
            target: RefCell::new(Target::unknown(&settings.node.service, probe_until)),
            target_connections: ConnectionPool::with_reuse_limit(
                settings.node.target,
                TARGET_CONNECT_TIMEOUT,
                LARGE_BODY_BYTES,
            ),
            target_orders: ConnectionPool::for_calls(settings.node.target, TARGET_CONNECT_TIMEOUT),
            runs: RefCell::default(),
            quarantine: RefCell::default(),
            quotas: Quotas::new(life, Duration::from_millis(now.0), &settings.bounds),
            slots: Slots::new(!settings.node.first_start),
            request_limit: RefCell::new(RequestLimit::new(!settings.node.first_start)),
            breaker: RefCell::default(),
            untracked_work: RefCell::new(UntrackedWork::new(!settings.node.first_start)),
            slots_reduced: Notify::new(),
            link: Link::new(settings.node.link_mbps),
            inbound: InboundLimiter::default(),
            buffer_budget: BufferBudget::new(settings.node.memory_mb),
            key_load: RefCell::new(KeyLoad::new(now)),
            participant: RefCell::new(
                Participant::new(identity, timing, settings.node.first_start, now)
                    .with_delivery(settings.node.delivery()),
            ),
            configuration_reads: ConfigurationReads::default(),
            started_at: now,
            configuration_checked_at: Cell::new(None),
            configuration_announced: Cell::new(0),
            fetching_configuration: Cell::new(false),
            evacuations: RefCell::default(),
            target_check: Notify::new(),
            control_wakeup: Notify::new(),
            key_updates: Notify::new(),
            peers: RefCell::new(HashMap::new()),
            selection: Selection::new(Topology::of(&settings)),
            leaving_targets: LeavingTargets::new(settings.bounds.drain_grace()),
            relays: RefCell::default(),
            spill_over: RefCell::default(),
            outages: RefCell::new(OutageTracker::new(timing)),
            caller_ages: RefCell::default(),
            retry_budget: RefCell::new(RetryBudget::new(
                settings.bounds.budget_ratio,
                settings.bounds.budget_extra,
            )),
            stop: watch::Sender::new(StopPhase::Serving),
            stop_schedule: Cell::new(None),
            stop_refusals: Cell::new(0),
            stop_given_up: Cell::new(0),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            blocked_writes: Cell::new(0),
            lingering: Cell::new(0),
            closing_idle: Cell::new(0),
            discarded_bytes: Cell::new(0),
            name,
            clock,
            settings,
        })
    }

    /// Path of the health check of a service's targets.
    pub fn health_path(&self, service: &str) -> String {
        let routes = self.routes.borrow();
        let service = routes
            .as_ref()
            .and_then(|routes| routes.configuration().service(service));
        service
            .map(|service| service.health_path.clone())
            .filter(|path| path.starts_with('/'))
            .unwrap_or_else(|| DEFAULT_HEALTH_PATH.to_owned())
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow() != StopPhase::Serving
    }

    /// Whether connections are closed after their next response.
    pub fn is_closing(&self) -> bool {
        *self.stop.borrow() >= StopPhase::Closing
    }

    /// Waits until a planned stop has reached a phase.
    pub async fn stop_reaches(&self, phase: StopPhase) {
        let mut stop = self.stop.subscribe();
        // It fails only if the sender is gone, and this node holds it.
        drop(stop.wait_for(|reached| *reached >= phase).await);
    }

    /// Whether a request with this deadline may still be sent to a target, in view of a planned stop.
    pub fn may_send_before_exit(&self, deadline: Deadline) -> bool {
        let phase = *self.stop.borrow();
        self.stop_schedule
            .get()
            .is_none_or(|schedule| schedule.may_send(phase, deadline))
    }

    /// Waits until a request with this deadline may no longer be sent because of a planned stop; forever if it may be
    /// until its deadline.
    pub async fn may_no_longer_send(&self, deadline: Deadline) {
        self.stop_reaches(StopPhase::Closing).await;
        if self.may_send_before_exit(deadline) {
            std::future::pending().await
        }
    }

    /// Closes idle connections to other nodes.
    pub fn close_idle_peers(&self) {
        for peer in self.peers.borrow().values() {
            peer.close_idle_longer_than(PEER_IDLE_TIMEOUT);
        }
    }

    /// The pool of kept-alive connections to another node.
    pub fn peer(&self, address: SocketAddr) -> Rc<ConnectionPool> {
        let mut peers = self.peers.borrow_mut();
        let peer = peers
            .entry(address)
            .or_insert_with(|| ConnectionPool::new(address, PEER_CONNECT_TIMEOUT));
        peer.clone()
    }

    /// Records that the configuration in force was the latest in the store at time `at`.
    pub fn configuration_checked(&self, at: Time) {
        let known = self.configuration_checked_at.get();
        self.configuration_checked_at.set(known.max(Some(at)));
    }

    /// Time since the configuration in force was last known to be the latest in the store; `None`
    /// if it never was.
    pub fn configuration_checked_ago(&self) -> Option<Duration> {
        let checked_at = self.configuration_checked_at.get()?;
        Some(self.now().since(checked_at))
    }

    /// Time after the store's acknowledgement by which an evacuation must be in force; `None` if
    /// the settings don't give one.
    pub fn evacuation_bound(&self) -> Option<Duration> {
        self.settings.bounds.evacuate_s.map(Duration::from_secs_f64)
    }

    /// Applies the evacuated zones as of a revision of the store, unless a later revision is known.
    pub fn apply_evacuations(&self, told: EvacuatedZones, source: &'static str) {
        let Some(bound) = self.evacuation_bound() else {
            return;
        };
        let now = self.now();
        let zone = &self.settings.node.zone;
        let mut evacuations = self.evacuations.borrow_mut();
        let Some(zone_change) = evacuations.apply(now, zone, bound, told) else {
            return;
        };
        let evacuated = evacuations.evacuated().clone();
        drop(evacuations);
        let directory = self.directory.borrow();
        let members = &directory.table().members;
        let unknown = |name: &&String| !members.iter().any(|member| member.zone == **name);
        self.log.write(Event::ZonesEvacuated {
            unknown: evacuated.zones.iter().filter(unknown).count(),
            zones: &evacuated.zones,
            revision: evacuated.revision,
            source,
        });
        if zone_change == OwnZoneChange::InService {
            // The target may have become slow while it received no requests.
            let trusted_from = now + MAX_HEARTBEAT_DELAY;
            self.target.borrow_mut().suspect_warmup(trusted_from);
            self.update_start_limit();
            self.target_check.notify_one();
        }
        self.control_wakeup.notify_one();
    }

    /// Applies the evacuated zones received from the leader, which were last confirmed by the store
    /// at `checked_at`.
    pub fn apply_leader_evacuations(&self, told: EvacuatedZones, checked_at: Time) {
        let as_of = told.as_of();
        self.apply_evacuations(told, "leader");
        let mut evacuations = self.evacuations.borrow_mut();
        // The leader's revision may be older than what this node has read itself.
        if as_of >= evacuations.evacuated().as_of() {
            evacuations.record_check(checked_at);
        }
    }

    /// What the node reports to others about evacuated zones; `None` if it has never read them.
    pub fn evacuation_report(&self) -> Option<EvacuationReport> {
        let evacuations = self.evacuations.borrow();
        let ago = self.now().since(evacuations.checked_at()?);
        Some(EvacuationReport {
            evacuated: evacuations.evacuated().clone(),
            checked_ms_ago: whole_millis(ago),
        })
    }

    /// Maximum number of requests per second that may start at the target; `None` if that isn't
    /// limited.
    pub fn starts_per_s(&self) -> Option<u32> {
        let announced = self.request_limit.borrow().requests_per_s();
        let announced = announced.map(|requests_per_s| requests_per_s.round().max(1.0) as u32);
        announced
            .into_iter()
            .chain(self.warmup_starts_per_s())
            .min()
    }

    /// Maximum number of requests per second while the target is slow after its start; `None` if it
    /// isn't slow or no limit is configured.
    fn warmup_starts_per_s(&self) -> Option<u32> {
        let target = self.target.borrow();
        if target.warmup_state(self.now()) == WarmupState::Warm {
            return None;
        }
        let routes = self.routes.borrow();
        let rate = match routes.as_ref() {
            Some(routes) => {
                let service = routes.configuration().service(target.service())?;
                service.warmup_requests_per_s?
            }
            // The rate isn't known before the first configuration, but other nodes may already send
            // requests.
            None => 0.0,
        };
        let bound = self.settings.bounds.warmup_requests(rate)?;
        Some((bound - RESERVED_STARTS_PER_S).max(1.0) as u32)
    }

    /// Updates the limit on starts at the target from the target's current state.
    pub fn update_start_limit(&self) {
        let warmup_state = self.target.borrow().warmup_state(self.now());
        let until = match warmup_state {
            WarmupState::WarmingUntil(until) => {
                Some(tokio::time::Instant::now() + until.since(self.now()))
            }
            WarmupState::Warm | WarmupState::Suspected => None,
        };
        let limit = self.warmup_starts_per_s().map(|starts| StartLimit {
            most: starts as usize,
            until,
        });
        self.slots.set_start_limit(limit);
    }

    /// Sets the limit that the target announces, in requests per second; `None` removes it.
    pub fn set_request_limit(&self, requests_per_s: Option<f64>) {
        self.metrics.set_request_limit(requests_per_s);
        self.slots.set_request_limit(requests_per_s);
    }

    /// Updates the number of usable slots from the target's slots and the other work there. Returns
    /// whether that work takes up any of them.
    pub fn update_slot_capacity(&self) -> bool {
        let slots = self.target.borrow().slots() as usize;
        let usable = self.untracked_work.borrow().usable_slots(slots);
        self.slots.set_capacity(usable);
        let withheld = i64::try_from(slots - usable).unwrap_or(i64::MAX);
        self.metrics.withheld.set(withheld);
        if usable < slots {
            self.slots_reduced.notify_one();
        }
        usable < slots
    }

    /// Whether a service has keys that are owned by its targets.
    pub fn is_keyed(&self, service: &str) -> bool {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .and_then(|routes| routes.configuration().service(service))
            .is_some_and(|service| service.keyed)
    }

    /// Replaces the directory.
    pub fn set_directory(&self, directory: Directory) {
        let now = self.now();
        self.selection
            .retain(now, |node| directory.node(node).is_some());
        self.leaving_targets.retain(now, &directory);
        *self.directory.borrow_mut() = Rc::new(directory);
        self.directory_changed.notify_waiters();
    }

    /// Records the store's era, as named by the store itself or by another node. Returns whether it
    /// is at least as late as the known one.
    ///
    /// In a later era the store has lost the latest writes that it had acknowledged, and its
    /// revisions start anew, so everything that was derived from either is discarded.
    pub fn observe_store_era(&self, era: StoreEra) -> bool {
        let known = self.store_era.get();
        if era > known {
            self.store_era.set(era);
            self.log.write(Event::StoreCameBack { era: era.0 });
            self.configuration_reads.store_came_back();
            self.participant.borrow_mut().set_store_era(self.now(), era);
            self.registration.wake();
        }
        era >= known
    }

    /// The revision of the node's registration; `None` if the store hasn't acknowledged one in its
    /// current era.
    pub fn current_registration(&self) -> Option<StorePosition> {
        let acknowledged = self.registration.acknowledged();
        acknowledged.filter(|position| position.era == self.store_era.get())
    }

    /// Records whether a call to the store succeeded, and logs when that changes.
    pub fn record_store_result(&self, answered: bool, detail: &str) {
        if self.store_reachable.replace(answered) == answered {
            return;
        }
        let (dependency, detail) = ("store", detail.to_owned());
        self.log.write(if answered {
            Event::Regained { dependency, detail }
        } else {
            Event::Lost { dependency, detail }
        });
    }
}
