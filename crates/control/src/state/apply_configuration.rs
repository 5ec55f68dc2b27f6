//! Configuration: applied only when newer, so that it never goes back.

use std::collections::BTreeSet;
use std::sync::Arc;

use wingspar_wire::StateVersion;
use wingspar_world::{ConfigVersion, Configuration, ServiceName, TargetName};

use super::{ChangeResult, GroupState, Touched};
use crate::command::ConfigureChange;

impl GroupState {
    pub(super) fn apply_changes(&mut self, at: StateVersion, changes: &[ConfigureChange]) -> bool {
        let before = Arc::clone(&self.configuration);
        let mut changed = false;
        for one in changes {
            let configuration = Arc::make_mut(&mut self.configuration);
            if !configuration.apply(&one.change) {
                continue;
            }
            changed = true;
            if let Some(id) = &one.change_id {
                let result = ChangeResult::Configured(one.change.version);
                self.changes.remember(id, result);
            }
        }
        if changed {
            self.touch_changed_targets(at, &before);
        }
        changed
    }

    pub(super) fn apply_replacement(
        &mut self,
        at: StateVersion,
        configuration: &Configuration,
        change_ids: &[(String, ConfigVersion)],
    ) -> bool {
        if configuration.version <= self.configuration.version {
            return false;
        }
        let before = std::mem::replace(&mut self.configuration, Arc::new(configuration.clone()));
        for (id, version) in change_ids {
            self.changes
                .remember(id, ChangeResult::Configured(*version));
        }
        self.touch_changed_targets(at, &before);
        true
    }

    fn touch_changed_targets(&mut self, at: StateVersion, before: &Configuration) {
        let mut touched: BTreeSet<(ServiceName, TargetName)> = BTreeSet::new();
        let after = Arc::clone(&self.configuration);
        for (one, other) in [(before, &*after), (&*after, before)] {
            for (name, (version, target)) in &one.targets {
                let same = other.targets.get(name).is_some_and(|(it, _)| it == version);
                if !same {
                    touched.insert((target.service.clone(), name.clone()));
                }
            }
        }
        for (service, target) in touched {
            self.history.push(at, Touched::Target(service, target));
        }
    }
}
