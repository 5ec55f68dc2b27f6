//! Following newer configurations and grant lists.

use std::sync::Arc;

use wingspar_wire::{GrantList, GrantState, StateVersion};
use wingspar_world::{Configuration, MonotonicTime};

use crate::target::TargetState;
use crate::{Agent, AgentEvent, Output};

impl Agent {
    /// Takes in a newer configuration; an older one never replaces what is in force.
    pub(crate) fn on_configuration(&mut self, now: MonotonicTime, configuration: Configuration) {
        if configuration.version <= self.configuration.version {
            self.counters.messages_ignored += 1;
            return;
        }
        let version = configuration.version;
        self.configuration = Arc::new(configuration);
        self.follow_targets(now);
        let event = AgentEvent::ConfigurationApplied { version };
        self.pending.push(Output::Event(event));
        self.wake_refused(now);
        // The leader may hold the lease back until it hears that this version is in force.
        self.session.hurry(now);
    }

    fn follow_targets(&mut self, now: MonotonicTime) {
        let machine = &self.machine.name;
        let targets = self.configuration.targets.values();
        self.local = targets
            .map(|(_, target)| target)
            .filter(|target| target.machine == *machine)
            .map(|target| (target.name.clone(), target.clone()))
            .collect();
        for target in self.local.values() {
            let state = self.targets.entry(target.name.clone());
            // Each running request takes a connection of its own.
            let slots = target.slots.min(target.connections);
            let state = state.or_insert_with(|| TargetState::new(slots));
            state.set_slots(slots);
            state.draining_since = target.draining.then(|| state.draining_since.unwrap_or(now));
        }
        let local = &self.local;
        self.targets
            .retain(|name, state| local.contains_key(name) || !state.is_idle());
        self.loads.retain(|name, _| local.contains_key(name));
    }

    pub(crate) fn on_grants(&mut self, now: MonotonicTime, list: &GrantList) {
        let session = self.session.running(now).map(|held| held.id);
        let meant = list.group == self.settings.group && list.node == self.node;
        let taken = session.filter(|_| meant);
        if !taken.is_some_and(|session| self.grants.apply(session, list)) {
            self.counters.messages_ignored += 1;
            return;
        }
        self.raise_guards(now);
        self.follow_hand_overs();
        self.report_grants(list.version);
        self.wake_refused(now);
        self.session.hurry(now);
    }

    fn report_grants(&mut self, version: StateVersion) {
        let owned = self.grants.owned().count();
        let releasing = self
            .grants
            .owned()
            .filter(|entry| matches!(entry.state, GrantState::Release { .. }));
        let releasing = releasing.count();
        self.pending.push(Output::Event(AgentEvent::GrantsChanged {
            version,
            held: owned - releasing,
            releasing,
            incoming: self.grants.incoming().count(),
        }));
    }
}
