//! Faults as they strike and end.

use std::time::Duration;

use wingspar_store::object::MachineState;

use super::Simulation;
use super::event::Event;
use crate::checker::LossKind;
use crate::fault::{CutShape, Fault, Whom};
use crate::network::{Conditions, Cut, MachineIndex};
use crate::platform::StoreConditions;
use crate::process::Arrival;

/// Pause before a machine whose process stopped in order starts the next one, at least.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

impl Simulation {
    pub(super) fn fault_begins(&mut self, number: usize) {
        let scheduled = self.scenario.faults[number];
        let (loss, bound) = (self.scenario.loss, self.scenario.loss_bound);
        let struck = self.strike(number, scheduled.fault);
        self.note(|| format!("FAULT {number} {:?} strikes {struck:?}", scheduled.fault));
        self.struck.insert(number, struck);
        let is_planned = matches!(scheduled.fault, Fault::Leave(_));
        let cause = if is_planned { LossKind::HandOver } else { loss };
        self.checker.availability.set_cause(cause, bound);
    }

    fn strike(&mut self, number: usize, fault: Fault) -> Vec<MachineIndex> {
        match fault {
            Fault::Kill(whom) => self.strike_all(self.spared(whom), Self::end_process),
            Fault::Destroy(whom) => self.strike_all(self.spared(whom), Self::destroy),
            Fault::DestroyLeaderAndOwner => {
                let struck = [Whom::Leader, Whom::OwnerBesidesVoters];
                let struck = struck.into_iter().filter_map(|whom| self.find(whom));
                self.strike_all(struck.collect(), Self::destroy)
            }
            Fault::DestroyZone(whom) => self.strike_all(self.zone_of(whom), Self::destroy),
            Fault::KillMajority => {
                let voters = self.voters();
                let majority = voters.len() / 2 + 1;
                let struck = voters.into_iter().take(majority).collect();
                self.strike_all(struck, Self::end_process)
            }
            Fault::Pause(whom) => {
                let pause = |simulation: &mut Self, index: MachineIndex| {
                    let machine = &mut simulation.machines[index];
                    machine.is_paused = machine.process.is_some();
                };
                self.strike_all(self.find(whom).into_iter().collect(), pause)
            }
            Fault::FreezeBackEnds(whom) => self.freeze_back_ends(number, whom),
            Fault::Leave(whom) => self.strike_all(self.spared(whom), Self::ask_to_leave),
            Fault::Cut(whom, shape) => self.cut(number, whom, shape),
            Fault::Slow(whom, added) => {
                let struck: Vec<_> = self.find(whom).into_iter().collect();
                for index in &struck {
                    let zone = self.machines[*index].machine.zone.clone();
                    self.network.slow(name(number), zone, added);
                }
                struck
            }
            Fault::BadNetwork(conditions) => {
                self.network.set_conditions(conditions);
                Vec::new()
            }
            Fault::StoreDown | Fault::StoreSlow(_) | Fault::StoreLosesAnswers(_) => {
                self.platform.set_conditions(store_conditions(fault));
                Vec::new()
            }
        }
    }

    pub(super) fn fault_ends(&mut self, number: usize) {
        let struck = self.struck.remove(&number).unwrap_or_default();
        let fault = self.scenario.faults[number].fault;
        self.last_mended = self.now();
        match fault {
            Fault::Kill(_) | Fault::KillMajority => {
                for index in struck {
                    self.start_process(index);
                }
            }
            Fault::Pause(_) => {
                for index in struck {
                    self.note(|| format!("machine {index} goes on"));
                    self.resume(index);
                }
            }
            Fault::Cut(..) | Fault::Slow(..) => {
                self.network.mend(name(number));
                self.note(|| format!("FAULT {number} is mended"));
            }
            Fault::BadNetwork(_) => self.network.set_conditions(Conditions::default()),
            Fault::StoreDown | Fault::StoreSlow(_) | Fault::StoreLosesAnswers(_) => {
                self.platform.set_conditions(StoreConditions::default());
                self.note(|| "the store is well again".to_owned());
            }
            _ => {}
        }
    }

    fn strike_all(
        &mut self,
        machines: Vec<MachineIndex>,
        strike: impl Fn(&mut Self, MachineIndex),
    ) -> Vec<MachineIndex> {
        for index in &machines {
            strike(self, *index);
        }
        machines
    }

    /// The machine of a fault, unless striking it could take the last majority: with three voters
    /// one may be lost, and another only after the group has replaced it.
    fn spared(&self, whom: Whom) -> Vec<MachineIndex> {
        let Some(index) = self.find(whom) else {
            return Vec::new();
        };
        let is_ordinary = !self.machines[index].parts.control;
        let voters = self.voters();
        let healthy = |one: &&MachineIndex| self.machines[**one].is_running();
        let is_spare = !voters.is_empty() && !voters.contains(&index);
        let enough = voters.iter().filter(healthy).count() >= 3;
        let strikes = is_ordinary || is_spare && self.candidates_left() > 3 || enough;
        strikes.then_some(index).into_iter().collect()
    }

    fn candidates_left(&self) -> usize {
        let is_left =
            |one: &&crate::machine::SimulatedMachine| one.parts.control && one.process.is_some();
        self.machines.iter().filter(is_left).count()
    }

    fn find(&self, whom: Whom) -> Option<MachineIndex> {
        match whom {
            Whom::Leader => self.leader(),
            Whom::OwnerOf(key) => self.owner(self.keys[key]),
            Whom::OwnerBesidesVoters => {
                let voters = self.voters();
                let mut owners = self.keys.iter().filter_map(|key| self.owner(*key));
                owners.find(|owner| !voters.contains(owner))
            }
            Whom::Number(number) => Some(number),
            Whom::Router => self.machines.iter().position(|one| one.takes_requests()),
        }
    }

    fn zone_of(&self, whom: Whom) -> Vec<MachineIndex> {
        let Some(index) = self.find(whom) else {
            return Vec::new();
        };
        let zone = &self.machines[index].machine.zone;
        let is_there = |other: &MachineIndex| &self.machines[*other].machine.zone == zone;
        (0..self.machines.len()).filter(is_there).collect()
    }

    fn destroy(&mut self, index: MachineIndex) {
        let now = self.now();
        self.end_process(index);
        self.machines[index].is_destroyed = true;
        let name = self.machines[index].machine.name.clone();
        let state = MachineState::Destroyed;
        self.platform.set_machine_state(now, name.as_str(), state);
    }

    fn freeze_back_ends(&mut self, number: usize, whom: Whom) -> Vec<MachineIndex> {
        let until = self.scenario.faults[number].ends();
        let Some(index) = self.find(whom) else {
            return Vec::new();
        };
        for target in self.machines[index].targets.clone() {
            if let Some(back_end) = self.back_ends.get_mut(&target) {
                back_end.freeze(until);
            }
        }
        vec![index]
    }

    fn ask_to_leave(&mut self, index: MachineIndex) {
        if self.machines[index].process.is_none() || self.machines[index].is_leaving {
            return;
        }
        self.machines[index].is_leaving = true;
        self.arrive(index, None, Arrival::Leave);
        if !self.interference.waits_to_stop() {
            self.planned_stop(index);
        }
    }

    /// A process that was asked to stop says that it may end.
    pub(super) fn planned_stop(&mut self, index: MachineIndex) {
        let Some(process) = &self.machines[index].process else {
            return;
        };
        let node = process.node().clone();
        // Work whose outcome was already told as unknown may still run at a back end: it is not
        // cut off by the stop, since the back end goes on.
        let outcome = self
            .checker
            .leaving
            .planned_stop(&node, process.in_flight());
        self.check(outcome);
        self.end_process(index);
        self.push_after(RESTART_PAUSE, Event::StartProcess(index));
    }

    fn cut(&mut self, number: usize, whom: Whom, shape: CutShape) -> Vec<MachineIndex> {
        let Some(index) = self.find(whom) else {
            return Vec::new();
        };
        let machine = &self.machines[index].machine;
        let cut = match shape {
            CutShape::OutOf => Cut::OutOf(index),
            CutShape::Into => Cut::Into(index),
            CutShape::Whole => Cut::Machine(index),
            CutShape::From(other) => Cut::Between(index, other),
            CutShape::OneWayTo(other) => Cut::OneWay(index, other),
            CutShape::Zone => Cut::Zone(machine.zone.clone()),
            CutShape::Region => Cut::Region(machine.region.clone()),
            CutShape::Platform => Cut::FromPlatform(index),
        };
        self.network.cut(name(number), cut);
        vec![index]
    }
}

fn name(number: usize) -> u64 {
    number as u64
}

fn store_conditions(fault: Fault) -> StoreConditions {
    let healthy = StoreConditions::default();
    match fault {
        Fault::StoreDown => StoreConditions {
            down: true,
            ..healthy
        },
        Fault::StoreSlow(slowness) => StoreConditions {
            slowness,
            ..healthy
        },
        Fault::StoreLosesAnswers(lost_answers) => StoreConditions {
            lost_answers,
            ..healthy
        },
        _ => healthy,
    }
}
