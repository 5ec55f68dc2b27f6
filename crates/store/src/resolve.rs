//! Carries a [`Change`] through to a proved outcome, without I/O.
//!
//! A put whose answer was lost may have happened, or may still arrive. Three facts decide it:
//!
//! * The change id stands in the object or in its history: the change happened.
//! * The history since before the change shows another change of the object, and not ours: the
//!   expected version is gone for good, so ours never happens.
//! * The object still has the expected version: the same put is sent again. It takes effect at most
//!   once, because whichever copy comes second finds another version.
//!
//! What can't be proved stays unknown: the change was replaced and the history is already lost.

use crate::change::Change;
use crate::object::{Current, Event, Object, WatchBatch};
use crate::operation::{Operation, Reply};
use crate::outcome::{Answer, WriteOutcome};

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Send this operation and pass its answer to [`Resolver::on_answer`].
    Send(Operation),
    /// The store can't be asked now. Wait a little, then send this operation.
    SendLater(Operation),
    /// The outcome is settled. It is [`WriteOutcome::Unknown`] only if it can't be proved any more.
    Done(WriteOutcome),
}

/// What the answer that is waited for will tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Putting,
    ReadingHistory,
    ReadingObject,
}

/// The progress of one change.
#[derive(Debug, Clone)]
pub struct Resolver {
    change: Change,
    phase: Phase,
    /// Whether a put was sent and its answer lost.
    in_doubt: bool,
}

impl Resolver {
    /// Starts with the put itself: send [`Resolver::operation`] first.
    #[must_use]
    pub fn new(change: Change) -> Self {
        Self {
            change,
            phase: Phase::Putting,
            in_doubt: false,
        }
    }

    /// Starts with reading back a put that was sent before and whose answer was lost.
    #[must_use]
    pub fn in_doubt(change: Change) -> Self {
        Self {
            change,
            phase: Phase::ReadingHistory,
            in_doubt: true,
        }
    }

    /// The operation whose answer is waited for.
    #[must_use]
    pub fn operation(&self) -> Operation {
        match self.phase {
            Phase::Putting => self.change.put(),
            Phase::ReadingHistory => self.change.read_history(),
            Phase::ReadingObject => Operation::Get {
                key: self.change.key().to_owned(),
            },
        }
    }

    /// The outcome if nothing more is asked: what is known to this moment.
    #[must_use]
    pub fn give_up(&self) -> WriteOutcome {
        let cause = format!("gave up on change {}", self.change.change_id());
        if self.in_doubt {
            WriteOutcome::Unknown { cause }
        } else {
            WriteOutcome::Unavailable { cause }
        }
    }

    /// Takes the answer to [`Resolver::operation`].
    pub fn on_answer(&mut self, answer: Answer) -> Step {
        match (self.phase, answer) {
            (Phase::Putting, answer) => self.on_put(answer),
            (_, Answer::Unknown { .. } | Answer::Unavailable { .. }) => {
                Step::SendLater(self.operation())
            }
            (_, Answer::Reply(Reply::Changes(batch))) => self.on_history(batch),
            (_, Answer::Reply(Reply::HistoryLost { .. })) => self.go_to(Phase::ReadingObject),
            (_, Answer::Reply(Reply::Object(object))) => self.on_object(object),
            (_, Answer::Reply(other)) => self.unproved(&format!("unexpected reply {other:?}")),
        }
    }

    fn on_put(&mut self, answer: Answer) -> Step {
        match answer.into_write_outcome() {
            WriteOutcome::Written { version } => Step::Done(WriteOutcome::Written { version }),
            WriteOutcome::Unknown { .. } => {
                self.in_doubt = true;
                self.go_to(Phase::ReadingHistory)
            }
            WriteOutcome::Conflict {
                current: Some(current),
            } if self.wrote(&current) => Step::Done(WriteOutcome::Written {
                version: current.version,
            }),
            WriteOutcome::Unavailable { .. } if self.in_doubt => Step::SendLater(self.operation()),
            _ if self.in_doubt => self.go_to(Phase::ReadingHistory),
            proved => Step::Done(proved),
        }
    }

    fn on_history(&mut self, batch: WatchBatch) -> Step {
        let mut last_other = None;
        for event in batch.events {
            if event.key != self.change.key() {
                continue;
            }
            if event
                .value
                .as_ref()
                .is_some_and(|value| self.change.wrote(value))
            {
                return Step::Done(WriteOutcome::Written {
                    version: event.version,
                });
            }
            last_other = Some(event);
        }
        match last_other {
            Some(event) if !self.could_still_apply(&event) => Step::Done(WriteOutcome::Conflict {
                current: current_of(event),
            }),
            _ => self.go_to(Phase::Putting),
        }
    }

    fn on_object(&mut self, object: Option<Object>) -> Step {
        match object {
            Some(object) if self.change.wrote(&object.value) => Step::Done(WriteOutcome::Written {
                version: object.version,
            }),
            Some(object) if object.version == self.change.expect() => self.go_to(Phase::Putting),
            _ => self.unproved("it may have been replaced, and the history is lost"),
        }
    }

    /// After a creation, an object that came and went leaves the key as absent as it was.
    fn could_still_apply(&self, last: &Event) -> bool {
        self.change.is_creation() && last.value.is_none()
    }

    fn wrote(&self, current: &Current) -> bool {
        self.change.wrote(&current.value)
    }

    fn go_to(&mut self, phase: Phase) -> Step {
        self.phase = phase;
        Step::Send(self.operation())
    }

    fn unproved(&self, reason: &str) -> Step {
        let cause = format!("change {}: {reason}", self.change.change_id());
        Step::Done(WriteOutcome::Unknown { cause })
    }
}

fn current_of(event: Event) -> Option<Current> {
    let version = event.version;
    event.value.map(|value| Current { version, value })
}
