//! What the checker sees of the machines after each step, and of the whole at the end.

use std::collections::BTreeSet;
use std::time::Duration;

use wingspar_control::{ChangeResult, Control};
use wingspar_wire::StateVersion;
use wingspar_world::{KeyHash, MonotonicTime};

use super::event::Event;
use super::{SAMPLE_INTERVAL, Simulation};
use crate::checker::{Holding, Violation};
use crate::network::MachineIndex;
use crate::process::Process;
use crate::scenario::LOSS_BOUND;
use crate::topology::Topology;

/// At the end of a run every key was answered to some caller within this time.
const ANSWERED_WITHIN: Duration = Duration::from_millis(8_000);

impl Simulation {
    /// Shows the checker a process after a step; `local` is the time by its own clock.
    pub(super) fn observe(&mut self, index: MachineIndex, local: MonotonicTime) {
        let now = self.now();
        let Some(process) = &self.machines[index].process else {
            return;
        };
        let node = process.node().clone();
        let held = self.holdings(index, process, local);
        let version = process.agent().config_version();
        let leads = process.control();
        let leads = leads.and_then(|control| leading_version(control, local));
        let broken = process.control().map(Control::check_invariants);
        let outcome = self.checker.configuration.applied(&node, version);
        self.check(outcome);
        let outcome = self.checker.ownership.update(now, &node, held);
        self.check(outcome);
        if let Some(version) = leads {
            let outcome = self.checker.configuration.leads(&node, version);
            self.check(outcome);
        }
        if let Some(Err(what)) = broken {
            self.check(Err(Violation::Machine { node, what }));
        }
    }

    fn holdings(
        &self,
        index: MachineIndex,
        process: &Process,
        local: MonotonicTime,
    ) -> Vec<Holding> {
        let Some(lease) = process.agent().lease(local) else {
            return Vec::new();
        };
        let until = self.machines[index].clock.true_time(lease.expires_at());
        let mut held = Vec::new();
        for grant in process.agent().served(local) {
            if grant.service != self.scenario.topology.keyed {
                continue;
            }
            let keys = self.keys.iter().filter(|key| grant.range.contains(**key));
            held.extend(keys.map(|key| Holding {
                key: *key,
                target: grant.target.clone(),
                fence: grant.fence,
                until,
            }));
        }
        held
    }

    /// The machine whose control candidate leads its group with a valid lease.
    pub(super) fn leader(&self) -> Option<MachineIndex> {
        let leads = |index: &MachineIndex| {
            let machine = &self.machines[*index];
            let process = machine.process.as_ref().filter(|_| machine.is_running());
            let control = process.and_then(Process::control);
            control.is_some_and(Control::is_leader)
        };
        (0..self.machines.len()).find(leads)
    }

    /// The machine that owns a key now.
    pub(super) fn owner(&self, key: KeyHash) -> Option<MachineIndex> {
        let (owner, _) = self.checker.ownership.holder(self.now(), key)?;
        self.machines
            .iter()
            .position(|one| one.machine.name == owner.machine)
    }

    /// Machines whose processes vote, as the leader knows.
    pub(super) fn voters(&self) -> BTreeSet<MachineIndex> {
        let leader = self
            .leader()
            .and_then(|index| self.machines[index].process.as_ref());
        let replica = leader.and_then(Process::control).and_then(Control::replica);
        let Some(replica) = replica else {
            return BTreeSet::new();
        };
        let is_voter = |index: &MachineIndex| {
            let process = self.machines[*index].process.as_ref();
            process.is_some_and(|process| replica.voters().contains(process.node()))
        };
        (0..self.machines.len()).filter(is_voter).collect()
    }

    pub(super) fn sample(&mut self) {
        let now = self.now();
        for key in self.keys.clone() {
            let owner = self.owner(key);
            let is_served = owner.is_some_and(|index| self.machines[index].is_running());
            let outcome = self.checker.availability.sample(now, key, is_served);
            self.check(outcome);
        }
        self.push_after(SAMPLE_INTERVAL, Event::Sample);
    }

    /// What must hold at the end, long after everything was mended.
    pub(super) fn check_settled(&self) -> Result<(), Violation> {
        let now = self.now();
        self.checker
            .configuration
            .compare(now, self.platform.store())?;
        // A planned hand-over may be under way at the very end.
        let availability = &self.checker.availability;
        if let Some(key) = availability.unserved(now, &self.keys, LOSS_BOUND).next() {
            return Err(not_settled(format!("key {key} is unserved")));
        }
        if self.leader().is_none() {
            return Err(not_settled("the group has no leader".to_owned()));
        }
        if !self.operators.is_done() {
            return Err(not_settled("an operator's change hangs".to_owned()));
        }
        self.check_moves()?;
        self.check_answers()?;
        self.check_versions()
    }

    /// The leader's state remembers every acknowledged move.
    fn check_moves(&self) -> Result<(), Violation> {
        let leader = self
            .leader()
            .and_then(|index| self.machines[index].process.as_ref());
        let replica = leader.and_then(Process::control).and_then(Control::replica);
        let (Some(process), Some(replica)) = (leader, replica) else {
            return Ok(());
        };
        let changes = replica.state().changes();
        let lookup = |change_id: &str| match changes.get(change_id) {
            Some(ChangeResult::Moved(version)) => Some(version),
            _ => None,
        };
        let ledger = &self.checker.configuration;
        ledger.remembered(process.node(), replica.generation(), lookup)
    }

    /// Callers get answers for every key again.
    fn check_answers(&self) -> Result<(), Violation> {
        if !self.machines.iter().any(|one| one.takes_requests()) {
            return Ok(());
        }
        for key in Topology::keys() {
            let last = self.last_ran.get(&key).copied().unwrap_or_default();
            if self.now().since(last) > ANSWERED_WITHIN {
                return Err(not_settled(format!("no answer for {key} since {last:?}")));
            }
        }
        Ok(())
    }

    /// Every running node has the store's newest configuration.
    fn check_versions(&self) -> Result<(), Violation> {
        let processes = self.machines.iter().filter_map(|one| one.process.as_ref());
        let versions = processes.map(|process| {
            let version = process.agent().config_version();
            (process.node(), version)
        });
        let versions: Vec<_> = versions.collect();
        let newest = versions.iter().map(|(_, version)| *version).max();
        let behind = versions.iter().find(|(_, version)| Some(*version) < newest);
        match behind {
            Some((node, version)) => {
                let what = format!("{node} has {version}, others have {newest:?}");
                Err(not_settled(what))
            }
            None => Ok(()),
        }
    }
}

/// Version of the state by which a candidate leads at `local`. `is_leader` tells of its last step,
/// which may be long ago when the process was paused and something else came in first.
fn leading_version(control: &Control, local: MonotonicTime) -> Option<StateVersion> {
    let replica = control.replica().filter(|_| control.is_leader())?;
    let is_valid = replica
        .leader_lease_until()
        .is_some_and(|until| local < until);
    is_valid.then(|| replica.state().version())
}

fn not_settled(what: String) -> Violation {
    Violation::NotSettled { what }
}
