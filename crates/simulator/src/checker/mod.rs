//! The invariants, over plain observations: nothing here knows the state machines.

mod availability;
mod configuration;
mod leaving;
mod outcomes;
mod ownership;
mod violation;

pub use availability::{Availability, Gap, LossKind};
pub use configuration::{ChangeVerdict, ConfigurationLedger};
pub use leaving::{DRAIN_BOUND, Leaving};
pub use outcomes::{AnswerBody, CallerOutcome, Outcomes};
pub use ownership::{Holding, Ownership};
pub use violation::Violation;

use crate::backend::JournalEntry;

/// All invariants.
#[derive(Debug, Clone, Default)]
pub struct Checker {
    /// One owner a key.
    pub ownership: Ownership,
    /// What callers are told.
    pub outcomes: Outcomes,
    /// What operators are told, and what nodes apply.
    pub configuration: ConfigurationLedger,
    /// Drains and planned stops.
    pub leaving: Leaving,
    /// Unserved time.
    pub availability: Availability,
}

impl Checker {
    /// Takes in the start of work at a back end.
    ///
    /// # Errors
    /// The first promise that the start breaks.
    pub fn started(&mut self, entry: &JournalEntry) -> Result<(), Violation> {
        self.outcomes.started(entry)?;
        self.ownership.started(entry)?;
        self.leaving.started(entry)
    }
}
