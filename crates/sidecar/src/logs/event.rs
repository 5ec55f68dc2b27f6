//! The events that the log can contain.

use std::collections::BTreeSet;

use serde::Serialize;
use wingspar_routes::EntryList;

/// The log events. The names of variants and fields are stable; `docs/OPERATIONS.md` lists them.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process has started.
    Started {
        /// Service of the target that the node runs beside.
        service: &'a str,
        /// Zone of the machine.
        zone: &'a str,
        /// Version of the sidecar's program.
        version: &'static str,
    },
    /// The process has received a signal to stop.
    Stopping {
        /// The signal's name.
        signal: &'a str,
    },
    /// The process exits as planned.
    Stopped {
        /// Number of requests that were still running.
        unfinished: usize,
        /// Number of requests that were refused since they might not have ended before the exit.
        refused: usize,
        /// Number of requests that were given up right before the exit.
        given_up: usize,
        /// Time from the signal until no request was in progress, in milliseconds; 0 if none was when connections
        /// began to be closed.
        requests_ms: u64,
        /// Time from the signal until the target held no keys, in milliseconds; 0 likewise.
        keys_ms: u64,
        /// Time from the signal until all responses had been written and received, in milliseconds; 0 likewise.
        connections_ms: u64,
        /// Time from the signal until the node's registration was removed, in milliseconds; 0 likewise.
        registration_ms: u64,
    },
    /// The settings were read again.
    Reloaded {
        /// Whether the settings are valid.
        accepted: bool,
        /// What is wrong with the settings, or a note that they differ from those in use.
        problem: String,
    },
    /// A configuration has come into force.
    ConfigurationInForce {
        /// Version of the configuration.
        version: u64,
        /// Source of the configuration: cache, store, node, changes.
        source: &'a str,
        /// Number of routes in the configuration.
        routes: usize,
        /// Number of tenants in the configuration.
        tenants: usize,
    },
    /// The set of credentials that several tenants of a configuration list has changed.
    CredentialsShared {
        /// Version of the configuration.
        version: u64,
        /// Number of credentials that more than one tenant lists.
        count: usize,
        /// The tenant that requests with the first of these credentials are attributed to; empty if
        /// there is none.
        tenant: &'a str,
        /// Another tenant that lists the same credential; empty if there is none.
        other: &'a str,
    },
    /// Entries of a configuration can't be read: the requests that they concern are refused, all
    /// others are served.
    EntriesUnreadable {
        /// Version of the configuration.
        version: u64,
        /// Number of unreadable entries.
        count: usize,
        /// The list that contains the first of them: routes, services, tenants, limits.
        list: EntryList,
        /// The first entry's name; empty if that can't be read either.
        entry: &'a str,
        /// The invalid field of the first entry.
        field: &'a str,
        /// What is wrong with that field.
        problem: &'a str,
    },
    /// Routes of a configuration are of an unknown kind: their requests are sent at most once.
    KindsUnknown {
        /// Version of the configuration.
        version: u64,
        /// Number of routes of an unknown kind.
        count: usize,
        /// Name of the first of these routes.
        route: &'a str,
    },
    /// A configuration couldn't be read and is ignored.
    ConfigurationRefused {
        /// Why the configuration couldn't be read.
        problem: String,
    },
    /// A later configuration was requested from another node, whose response couldn't be applied.
    ConfigurationNotFetched {
        /// The address of that node.
        from: String,
        /// Version of the configuration in force at this node.
        version: u64,
        /// Why no later configuration was applied.
        problem: String,
    },
    /// The set of evacuated zones has changed.
    ZonesEvacuated {
        /// The evacuated zones; empty if all are in service.
        zones: &'a BTreeSet<String>,
        /// Number of evacuated zones in which no node is known.
        unknown: usize,
        /// Revision of the store that the set was read at.
        revision: u64,
        /// Source of the set: store, watch, leader.
        source: &'a str,
    },
    /// A dependency has failed.
    Lost {
        /// The dependency that failed: store, watch, target, relay.
        dependency: &'a str,
        /// The evidence of the failure.
        detail: String,
    },
    /// A dependency has recovered.
    Regained {
        /// The dependency that recovered: store, watch, target, relay.
        dependency: &'a str,
        /// The outcome that showed the recovery.
        detail: String,
    },
    /// The store was restored from a copy and lacks the latest writes that it had acknowledged.
    StoreCameBack {
        /// Era of the store: the number of times that it has been restored from a copy.
        era: u64,
    },
    /// A call to the store gave no usable response.
    StoreCallFailed {
        /// The operation: look, read, cached read, watch, list, write, remove.
        call: &'a str,
        /// The objects concerned: leadership, registration, configuration, evacuations.
        subject: &'a str,
        /// Why the call failed.
        problem: String,
    },
    /// The store lost the node's registration, which the node therefore writes again.
    RegistrationMissing {
        /// Revision of the registration.
        revision: u64,
    },
    /// The node has received a table of nodes for the first time.
    TableKnown {
        /// Epoch of the leader that published the table.
        epoch: u64,
        /// Version of the table within that epoch.
        version: u64,
        /// Number of nodes in the table.
        members: usize,
    },
    /// The node follows another leader.
    LeaderKnown {
        /// Name of the leader's node.
        leader: &'a str,
        /// Epoch of that leader.
        epoch: u64,
    },
    /// This node has become the leader.
    LeadershipTaken {
        /// Epoch in which this node is the leader.
        epoch: u64,
        /// Number of registered nodes that have yet to report.
        registered: usize,
        /// Number of nodes that have yet to report and are in the last table but not registered.
        unlisted: usize,
    },
    /// This node, the leader, has freed keys that their holders hadn't released.
    KeysFreed {
        /// Why the keys are free: lease_expired, unreported.
        reason: &'a str,
        /// The first of the nodes that held them; empty if no node had reported them.
        holder: &'a str,
        /// Number of nodes that held them.
        holders: usize,
        /// Number of keys.
        keys: u32,
    },
    /// This node has stopped being the leader.
    LeadershipLost {
        /// Epoch in which this node was the leader.
        epoch: u64,
        /// Why the leadership ended.
        detail: &'a str,
    },
    /// The target has been restarted or has changed its state.
    TargetChanged {
        /// The target's id.
        target: &'a str,
        /// The kind of change: new_life, leaves, changed.
        change: &'a str,
        /// The evidence: heartbeat, deregistration, health_check, answer.
        evidence: &'a str,
        /// The life that was known before, if it is another one; empty otherwise.
        before: &'a str,
        /// Number of key ranges that the earlier life held, or may have held.
        ranges: usize,
    },
    /// A heartbeat named another target than the known one, and a health check didn't find it at the target's address.
    TargetUnconfirmed {
        /// The target that the heartbeat names.
        target: &'a str,
        /// Id of the known target.
        known: &'a str,
        /// Id of the target that answered the health check; empty if none did.
        answered_by: &'a str,
    },
    /// The target's heartbeats go on below the highest known sequence number, which was therefore not the target's.
    SequenceReset {
        /// The target's life.
        target: &'a str,
        /// The highest sequence number until then.
        before: u64,
        /// The sequence number of the heartbeat that is now the latest.
        sequence: u64,
    },
    /// The target announces another limit on the requests that it accepts from all nodes together.
    TargetLimit {
        /// The target's id.
        target: &'a str,
        /// Requests per second; `None` if there is no limit any more.
        requests_per_s: Option<f64>,
    },
    /// The target ended with requests in flight.
    TargetEnded {
        /// The target's id.
        target: &'a str,
        /// The evidence: refuses_connections, next_life.
        evidence: &'a str,
        /// The requests that were in flight.
        suspects: Vec<SuspectLine>,
    },
    /// A request was quarantined, because targets ended while running it, or released from
    /// quarantine.
    Quarantined {
        /// Fingerprint of the request.
        fingerprint: String,
        /// Whether the request is quarantined now: refused or released.
        standing: &'a str,
        /// Number of targets' ends that this is based on.
        ends: u8,
        /// Remaining time of the quarantine, in milliseconds.
        left_ms: u64,
        /// Number of callers whose requests aren't refused, since they have been served.
        served_callers: usize,
        /// The source of the decision: this node's target, another node, the leader, a successful
        /// run, an operator.
        source: &'a str,
    },
    /// The set of tenants' quota shards that the node owns has changed.
    QuotaShards {
        /// Shards that the node has gained.
        gained: Vec<u16>,
        /// Shards that the node has lost.
        lost: Vec<u16>,
        /// Number of shards that the node owns now.
        owned: usize,
    },
    /// The owner of a quota shard has stopped answering requests for tokens, or answers again.
    QuotaOwner {
        /// Number of the shard.
        shard: u16,
        /// Name of the owner; empty if none is known.
        owner: &'a str,
        /// Whether the owner responds: silent or answers.
        state: &'a str,
    },
    /// A value that the target reported couldn't be parsed and is ignored.
    TargetUnreadable {
        /// Name of the value.
        what: &'a str,
        /// Why the value couldn't be parsed.
        problem: String,
    },
    /// A grant, release or clearing of keys at the target has ended. Successful grants are logged
    /// only if the target's life has changed meanwhile, or another target answered.
    Keys {
        /// The operation: grant, release or clear.
        order: &'a str,
        /// First key of the range.
        from: u16,
        /// Last key of the range.
        to: u16,
        /// Fencing token of the ownership that the operation concerns.
        fence: u64,
        /// How the operation ended.
        outcome: &'a str,
        /// The target's life that was known when the order was sent; empty if none was.
        target: &'a str,
        /// Id of the target that the answer names; empty if it names none.
        answered_by: &'a str,
        /// Time from when the order was sent to its end, in milliseconds.
        took_ms: u64,
        /// Remaining time of the node's lease, in milliseconds.
        lease_left_ms: u64,
    },
    /// A response to a heartbeat informed the target of a change of its keys.
    KeysTold {
        /// Sequence number of the target's heartbeat.
        sequence: u64,
        /// Number of key ranges that the target reported as held.
        reported: usize,
        /// Number of key ranges that the target reported as released.
        released: usize,
        /// Number of key ranges that the response grants to the target.
        rows: usize,
        /// told if the response contained the target's keys; no_lease if the node had no lease.
        outcome: &'a str,
        /// How long the response was held back until there was a change, in milliseconds.
        held_back_ms: u64,
        /// Remaining time of the node's lease, in milliseconds.
        lease_left_ms: u64,
    },
    /// Pipelined requests on a client's connection were abandoned, or no more can be started there.
    PipelineCut {
        /// The reason: client_left, answer_cut, answer_closed, broken_head, out_of_step.
        reason: &'a str,
        /// Number of requests that were abandoned.
        dropped: usize,
    },
    /// A connection was closed although the peer may still have been sending. If that was after a response, the peer may
    /// not receive all of it.
    CloseForced {
        /// The limit that was reached: time_limit, byte_limit, connection_limit; request_arrived if a request crossed the
        /// close of an idle connection and hasn't been read.
        reason: &'a str,
        /// Number of bytes that were discarded.
        discarded: u64,
    },
    /// This node has completed or refused a client's request.
    Request {
        /// The request's id, as sent by the client.
        id: &'a str,
        /// The request's route; empty if none matched.
        route: &'a str,
        /// The tenant that the request is attributed to; empty if none is known.
        tenant: &'a str,
        /// The route's service; empty if no route matched.
        service: &'a str,
        /// The request's key.
        #[serde(skip_serializing_if = "Option::is_none")]
        key: Option<u16>,
        /// Fingerprint of the request's content; empty if its body wasn't read.
        fingerprint: String,
        /// Version of the configuration that the decision was based on.
        configuration: u64,
        /// Milliseconds since the configuration in force was last known to be the latest; `None` if
        /// it never was.
        checked_ms_ago: Option<u64>,
        /// The node that was tried last.
        tried: &'a str,
        /// Number of sends that reached, or may have reached, a target.
        sends: u32,
        /// How the request ended.
        outcome: &'a str,
        /// Time since the request arrived, in milliseconds.
        took_ms: u64,
        /// The last error.
        detail: &'a str,
    },
    /// The agent refused a request or lost its response.
    Refused {
        /// The request's id, as sent by the client.
        id: &'a str,
        /// Fingerprint of the request's content.
        fingerprint: String,
        /// Why the request was refused or its response was lost.
        reason: &'a str,
        /// Number of requests that occupy a slot.
        running: usize,
        /// Number of requests that are queued for a slot.
        waiting: usize,
        /// How long a large response would wait for the machine's network link, in milliseconds.
        link_ms: u64,
        /// Remaining time of the node's lease, in milliseconds.
        lease_left_ms: u64,
        /// The leader's epoch.
        epoch: u64,
    },
    /// Requests of a service have begun to be sent to other regions, because the own region lacks
    /// capacity.
    SpillOverBegun {
        /// Name of the service.
        service: &'a str,
        /// The node that the first such request is sent to.
        tried: &'a str,
    },
    /// All requests of a service stay in their region again.
    SpillOverEnded {
        /// Name of the service.
        service: &'a str,
        /// Number of requests that left the region.
        requests: u64,
        /// Time from the first of these requests to the last, in milliseconds.
        lasted_ms: u64,
    },
    /// Nodes of another region couldn't be reached, so it is avoided for a while.
    RegionAvoided {
        /// Name of the avoided region.
        region: &'a str,
        /// The node that was tried last.
        tried: &'a str,
    },
    /// A region that was avoided is reachable again.
    RegionReached {
        /// Name of the region that is reachable again.
        region: &'a str,
        /// The node that answered.
        tried: &'a str,
    },
    /// Lines about requests were suppressed to bound the volume of the log.
    LinesLeftOut {
        /// Number of suppressed lines.
        count: u64,
    },
}

/// A request that was in flight when its target ended.
#[derive(Debug, Clone, Serialize)]
pub struct SuspectLine {
    /// The request's id, as sent by the client.
    pub id: String,
    /// Fingerprint of the request's content.
    pub fingerprint: String,
    /// Time for which the request had been running, in milliseconds.
    pub ran_ms: u64,
    /// Number of targets' ends that count against the request now, as far as this node knows. It
    /// stays the same if this end doesn't count.
    pub ends: usize,
}
