//! The targets that a router knows: what the control group says of them and what the router saw.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use wingspar_wire::{Availability, TargetEntry};
use wingspar_world::{Configuration, MonotonicTime, RequestClass, ServiceName, TargetName};

use crate::limits::{CLASSES, class_index};
use crate::outlier::Outlier;
use crate::settings::OutlierSettings;
use crate::table::TargetId;
use crate::window::Window;

/// Weight of the newest sample in the moving average of latencies.
const LATENCY_WEIGHT: f64 = 0.1;
/// Slots assumed of a target that the configuration does not describe yet.
const DEFAULT_SLOTS: u32 = 20;
/// Longest time for which a target that gives its work up is left alone.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// One target.
#[derive(Debug, Clone)]
pub(crate) struct TargetState {
    pub(crate) name: TargetName,
    pub(crate) service: ServiceName,
    pub(crate) agent: Option<SocketAddr>,
    availability: Availability,
    draining_by_configuration: bool,
    slots: u32,
    region_weight: f64,
    /// Requests in flight by class: a target that has no room for checks may have some for
    /// interactive requests.
    windows: [Window; CLASSES],
    latency_micros: Option<f64>,
    outlier: Outlier,
    paused_until: MonotonicTime,
}

/// All targets by number, and by service.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    states: BTreeMap<TargetId, TargetState>,
    by_service: HashMap<ServiceName, Vec<TargetId>>,
}

/// A change of a target's standing that is worth a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    Unchanged,
    Ejected,
    Returned,
}

impl TargetState {
    /// Whether new work may be sent: the control group and the configuration allow it.
    pub(crate) fn is_available(&self) -> bool {
        let allowed = self.availability == Availability::Serving && !self.draining_by_configuration;
        allowed && self.agent.is_some()
    }

    /// Whether it takes unkeyed work of a class now.
    pub(crate) fn is_eligible(&self, now: MonotonicTime, class: RequestClass) -> bool {
        let is_left_alone = self.outlier.is_ejected(now) || now < self.paused_until;
        let has_room = self.windows[class_index(class)].has_room();
        self.is_available() && !is_left_alone && has_room
    }

    /// Relative share of unkeyed work that it is to get.
    pub(crate) fn weight(&self) -> f64 {
        f64::from(self.slots.max(1)) * self.region_weight
    }

    /// Expected time until one more request is answered, in microseconds; a target never tried
    /// counts as `unknown_latency`.
    pub(crate) fn cost(&self, unknown_latency: f64) -> f64 {
        let latency = self.latency_micros.unwrap_or(unknown_latency).max(1.0);
        let load = f64::from(self.in_flight() + 1) / f64::from(self.slots.max(1));
        load * latency
    }

    /// When it is expected to take work of a class again; `None` if that is not known.
    pub(crate) fn back_at(&self, now: MonotonicTime, class: RequestClass) -> Option<MonotonicTime> {
        if !self.is_available() {
            return None;
        }
        let ejected_until = self.outlier.ejected_until(now).unwrap_or(now);
        let window = &self.windows[class_index(class)];
        let room_at = now + window.retry_after();
        Some(ejected_until.max(self.paused_until).max(room_at))
    }

    fn in_flight(&self) -> u32 {
        self.windows.iter().map(Window::in_flight).sum()
    }

    pub(crate) fn latency_micros(&self) -> Option<f64> {
        self.latency_micros
    }
}

impl Targets {
    /// Takes over what a table update says of targets. `entries` come with their numbers.
    pub(crate) fn update(&mut self, entries: &[(TargetId, TargetEntry)]) {
        for (id, entry) in entries {
            if entry.availability == Availability::Removed {
                self.states.remove(id);
                continue;
            }
            let state = self.states.entry(*id);
            let state = state.or_insert_with(|| TargetState::new(entry));
            state.service = entry.service.clone();
            state.agent = entry.agent;
            state.availability = entry.availability;
        }
        self.index();
    }

    /// Forgets all targets but these.
    pub(crate) fn retain(&mut self, listed: &BTreeSet<TargetId>) {
        self.states.retain(|id, _| listed.contains(id));
        self.index();
    }

    /// Takes over slots, weights and drains from the configuration.
    pub(crate) fn configure(&mut self, configuration: &Configuration) {
        for state in self.states.values_mut() {
            let Some((_, target)) = configuration.targets.get(&state.name) else {
                continue;
            };
            state.slots = target.slots;
            state.draining_by_configuration = target.draining;
            let service = configuration.service(&target.service);
            let policy = service.and_then(|service| configuration.policy_of(service));
            let weights = policy.map(|policy| &policy.region_weights);
            let weights = weights.filter(|weights| !weights.is_empty());
            state.region_weight = match weights {
                Some(weights) => weights.get(&target.region).copied().unwrap_or(0.0),
                None => 1.0,
            };
        }
    }

    pub(crate) fn get(&self, id: TargetId) -> Option<&TargetState> {
        self.states.get(&id)
    }

    /// Targets of a service with their numbers.
    pub(crate) fn of_service<'a>(
        &'a self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (TargetId, &'a TargetState)> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| Some((*id, self.states.get(id)?)))
    }

    /// Slots of a service's available targets.
    pub(crate) fn slots(&self, service: &ServiceName) -> u32 {
        let available = self
            .of_service(service)
            .filter(|(_, one)| one.is_available());
        available.map(|(_, one)| one.slots).sum()
    }

    pub(crate) fn started(&mut self, id: TargetId, class: RequestClass) {
        if let Some(state) = self.states.get_mut(&id) {
            state.windows[class_index(class)].started();
        }
    }

    pub(crate) fn ended(&mut self, id: TargetId, class: RequestClass) {
        if let Some(state) = self.states.get_mut(&id) {
            state.windows[class_index(class)].ended();
        }
    }

    /// Notes that the target ran a request, whatever its answer.
    pub(crate) fn answered(&mut self, id: TargetId, class: RequestClass) {
        if let Some(state) = self.states.get_mut(&id) {
            state.windows[class_index(class)].answered();
        }
    }

    /// Notes an answer and how long it took.
    pub(crate) fn succeeded(&mut self, id: TargetId, latency: Duration) -> Standing {
        let Some(state) = self.states.get_mut(&id) else {
            return Standing::Unchanged;
        };
        let sample = latency.as_micros() as f64;
        let average = state.latency_micros.unwrap_or(sample);
        state.latency_micros = Some(average + LATENCY_WEIGHT * (sample - average));
        if state.outlier.succeeded() {
            Standing::Returned
        } else {
            Standing::Unchanged
        }
    }

    /// Notes a failure that is the target's or its agent's.
    pub(crate) fn failed(
        &mut self,
        now: MonotonicTime,
        id: TargetId,
        settings: &OutlierSettings,
    ) -> Standing {
        let may_eject = self.may_eject(now, id, settings);
        let Some(state) = self.states.get_mut(&id) else {
            return Standing::Unchanged;
        };
        if state.outlier.failed(now, settings, may_eject) {
            Standing::Ejected
        } else {
            Standing::Unchanged
        }
    }

    /// Notes a refusal for load.
    pub(crate) fn refused(
        &mut self,
        now: MonotonicTime,
        id: TargetId,
        class: RequestClass,
        retry_after: Option<Duration>,
    ) {
        if let Some(state) = self.states.get_mut(&id) {
            state.windows[class_index(class)].refused(now, retry_after);
        }
    }

    /// Leaves a target alone that gives its work up.
    pub(crate) fn pause(&mut self, now: MonotonicTime, id: TargetId, pause: Duration) {
        if let Some(state) = self.states.get_mut(&id) {
            state.paused_until = now + pause.min(LONGEST_PAUSE);
        }
    }

    /// Whether ejecting one more target keeps the ejected ones within their share.
    fn may_eject(&self, now: MonotonicTime, id: TargetId, settings: &OutlierSettings) -> bool {
        let Some(state) = self.states.get(&id) else {
            return false;
        };
        let available = |one: &&TargetState| one.is_available();
        let peers = || self.of_service(&state.service).map(|(_, one)| one);
        let count = peers().filter(available).count();
        let ejected = peers().filter(|one| one.outlier.is_ejected(now)).count();
        (ejected + 1) as f64 <= count as f64 * settings.max_share
    }

    fn index(&mut self) {
        self.by_service.clear();
        for (id, state) in &self.states {
            let ids = self.by_service.entry(state.service.clone()).or_default();
            ids.push(*id);
        }
    }
}

impl TargetState {
    fn new(entry: &TargetEntry) -> Self {
        Self {
            name: entry.target.clone(),
            service: entry.service.clone(),
            agent: entry.agent,
            availability: entry.availability,
            draining_by_configuration: false,
            slots: DEFAULT_SLOTS,
            region_weight: 1.0,
            windows: Default::default(),
            latency_micros: None,
            outlier: Outlier::default(),
            paused_until: MonotonicTime::ZERO,
        }
    }
}
