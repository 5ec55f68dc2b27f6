//! What committed commands changed, as events and counts.

use std::collections::BTreeMap;

use wingspar_consensus::Replica;
use wingspar_wire::StateVersion;
use wingspar_world::{NodeId, ServiceName, SliceRange, TargetName};

use crate::command::{Assignment, Command, SessionEnd};
use crate::operator::AssignmentReason;
use crate::state::TakeoverKind;
use crate::{Control, ControlEvent, Output};

impl Control {
    /// Reports and counts what a command changed; only on the leader, so that each change is told
    /// once and not again by members that catch up.
    pub(crate) fn on_applied(&mut self, command: &Command, out: &mut Vec<Output>) {
        if self.leading.is_none() {
            return;
        }
        match command {
            Command::RegisterSession { node, .. } => self.report_session(node, out),
            Command::ExpireSessions(ends) => self.report_ends(ends, out),
            Command::Configure(_) | Command::ReplaceConfiguration { .. } => {
                self.counters.configuration_changes += 1;
                let version = self.configuration_version();
                out.push(Output::Event(ControlEvent::Configured { version }));
            }
            Command::Assign(list) => self.report_assignments(list, out),
            Command::CompleteHandOver {
                service,
                range,
                hand_over,
                ..
            } => self.report_hand_over(service, range, *hand_over, out),
            Command::CancelHandOver { .. } => self.counters.hand_overs_cancelled += 1,
            Command::BeginHandOver(orders) => {
                self.counters.hand_overs_begun += orders.len() as u64;
            }
            _ => {}
        }
    }

    fn report_session(&mut self, node: &NodeId, out: &mut Vec<Output>) {
        let state = self.replica.as_ref().map(Replica::state);
        let Some(session) = state.and_then(|state| state.session_of(node)) else {
            return;
        };
        let event = ControlEvent::SessionBegan {
            node: node.clone(),
            session: session.id,
        };
        out.push(Output::Event(event));
    }

    fn report_ends(&mut self, ends: &[SessionEnd], out: &mut Vec<Output>) {
        for end in ends {
            if end.lost {
                self.counters.sessions_lost += 1;
            } else {
                self.counters.sessions_finished += 1;
            }
            let (session, lost) = (end.session, end.lost);
            out.push(Output::Event(ControlEvent::SessionEnded { session, lost }));
        }
    }

    fn report_hand_over(
        &mut self,
        service: &ServiceName,
        range: &SliceRange,
        hand_over: StateVersion,
        out: &mut Vec<Output>,
    ) {
        let state = self.replica.as_ref().map(Replica::state);
        let slices = state.and_then(|state| state.slices(service));
        let Some(slice) = slices.and_then(|slices| slices.get(range)) else {
            return;
        };
        // Nothing came of a completion that answers a hand-over called off meanwhile.
        if slice.since <= hand_over || slice.hand_over.is_some() {
            return;
        }
        let event = ControlEvent::HandedOver {
            service: service.clone(),
            range: *range,
            to: slice.owner.as_ref().map(|owner| owner.target.clone()),
            planned: slice.takeover == TakeoverKind::Planned,
        };
        self.counters.hand_overs_completed += 1;
        out.push(Output::Event(event));
    }

    fn report_assignments(&mut self, list: &[Assignment], out: &mut Vec<Output>) {
        let mut counts: BTreeMap<(&ServiceName, &TargetName), (usize, AssignmentReason)> =
            BTreeMap::new();
        for one in list {
            let key = (&one.service, &one.owner.target);
            counts.entry(key).or_insert((0, one.reason)).0 += 1;
        }
        self.counters.slices_assigned += list.len() as u64;
        for ((service, target), (slices, reason)) in counts {
            let (service, target) = (service.clone(), target.clone());
            out.push(Output::Event(ControlEvent::Assigned {
                service,
                target,
                slices,
                reason,
            }));
        }
    }
}
