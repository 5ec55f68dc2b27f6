//! Taking in messages: who may speak, whose term counts, and who handles what.

use wingspar_world::{MonotonicTime, NodeId};

use crate::message::{Body, Message};
use crate::replica::{BodyOf, MessageOf, Phase, Replica};
use crate::{EntryId, Output, StateMachine};

/// Terms and indexes beyond this can't come from a sound peer and are refused, so that counting
/// up from them can't overflow.
const MAX_COUNT: u64 = u64::MAX / 2;

impl<S: StateMachine> Replica<S> {
    /// Takes in a message. Whatever it holds, the replica stays intact.
    pub fn receive(
        &mut self,
        now: MonotonicTime,
        from: NodeId,
        message: MessageOf<S>,
        out: &mut Vec<Output<S>>,
    ) {
        self.observe(now);
        if !self.admit(&from, &message, out) {
            return;
        }
        if !self.settle_term(&from, &message, out) {
            return;
        }
        self.dispatch(from, message, out);
    }

    /// Whether the message is meant for this replica and its sender may still speak.
    fn admit(&mut self, from: &NodeId, message: &MessageOf<S>, out: &mut Vec<Output<S>>) -> bool {
        let origins_differ = match (self.origin, message.origin) {
            (Some(mine), Some(theirs)) => mine != theirs,
            _ => false,
        };
        let counter = if message.group != self.group {
            &mut self.counters.wrong_group
        } else if message.generation != self.generation {
            &mut self.counters.wrong_generation
        } else if message.to != self.id {
            &mut self.counters.wrong_recipient
        } else if origins_differ {
            &mut self.counters.wrong_origin
        } else if matches!(self.phase, Phase::Removed) {
            &mut self.counters.after_removal
        } else if self.excludes(from, message.membership_at) {
            self.tell_excluded(from, &message.body, out);
            &mut self.counters.excluded_sender
        } else if !has_sane_counts(message) {
            &mut self.counters.malformed
        } else if is_answer(&message.body) && !self.is_member(from) {
            &mut self.counters.unknown_sender
        } else {
            return true;
        };
        *counter += 1;
        false
    }

    /// Whether a process is excluded by a committed membership it doesn't know of. A process that
    /// became a member later knows a later membership and isn't excluded.
    fn excludes(&self, from: &NodeId, their_membership_at: EntryId) -> bool {
        let (committed_at, committed) = self.memberships.at(self.commit);
        !committed.voters.is_empty()
            && !self.is_member(from)
            && their_membership_at <= *committed_at
    }

    fn tell_excluded(&mut self, from: &NodeId, body: &BodyOf<S>, out: &mut Vec<Output<S>>) {
        if matches!(body, Body::PreVote { .. } | Body::Vote { .. }) {
            let (excluded_at, _) = *self.memberships.at(self.commit);
            self.send(from, Body::NotMember { excluded_at }, out);
        }
    }

    /// Brings the terms of sender and receiver together; false when the message ends here.
    fn settle_term(
        &mut self,
        from: &NodeId,
        message: &MessageOf<S>,
        out: &mut Vec<Output<S>>,
    ) -> bool {
        if message.term > self.term {
            return self.settle_newer_term(message, out);
        }
        if message.term < self.term {
            return self.settle_older_term(from, &message.body, out);
        }
        true
    }

    fn settle_newer_term(&mut self, message: &MessageOf<S>, out: &mut Vec<Output<S>>) -> bool {
        match &message.body {
            Body::PreVote { .. } | Body::NotMember { .. } => {}
            Body::Vote { transfer, .. } if !transfer && self.hears_leader() => {
                self.counters.refused_for_lease += 1;
                return false;
            }
            _ => self.adopt_term(message.term, out),
        }
        true
    }

    fn settle_older_term(
        &mut self,
        from: &NodeId,
        body: &BodyOf<S>,
        out: &mut Vec<Output<S>>,
    ) -> bool {
        let answer = match body {
            // Pre-votes bind nobody, so answers of voters behind in term count.
            Body::PreVoteResponse { .. } | Body::NotMember { .. } => return true,
            Body::Append { sent_at, .. }
            | Body::Heartbeat { sent_at, .. }
            | Body::Snapshot { sent_at, .. } => Body::HeartbeatResponse { echo: *sent_at },
            Body::PreVote { next_term, .. } => Body::PreVoteResponse {
                next_term: *next_term,
                granted: false,
            },
            Body::Vote { .. } => Body::VoteResponse { granted: false },
            _ => {
                self.counters.stale_term += 1;
                return false;
            }
        };
        self.counters.stale_term += 1;
        self.send(from, answer, out);
        false
    }

    fn dispatch(&mut self, from: NodeId, message: MessageOf<S>, out: &mut Vec<Output<S>>) {
        let origin = message.origin;
        match message.body {
            Body::PreVote { next_term, last } => self.on_pre_vote(&from, next_term, last, out),
            Body::PreVoteResponse { next_term, granted } => {
                self.on_pre_vote_response(from, next_term, granted, out);
            }
            Body::Vote { last, transfer } => self.on_vote(&from, last, transfer, out),
            Body::VoteResponse { granted } => self.on_vote_response(from, granted, out),
            Body::Append {
                previous,
                entries,
                commit,
                sent_at,
            } => {
                if self.hear_leader(&from, origin) {
                    self.on_append(&from, (previous, entries), commit, sent_at, out);
                }
            }
            Body::Heartbeat { commit, sent_at } => {
                if self.hear_leader(&from, origin) {
                    self.on_heartbeat(&from, commit, sent_at, out);
                }
            }
            Body::Snapshot { image, sent_at } => {
                if self.hear_leader(&from, origin) {
                    self.on_snapshot(&from, image, sent_at, out);
                }
            }
            Body::AppendResponse { outcome, echo } => {
                self.on_append_response(&from, outcome, echo, out);
            }
            Body::HeartbeatResponse { echo } => self.on_heartbeat_response(&from, echo, out),
            Body::TimeoutNow => self.on_timeout_now(&from, out),
            Body::NotMember { excluded_at } => self.on_not_member(&from, excluded_at, out),
        }
    }
}

/// Whether a message answers one that only members are sent.
fn is_answer<C, P>(body: &Body<C, P>) -> bool {
    matches!(
        body,
        Body::PreVoteResponse { .. }
            | Body::VoteResponse { .. }
            | Body::AppendResponse { .. }
            | Body::HeartbeatResponse { .. }
            | Body::NotMember { .. }
    )
}

/// Whether the counts that this replica would take over leave room to count on.
fn has_sane_counts<C, P>(message: &Message<C, P>) -> bool {
    let highest = match &message.body {
        Body::Append { previous, .. } => previous.index,
        Body::Snapshot { image, .. } => image.last.index,
        _ => 0,
    };
    message.term <= MAX_COUNT && highest <= MAX_COUNT
}
