//! Calls to the platform's store, which may be lost, late or refused.

use super::*;

impl World {
    pub(super) fn store_call(&mut self, index: usize, call: StoreCall) {
        let life = self.machines[index].life;
        let unreachable = self.machines[index].store_cut || self.now < self.store_down_until;
        let lost = self.rng.random_bool(self.options.store_trouble);
        if unreachable || lost {
            self.after(
                1_200,
                Event::StoreAnswers(index, life, call, StoreReply::Failed),
            );
            return;
        }
        let late = self.rng.random_bool(self.options.store_trouble);
        let delay = if late {
            self.rng.random_range(1_000..5_000)
        } else {
            self.rng.random_range(1..20)
        };
        if late {
            self.after(
                1_200,
                Event::StoreAnswers(index, life, call.clone(), StoreReply::Failed),
            );
        }
        self.after(
            delay,
            Event::StoreArrives(index, if late { 0 } else { life }, call),
        );
    }

    pub(super) fn store_arrives(&mut self, index: usize, life: u64, call: StoreCall) {
        let name = self.machines[index].name.clone();
        let reply = match &call {
            StoreCall::Read(_) | StoreCall::Confirm(_) => StoreReply::Object(self.object.clone()),
            StoreCall::ReadCached => StoreReply::Object(self.cached_object()),
            StoreCall::Claim(_, revision, leader) => {
                if self.object.as_ref().map(|(known, _)| *known) == *revision {
                    self.write_object(leader.clone());
                    StoreReply::Claimed(ClaimResult::Won)
                } else {
                    StoreReply::Claimed(ClaimResult::Conflict(self.object.clone()))
                }
            }
            StoreCall::Rewrite(revision, leadership) => {
                if self.object.as_ref().map(|(known, _)| known) == Some(revision) {
                    self.write_object(leadership.clone());
                }
                StoreReply::Failed
            }
            StoreCall::List if self.options.leaders_dont_wait => StoreReply::Listed(Vec::new()),
            StoreCall::List => StoreReply::Listed(self.registered.values().cloned().collect()),
            StoreCall::Register => {
                let known = RegisteredNode {
                    node: name.clone(),
                    address: self.machines[index].address,
                    service: Some(self.service_of(index).to_owned()),
                };
                self.registered.insert(name, known);
                StoreReply::Registered
            }
        };
        let delay = self.rng.random_range(1..20);
        self.after(delay, Event::StoreAnswers(index, life, call, reply));
    }

    fn write_object(&mut self, leadership: Leadership) {
        self.revision += 1;
        let next = Some((self.revision, leadership));
        let before = std::mem::replace(&mut self.object, next);
        self.earlier_objects.push((self.now, before));
    }

    /// The object as the store's caches have it: as it was up to some seconds ago.
    fn cached_object(&mut self) -> Stored {
        let as_of = self.now.saturating_sub(self.rng.random_range(0..4_000));
        let earlier = self
            .earlier_objects
            .iter()
            .find(|(until, _)| *until > as_of);
        earlier.map_or(&self.object, |(_, object)| object).clone()
    }

    pub(super) fn store_answers(
        &mut self,
        index: usize,
        life: u64,
        call: StoreCall,
        reply: StoreReply,
    ) {
        match (call, reply) {
            (StoreCall::Register, StoreReply::Registered) if self.machines[index].life == life => {
                self.machines[index].registered = true;
            }
            (StoreCall::Rewrite(..), _) => {}
            (StoreCall::Register, _) => {
                if self.machines[index].life == life && life != 0 {
                    self.store_call(index, StoreCall::Register);
                }
            }
            (StoreCall::Read(sent_at), reply) => {
                let stored = if let StoreReply::Object(stored) = reply {
                    Ok(stored)
                } else {
                    Err(())
                };
                self.input(index, life, |participant, now, _| {
                    participant.leadership_read(now, sent_at, stored)
                });
            }
            (StoreCall::ReadCached, reply) => {
                let named = match reply {
                    StoreReply::Object(Some((_, leadership))) => Some(leadership.leader),
                    _ => None,
                };
                self.input(index, life, |participant, now, around| {
                    participant.cached_leader_read(now, around, named)
                });
            }
            (StoreCall::Confirm(sent_at), reply) => {
                let named = if let StoreReply::Object(stored) = reply {
                    stored
                } else {
                    None
                };
                self.input(index, life, |participant, now, _| {
                    participant.confirmed(now, sent_at, named)
                });
            }
            (StoreCall::Claim(sent_at, _, leader), reply) => {
                let result = if let StoreReply::Claimed(result) = reply {
                    result
                } else {
                    ClaimResult::Failed
                };
                self.input(index, life, |participant, now, around| {
                    participant.claim_ended(now, around, sent_at, leader, result)
                });
            }
            (StoreCall::List, reply) => {
                let listed = if let StoreReply::Listed(listed) = reply {
                    Some(listed)
                } else {
                    None
                };
                self.input(index, life, |participant, now, around| {
                    participant.registered_listed(now, around, listed)
                });
            }
        }
    }
}
