//! What must hold of the state after every command.

use thiserror::Error;

use super::GroupState;

/// A broken invariant: a defect, never an outcome.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("broken invariant of the group's state: {0}")]
pub struct StateViolation(String);

impl GroupState {
    /// Checks the whole state: slices cover each ring exactly once, owners have sessions, fences
    /// and versions lie in the past, indexes agree.
    pub fn check_invariants(&self) -> Result<(), StateViolation> {
        for (service, slices) in &self.services {
            ensure(slices.is_partition(), || {
                format!("slices of {service} don't cover the ring exactly once")
            })?;
            for slice in slices.iter() {
                self.check_slice(slice)
                    .map_err(|StateViolation(it)| StateViolation(format!("{service}: {it}")))?;
            }
        }
        self.check_sessions()
    }

    fn check_slice(&self, slice: &super::Slice) -> Result<(), StateViolation> {
        let range = slice.range;
        let latest = (self.version.generation, self.version.sequence);
        let fence = (slice.fence.generation, slice.fence.sequence);
        ensure(fence <= latest, || {
            format!("{range} has a fence of the future")
        })?;
        ensure(slice.owner.is_some() || slice.hand_over.is_none(), || {
            format!("{range} is handed over by nobody")
        })?;
        let to = slice.hand_over.as_ref().and_then(|it| it.to.as_ref());
        for holder in slice.owner.iter().chain(to) {
            ensure(self.sessions.contains_key(&holder.session), || {
                format!("{range} belongs to a session that is over")
            })?;
        }
        Ok(())
    }

    fn check_sessions(&self) -> Result<(), StateViolation> {
        ensure(self.by_node.len() == self.sessions.len(), || {
            "a node has two sessions".to_owned()
        })?;
        for (id, session) in &self.sessions {
            ensure(id.0 <= self.version, || {
                format!("session of {} begins in the future", session.node)
            })?;
            ensure(self.by_node.get(&session.node) == Some(id), || {
                format!("session of {} is not found by its node", session.node)
            })?;
        }
        Ok(())
    }
}

fn ensure(holds: bool, what: impl FnOnce() -> String) -> Result<(), StateViolation> {
    if holds {
        return Ok(());
    }
    Err(StateViolation(what()))
}
