//! Nodes that register themselves, and remove their registrations when they are stopped as planned.

use wingspar_ownership::{RegisterStep, RemoveStep};

use super::*;

/// Time from the signal to stop until a process removes its registration, in milliseconds.
const REMOVED_AFTER_MS: u64 = 2_500;
/// Time from the signal to stop until a process ends in any case, in milliseconds.
const GRACE_MS: u64 = 5_550;
/// Interval at which a stopping process checks whether its target still holds keys, in milliseconds.
const EXIT_CHECK_INTERVAL_MS: u64 = 25;
/// Time from the end of a stopped process to the start of the next one, in milliseconds.
const RESTART_MS: u64 = 300;

/// What a call about a registration serves.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    Register,
    Remove,
}

impl World {
    pub(super) fn own_registration(&self, index: usize) -> Registration {
        let machine = &self.machines[index];
        Registration {
            address: machine.address,
            service: Some(self.service_of(index).to_owned()),
            life: Some(Incarnation(machine.life)),
            era: Some(machine.known_era),
        }
    }

    /// Registers a node if it is to register itself.
    pub(super) fn register(&mut self, index: usize) {
        let machine = &self.machines[index];
        if machine.registers_itself && !machine.leaving {
            let call = StoreCall::Registration(
                Purpose::Register,
                RegistrationCall::Create,
                self.own_registration(index),
            );
            self.store_call(index, call);
        }
    }

    pub(super) fn registers_itself_from_now(&mut self, index: usize) {
        self.machines[index].registers_itself = true;
        self.register(index);
    }

    /// Registers a node again if the registration that a leader found missing is its latest.
    pub(super) fn registration_missing(&mut self, index: usize, revision: u64) {
        let machine = &mut self.machines[index];
        if machine
            .registered_at
            .is_some_and(|at| at.revision == revision)
        {
            machine.registered_at = None;
            self.register(index);
        }
    }

    pub(super) fn registered_nodes(&self) -> RegisteredNodes {
        let mut listed = RegisteredNodes {
            self_registered_revision: self.revision,
            pages: self.pages.values().cloned().collect(),
            ..RegisteredNodes::default()
        };
        for (name, (_, registration)) in &self.registered {
            listed.add_self_registered(name, registration.clone());
        }
        listed
    }

    /// Returns what the store's answer to a call shows.
    pub(super) fn execute_registration(
        &mut self,
        index: usize,
        call: RegistrationCall,
        content: &Registration,
    ) -> StoredRegistration {
        let name = content.object_name(&self.machines[index].name);
        let known = self.registered.get(&name).map(|(revision, _)| *revision);
        let has_condition = !self.options.removals_ignore_revisions;
        let written = match call {
            RegistrationCall::Create if known.is_none() => Some(content.clone()),
            RegistrationCall::Replace { revision } if known == Some(revision) => {
                Some(content.clone())
            }
            RegistrationCall::Remove { revision }
                if known == Some(revision) || (known.is_some() && !has_condition) =>
            {
                None
            }
            _ => return self.shown_registration(&name),
        };
        self.keep_copy();
        self.revision += 1;
        let revision = self.revision;
        self.trace(|| format!("node {index}: {call:?} takes effect at revision {revision}"));
        match written {
            Some(content) => self.registered.insert(name.clone(), (revision, content)),
            None => self.registered.remove(&name),
        };
        self.shown_registration(&name)
    }

    fn shown_registration(&self, name: &str) -> StoredRegistration {
        match self.registered.get(name) {
            Some((revision, content)) => StoredRegistration::Present {
                revision: *revision,
                content: Some(content.clone()),
            },
            None => StoredRegistration::Absent,
        }
    }

    /// Handles the answer to a call of the current process; `stored` is `None` if there was none.
    pub(super) fn registration_answered(
        &mut self,
        index: usize,
        purpose: Purpose,
        call: RegistrationCall,
        content: &Registration,
        stored: Option<StoredRegistration>,
    ) {
        if content.era != Some(self.machines[index].known_era) {
            // The node registers anew for the later era.
            return;
        }
        let Some(stored) = stored else {
            match purpose {
                Purpose::Register => self.register(index),
                Purpose::Remove => self.call_registration(index, purpose, call, content),
            }
            return;
        };
        match purpose {
            Purpose::Register => match content.register_step(&stored) {
                RegisterStep::Call(next) => self.call_registration(index, purpose, next, content),
                RegisterStep::Registered { revision } => {
                    let era = self.machines[index].known_era;
                    self.machines[index].registered_at = Some(StorePosition { era, revision });
                }
            },
            Purpose::Remove => match content.remove_step(&stored) {
                RemoveStep::Call(next) => self.call_registration(index, purpose, next, content),
                RemoveStep::Removed => self.restart(index),
            },
        }
    }

    fn call_registration(
        &mut self,
        index: usize,
        purpose: Purpose,
        call: RegistrationCall,
        content: &Registration,
    ) {
        let call = StoreCall::Registration(purpose, call, content.clone());
        self.store_call(index, call);
    }

    /// Stops a process as planned, and starts the next one.
    pub(super) fn stop(&mut self, index: usize) {
        self.machines[index].leaving = true;
        let since = self.clock(index);
        let life = self.machines[index].life;
        if !self.machines[index].registers_itself {
            self.schedule(3_000, move |world| world.restart(index));
            return;
        }
        self.schedule(REMOVED_AFTER_MS, move |world| {
            world.remove_registration(index, life, since);
        });
        self.schedule(GRACE_MS, move |world| {
            if world.machines[index].life == life {
                world.restart(index);
            }
        });
    }

    /// Removes the registration of a process that has been stopping since `since`, once it can't
    /// hold anything any more.
    fn remove_registration(&mut self, index: usize, life: u64, since: Time) {
        let now = self.clock(index);
        let machine = &mut self.machines[index];
        let Some(participant) = &mut machine.participant else {
            return;
        };
        if machine.life != life {
            return;
        }
        let is_frozen = self.now < machine.frozen_until;
        if is_frozen || !participant.may_unregister(now, since) {
            self.schedule(EXIT_CHECK_INTERVAL_MS, move |world| {
                world.remove_registration(index, life, since);
            });
            return;
        }
        let call = match machine.registered_at {
            Some(StorePosition { era, revision }) if era == machine.known_era => {
                RegistrationCall::Remove { revision }
            }
            _ => RegistrationCall::Read,
        };
        machine.removes_registration = true;
        let content = self.own_registration(index);
        self.call_registration(index, Purpose::Remove, call, &content);
    }

    fn restart(&mut self, index: usize) {
        self.kill(index);
        self.schedule(RESTART_MS, move |world| world.start(index, false));
    }
}
