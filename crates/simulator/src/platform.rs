//! The platform's object API: the pure store model with outages, slowness and lost answers.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use wingspar_store::model::{ModelSettings, ObjectStore};
use wingspar_store::object::{Machine, MachineState};
use wingspar_store::operation::{Operation, Reply};
use wingspar_world::MonotonicTime;

/// How the store fares.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct StoreConditions {
    /// No request has an effect or gets an answer.
    pub down: bool,
    /// Time added before a request takes effect.
    pub slowness: Duration,
    /// Share of requests whose answer is lost after they took effect.
    pub lost_answers: f64,
}

/// What became of one request.
#[derive(Debug, Clone, PartialEq)]
pub enum Exchange {
    /// The store answers.
    Answered(Reply),
    /// The store took no notice and the client can tell.
    Refused,
    /// The client hears nothing, whether or not there was an effect.
    Silent,
}

/// The store, its machine list, and its faults.
#[derive(Debug, Clone)]
pub struct Platform {
    store: ObjectStore,
    conditions: StoreConditions,
}

impl Platform {
    /// An empty, healthy store whose list of machines lags.
    pub fn new(machine_list_lag: Duration) -> Self {
        let settings = ModelSettings {
            machine_list_lag,
            ..ModelSettings::default()
        };
        Self {
            store: ObjectStore::new(settings),
            conditions: StoreConditions::default(),
        }
    }

    /// The store's contents, for checkers and for tests that tamper with them.
    pub fn store(&self) -> &ObjectStore {
        &self.store
    }

    /// Replaces the store's contents. Only tests roll a store back.
    pub fn replace_store(&mut self, store: ObjectStore) {
        self.store = store;
    }

    /// Sets how the store fares from now on.
    pub fn set_conditions(&mut self, conditions: StoreConditions) {
        self.conditions = conditions;
    }

    /// Time that a request waits before it takes effect.
    pub fn slowness(&self) -> Duration {
        self.conditions.slowness
    }

    /// Adds a live machine to the list.
    pub fn add_machine(&mut self, now: MonotonicTime, name: &str, zone: &str, address: &str) {
        let machine = Machine {
            name: name.to_owned(),
            zone: zone.to_owned(),
            address: address.to_owned(),
            state: MachineState::Live,
        };
        self.store.set_machine(elapsed(now), machine);
    }

    /// Marks a machine as leaving or destroyed; the list shows it later.
    pub fn set_machine_state(&mut self, now: MonotonicTime, name: &str, state: MachineState) {
        self.store.set_machine_state(elapsed(now), name, state);
    }

    /// Carries out a request that has arrived.
    pub fn carry_out(
        &mut self,
        random: &mut ChaCha12Rng,
        now: MonotonicTime,
        operation: Operation,
    ) -> Exchange {
        if self.conditions.down {
            let noticed = random.random_bool(0.5);
            return if noticed {
                Exchange::Refused
            } else {
                Exchange::Silent
            };
        }
        let reply = self.store.apply(elapsed(now), operation);
        if random.random_bool(self.conditions.lost_answers) {
            return Exchange::Silent;
        }
        Exchange::Answered(reply)
    }
}

fn elapsed(now: MonotonicTime) -> Duration {
    now.since(MonotonicTime::ZERO)
}
