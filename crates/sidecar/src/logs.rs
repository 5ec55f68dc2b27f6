//! Structured log lines: one JSON object a line on standard output.
//!
//! Lines go through a bounded queue to a thread of their own; when its reader falls behind, lines are
//! dropped and counted, so that logging never holds a request up.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Serialize;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

use wingspar_routes::EntryList;

use crate::clock::{Clock, whole_millis};

/// Lines that wait for the writer at most: as many as requests may bring in 25 seconds. The queue has its whole size from
/// the start, some 170 bytes a line.
const QUEUE: usize = 1024;

/// Sets the process's log up.
///
/// Errors: the writer can't be built.
pub fn setup() -> Result<(), spdlog::Error> {
    let capacity = std::num::NonZeroUsize::new(QUEUE).unwrap_or(std::num::NonZeroUsize::MIN);
    let pool = Arc::new(ThreadPool::builder().capacity(capacity).build()?);
    let output = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
        .build_arc()?;
    let sink = AsyncPoolSink::builder()
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .sink(output)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::All)
        .flush_level_filter(LevelFilter::Off)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Writes out what waits; called once at the end.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// What is logged. The names of variants and fields are stable; `docs/OPERATIONS.md` lists them.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process starts.
    Started {
        /// Service of the target beside it.
        service: &'a str,
        /// Zone.
        zone: &'a str,
        /// Its version.
        version: &'static str,
    },
    /// The process has been told to stop.
    Stopping {
        /// What told it.
        signal: &'a str,
    },
    /// The process ends as planned.
    Stopped {
        /// Requests that were still running.
        unfinished: usize,
    },
    /// The settings were read again.
    Reloaded {
        /// Whether they could be used.
        accepted: bool,
        /// What was wrong with them.
        problem: String,
    },
    /// A configuration is in force.
    ConfigurationInForce {
        /// Its version.
        version: u64,
        /// Where it came from.
        source: &'a str,
        /// Routes in it.
        routes: usize,
        /// Tenants in it.
        tenants: usize,
    },
    /// Tenants list the same credentials in a configuration, or no longer do.
    CredentialsShared {
        /// Its version.
        version: u64,
        /// Credentials that several tenants list.
        count: usize,
        /// The tenant that requests with one of them count for; empty if there is none.
        tenant: &'a str,
        /// A tenant that they don't count for.
        other: &'a str,
    },
    /// Entries of a configuration can't be read: their requests are refused, all others are served.
    EntriesUnreadable {
        /// Its version.
        version: u64,
        /// How many there are.
        count: usize,
        /// The list that the first of them stands in: routes, services, tenants, limits.
        list: EntryList,
        /// Its name; empty if that can't be read either.
        entry: &'a str,
        /// The field that is wrong.
        field: &'a str,
        /// What is wrong with it.
        problem: &'a str,
    },
    /// Routes of a configuration are of a kind that isn't known: their requests run at most once.
    KindsUnknown {
        /// Its version.
        version: u64,
        /// How many there are.
        count: usize,
        /// The first of them.
        route: &'a str,
    },
    /// A configuration couldn't be read and is passed over.
    ConfigurationRefused {
        /// What is wrong with it.
        problem: String,
    },
    /// Another node that was asked for a later configuration gave none that could be put in force.
    ConfigurationNotFetched {
        /// The address that was asked.
        from: String,
        /// Version in force here.
        version: u64,
        /// Why.
        problem: String,
    },
    /// Other zones are evacuated than before.
    ZonesEvacuated {
        /// The zones, none if all are in service.
        zones: &'a BTreeSet<String>,
        /// Those among them in which no node is known.
        unknown: usize,
        /// Revision of the store that told it.
        revision: u64,
        /// Where it came from: store, watch, leader.
        source: &'a str,
    },
    /// A dependency was lost.
    Lost {
        /// Which: store, watch, target, relay.
        dependency: &'a str,
        /// How that showed.
        detail: String,
    },
    /// A dependency is back.
    Regained {
        /// Which.
        dependency: &'a str,
        /// What is known of it.
        detail: String,
    },
    /// The store has come back from a copy and lacks what it had acknowledged last.
    StoreCameBack {
        /// How often it has.
        era: u64,
    },
    /// A call to the store told nothing.
    StoreCallFailed {
        /// What was tried: look, read, cached read, watch, list, write.
        call: &'a str,
        /// What it was about.
        subject: &'a str,
        /// Why it failed.
        problem: String,
    },
    /// The process knows other nodes for the first time.
    TableKnown {
        /// Its epoch.
        epoch: u64,
        /// Its version.
        version: u64,
        /// Nodes in it.
        members: usize,
    },
    /// Another leader is followed.
    LeaderKnown {
        /// Its node.
        leader: &'a str,
        /// Its epoch.
        epoch: u64,
    },
    /// This node leads.
    LeadershipTaken {
        /// Its epoch.
        epoch: u64,
        /// Registered nodes that have yet to report.
        registered: usize,
    },
    /// This node leads no longer.
    LeadershipLost {
        /// Its epoch.
        epoch: u64,
        /// Why.
        detail: &'a str,
    },
    /// The target's life or state changed.
    TargetChanged {
        /// Its id.
        target: &'a str,
        /// How: new_life, leaves, changed.
        change: &'a str,
        /// Sequence of the heartbeat.
        sequence: u64,
    },
    /// The target names another limit on the requests that it takes from all nodes together.
    TargetLimit {
        /// Its id.
        target: &'a str,
        /// Requests a second; nothing if there is no limit any more.
        requests_per_s: Option<f64>,
    },
    /// The target ended while requests ran there.
    TargetEnded {
        /// Its id.
        target: &'a str,
        /// How that showed: refuses_connections, next_life.
        evidence: &'a str,
        /// The requests that were in flight.
        suspects: Vec<SuspectLine>,
    },
    /// Whether a request is refused, because targets ended under it, has changed.
    Quarantined {
        /// The request.
        fingerprint: String,
        /// refused or released.
        standing: &'a str,
        /// Ends of targets that it rests on.
        ends: u8,
        /// How much longer that holds, in milliseconds.
        left_ms: u64,
        /// Who knew: this node's target, another node, the leader, a good end, an operator.
        source: &'a str,
    },
    /// The node owns other shards of tenants' quotas than before.
    QuotaShards {
        /// New ones.
        gained: Vec<u16>,
        /// Those that it owns no longer.
        lost: Vec<u16>,
        /// How many it owns.
        owned: usize,
    },
    /// The owner of a shard of tenants' quotas began or ended to leave asks unanswered.
    QuotaOwner {
        /// The shard.
        shard: u16,
        /// Its owner; empty if none is known.
        owner: &'a str,
        /// silent or answers.
        state: &'a str,
    },
    /// A figure of the target couldn't be read and is passed over.
    TargetUnreadable {
        /// Which.
        what: &'a str,
        /// What is wrong with it.
        problem: String,
    },
    /// A grant or release at the target has ended.
    Keys {
        /// grant, release or clear.
        order: &'a str,
        /// First key.
        from: u16,
        /// Last key.
        to: u16,
        /// Fence.
        fence: u64,
        /// How it ended.
        outcome: &'a str,
        /// What is left of the lease, in milliseconds.
        lease_left_ms: u64,
    },
    /// An answer to a heartbeat told the target something new about its keys.
    KeysTold {
        /// Sequence of the heartbeat.
        sequence: u64,
        /// Ranges that the target reported.
        reported: usize,
        /// Ranges that it had let go.
        released: usize,
        /// Ranges that it is to hold.
        rows: usize,
        /// told, or no_lease.
        outcome: &'a str,
        /// How long the answer waited for something new, in milliseconds.
        held_back_ms: u64,
        /// What is left of the lease, in milliseconds.
        lease_left_ms: u64,
    },
    /// Requests that ran ahead on a client's connection were given up, or no more of them can begin there.
    PipelineCut {
        /// Why: client_left, answer_cut, answer_closed, broken_head, out_of_step.
        reason: &'a str,
        /// Requests that were given up.
        dropped: usize,
    },
    /// A request was decided on at this node.
    Request {
        /// The client's id of it.
        id: &'a str,
        /// Its route; empty if none.
        route: &'a str,
        /// The tenant that it counts for; empty if none is known.
        tenant: &'a str,
        /// Its service; empty if none.
        service: &'a str,
        /// Its key.
        #[serde(skip_serializing_if = "Option::is_none")]
        key: Option<u16>,
        /// Tells requests of the same content; empty if its body wasn't read.
        fingerprint: String,
        /// Version of the configuration that decided.
        configuration: u64,
        /// How long ago the version in force was last known to be the latest, in milliseconds; none if it never was.
        checked_ms_ago: Option<u64>,
        /// The node that was tried last.
        tried: &'a str,
        /// Sends that reached, or may have reached, a target.
        sends: u32,
        /// How it ended.
        outcome: &'a str,
        /// Time since it arrived, in milliseconds.
        took_ms: u64,
        /// Last thing that went wrong.
        detail: &'a str,
    },
    /// The agent refused a request or lost its answer.
    Refused {
        /// The client's id of it.
        id: &'a str,
        /// Tells requests of the same content.
        fingerprint: String,
        /// Why.
        reason: &'a str,
        /// Requests in slots.
        running: usize,
        /// Requests that wait.
        waiting: usize,
        /// How long a large answer would wait for the machine's link, in milliseconds.
        link_ms: u64,
        /// What is left of the lease, in milliseconds.
        lease_left_ms: u64,
        /// The leader's epoch.
        epoch: u64,
    },
    /// Requests of a service begin to leave the region, which is short of room.
    SpillOverBegun {
        /// The service.
        service: &'a str,
        /// The node that the last one goes to.
        tried: &'a str,
    },
    /// All requests of a service stay in the region again.
    SpillOverEnded {
        /// The service.
        service: &'a str,
        /// Requests that left the region.
        requests: u64,
        /// From the first of them to the last, in milliseconds.
        lasted_ms: u64,
    },
    /// Nodes of another region couldn't be reached: it is avoided for a while.
    RegionAvoided {
        /// The region.
        region: &'a str,
        /// The node that was tried last.
        tried: &'a str,
    },
    /// A region that was avoided answers again.
    RegionReached {
        /// The region.
        region: &'a str,
        /// The node that answered.
        tried: &'a str,
    },
    /// Lines of one kind that were left out to bound the volume.
    LinesLeftOut {
        /// How many.
        count: u64,
    },
}

/// A request that was in flight when its target ended.
#[derive(Debug, Clone, Serialize)]
pub struct SuspectLine {
    /// The client's id of it.
    pub id: String,
    /// Tells requests of the same content.
    pub fingerprint: String,
    /// How long it had run, in milliseconds.
    pub ran_ms: u64,
}

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    node: &'a str,
    #[serde(flatten)]
    event: Event<'a>,
}

/// Lines about requests that a second may bring.
const REQUEST_LINES_A_SECOND: u64 = 40;

/// Writes the lines of one node.
pub struct Log {
    node: String,
    clock: Clock,
    second: Cell<u64>,
    lines: Cell<u64>,
    left_out: Cell<u64>,
}

impl Log {
    /// A log of that node.
    pub fn new(node: &str, clock: Clock) -> Self {
        Self {
            node: node.to_owned(),
            clock,
            second: Cell::new(0),
            lines: Cell::new(0),
            left_out: Cell::new(0),
        }
    }

    /// Writes a line about what the process believes.
    pub fn write(&self, event: Event<'_>) {
        let line = Line {
            at_ms: whole_millis(self.clock.uptime()),
            node: &self.node,
            event,
        };
        if let Ok(text) = serde_json::to_string(&line) {
            spdlog::log!(Level::Info, "{}", text);
        }
    }

    /// Writes a line about a request, unless this second has had its share.
    pub fn write_request(&self, event: Event<'_>) {
        let second = self.clock.uptime().as_secs();
        if second != self.second.get() {
            self.second.set(second);
            self.lines.set(0);
            let left_out = self.left_out.replace(0);
            if left_out > 0 {
                self.write(Event::LinesLeftOut { count: left_out });
            }
        }
        if self.lines.get() >= REQUEST_LINES_A_SECOND {
            self.left_out.set(self.left_out.get() + 1);
            return;
        }
        self.lines.set(self.lines.get() + 1);
        self.write(event);
    }
}
