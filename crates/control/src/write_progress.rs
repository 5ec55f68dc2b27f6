//! How operators' writes go on with time: pauses, deadlines, and what the group has committed.

use wingspar_store::operation::Operation;
use wingspar_world::ConfigVersion;

use crate::command::Command;
use crate::store_io::Purpose;
use crate::writes::Stage;
use crate::{Control, Output};

impl Control {
    /// Goes on with writes that wait for the configuration, a pause, or their deadline.
    pub(crate) fn settle_writes(&mut self, out: &mut Vec<Output>) {
        let Some(leading) = &self.leading else {
            return;
        };
        let tokens: Vec<u64> = leading.writes.keys().copied().collect();
        for token in tokens {
            self.settle_write(token, out);
        }
    }

    fn settle_write(&mut self, token: u64, out: &mut Vec<Output>) {
        let (now, reached) = (self.now, self.configuration_version());
        let Some(write) = self.leading.as_ref().and_then(|it| it.writes.get(&token)) else {
            return;
        };
        if let Some(reply) = self.first_answer(&write.change_id) {
            self.finish_write(token, reply, out);
            return;
        }
        if now >= write.deadline {
            let reply = write.give_up();
            self.finish_write(token, reply, out);
            return;
        }
        match &write.stage {
            Stage::Committing {
                version,
                remembered,
            } if *version <= reached && !remembered => {
                self.remember_write(token, *version);
            }
            Stage::Rebasing { after } if *after <= reached => self.start_write(token, out),
            Stage::Pausing { until } if *until <= now => self.start_write(token, out),
            Stage::Putting(resolver) => {
                let operation = resolver.operation();
                self.resume_write(token, operation, out);
            }
            Stage::Deleting { key, expect } => {
                let (key, expect) = (key.clone(), *expect);
                self.resume_write(token, Operation::Delete { key, expect }, out);
            }
            _ => {}
        }
    }

    fn resume_write(&mut self, token: u64, operation: Operation, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        if leading
            .paused_writes
            .get(&token)
            .is_some_and(|until| *until <= now)
        {
            leading.paused_writes.remove(&token);
            self.ask_store(Purpose::Write(token), operation, out);
        }
    }

    /// Replicates what the change came to, when the watch has passed it without telling: it was a
    /// deletion, or is replaced by now.
    fn remember_write(&mut self, token: u64, version: ConfigVersion) {
        let Some(write) = self.write_mut(token) else {
            return;
        };
        let change_id = write.change_id.clone();
        write.stage = Stage::Committing {
            version,
            remembered: true,
        };
        if self
            .propose(Command::RememberChange { change_id, version })
            .is_none()
            && let Some(write) = self.write_mut(token)
        {
            write.stage = Stage::Committing {
                version,
                remembered: false,
            };
        }
    }
}
