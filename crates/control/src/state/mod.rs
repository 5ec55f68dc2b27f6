//! The group's replicated state: configuration, sessions, slices and their owners.

mod apply;
mod apply_configuration;
mod apply_hand_over;
mod apply_sessions;
mod history;
mod invariants;
mod slice;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wingspar_consensus::{LogPosition, StateMachine};
use wingspar_placement::ChurnRecord;
use wingspar_wire::{SessionId, StateVersion};
use wingspar_world::{Configuration, Machine, MachineName, NodeId, ServiceName};

pub use history::{ChangeMemory, ChangeResult, MemberMemory, TableHistory, Touched};
pub use invariants::StateViolation;
pub use slice::{HandOver, Slice, SliceMap, TakeoverKind};

use crate::command::Command;
use crate::operator::AssignmentReason;

/// One session of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// The session.
    pub id: SessionId,
    /// The process.
    pub node: NodeId,
    /// Where it stands.
    pub machine: Machine,
    /// The process is stopping.
    pub leaving: bool,
    /// Version of its grant list.
    pub grants_version: StateVersion,
}

/// The replicated state.
#[derive(Debug, Clone, Default)]
pub struct GroupState {
    /// Version of the last command that changed something.
    version: StateVersion,
    configuration: Arc<Configuration>,
    sessions: BTreeMap<SessionId, Session>,
    by_node: BTreeMap<NodeId, SessionId>,
    by_machine: BTreeMap<MachineName, BTreeSet<SessionId>>,
    services: BTreeMap<ServiceName, SliceMap>,
    /// Spending of elective moves by service, as of the command that recorded it.
    churn: BTreeMap<ServiceName, ChurnRecord>,
    members: MemberMemory,
    changes: ChangeMemory,
    history: TableHistory,
}

/// The replicated state in a form to send and to store; it can be written as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupSnapshot {
    /// Version of the last command that changed something.
    pub version: StateVersion,
    /// The configuration.
    pub configuration: Configuration,
    /// All sessions.
    pub sessions: Vec<Session>,
    /// Slices of each service.
    pub services: Vec<(ServiceName, Vec<Slice>)>,
    /// Spending of elective moves by service.
    #[serde(default)]
    pub churn: Vec<(ServiceName, ChurnRecord)>,
    /// Processes that were added to the group, oldest first.
    #[serde(default)]
    pub members: Vec<NodeId>,
    /// Remembered changes, oldest first.
    pub changes: Vec<(String, ChangeResult)>,
}

impl StateMachine for GroupState {
    type Command = Command;
    type Snapshot = GroupSnapshot;

    fn apply(&mut self, position: LogPosition, command: &Command) {
        let next = StateVersion {
            generation: position.generation,
            sequence: self.version.sequence + 1,
        };
        assert!(next > self.version, "versions of the state must rise");
        if self.apply_command(next, command) {
            self.version = next;
        }
    }

    fn snapshot(&self) -> GroupSnapshot {
        let slices = |map: &SliceMap| map.iter().cloned().collect();
        let services = self.services.iter();
        GroupSnapshot {
            version: self.version,
            configuration: Configuration::clone(&self.configuration),
            sessions: self.sessions.values().cloned().collect(),
            services: services
                .map(|(name, map)| (name.clone(), slices(map)))
                .collect(),
            churn: self.churn.clone().into_iter().collect(),
            members: self.members.to_list(),
            changes: self.changes.to_list(),
        }
    }

    fn restore(&mut self, snapshot: GroupSnapshot) {
        let services = snapshot.services.into_iter();
        let services = services.map(|(name, slices)| (name, slices.into_iter().collect()));
        *self = Self {
            version: snapshot.version,
            configuration: Arc::new(snapshot.configuration),
            services: services.collect(),
            churn: snapshot.churn.into_iter().collect(),
            members: snapshot.members.into_iter().collect(),
            changes: snapshot.changes.into_iter().collect(),
            history: TableHistory::new(snapshot.version),
            ..Self::default()
        };
        for session in snapshot.sessions {
            self.insert_session(session);
        }
    }

    fn command_bytes(command: &Command) -> usize {
        match command {
            Command::ReplaceConfiguration { configuration, .. } => {
                let objects = configuration.services.len()
                    + configuration.targets.len()
                    + configuration.policies.len();
                256 * (objects + 1)
            }
            Command::Configure(changes) => 512 * changes.len(),
            Command::Assign(list) => 160 * list.len(),
            Command::BeginHandOver(list) => 256 * list.len(),
            Command::ExpireSessions(list) => 32 * list.len(),
            _ => 256,
        }
    }
}

impl GroupSnapshot {
    /// The state that a new generation begins from: no session goes on, so no slice has an owner;
    /// the targets that had them are the best next owners, for they remember requests.
    pub fn for_generation(mut self, generation: u32) -> Self {
        self.version.generation = generation;
        self.version.sequence += 1;
        let at = self.version;
        self.sessions.clear();
        let slices = self.services.iter_mut().flat_map(|(_, slices)| slices);
        for slice in slices.filter(|slice| slice.owner.is_some()) {
            let owner = slice.owner.take();
            slice.orphan(at, AssignmentReason::OwnerLost);
            slice.preferred = owner.map(|owner| owner.target);
        }
        self
    }
}

impl GroupState {
    /// An empty state.
    pub fn new() -> Self {
        Self::default()
    }

    pub(crate) fn insert_session(&mut self, session: Session) {
        let machine = session.machine.name.clone();
        self.by_node.insert(session.node.clone(), session.id);
        self.by_machine
            .entry(machine)
            .or_default()
            .insert(session.id);
        self.sessions.insert(session.id, session);
    }
}
