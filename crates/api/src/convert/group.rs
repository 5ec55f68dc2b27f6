//! State of the control group and of roll-outs.

use std::net::SocketAddr;

use wingspar_control::operator::{GroupReport, RolloutReport};
use wingspar_world::{ConfigVersion, GroupId, Incarnation, NodeId};

use super::{Mistakes, state_version_from_proto, state_version_to_proto};
use crate::v1;

/// Writes a node's id.
pub fn node_to_proto(node: &NodeId) -> v1::Node {
    v1::Node {
        machine: node.machine.to_string(),
        incarnation: node.incarnation.0,
    }
}

/// Reads a node's id.
pub fn node_from_proto(mistakes: &mut Mistakes, node: &v1::Node) -> Option<NodeId> {
    let machine = mistakes.name("node.machine", &node.machine)?;
    Some(NodeId::new(machine, Incarnation(node.incarnation)))
}

pub(super) fn nodes_from_proto(mistakes: &mut Mistakes, nodes: &[v1::Node]) -> Vec<NodeId> {
    let read = nodes.iter();
    read.filter_map(|node| node_from_proto(mistakes, node))
        .collect()
}

fn nodes_to_proto(nodes: &[NodeId]) -> Vec<v1::Node> {
    nodes.iter().map(node_to_proto).collect()
}

/// Writes the state of a roll-out.
pub fn rollout_to_proto(report: &RolloutReport) -> v1::RolloutReply {
    v1::RolloutReply {
        version: report.version.0,
        in_force: report.in_force,
        applied: report.applied,
        behind: nodes_to_proto(&report.behind),
        in_force_after_ms: report.in_force_after_ms,
    }
}

/// Reads the state of a roll-out.
pub fn rollout_from_proto(message: v1::RolloutReply) -> Result<RolloutReport, Vec<String>> {
    let mut mistakes = Mistakes::default();
    let report = RolloutReport {
        version: ConfigVersion(message.version),
        in_force: message.in_force,
        applied: message.applied,
        behind: nodes_from_proto(&mut mistakes, &message.behind),
        in_force_after_ms: message.in_force_after_ms,
    };
    mistakes.finish(Some(report))
}

/// Writes the state of a group.
pub fn group_to_proto(report: &GroupReport) -> v1::GroupStatus {
    let sessions = report.sessions.iter();
    v1::GroupStatus {
        group: report.group.0,
        generation: report.generation,
        term: report.term,
        leader: report.leader.as_ref().map(node_to_proto),
        voters: nodes_to_proto(&report.voters),
        learners: nodes_to_proto(&report.learners),
        sessions: sessions
            .map(|(node, address)| v1::Session {
                node: Some(node_to_proto(node)),
                address: address.to_string(),
            })
            .collect(),
        version: Some(state_version_to_proto(report.version)),
        stored: Some(state_version_to_proto(report.stored)),
    }
}

/// Reads the state of a group.
pub fn group_from_proto(message: v1::GroupStatus) -> Result<GroupReport, Vec<String>> {
    let mut mistakes = Mistakes::default();
    let leader = message.leader.as_ref();
    let sessions = message.sessions.iter();
    let report = GroupReport {
        group: GroupId(message.group),
        generation: message.generation,
        term: message.term,
        leader: leader.and_then(|leader| node_from_proto(&mut mistakes, leader)),
        voters: nodes_from_proto(&mut mistakes, &message.voters),
        learners: nodes_from_proto(&mut mistakes, &message.learners),
        sessions: sessions
            .filter_map(|session| read_session(&mut mistakes, session))
            .collect(),
        version: state_version_from_proto(message.version),
        stored: state_version_from_proto(message.stored),
    };
    mistakes.finish(Some(report))
}

fn read_session(mistakes: &mut Mistakes, session: &v1::Session) -> Option<(NodeId, SocketAddr)> {
    let node = mistakes.required("session.node", session.node.as_ref())?;
    let node = node_from_proto(mistakes, node)?;
    let address = mistakes.parsed("session.address", &session.address, "IP:PORT")?;
    Some((node, address))
}
