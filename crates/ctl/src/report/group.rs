//! The control group and roll-outs.

use std::net::SocketAddr;

use serde_json::{Value, json};
use wingspar_control::operator::{GroupReport, RolloutReport};
use wingspar_world::NodeId;

use super::table::Table;
use super::{Report, state_json, state_text};

impl Report {
    /// How far a configuration is in force.
    pub(crate) fn rollout(report: &RolloutReport) -> Self {
        let state = match (report.in_force, report.in_force_after_ms) {
            (true, Some(after)) => format!("in force everywhere after {after} ms"),
            (true, None) => "in force everywhere".to_owned(),
            (false, _) => "not yet in force everywhere".to_owned(),
        };
        let mut text = format!(
            "version {}: {state}; {} nodes have it\n",
            report.version.0, report.applied
        );
        for node in &report.behind {
            text.push_str(&format!("behind: {node}\n"));
        }
        let json = json!({
            "version": report.version.0,
            "in_force": report.in_force,
            "applied": report.applied,
            "behind": names(&report.behind),
            "in_force_after_ms": report.in_force_after_ms,
        });
        Self::new(text, json)
    }

    /// State of the group.
    pub(crate) fn group(report: &GroupReport) -> Self {
        let leader = report.leader.as_ref().map(NodeId::to_string);
        let leader_text = leader.clone().unwrap_or_else(|| "none".to_owned());
        let mut table = Table::new(&["NODE", "ROLE", "ADDRESS"]);
        for (node, role, address) in members(report) {
            table.row(vec![node, role.to_owned(), address]);
        }
        let text = format!(
            "group {}, generation {}, term {}, leader {leader_text}\n\
             state {}, stored {}\n\n{}",
            report.group,
            report.generation,
            report.term,
            state_text(report.version),
            state_text(report.stored),
            table.render()
        );
        let json = json!({
            "group": report.group.0,
            "generation": report.generation,
            "term": report.term,
            "leader": leader,
            "voters": names(&report.voters),
            "learners": names(&report.learners),
            "sessions": report.sessions.iter().map(session_json).collect::<Vec<_>>(),
            "state": state_json(report.version),
            "stored": state_json(report.stored),
        });
        Self::new(text, json)
    }
}

/// Every node once: voters, learners, then nodes that only have a session.
fn members(report: &GroupReport) -> Vec<(String, &'static str, String)> {
    let address = |node: &NodeId| {
        let found = report.sessions.iter().find(|(one, _)| one == node);
        found.map_or_else(|| "-".to_owned(), |(_, address)| address.to_string())
    };
    let row = |node: &NodeId, role| (node.to_string(), role, address(node));
    let voters = report.voters.iter().map(|node| row(node, "voter"));
    let learners = report.learners.iter().map(|node| row(node, "learner"));
    let sessions = report.sessions.iter().map(|(node, _)| node);
    let others = sessions
        .filter(|node| !report.voters.contains(node) && !report.learners.contains(node))
        .map(|node| row(node, "node"));
    voters.chain(learners).chain(others).collect()
}

fn session_json((node, address): &(NodeId, SocketAddr)) -> Value {
    json!({ "node": node.to_string(), "address": address })
}

fn names(nodes: &[NodeId]) -> Vec<String> {
    nodes.iter().map(NodeId::to_string).collect()
}
