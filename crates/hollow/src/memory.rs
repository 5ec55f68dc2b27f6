//! Resident memory of single parts: growth of this process while it makes a few copies.

use std::process::Command;
use std::sync::Arc;

use wingspar_agent::{Agent, AgentSettings, Input as AgentInput, Output as AgentOutput};
use wingspar_consensus::StateMachine;
use wingspar_control::{GroupState, Session, Slice, SliceOwner};
use wingspar_routing::{Input as RouterInput, Router, RouterSettings};
use wingspar_wire::{
    Envelope, GrantEntry, GrantList, GrantState, Message, RenewalReply, RenewalVerdict, SessionId,
    StateVersion, Takeover, decode, encode,
};
use wingspar_world::{
    Fence, Grant, GroupId, Incarnation, MonotonicTime, NodeId, SliceRange, TargetName,
};

use crate::configuration::{
    agent_machine, configuration, control_machine, service_name, target_name,
};
use crate::sizes::{envelope, snapshot, table_parts};

/// What `memory` without words measures.
const ALL: [(&str, usize); 12] = [
    ("base", 1),
    ("agent", 64),
    ("configuration", 1_600),
    ("configuration", 17_000),
    ("router", 400),
    ("router", 1_600),
    ("router", 17_000),
    ("state", 100),
    ("state", 400),
    ("state", 1_600),
    ("table-decode", 17_000),
    ("configuration-twice", 17_000),
];
/// Copies of large and of small things; the growth is divided by them.
const FEW_COPIES: usize = 4;
const MANY_COPIES: usize = 200;
/// Slices of an agent.
const SLICES: u32 = 64;
const LEASE_MS: u64 = 1_500;
const PAGE_BYTES: u64 = 4_096;

/// Resident memory of this process in bytes.
fn resident() -> Result<u64, String> {
    let text =
        std::fs::read_to_string("/proc/self/statm").map_err(|error| format!("statm: {error}"))?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|it| it.parse().ok());
    let pages: u64 = pages.ok_or("statm: no second number")?;
    Ok(pages * PAGE_BYTES)
}

/// Measures all parts, each in a process of its own.
pub(crate) fn report_all() -> Result<(), String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    for (part, count) in ALL {
        let count = count.to_string();
        let status = Command::new(&program)
            .args(["hollow", "memory", part, &count])
            .status()
            .map_err(|error| error.to_string())?;
        if !status.success() {
            return Err(format!("memory {part} {count} failed"));
        }
    }
    Ok(())
}

/// Measures one part in this process.
pub(crate) fn report_part(part: &str, count: usize) -> Result<(), String> {
    let (copies, growth) = match part {
        "base" => (1, resident()?),
        "agent" => (MANY_COPIES, grow(MANY_COPIES, |_| agent(count))?),
        "configuration" => (FEW_COPIES, grow(FEW_COPIES, |_| received(count))?),
        // What a node holds while a new configuration takes the place of the old one, with the
        // bytes it came in.
        "configuration-twice" => (
            1,
            grow(1, |_| (received(count), received(count), sent(count)))?,
        ),
        "router" => (FEW_COPIES, grow(FEW_COPIES, |_| router(count))?),
        "table-decode" => (1, grow(1, |_| router(count))?),
        "state" => (FEW_COPIES, grow(FEW_COPIES, |_| state(count))?),
        _ => return Err(format!("memory: no such part: {part}")),
    };
    let each = growth / copies as u64;
    println!("memory of {part} {count}: {each} bytes each, {copies} copies");
    Ok(())
}

/// Growth of the resident memory while copies are made and kept.
fn grow<T>(copies: usize, make: impl Fn(usize) -> T) -> Result<u64, String> {
    let before = resident()?;
    let kept: Vec<T> = (0..copies).map(make).collect();
    let after = resident()?;
    drop(kept);
    Ok(after.saturating_sub(before))
}

fn sent(nodes: usize) -> bytes::Bytes {
    let message = Message::Configuration(Box::new(configuration(nodes, SLICES)));
    encode(&envelope(message)).unwrap_or_default()
}

/// A configuration as it was decoded from a message.
fn received(nodes: usize) -> Option<Envelope> {
    decode(&sent(nodes)).ok()
}

fn router(nodes: usize) -> Router {
    let mut router = Router::new(RouterSettings::default(), 1);
    let mut outputs = Vec::new();
    let shared = Arc::new(configuration(1, SLICES));
    router.step(
        MonotonicTime::ZERO,
        RouterInput::Configuration(shared),
        &mut outputs,
    );
    for update in table_parts(nodes) {
        router.step(
            MonotonicTime::ZERO,
            RouterInput::Table(update),
            &mut outputs,
        );
    }
    router
}

fn state(nodes: usize) -> GroupState {
    let mut state = GroupState::new();
    if let Some(image) = snapshot(nodes, nodes) {
        state.restore(image);
    }
    state
}

/// A slice as a group keeps it.
pub(crate) fn owned_slice(
    range: SliceRange,
    target: TargetName,
    since: StateVersion,
    fence: Fence,
) -> Option<Slice> {
    let mut slice = Slice::new(range, since);
    slice.fence = fence;
    let session = SessionId(since);
    slice.owner = Some(SliceOwner { target, session });
    Some(slice)
}

/// A session as a group keeps it.
pub(crate) fn session(node: usize, version: StateVersion) -> Session {
    let machine = agent_machine(node);
    let sequence = version.sequence - node as u64;
    Session {
        id: SessionId(StateVersion {
            sequence,
            ..version
        }),
        node: NodeId::new(machine.name.clone(), Incarnation(u64::MAX / 5)),
        machine,
        leaving: false,
        grants_version: version,
    }
}

/// An agent with a session and so many grants.
fn agent(grants: usize) -> Agent {
    let machine = agent_machine(0);
    let node = NodeId::new(machine.name.clone(), Incarnation(7));
    let leader = control_machine(0).control_address;
    let now = MonotonicTime::from_millis(1_000);
    let settings = AgentSettings::default();
    let mut agent = Agent::new(settings, node.clone(), machine, vec![leader], now);
    let mut outputs = Vec::new();
    agent.step(now, AgentInput::Tick, &mut outputs);
    let sent_at = outputs.iter().find_map(|output| match output {
        AgentOutput::Send(outbound) => match &outbound.message {
            Message::Renewal(renewal) => Some(renewal.sent_at),
            _ => None,
        },
        _ => None,
    });
    let version = StateVersion {
        generation: 1,
        sequence: 9,
    };
    let session = SessionId(version);
    let verdict = RenewalVerdict::Renewed {
        session,
        lease_ms: LEASE_MS,
        config: Default::default(),
        grants: version,
        table: version,
    };
    let reply = RenewalReply {
        group: GroupId::default(),
        sent_at: sent_at.unwrap_or(now),
        verdict,
    };
    let list = grant_list(&node, session, version, grants);
    for message in [Message::RenewalReply(reply), Message::Grants(list)] {
        let input = AgentInput::Message {
            sender: node.clone(),
            reply_to: leader,
            message,
        };
        agent.step(now, input, &mut outputs);
    }
    agent
}

/// A list of grants of one target.
pub(crate) fn grant_list(
    node: &NodeId,
    session: SessionId,
    version: StateVersion,
    grants: usize,
) -> GrantList {
    let ranges = SliceRange::partition(u32::try_from(grants).expect("few grants"));
    let entries = ranges.into_iter().map(|range| GrantEntry {
        grant: Grant {
            service: service_name(),
            range,
            target: target_name(0),
            fence: Fence {
                generation: 1,
                sequence: 100_000,
            },
        },
        state: GrantState::Hold {
            takeover: Takeover::First,
        },
    });
    GrantList {
        group: GroupId::default(),
        node: node.clone(),
        session,
        version,
        entries: entries.collect(),
    }
}
