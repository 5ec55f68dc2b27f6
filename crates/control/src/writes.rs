//! Operators' writes: validated, stored by compare-and-set, and answered once committed.

use wingspar_store::object::Current;
use wingspar_store::operation::Operation;
use wingspar_store::{Answer, Change, Resolver, Step, WriteOutcome};
use wingspar_world::{ConfigObject, ConfigVersion, MonotonicTime};

use crate::config_watch::{OBJECT_FIELD, parse_object};
use crate::intent::{Intent, Prepared};
use crate::operator::OperatorReply;
use crate::state::ChangeResult;
use crate::store_io::Purpose;
use crate::{Control, Output};

/// An operator's write under way.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    /// Operator requests that wait for it; several may have named the same change.
    pub(crate) requests: Vec<u64>,
    pub(crate) change_id: String,
    intent: Intent,
    pub(crate) stage: Stage,
    /// A request was sent whose effect is not known.
    in_doubt: bool,
    pub(crate) deadline: MonotonicTime,
}

#[derive(Debug)]
pub(crate) enum Stage {
    /// The store is asked to put the object.
    Putting(Box<Resolver>),
    /// The store is asked to delete the object.
    Deleting { key: String, expect: u64 },
    /// Asked again at a time, because the store could not be asked.
    Pausing { until: MonotonicTime },
    /// Starts anew once the configuration has reached a version that the store told of.
    Rebasing { after: ConfigVersion },
    /// The store has it; it is answered once the group has committed it.
    Committing {
        version: ConfigVersion,
        remembered: bool,
    },
}

impl Control {
    /// Takes in a write, unless the same change is known or under way.
    pub(crate) fn begin_write(
        &mut self,
        request: u64,
        change_id: String,
        intent: Intent,
        out: &mut Vec<Output>,
    ) {
        if let Some(reply) = self.first_answer(&change_id) {
            out.push(Output::OperatorReply { id: request, reply });
            return;
        }
        let deadline = self.now + self.settings.write_deadline;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let mut writes = leading.writes.values_mut();
        if let Some(same) = writes.find(|write| write.change_id == change_id) {
            same.requests.push(request);
            return;
        }
        leading.last_write += 1;
        let token = leading.last_write;
        let write = PendingWrite {
            requests: vec![request],
            change_id,
            intent,
            stage: Stage::Pausing { until: self.now },
            in_doubt: false,
            deadline,
        };
        leading.writes.insert(token, write);
        self.start_write(token, out);
    }

    /// The answer that a change got when it was first asked for, if it is remembered.
    pub(crate) fn first_answer(&self, change_id: &str) -> Option<OperatorReply> {
        let state = self.replica.as_ref()?.state();
        Some(match state.changes().get(change_id)? {
            ChangeResult::Configured(version) => OperatorReply::Written { version },
            ChangeResult::Moved(version) => OperatorReply::MoveAccepted { version },
        })
    }

    pub(crate) fn write_mut(&mut self, token: u64) -> Option<&mut PendingWrite> {
        self.leading.as_mut()?.writes.get_mut(&token)
    }

    /// Prepares the write on the present configuration and sends it.
    pub(crate) fn start_write(&mut self, token: u64, out: &mut Vec<Output>) {
        let Some(write) = self.leading.as_ref().and_then(|it| it.writes.get(&token)) else {
            return;
        };
        if let Some(reply) = self.first_answer(&write.change_id) {
            self.finish_write(token, reply, out);
            return;
        }
        let Some(configuration) = self.configuration() else {
            return;
        };
        let prepared = write.intent.prepare(configuration);
        let change_id = write.change_id.clone();
        let since = configuration.version.0;
        match prepared {
            Err(refusal) => self.finish_write(token, refusal.into(), out),
            Ok(Prepared::Put { object, expect }) => {
                self.start_put(token, change_id, (object, expect, since), out);
            }
            Ok(Prepared::Delete { key, expect }) => {
                let operation = Operation::Delete {
                    key: key.clone(),
                    expect,
                };
                if let Some(write) = self.write_mut(token) {
                    write.stage = Stage::Deleting { key, expect };
                }
                self.ask_store(Purpose::Write(token), operation, out);
            }
        }
    }

    fn start_put(
        &mut self,
        token: u64,
        change_id: String,
        (object, expect, since): (ConfigObject, u64, u64),
        out: &mut Vec<Output>,
    ) {
        let key = object.store_key();
        let value = serde_json::json!({ "change_id": change_id, OBJECT_FIELD: object });
        match Change::new(&key, value, expect) {
            Err(invalid) => {
                let reply = OperatorReply::Invalid(vec![invalid.to_string()]);
                self.finish_write(token, reply, out);
            }
            Ok(change) => {
                let resolver = Box::new(Resolver::new(change.since(since)));
                let operation = resolver.operation();
                if let Some(write) = self.write_mut(token) {
                    write.stage = Stage::Putting(resolver);
                }
                self.ask_store(Purpose::Write(token), operation, out);
            }
        }
    }

    pub(crate) fn on_write_answer(&mut self, token: u64, answer: Answer, out: &mut Vec<Output>) {
        let pause_until = self.now + self.settings.store_retry;
        let Some(write) = self.write_mut(token) else {
            return;
        };
        match &mut write.stage {
            Stage::Putting(resolver) => match resolver.on_answer(answer) {
                Step::Send(operation) => {
                    write.in_doubt = true;
                    self.ask_store(Purpose::Write(token), operation, out);
                }
                Step::SendLater(_) => {
                    write.in_doubt = true;
                    self.pause_write(token, pause_until);
                }
                Step::Done(outcome) => self.on_write_outcome(token, outcome, out),
            },
            Stage::Deleting { .. } => self.on_delete_answer(token, answer, out),
            Stage::Pausing { .. } | Stage::Rebasing { .. } | Stage::Committing { .. } => {}
        }
    }

    /// Asks the store again at a time.
    fn pause_write(&mut self, token: u64, until: MonotonicTime) {
        if let Some(leading) = &mut self.leading {
            leading.paused_writes.insert(token, until);
        }
    }

    fn on_delete_answer(&mut self, token: u64, answer: Answer, out: &mut Vec<Output>) {
        let pause_until = self.now + self.settings.store_retry;
        let committed = self.configuration_version();
        let Some(write) = self.write_mut(token) else {
            return;
        };
        let in_doubt = write.in_doubt;
        match answer.into_write_outcome() {
            // Asking again is harmless: a version is deleted at most once.
            WriteOutcome::Unknown { .. } => {
                write.in_doubt = true;
                self.pause_write(token, pause_until);
            }
            WriteOutcome::Unavailable { .. } if in_doubt => self.pause_write(token, pause_until),
            // The object that was to go is gone, by this deletion or by one to the same end.
            WriteOutcome::Conflict { current: None } if in_doubt => {
                let version = committed;
                self.on_write_outcome(token, WriteOutcome::Written { version: version.0 }, out);
            }
            WriteOutcome::Conflict { .. } if in_doubt => {
                let reason = "the object was replaced before or after the deletion".to_owned();
                self.finish_write(token, OperatorReply::Unknown { reason }, out);
            }
            outcome => self.on_write_outcome(token, outcome, out),
        }
    }

    fn on_write_outcome(&mut self, token: u64, outcome: WriteOutcome, out: &mut Vec<Output>) {
        match outcome {
            WriteOutcome::Written { version } => {
                if let Some(write) = self.write_mut(token) {
                    write.stage = Stage::Committing {
                        version: ConfigVersion(version),
                        remembered: false,
                    };
                }
                self.expect_revision(version);
                self.catch_up(out);
            }
            WriteOutcome::Conflict { current } => self.on_write_conflict(token, current, out),
            WriteOutcome::Unknown { cause } => {
                self.finish_write(token, OperatorReply::Unknown { reason: cause }, out);
            }
            WriteOutcome::Unavailable { cause } => {
                self.finish_write(token, OperatorReply::Unavailable { reason: cause }, out);
            }
            WriteOutcome::Invalid(invalid) => {
                let reply = OperatorReply::Invalid(vec![invalid.to_string()]);
                self.finish_write(token, reply, out);
            }
        }
    }

    /// A write that named no version starts anew on top of what is there; others lose.
    fn on_write_conflict(&mut self, token: u64, current: Option<Current>, out: &mut Vec<Output>) {
        let now = self.now;
        let known = self.configuration_version();
        let Some(write) = self.write_mut(token) else {
            return;
        };
        if write.intent.names_version() {
            let key = write.intent.key();
            let current = current.and_then(|it| {
                let object = parse_object(&key, &it.value).ok()?;
                Some((ConfigVersion(it.version), object))
            });
            self.finish_write(token, OperatorReply::Conflict { current }, out);
            return;
        }
        match current {
            Some(current) => {
                let after = ConfigVersion(current.version);
                write.stage = Stage::Rebasing { after };
                self.expect_revision(current.version);
                self.catch_up(out);
            }
            // The object is gone; the watch will tell, at a revision not known yet.
            None => {
                let until = now + std::time::Duration::from_millis(100);
                write.stage = Stage::Pausing { until };
                self.expect_revision(known.0 + 1);
                self.catch_up(out);
            }
        }
    }

    pub(crate) fn finish_write(&mut self, token: u64, reply: OperatorReply, out: &mut Vec<Output>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.paused_writes.remove(&token);
        let Some(write) = leading.writes.remove(&token) else {
            return;
        };
        for id in write.requests {
            let reply = reply.clone();
            out.push(Output::OperatorReply { id, reply });
        }
    }

    /// Answers all writes under way when leadership ends.
    pub(crate) fn give_up_writes(&mut self, out: &mut Vec<Output>) {
        let Some(leading) = &self.leading else {
            return;
        };
        let tokens: Vec<u64> = leading.writes.keys().copied().collect();
        for token in tokens {
            let reply = self.leading.as_ref().and_then(|it| it.writes.get(&token));
            let Some(reply) = reply.map(PendingWrite::give_up) else {
                continue;
            };
            self.finish_write(token, reply, out);
        }
    }
}

impl PendingWrite {
    /// The answer when nothing more is done: what is known to this moment.
    pub(crate) fn give_up(&self) -> OperatorReply {
        match &self.stage {
            Stage::Putting(_) | Stage::Deleting { .. } | Stage::Committing { .. } => {
                OperatorReply::Unknown {
                    reason: "the change was sent, and its outcome is not known yet".to_owned(),
                }
            }
            Stage::Pausing { .. } | Stage::Rebasing { .. } if self.in_doubt => {
                OperatorReply::Unknown {
                    reason: "the store did not confirm what became of the change".to_owned(),
                }
            }
            Stage::Pausing { .. } | Stage::Rebasing { .. } => OperatorReply::Unavailable {
                reason: "the store can't be read".to_owned(),
            },
        }
    }
}
