//! Heartbeats of targets, with the keys that some targets are assigned in the responses, and the
//! faults that affect them.

use wingspar_ownership::{KeyAssignment, KeyReport};

use super::*;

/// Heartbeat interval, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 870;
/// Interval between heartbeats that aren't answered with keys, in milliseconds.
const PLAIN_HEARTBEAT_INTERVAL_MS: u64 = 1_300;
/// Heartbeat interval while the target releases keys, in milliseconds.
const RELEASING_HEARTBEAT_INTERVAL_MS: u64 = 90;
/// How long a target waits for a response, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 1_000;
/// Maximum time that the agent delays a response while it has no changes, in milliseconds.
const MAX_RESPONSE_DELAY_MS: u64 = 400;
/// Interval at which the agent checks for changes while it delays a response, in milliseconds.
const CHANGE_CHECK_INTERVAL_MS: u64 = 10;

/// A heartbeat in transit or at the agent.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    pub index: usize,
    /// Id of the target incarnation.
    pub id: String,
    sequence: u64,
    report: KeyReport,
}

/// Events in the processing of heartbeats.
pub enum Step {
    /// A target may send its next heartbeat.
    Due(usize, String),
    /// The target stops waiting for the response to the heartbeat with this number.
    GivenUp(usize, String, u64),
    /// The heartbeat reaches the machine's agent.
    Arrives(Heartbeat),
    /// A health check reaches the target's address. It was made by the node's process with this
    /// life, which knew this life of the target.
    CheckReachesTarget(Heartbeat, u64, Option<String>),
    /// The answer to the health check reaches the node, with the id of the target that answered.
    Checked(Heartbeat, u64, Option<String>, Option<String>),
    /// The agent checks whether its response contains any changes.
    CheckChanges(Heartbeat, u64, Time, u64),
    /// The response reaches the target.
    Answered(Heartbeat, Option<KeyAssignment>),
}

impl World {
    pub(super) fn heartbeat_step(&mut self, step: Step) {
        match step {
            Step::Due(index, id) => self.heartbeat_due(index, &id),
            Step::GivenUp(index, id, sequence) => {
                let target = &mut self.machines[index].target;
                let rows = &mut target.rows;
                if target.id == id && rows.sequence == sequence && rows.is_waiting {
                    rows.is_waiting = false;
                    self.heartbeat_due(index, &id);
                }
            }
            Step::Arrives(heartbeat) => self.heartbeat_arrives(heartbeat),
            Step::CheckReachesTarget(heartbeat, life, known) => {
                self.check_reaches_target(heartbeat, life, known);
            }
            Step::Checked(heartbeat, life, known, answered_by) => {
                self.health_checked(heartbeat, life, known, answered_by);
            }
            Step::CheckChanges(heartbeat, life, arrived_at, until) => {
                self.check_for_changes(heartbeat, life, arrived_at, until);
            }
            Step::Answered(heartbeat, answer) => self.heartbeat_answered(heartbeat, answer),
        }
    }

    /// Returns the node whose process handles this step, which is delayed while the process is
    /// frozen; `None` for steps of the target.
    pub(super) fn handling_node(step: &Step) -> Option<usize> {
        match step {
            Step::Arrives(heartbeat)
            | Step::Checked(heartbeat, ..)
            | Step::CheckChanges(heartbeat, ..) => Some(heartbeat.index),
            _ => None,
        }
    }

    /// Begins the heartbeats of the target that has just started.
    pub(super) fn begin_heartbeats(&mut self, index: usize) {
        let id = self.machines[index].target.id.clone();
        let delay = match (self.options.late_heartbeats, self.options.delivery) {
            (true, _) => 0,
            (false, Delivery::HeartbeatAnswers) => self.rng.random_range(0..900),
            // The node knows each life at once.
            (false, Delivery::Calls) => return,
        };
        self.after(delay, Event::Heartbeat(Step::Due(index, id)));
    }

    fn heartbeat_due(&mut self, index: usize, id: &str) {
        let now = self.now;
        let expects_keys = self.options.delivery == Delivery::HeartbeatAnswers;
        let target = &mut self.machines[index].target;
        if target.id != id || !target.up || target.rows.is_waiting {
            return;
        }
        target.rows.sequence += 1;
        target.rows.sent_at = now;
        target.rows.is_waiting = expects_keys;
        let heartbeat = Heartbeat {
            index,
            id: id.to_owned(),
            sequence: target.rows.sequence,
            report: target.rows.report(now),
        };
        let sequence = heartbeat.sequence;
        if let Some(delay) = self.heartbeat_delay() {
            self.after(delay, Event::Heartbeat(Step::Arrives(heartbeat)));
        }
        if !expects_keys {
            let next = Step::Due(index, id.to_owned());
            return self.after(PLAIN_HEARTBEAT_INTERVAL_MS, Event::Heartbeat(next));
        }
        let given_up = Step::GivenUp(index, id.to_owned(), sequence);
        self.after(RESPONSE_TIMEOUT_MS, Event::Heartbeat(given_up));
    }

    fn heartbeat_arrives(&mut self, heartbeat: Heartbeat) {
        let machine = &self.machines[heartbeat.index];
        let is_of_current_life = machine.target.id == heartbeat.id;
        if machine.participant.is_none() || !(self.options.late_heartbeats || is_of_current_life) {
            return;
        }
        let is_unconfirmed = machine.lives.is_unconfirmed(&heartbeat.id);
        if is_unconfirmed && !self.options.believe_unknown_lives {
            self.check_health(heartbeat);
        } else {
            self.receive_heartbeat(heartbeat);
        }
    }

    /// Handles a heartbeat of the known life, or of one that has ended or is to become known.
    pub(super) fn receive_heartbeat(&mut self, heartbeat: Heartbeat) {
        let machine = &mut self.machines[heartbeat.index];
        let known = machine.last_heartbeat.clone();
        let is_late = known == Some((heartbeat.id.clone(), heartbeat.sequence))
            || known
                .is_some_and(|(id, sequence)| id == heartbeat.id && sequence > heartbeat.sequence);
        let has_ended = machine.lives.has_ended(&heartbeat.id);
        if has_ended || (is_late && !self.options.process_late_heartbeats) {
            let answered = Step::Answered(heartbeat, None);
            return self.after(2, Event::Heartbeat(answered));
        }
        machine.last_heartbeat = Some((heartbeat.id.clone(), heartbeat.sequence));
        machine.lives.is_unreachable = false;
        let (index, life) = (heartbeat.index, machine.life);
        self.life_begins(index, &heartbeat.id);
        if self.options.delivery == Delivery::Calls {
            return self.input(index, life, |participant, now, context| {
                participant.renew_soon(now, context)
            });
        }
        let arrived_at = self.clock(index);
        let report = heartbeat.report.clone();
        self.input(index, life, |participant, now, context| {
            participant.keys_reported(now, &report);
            participant.renew_soon(now, context)
        });
        let until = self.now + MAX_RESPONSE_DELAY_MS;
        self.check_for_changes(heartbeat, life, arrived_at, until);
    }

    fn check_for_changes(&mut self, heartbeat: Heartbeat, life: u64, arrived_at: Time, until: u64) {
        let index = heartbeat.index;
        let now = self.clock(index);
        let machine = &mut self.machines[index];
        let last_heartbeat = (heartbeat.id.clone(), heartbeat.sequence);
        let Some(participant) = machine
            .participant
            .as_mut()
            .filter(|_| machine.life == life && machine.last_heartbeat == Some(last_heartbeat))
        else {
            return;
        };
        if !participant.has_key_changes(now) && self.now < until {
            let look = Step::CheckChanges(heartbeat, life, arrived_at, until);
            return self.after(CHANGE_CHECK_INTERVAL_MS, Event::Heartbeat(look));
        }
        let answer = participant.key_assignment(now, arrived_at);
        self.trace(|| format!("node {index}: answers {} {answer:?}", heartbeat.sequence));
        if self.rng.random_bool(self.options.late_order_rate) {
            // The response is lost.
            return;
        }
        let delay = self.rng.random_range(1..4);
        let answered = Step::Answered(heartbeat, answer);
        self.after(delay, Event::Heartbeat(answered));
    }

    fn heartbeat_answered(&mut self, heartbeat: Heartbeat, answer: Option<KeyAssignment>) {
        let now = self.now;
        let index = heartbeat.index;
        let target = &mut self.machines[index].target;
        let rows = &mut target.rows;
        let is_waited_for = target.id == heartbeat.id
            && target.up
            && rows.is_waiting
            && rows.sequence == heartbeat.sequence;
        if !is_waited_for {
            return;
        }
        rows.is_waiting = false;
        let mut acquired = Vec::new();
        if let Some(answer) = &answer {
            let rng = &mut self.rng;
            acquired = rows.take(now, answer, |most| rng.random_range(0..most));
        }
        let pause = if rows.is_releasing() {
            RELEASING_HEARTBEAT_INTERVAL_MS
        } else {
            (rows.sent_at + HEARTBEAT_INTERVAL_MS).saturating_sub(now)
        };
        let id = heartbeat.id;
        for (key, fence) in acquired {
            self.check_not_worked_on_elsewhere(key, index);
            self.acquired(index, key, fence, false);
        }
        self.after(pause, Event::Heartbeat(Step::Due(index, id)));
    }

    /// Checks that no other target is still working, under a lease, on a key that a target has
    /// acquired.
    fn check_not_worked_on_elsewhere(&mut self, key: usize, taker: usize) {
        let now = self.now;
        let worker = (0..NODES).find(|node| {
            let target = &self.machines[*node].target;
            *node != taker && target.up && target.rows.works_on(now, key)
        });
        if let Some(worker) = worker {
            let detail =
                format!("key {key} was acquired by node {taker} while node {worker} worked on it");
            self.fail(Rule::OneOwner, detail);
        }
    }
}
