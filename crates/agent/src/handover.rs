//! Giving slices up in order: wait for work in flight, move remembered requests, say so.
//!
//! Each step is repeated until its effect is seen: parts until the successor confirms them (for a
//! bounded time), `Released` until a newer grant list no longer shows the slice.

use std::net::SocketAddr;
use std::time::Duration;

use wingspar_wire::{
    GrantEntry, GrantState, Message, Outbound, Released, Remember, RememberReply, SessionId,
    StateVersion,
};
use wingspar_world::{Fence, GroupId, MonotonicTime, NodeId, ServiceName, SliceRange};

use crate::guard::Guards;
use crate::remember_parts;
use crate::remembered::Remembered;
use crate::{AgentEvent, Output};

/// Due time of a part that follows a confirmed one.
const AT_ONCE: MonotonicTime = MonotonicTime::ZERO;
/// First pause before a message is repeated; it doubles up to the setting.
const FIRST_REPEAT: Duration = Duration::from_millis(25);

/// How far a hand-over got.
#[derive(Debug)]
enum Stage {
    /// Work in flight is being finished.
    Finishing,
    /// Remembered requests go to the successor.
    Moving {
        parts: Vec<Remember>,
        next_send: MonotonicTime,
        give_up_at: MonotonicTime,
    },
    /// Nothing is left here; the leader is being told.
    Telling {
        remembered_moved: bool,
        next_send: MonotonicTime,
    },
}

#[derive(Debug)]
struct HandOver {
    service: ServiceName,
    range: SliceRange,
    fence: Fence,
    hand_over: StateVersion,
    successor: Option<SocketAddr>,
    stage: Stage,
    /// Next pause before a message is repeated.
    pause: Duration,
}

/// What a step needs to know of the rest of the agent.
pub(crate) struct Surroundings<'a> {
    pub(crate) group: GroupId,
    pub(crate) node: &'a NodeId,
    pub(crate) own_address: SocketAddr,
    pub(crate) session: SessionId,
    pub(crate) leader: Option<SocketAddr>,
    pub(crate) repeat: Duration,
    pub(crate) remember_timeout: Duration,
    pub(crate) remembered: &'a Remembered,
    pub(crate) guards: &'a Guards,
    /// Whether work of a range runs or may still begin.
    pub(crate) is_running: &'a dyn Fn(&ServiceName, SliceRange) -> bool,
}

/// A slice that has gone, remembered requests included.
pub(crate) struct Gone {
    pub(crate) service: ServiceName,
    pub(crate) range: SliceRange,
}

/// All hand-overs in which this agent gives something up.
#[derive(Debug, Default)]
pub(crate) struct HandOvers {
    active: Vec<HandOver>,
}

impl HandOvers {
    pub(crate) fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.active.clear();
    }

    /// Follows a new grant list. Returns the slices whose hand-over is complete.
    pub(crate) fn follow<'a>(
        &mut self,
        owned: impl Iterator<Item = &'a GrantEntry>,
        own_address: SocketAddr,
    ) -> Vec<Gone> {
        let mut before = std::mem::take(&mut self.active);
        for entry in owned {
            let GrantState::Release {
                hand_over,
                successor,
                ..
            } = entry.state
            else {
                continue;
            };
            let same = |one: &HandOver| {
                one.hand_over == hand_over
                    && one.successor == successor
                    && one.service == entry.grant.service
                    && one.range == entry.grant.range
            };
            let known = before.iter().position(same);
            let active = match known {
                Some(position) => before.swap_remove(position),
                None => HandOver {
                    service: entry.grant.service.clone(),
                    range: entry.grant.range,
                    fence: entry.grant.fence,
                    hand_over,
                    successor,
                    stage: Stage::Finishing,
                    pause: FIRST_REPEAT,
                },
            };
            self.active.push(active);
        }
        before
            .into_iter()
            .filter(|one| one.has_moved_elsewhere(own_address))
            .map(|one| Gone {
                service: one.service,
                range: one.range,
            })
            .collect()
    }

    /// Takes in a successor's confirmation. Returns whether it changed something.
    pub(crate) fn on_reply(&mut self, reply: &RememberReply) -> bool {
        let matches = |one: &&mut HandOver| {
            one.hand_over == reply.hand_over
                && one.service == reply.service
                && one.range == reply.range
        };
        let Some(one) = self.active.iter_mut().find(matches) else {
            return false;
        };
        let Stage::Moving {
            parts, next_send, ..
        } = &mut one.stage
        else {
            return false;
        };
        let before = parts.len();
        parts.retain(|part| part.part != reply.part);
        let confirmed = parts.len() < before;
        if confirmed {
            *next_send = AT_ONCE;
            one.pause = FIRST_REPEAT;
        }
        confirmed
    }

    pub(crate) fn next_wake(&self) -> MonotonicTime {
        let wakes = self.active.iter().map(|one| match &one.stage {
            Stage::Finishing => MonotonicTime::MAX,
            Stage::Moving {
                next_send,
                give_up_at,
                ..
            } => (*next_send).min(*give_up_at),
            Stage::Telling { next_send, .. } => *next_send,
        });
        wakes.min().unwrap_or(MonotonicTime::MAX)
    }

    /// Does what is due.
    pub(crate) fn step(
        &mut self,
        now: MonotonicTime,
        surroundings: &Surroundings<'_>,
        outputs: &mut Vec<Output>,
    ) {
        for one in &mut self.active {
            one.step(now, surroundings, outputs);
        }
    }
}

impl HandOver {
    fn has_moved_elsewhere(&self, own_address: SocketAddr) -> bool {
        let moved = matches!(
            self.stage,
            Stage::Telling {
                remembered_moved: true,
                ..
            }
        );
        moved && self.successor.is_some_and(|to| to != own_address)
    }

    fn step(
        &mut self,
        now: MonotonicTime,
        surroundings: &Surroundings<'_>,
        outputs: &mut Vec<Output>,
    ) {
        if matches!(self.stage, Stage::Finishing)
            && !(surroundings.is_running)(&self.service, self.range)
        {
            self.stage = self.after_finishing(now, surroundings);
            self.report_if_released(outputs);
        }
        if self.move_parts(now, surroundings, outputs) {
            self.report_if_released(outputs);
        }
        self.tell(now, surroundings, outputs);
    }

    fn after_finishing(&self, now: MonotonicTime, surroundings: &Surroundings<'_>) -> Stage {
        let telling = |remembered_moved| Stage::Telling {
            remembered_moved,
            next_send: now,
        };
        let parts = self.parts(now, surroundings);
        if parts.is_empty() || self.successor == Some(surroundings.own_address) {
            return telling(true);
        }
        if self.successor.is_none() {
            return telling(false);
        }
        Stage::Moving {
            parts,
            next_send: now,
            give_up_at: now + surroundings.remember_timeout,
        }
    }

    fn report_if_released(&self, outputs: &mut Vec<Output>) {
        if let Stage::Telling {
            remembered_moved, ..
        } = self.stage
        {
            outputs.push(Output::Event(AgentEvent::SliceReleased {
                service: self.service.clone(),
                range: self.range,
                remembered_moved,
            }));
        }
    }

    /// Sends unconfirmed parts when due. Returns whether moving came to an end.
    fn move_parts(
        &mut self,
        now: MonotonicTime,
        surroundings: &Surroundings<'_>,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Stage::Moving {
            parts,
            next_send,
            give_up_at,
        } = &mut self.stage
        else {
            return false;
        };
        if *next_send == AT_ONCE {
            *give_up_at = now + surroundings.remember_timeout;
        }
        if parts.is_empty() || now >= *give_up_at {
            self.stage = Stage::Telling {
                remembered_moved: parts.is_empty(),
                next_send: now,
            };
            self.pause = FIRST_REPEAT;
            return true;
        }
        let Some(to) = self.successor.filter(|_| now >= *next_send) else {
            return false;
        };
        // One part at a time: the confirmation asks for the next, so nothing is sent twice.
        if let Some(part) = parts.first() {
            let message = Message::Remember(part.clone());
            outputs.push(Output::Send(Outbound { to, message }));
        }
        *next_send = now + self.pause;
        self.pause = (self.pause * 2).min(surroundings.repeat);
        false
    }

    fn tell(
        &mut self,
        now: MonotonicTime,
        surroundings: &Surroundings<'_>,
        outputs: &mut Vec<Output>,
    ) {
        let Stage::Telling {
            remembered_moved,
            next_send,
        } = &mut self.stage
        else {
            return;
        };
        if now < *next_send {
            return;
        }
        *next_send = now + self.pause;
        self.pause = (self.pause * 2).min(surroundings.repeat);
        let Some(to) = surroundings.leader else {
            return;
        };
        let message = Message::Released(Released {
            group: surroundings.group,
            node: surroundings.node.clone(),
            session: surroundings.session,
            hand_over: self.hand_over,
            service: self.service.clone(),
            range: self.range,
            fence: self.fence,
            remembered_moved: *remembered_moved,
        });
        outputs.push(Output::Send(Outbound { to, message }));
    }

    /// All there is to remember of the slice; empty when there is nothing, no guard either.
    fn parts(&self, now: MonotonicTime, surroundings: &Surroundings<'_>) -> Vec<Remember> {
        let guard = surroundings.guards.latest(now, &self.service, self.range);
        let requests = surroundings
            .remembered
            .export(now, &self.service, self.range);
        if requests.is_empty() && guard.is_none() {
            return Vec::new();
        }
        let chunks = remember_parts::cut(requests);
        let count = chunks.len() as u32;
        let guard_remaining = guard.map_or(Duration::ZERO, |until| now.until(until));
        chunks
            .into_iter()
            .zip(0u32..)
            .map(|(requests, part)| Remember {
                node: surroundings.node.clone(),
                hand_over: self.hand_over,
                service: self.service.clone(),
                range: self.range,
                fence: self.fence,
                part,
                parts: count,
                guard_remaining_ms: guard_remaining.as_millis() as u64,
                requests,
            })
            .collect()
    }
}
