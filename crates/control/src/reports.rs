//! Reports that operators read from the leader.

use wingspar_consensus::Replica;
use wingspar_world::{ConfigVersion, KeyHash, ServiceName, Target, TargetName};

use crate::Control;
use crate::objects::{all_objects, lookup};
use crate::operator::{
    GroupReport, OperatorReply, PlacementReport, RolloutReport, SliceReport, TargetReport,
};
use crate::state::{GroupState, Slice};
use crate::table::slice_status;

/// Rollouts whose time is remembered.
const MAX_ROLLOUTS: usize = 256;

impl Control {
    pub(crate) fn get(&self, key: &str) -> OperatorReply {
        let Some(configuration) = self.configuration() else {
            return OperatorReply::NotFound;
        };
        match lookup(configuration, key) {
            Some(found) => OperatorReply::Objects {
                version: configuration.version,
                items: vec![found],
            },
            None => OperatorReply::NotFound,
        }
    }

    pub(crate) fn list(&self, prefix: &str) -> OperatorReply {
        let Some(configuration) = self.configuration() else {
            return OperatorReply::NotFound;
        };
        let objects = all_objects(configuration);
        let items = objects.filter(|(_, object)| object.store_key().starts_with(prefix));
        OperatorReply::Objects {
            version: configuration.version,
            items: items.collect(),
        }
    }

    pub(crate) fn placement_report(
        &self,
        service: &ServiceName,
        key: Option<KeyHash>,
    ) -> OperatorReply {
        let Some(state) = self.replica.as_ref().map(Replica::state) else {
            return OperatorReply::NotFound;
        };
        if state.configuration().service(service).is_none() && state.slices(service).is_none() {
            return OperatorReply::NotFound;
        }
        let slices = state.slices(service).into_iter().flat_map(|it| it.iter());
        let wanted = slices.filter(|slice| key.is_none_or(|key| slice.range.contains(key)));
        let targets = state.configuration().targets_of(service);
        OperatorReply::Placement(PlacementReport {
            service: service.clone(),
            version: state.version(),
            slices: wanted.map(|slice| self.slice_report(slice)).collect(),
            targets: targets
                .map(|target| self.target_report(state, target))
                .collect(),
        })
    }

    fn slice_report(&self, slice: &Slice) -> SliceReport {
        let age = self.observed.age(self.now, slice.since);
        SliceReport {
            range: slice.range,
            fence: slice.fence,
            status: slice_status(slice),
            reason: slice.reason,
            takeover: self.takeover(slice),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn target_report(&self, state: &GroupState, target: &Target) -> TargetReport {
        let slices = state.slices(&target.service).into_iter();
        let mut owners = slices
            .flat_map(|it| it.iter())
            .filter_map(|it| it.owner.as_ref());
        let owned = owners
            .by_ref()
            .filter(|owner| owner.target == target.name)
            .count();
        TargetReport {
            target: target.name.clone(),
            machine: target.machine.clone(),
            availability: state.availability(&target.name),
            slices: u32::try_from(owned).unwrap_or(u32::MAX),
            requests_per_second: self.reported_load(&target.name),
        }
    }

    /// Requests a second that the agent beside a target last reported.
    fn reported_load(&self, target: &TargetName) -> f32 {
        let views = self
            .leading
            .iter()
            .flat_map(|leading| leading.sessions.values());
        let mut loads = views.flat_map(|view| &view.targets);
        let load = loads.find(|load| load.target == *target);
        load.map_or(0.0, |load| load.requests_per_second)
    }

    pub(crate) fn group_report(&self) -> GroupReport {
        let replica = self.replica.as_ref().expect("a leader has a replica");
        let state = replica.state();
        let sessions = state.sessions();
        GroupReport {
            group: self.settings.group,
            generation: replica.generation(),
            term: replica.term(),
            leader: replica.leader(),
            voters: replica.voters().iter().cloned().collect(),
            learners: replica.learners().iter().cloned().collect(),
            sessions: sessions
                .map(|it| (it.node.clone(), it.machine.control_address))
                .collect(),
            version: state.version(),
            stored: self.stored_version(),
        }
    }

    pub(crate) fn rollout_report(&self, version: ConfigVersion) -> RolloutReport {
        let mut applied = 0;
        let mut behind = Vec::new();
        let state = self.replica.as_ref().map(Replica::state);
        let views = self.leading.iter().flat_map(|leading| &leading.sessions);
        for (session, view) in views {
            if view.heard && view.config >= version {
                applied += 1;
            } else if self.now < self.lease_may_run_until(view)
                && let Some(session) = state.and_then(|state| state.session(*session))
            {
                behind.push(session.node.clone());
            }
        }
        let in_force = self.leading.iter().flat_map(|leading| &leading.in_force);
        let mut in_force = in_force.filter(|(reached, _)| *reached >= version);
        let after = in_force.next().map(|(_, after)| *after);
        RolloutReport {
            version,
            in_force: behind.is_empty() && self.configuration_version() >= version,
            applied,
            behind,
            in_force_after_ms: after
                .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
        }
    }

    /// Notes when the newest configuration came into force everywhere.
    pub(crate) fn note_in_force(&mut self) {
        let version = self.configuration_version();
        let noted = self
            .leading
            .as_ref()
            .and_then(|leading| leading.in_force.last());
        if noted.is_some_and(|(noted, _)| *noted >= version) {
            return;
        }
        if !self.rollout_report(version).in_force {
            return;
        }
        let accepted_at = self.observed.configuration.seen_at(version);
        let after = self.now.since(accepted_at.unwrap_or(self.now));
        if let Some(leading) = &mut self.leading {
            leading.in_force.push((version, after));
            let excess = leading.in_force.len().saturating_sub(MAX_ROLLOUTS);
            leading.in_force.drain(..excess);
        }
    }
}
