//! Encoded sizes and the processor time of large things, at the sizes asked for.

use std::time::Duration;

use wingspar_consensus::StateMachine;
use wingspar_control::{GroupSnapshot, GroupState, Slice};
use wingspar_routing::SliceTable;
use wingspar_wire::{Availability, Envelope, Message, SliceEntry, SliceStatus, StateVersion};
use wingspar_wire::{SessionId, TableUpdate, TargetEntry, decode, encode};
use wingspar_world::{Fence, GroupId, Incarnation, MonotonicTime, NodeId, SliceRange};

use crate::configuration::{agent_machine, configuration, service_name, target_name};
use crate::cpu::CpuMeter;

/// Slices that a target has.
const SLICES_PER_TARGET: u32 = 64;
/// Slices in one part of a full table, as the control group sends it.
const SLICES_PER_PART: usize = 10_000;
/// Numbers of nodes that things are sized for.
const NODES: [usize; 5] = [100, 400, 1_600, 5_000, 17_000];
const VERSION: StateVersion = StateVersion {
    generation: 1,
    sequence: 1_000_000,
};

/// Wraps a message as a node sends it.
pub(crate) fn envelope(message: Message) -> Envelope {
    let machine = agent_machine(0);
    let node = NodeId::new(machine.name, Incarnation(u64::MAX / 3));
    Envelope::new(node, machine.control_address, message)
}

/// The full table of so many nodes, in parts.
pub(crate) fn table_parts(nodes: usize) -> impl Iterator<Item = TableUpdate> {
    let count = u32::try_from(nodes).expect("few nodes") * SLICES_PER_TARGET;
    let ranges = SliceRange::partition(count);
    let parts = ranges.len().div_ceil(SLICES_PER_PART);
    (0..parts).map(move |part| {
        let first = part * SLICES_PER_PART;
        let last = (first + SLICES_PER_PART).min(ranges.len());
        let slices = (first..last).map(|position| SliceEntry {
            service: service_name(),
            range: ranges[position],
            fence: fence(position),
            status: SliceStatus::Served(target_name(position % nodes)),
        });
        let targets = (0..nodes).map(target_entry);
        TableUpdate {
            group: GroupId::default(),
            since: None,
            version: VERSION,
            slices: slices.collect(),
            targets: if part == 0 {
                targets.collect()
            } else {
                Vec::new()
            },
            more: part + 1 < parts,
        }
    })
}

fn fence(position: usize) -> Fence {
    Fence {
        generation: 1,
        sequence: 100_000 + position as u64,
    }
}

fn target_entry(node: usize) -> TargetEntry {
    TargetEntry {
        target: target_name(node),
        service: service_name(),
        agent: agent_machine(node).agent_address,
        availability: Availability::Serving,
    }
}

/// A group's state with its slices, and the configuration of all nodes of the deployment.
pub(crate) fn snapshot(group_nodes: usize, all_nodes: usize) -> Option<GroupSnapshot> {
    let count = u32::try_from(group_nodes).ok()? * SLICES_PER_TARGET;
    let ranges = SliceRange::partition(count);
    let slices = ranges.into_iter().enumerate().map(|(position, range)| {
        let target = target_name(position % group_nodes);
        crate::memory::owned_slice(range, target, VERSION, fence(position))
    });
    let slices: Option<Vec<Slice>> = slices.collect();
    let sessions = (0..group_nodes).map(|node| crate::memory::session(node, VERSION));
    Some(GroupSnapshot {
        version: VERSION,
        configuration: configuration(all_nodes, SLICES_PER_TARGET),
        sessions: sessions.collect(),
        services: vec![(service_name(), slices?)],
        churn: Vec::new(),
        members: Vec::new(),
        changes: Vec::new(),
    })
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Prints all sizes.
pub(crate) fn report() {
    let cpu = CpuMeter::calibrated();
    println!("processor time in ms; sizes in bytes; {SLICES_PER_TARGET} slices a node");
    report_grants();
    for nodes in NODES {
        report_table(cpu, nodes);
        report_configuration(cpu, nodes);
    }
    for (group, all) in [
        (100, 100),
        (400, 400),
        (100, 17_000),
        (400, 17_000),
        (1_600, 1_600),
    ] {
        report_snapshot(cpu, group, all);
    }
}

/// Renewals and grant lists, which every agent sends or gets.
fn report_grants() {
    let machine = agent_machine(0);
    let node = NodeId::new(machine.name, Incarnation(u64::MAX / 3));
    for grants in [1, 16, 64, 256] {
        let session = SessionId(VERSION);
        let list = crate::memory::grant_list(&node, session, VERSION, grants);
        let bytes = encode(&envelope(Message::Grants(list))).map_or(0, |it| it.len());
        println!("grant list of {grants} slices: {bytes} bytes");
    }
}

fn report_table(cpu: CpuMeter, nodes: usize) {
    let mut table = SliceTable::default();
    let (mut bytes, mut parts, mut too_large) = (0, 0, 0);
    let mut times = [Duration::ZERO; 3];
    for update in table_parts(nodes) {
        let envelope = envelope(Message::Table(update));
        let (encoded, used) = cpu.measure(|| encode(&envelope));
        times[0] += used;
        parts += 1;
        let Ok(encoded) = encoded else {
            too_large += 1;
            continue;
        };
        bytes += encoded.len();
        let (decoded, used) = cpu.measure(|| decode(&encoded));
        times[1] += used;
        if let Ok(Envelope {
            message: Message::Table(update),
            ..
        }) = decoded
        {
            let (_, used) = cpu.measure(|| table.apply(MonotonicTime::ZERO, &update));
            times[2] += used;
        }
    }
    println!(
        "table of {nodes} nodes: {bytes} bytes in {parts} parts ({too_large} too large), \
         encode {:.1} decode {:.1} apply {:.1}",
        milliseconds(times[0]),
        milliseconds(times[1]),
        milliseconds(times[2])
    );
}

fn report_configuration(cpu: CpuMeter, nodes: usize) {
    let message = Message::Configuration(Box::new(configuration(nodes, SLICES_PER_TARGET)));
    let envelope = envelope(message);
    let (encoded, encoding) = cpu.measure(|| encode(&envelope));
    let Ok(encoded) = encoded else {
        println!("configuration of {nodes} nodes: too large for a frame");
        return;
    };
    let (_, decoding) = cpu.measure(|| decode(&encoded));
    println!(
        "configuration of {nodes} nodes: {} bytes, encode {:.1} decode {:.1}",
        encoded.len(),
        milliseconds(encoding),
        milliseconds(decoding)
    );
}

fn report_snapshot(cpu: CpuMeter, group: usize, all: usize) {
    let Some(image) = snapshot(group, all) else {
        println!("snapshot: the state's form is another than this kit knows");
        return;
    };
    let mut state = GroupState::new();
    state.restore(image);
    let (copy, exporting) = cpu.measure(|| state.snapshot());
    let (value, valuing) = cpu.measure(|| serde_json::to_value(&copy));
    let Ok(value) = value else {
        println!("snapshot of {group} of {all} nodes: can't be written as JSON");
        return;
    };
    let (text, writing) = cpu.measure(|| serde_json::to_vec(&value));
    let bytes = text.map_or(0, |text| text.len());
    let (checked, checking) = cpu.measure(|| state.check_invariants().is_ok());
    let mut cbor = Vec::new();
    let (_, binary) = cpu.measure(|| ciborium::into_writer(&copy, &mut cbor));
    println!(
        "snapshot of {group} of {all} nodes: JSON {bytes} bytes, export {:.1} to value {:.1} \
         to text {:.1}; CBOR {} bytes {:.1}; invariants hold {checked} {:.1}",
        milliseconds(exporting),
        milliseconds(valuing),
        milliseconds(writing),
        cbor.len(),
        milliseconds(binary),
        milliseconds(checking)
    );
}
