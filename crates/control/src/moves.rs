//! Operators' orders to move keys.

use wingspar_consensus::Replica;
use wingspar_wire::Availability;
use wingspar_world::{ServiceName, SliceRange, TargetName};

use crate::command::Command;
use crate::operator::{Durability, OperatorReply};
use crate::operators::change_id_mistake;
use crate::{Control, Output};

/// A move that waits for its commit.
#[derive(Debug)]
pub(crate) struct PendingMove {
    request: u64,
    change_id: String,
    index: u64,
    durability: Durability,
}

impl Control {
    /// Takes in an operator's order to move keys.
    pub(crate) fn order_move(
        &mut self,
        id: u64,
        change_id: String,
        (service, range, to): (ServiceName, SliceRange, TargetName),
        durability: Durability,
    ) -> Option<OperatorReply> {
        if let Some(mistake) = change_id_mistake(&change_id) {
            return Some(OperatorReply::Invalid(vec![mistake]));
        }
        if let Some(reply) = self.first_answer(&change_id) {
            return self.answer_move(id, change_id, reply, durability);
        }
        let state = self.replica.as_ref().map(Replica::state)?;
        if state.slices(&service).is_none() {
            return Some(OperatorReply::NotFound);
        }
        let Some(target) = state.target(&to).filter(|target| target.service == service) else {
            return Some(OperatorReply::NotFound);
        };
        let Some(owner) = state.owner_on(target) else {
            let availability = state.availability(&to);
            return Some(OperatorReply::Unavailable {
                reason: format!("target {to} is {}", describe(availability)),
            });
        };
        let position = self.propose(Command::Move {
            change_id: change_id.clone(),
            service,
            range,
            to: owner,
        });
        let Some(position) = position else {
            return Some(OperatorReply::Unavailable {
                reason: "the group can't take the order now".to_owned(),
            });
        };
        let leading = self.leading.as_mut()?;
        leading.barrier = position.index;
        leading.moves.push(PendingMove {
            request: id,
            change_id,
            index: position.index,
            durability,
        });
        None
    }

    /// Answers at once or, if the store must have the move, once it has.
    fn answer_move(
        &mut self,
        id: u64,
        change_id: String,
        reply: OperatorReply,
        durability: Durability,
    ) -> Option<OperatorReply> {
        if !self.is_durable(&reply, durability) {
            let leading = self.leading.as_mut()?;
            leading.moves.push(PendingMove {
                request: id,
                change_id,
                index: 0,
                durability,
            });
            return None;
        }
        Some(reply)
    }

    fn is_durable(&self, reply: &OperatorReply, durability: Durability) -> bool {
        match (reply, durability) {
            (OperatorReply::MoveAccepted { version }, Durability::Stored) => {
                self.stored_version() >= *version
            }
            _ => true,
        }
    }

    /// Answers moves that are committed, and stored if that was asked for.
    pub(crate) fn settle_moves(&mut self, out: &mut Vec<Output>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if leading.moves.is_empty() {
            return;
        }
        let moves = std::mem::take(&mut leading.moves);
        let applied = self.replica.as_ref().map_or(0, Replica::applied_index);
        let mut waiting = Vec::new();
        for one in moves {
            let id = one.request;
            match self.first_answer(&one.change_id) {
                Some(reply) if self.is_durable(&reply, one.durability) => {
                    out.push(Output::OperatorReply { id, reply });
                }
                None if applied >= one.index => {
                    let reason = "the target went away; nothing was moved".to_owned();
                    let reply = OperatorReply::Unavailable { reason };
                    out.push(Output::OperatorReply { id, reply });
                }
                _ => waiting.push(one),
            }
        }
        if let Some(leading) = &mut self.leading {
            leading.moves = waiting;
        }
    }

    /// Answers moves under way when leadership ends.
    pub(crate) fn give_up_moves(&mut self, out: &mut Vec<Output>) {
        let moves = self.leading.iter_mut().flat_map(|it| it.moves.drain(..));
        for one in moves {
            let reason = "leadership ended before the move was confirmed".to_owned();
            out.push(Output::OperatorReply {
                id: one.request,
                reply: OperatorReply::Unknown { reason },
            });
        }
    }
}

fn describe(availability: Availability) -> &'static str {
    match availability {
        Availability::Serving => "serving",
        Availability::Draining => "draining",
        Availability::Down => "down",
        Availability::Removed => "removed",
    }
}
