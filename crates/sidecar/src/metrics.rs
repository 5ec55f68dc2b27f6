//! Counters and latency histograms in the Prometheus text format.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::tenant_counts::TenantCounts;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Value of the request limit's gauge while the target sets no limit.
const NO_REQUEST_LIMIT: f64 = -1.0;

/// Labels of a completed request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Service that the request was for; empty if none.
    pub service: String,
    /// How the request ended.
    pub outcome: &'static str,
}

/// A single label with the outcome or kind of an event.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// Outcome or kind of the event.
    pub outcome: &'static str,
}

/// Labels of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabels {
    /// Operation of the call.
    pub call: &'static str,
    /// How the call ended.
    pub outcome: &'static str,
}

/// A single label with the name of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Name of the service.
    pub service: String,
}

/// A single label with the kind of a message between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// Kind of the message.
    pub kind: &'static str,
}

/// A single label with the distance of another node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RelationLabel {
    /// Whether the node is in the same zone, the same region or another region.
    pub relation: &'static str,
}

/// All metrics of a node.
pub struct Metrics {
    registry: Registry,
    /// Requests accepted from clients, by service and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Requests accepted from clients, by tenant and outcome.
    pub tenants: TenantCounts,
    /// Checks whether a refusal is due to an outdated configuration, by outcome.
    pub configuration_doubts: Family<OutcomeLabel, Counter>,
    /// Time from a request's arrival to the head of its response in seconds, by service.
    pub latency: Family<ServiceLabel, Histogram>,
    /// Requests that the agent refused or lost, by reason.
    pub refusals: Family<OutcomeLabel, Counter>,
    /// Requests sent to other nodes, by distance of the node.
    pub hops: Family<RelationLabel, Counter>,
    /// Bytes of requests to other nodes and of their responses, by distance of the node: heads, and
    /// bodies of known length.
    pub hop_bytes: Family<RelationLabel, Counter>,
    /// Time that requests waited for a slot in seconds, by outcome of the wait.
    pub waits: Family<OutcomeLabel, Histogram>,
    /// Bytes of the datagrams sent to other nodes and of the calls to them with their responses, by
    /// kind.
    pub control_bytes: Family<KindLabel, Counter>,
    /// Sends of a request beyond its first.
    pub repeats: Counter,
    /// Pipelined requests that were started while an earlier request of their connection was still
    /// being answered.
    pub started_ahead: Counter,
    /// Connections on which pipelined requests were abandoned or could no longer be started, by
    /// reason.
    pub pipelines_cut: Family<OutcomeLabel, Counter>,
    /// Incoming connections that were closed after their last response, by what ended the wait for the peer's own
    /// close.
    pub closed_connections: Family<OutcomeLabel, Counter>,
    /// Calls to the store, by operation and outcome.
    pub store_calls: Family<StoreCallLabels, Counter>,
    /// Bytes of the store's responses, counted as `whole` for complete responses and `given_up`
    /// otherwise.
    pub store_bytes: Family<OutcomeLabel, Counter>,
    /// Grants and releases of keys at the target, by outcome.
    pub key_orders: Family<OutcomeLabel, Counter>,
    /// Orders about keys that ended after the target's life had changed, or that another target
    /// answered.
    pub orders_across_lives: Counter,
    /// Decisions about requests under which targets crash, by decision.
    pub quarantine: Family<OutcomeLabel, Counter>,
    /// Requests of tenants with a quota, by decision, and what became of their tokens.
    pub quota: Family<OutcomeLabel, Counter>,
    /// Shards of tenants' quotas that the node owns.
    pub quota_shards: Gauge,
    /// Limit on requests per second that the target announces for all nodes together; -1 while it
    /// announces none.
    pub request_limit: Gauge<f64, AtomicU64>,
    /// Headers of the target's responses that couldn't be parsed.
    pub unreadable_announcements: Counter,
    /// Heartbeats that can't be the target's own, by reason.
    pub rejected_heartbeats: Family<OutcomeLabel, Counter>,
    /// Times that the target ended with requests in flight.
    pub target_ends: Counter,
    /// Datagrams of other nodes that couldn't be parsed.
    pub unreadable_datagrams: Counter,
    /// Requests that occupy a slot of the target.
    pub running: Gauge,
    /// Requests that are queued for a slot.
    pub waiting: Gauge,
    /// Slots of the target that are left unused because the target runs work that no request here
    /// waits for.
    pub withheld: Gauge,
    /// Version of the configuration in force.
    pub configuration: Gauge,
    /// Entries of the configuration in force that can't be read.
    pub unreadable_entries: Gauge,
    /// Milliseconds since the configuration in force was last known to be the latest; -1 if it
    /// never was.
    pub configuration_age: Gauge,
    /// Epoch of the leader that is followed.
    pub epoch: Gauge,
}

impl Metrics {
    /// Creates all metrics and registers them. They start at zero, but for the request limit.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("wingspar");
        let latency = Family::<ServiceLabel, Histogram>::new_with_constructor(|| {
            Histogram::new(LATENCY_BUCKETS)
        });
        let waits = Family::<OutcomeLabel, Histogram>::new_with_constructor(|| {
            Histogram::new(LATENCY_BUCKETS)
        });
        let metrics = Self {
            requests: Family::default(),
            tenants: TenantCounts::default(),
            configuration_doubts: Family::default(),
            latency,
            waits,
            refusals: Family::default(),
            hops: Family::default(),
            hop_bytes: Family::default(),
            control_bytes: Family::default(),
            repeats: Counter::default(),
            started_ahead: Counter::default(),
            pipelines_cut: Family::default(),
            closed_connections: Family::default(),
            store_calls: Family::default(),
            store_bytes: Family::default(),
            key_orders: Family::default(),
            orders_across_lives: Counter::default(),
            quarantine: Family::default(),
            quota: Family::default(),
            quota_shards: Gauge::default(),
            request_limit: Gauge::default(),
            unreadable_announcements: Counter::default(),
            rejected_heartbeats: Family::default(),
            target_ends: Counter::default(),
            unreadable_datagrams: Counter::default(),
            running: Gauge::default(),
            waiting: Gauge::default(),
            withheld: Gauge::default(),
            configuration: Gauge::default(),
            unreadable_entries: Gauge::default(),
            configuration_age: Gauge::default(),
            epoch: Gauge::default(),
            registry: Registry::default(),
        };
        metrics.request_limit.set(NO_REQUEST_LIMIT);
        metrics.register_requests(&mut registry);
        metrics.register_target(&mut registry);
        metrics.register_traffic(&mut registry);
        Self {
            registry,
            ..metrics
        }
    }

    /// Registers the metrics of requests of clients.
    fn register_requests(&self, registry: &mut Registry) {
        registry.register(
            "requests",
            "Requests taken from clients",
            self.requests.clone(),
        );
        registry.register(
            "tenant_requests",
            "Requests taken from clients, of tenants that had one refused",
            self.tenants.requests.clone(),
        );
        registry.register(
            "latency_seconds",
            "Time to the head of an answer",
            self.latency.clone(),
        );
        registry.register(
            "repeats",
            "Sends beyond a request's first",
            self.repeats.clone(),
        );
        registry.register(
            "started_ahead",
            "Requests begun behind another of their connection",
            self.started_ahead.clone(),
        );
        registry.register(
            "pipelines_cut",
            "Connections on which requests begun ahead were given up",
            self.pipelines_cut.clone(),
        );
        registry.register(
            "closed_connections",
            "Connections closed after their last response, by how the wait for the peer's close ended",
            self.closed_connections.clone(),
        );
        registry.register(
            "quarantine",
            "Decisions on requests under which targets end",
            self.quarantine.clone(),
        );
        registry.register(
            "quota",
            "Requests of tenants with a quota, and their tokens",
            self.quota.clone(),
        );
    }

    /// Registers the metrics of work at the node's own target.
    fn register_target(&self, registry: &mut Registry) {
        registry.register(
            "refusals",
            "Requests that the agent refused or lost",
            self.refusals.clone(),
        );
        registry.register(
            "waits_seconds",
            "Time that requests waited for a slot",
            self.waits.clone(),
        );
        registry.register(
            "slots_running",
            "Requests in the target's slots",
            self.running.clone(),
        );
        registry.register(
            "slots_waiting",
            "Requests that wait for a slot",
            self.waiting.clone(),
        );
        registry.register(
            "slots_withheld",
            "Slots left to work at the target that nobody here waits for",
            self.withheld.clone(),
        );
        registry.register(
            "target_requests_per_second_limit",
            "Requests a second that the target takes from all nodes together; -1: it names no limit",
            self.request_limit.clone(),
        );
        registry.register(
            "unreadable_announcements",
            "Headers of the target's answers that can't be read",
            self.unreadable_announcements.clone(),
        );
        registry.register(
            "rejected_heartbeats",
            "Heartbeats that can't be the target's own",
            self.rejected_heartbeats.clone(),
        );
        registry.register(
            "target_ends",
            "Ends of the target with requests in flight",
            self.target_ends.clone(),
        );
        registry.register(
            "key_orders",
            "Grants and releases at the target",
            self.key_orders.clone(),
        );
        registry.register(
            "orders_across_lives",
            "Orders about keys that ended in another life of the target than they were sent in",
            self.orders_across_lives.clone(),
        );
    }

    /// Registers the metrics of traffic with other nodes and the store.
    fn register_traffic(&self, registry: &mut Registry) {
        registry.register("hops", "Requests sent to other nodes", self.hops.clone());
        registry.register(
            "hop_bytes",
            "Bytes of requests to other nodes and of their answers",
            self.hop_bytes.clone(),
        );
        registry.register(
            "control_bytes",
            "Bytes of messages between nodes that carry no request",
            self.control_bytes.clone(),
        );
        registry.register(
            "unreadable_datagrams",
            "Datagrams of other nodes that can't be read",
            self.unreadable_datagrams.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register(
            "store_bytes",
            "Bytes of the store's answers",
            self.store_bytes.clone(),
        );
        registry.register(
            "configuration_doubts",
            "Checks whether a refusal rests on an outdated configuration",
            self.configuration_doubts.clone(),
        );
        registry.register(
            "configuration_version",
            "Configuration in force",
            self.configuration.clone(),
        );
        registry.register(
            "configuration_unreadable_entries",
            "Entries of that configuration that can't be read",
            self.unreadable_entries.clone(),
        );
        registry.register(
            "configuration_checked_milliseconds_ago",
            "Time since the configuration in force was known to be the latest; -1: it never was",
            self.configuration_age.clone(),
        );
        registry.register(
            "leader_epoch",
            "Epoch of the leader followed",
            self.epoch.clone(),
        );
        registry.register(
            "quota_shards",
            "Shards of tenants' quotas that the node owns",
            self.quota_shards.clone(),
        );
    }

    /// Sets the target's limit on requests per second; `None` if the target sets no limit.
    pub fn set_request_limit(&self, requests_per_s: Option<f64>) {
        let value = requests_per_s.unwrap_or(NO_REQUEST_LIMIT);
        self.request_limit.set(value);
    }

    /// Increments the counter of an outcome.
    pub fn count(&self, family: &Family<OutcomeLabel, Counter>, outcome: &'static str) {
        family.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts the bytes of a message to another node that isn't a request.
    pub fn count_control(&self, kind: &'static str, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let label = KindLabel { kind };
        self.control_bytes.get_or_create(&label).inc_by(bytes);
    }

    /// Counts the bytes of a response of the store.
    pub fn count_store_bytes(&self, is_whole: bool, bytes: usize) {
        let outcome = if is_whole { "whole" } else { "given_up" };
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let label = OutcomeLabel { outcome };
        self.store_bytes.get_or_create(&label).inc_by(bytes);
    }

    /// All metrics as text. The text is empty if a metric can't be encoded, which would be a bug.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            text.clear();
        }
        text
    }
}
