//! One owner a key, and fences that rise.

use std::collections::BTreeMap;

use wingspar_world::{Fence, KeyHash, MonotonicTime, NodeId, TargetName};

use super::Violation;
use crate::backend::JournalEntry;

/// The right of one agent to serve one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holding {
    /// The key.
    pub key: KeyHash,
    /// The target that serves it.
    pub target: TargetName,
    /// Fence of the grant.
    pub fence: Fence,
    /// True time at which the agent's own clock ends the lease; exclusive.
    pub until: MonotonicTime,
}

/// Who can serve which of the watched keys.
#[derive(Debug, Clone, Default)]
pub struct Ownership {
    holdings: BTreeMap<KeyHash, BTreeMap<NodeId, Holding>>,
    highest: BTreeMap<KeyHash, (Fence, NodeId)>,
    started: BTreeMap<KeyHash, Fence>,
}

impl Ownership {
    /// Takes in all that an agent can serve after its last step.
    ///
    /// # Errors
    /// When another agent can serve one of the keys, or a fence did not rise.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        agent: &NodeId,
        held: Vec<Holding>,
    ) -> Result<(), Violation> {
        self.forget(agent);
        for holding in held {
            self.check_sole(now, agent, &holding)?;
            self.check_fence(agent, &holding)?;
            let holders = self.holdings.entry(holding.key).or_default();
            holders.insert(agent.clone(), holding);
        }
        Ok(())
    }

    /// Removes an agent whose process ended.
    pub fn forget(&mut self, agent: &NodeId) {
        for holders in self.holdings.values_mut() {
            holders.remove(agent);
        }
    }

    /// The agent that can serve a key now.
    pub fn holder(&self, now: MonotonicTime, key: KeyHash) -> Option<(&NodeId, &Holding)> {
        let holders = self.holdings.get(&key)?;
        holders.iter().find(|(_, holding)| now < holding.until)
    }

    /// Takes in the start of work at a back end.
    ///
    /// # Errors
    /// When a newer owner's work had started before.
    pub fn started(&mut self, entry: &JournalEntry) -> Result<(), Violation> {
        let (Some(key), Some(grant)) = (entry.work.key, entry.work.grant) else {
            return Ok(());
        };
        let highest = self.started.entry(key).or_default();
        if grant.fence < *highest {
            return Err(Violation::StaleStart {
                key,
                target: entry.target.clone(),
                request: entry.work.request,
                fence: grant.fence,
                highest: *highest,
            });
        }
        *highest = grant.fence;
        Ok(())
    }

    fn check_sole(
        &self,
        now: MonotonicTime,
        agent: &NodeId,
        holding: &Holding,
    ) -> Result<(), Violation> {
        match self.holder(now, holding.key) {
            Some((other, theirs)) if now < holding.until => Err(Violation::TwoOwners {
                key: holding.key,
                first: other.clone(),
                first_fence: theirs.fence,
                second: agent.clone(),
                second_fence: holding.fence,
            }),
            _ => Ok(()),
        }
    }

    fn check_fence(&mut self, agent: &NodeId, holding: &Holding) -> Result<(), Violation> {
        let highest = self.highest.get(&holding.key);
        let outranked = highest.is_some_and(|(fence, owner)| {
            holding.fence < *fence || (holding.fence == *fence && owner != agent)
        });
        if let (true, Some((fence, _))) = (outranked, highest) {
            return Err(Violation::FenceDidNotRise {
                key: holding.key,
                agent: agent.clone(),
                fence: holding.fence,
                highest: *fence,
            });
        }
        self.highest
            .insert(holding.key, (holding.fence, agent.clone()));
        Ok(())
    }
}
