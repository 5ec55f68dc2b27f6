//! Calls to the platform's store. Calls may be lost, late or refused, and the store may be restored
//! from an earlier copy.

use super::*;

/// Time between restores of the store, in milliseconds.
const RESTORE_INTERVAL_MS: std::ops::Range<u64> = 2_500..11_000;
/// Age of the copy that the store is restored from, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 200..9_000;
/// Outage of the store at each restore, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 50..1_500;

/// A copy of the store's state.
#[derive(Clone)]
pub struct StoreCopy {
    object: Stored,
    revision: u64,
    registered: BTreeMap<String, (u64, Registration)>,
    pages: BTreeMap<String, RegistryPage>,
}

impl World {
    fn copy(&self) -> StoreCopy {
        StoreCopy {
            object: self.object.clone(),
            revision: self.revision,
            registered: self.registered.clone(),
            pages: self.pages.clone(),
        }
    }

    /// Keeps a copy of the state before a change.
    pub(super) fn keep_copy(&mut self) {
        if self.options.store_restores {
            self.copies.push((self.now, self.copy()));
        }
    }

    /// Schedules restores of the store until the faults end.
    pub(super) fn schedule_restores(&mut self) {
        let delay = self.rng.random_range(RESTORE_INTERVAL_MS);
        if self.now + delay >= FAULT_PERIOD_MS.1 {
            return;
        }
        self.schedule(delay, |world| {
            world.restore();
            world.schedule_restores();
        });
    }

    fn restore(&mut self) {
        let age = self.rng.random_range(COPY_AGE_MS);
        let away = self.rng.random_range(OUTAGE_MS);
        let as_of = self.now.saturating_sub(age);
        self.store_down_until = self.store_down_until.max(self.now + away);
        self.trace(|| format!("the store is restored from a copy {age} ms old"));
        let copies = self.copies.iter();
        let Some(copy) = copies.clone().find(|(until, _)| *until > as_of) else {
            return;
        };
        let copy = copy.1.clone();
        let lost = std::mem::replace(&mut self.object, copy.object);
        self.earlier_objects.push((self.now, lost));
        self.revision = copy.revision;
        self.registered = copy.registered;
        self.pages = copy.pages;
        self.copies.retain(|(until, _)| *until <= as_of);
        if !self.options.hide_store_eras {
            self.era = StoreEra(self.era.0 + 1);
        }
    }

    /// Passes the store's era to a node. In a new era the node's registration may be lost.
    pub(super) fn set_store_era(&mut self, index: usize, era: StoreEra) {
        let now = self.clock(index);
        let machine = &mut self.machines[index];
        if era <= machine.known_era {
            return;
        }
        machine.known_era = era;
        if let Some(participant) = &mut machine.participant {
            participant.set_store_era(now, era);
            self.register(index);
        }
    }

    pub(super) fn store_call(&mut self, index: usize, call: StoreCall) {
        let life = self.machines[index].life;
        let unreachable =
            self.machines[index].store_unreachable || self.now < self.store_down_until;
        let lost = self.rng.random_bool(self.options.store_fault_rate);
        if unreachable || lost {
            self.after(
                1_200,
                Event::StoreAnswers(index, life, call, StoreReply::Failed, None),
            );
            return;
        }
        let late = self.rng.random_bool(self.options.store_fault_rate);
        let delay = if late {
            self.rng.random_range(1_000..5_000)
        } else {
            self.rng.random_range(1..20)
        };
        if late {
            self.after(
                1_200,
                Event::StoreAnswers(index, life, call.clone(), StoreReply::Failed, None),
            );
        }
        self.after(
            delay,
            Event::StoreArrives(index, if late { 0 } else { life }, call),
        );
    }

    pub(super) fn store_arrives(&mut self, index: usize, life: u64, call: StoreCall) {
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
            StoreCall::List if self.options.leaders_dont_wait => {
                StoreReply::Listed(RegisteredNodes::default())
            }
            StoreCall::List => StoreReply::Listed(self.registered_nodes()),
            StoreCall::WritePage(page) => {
                if !self.options.lose_registry_pages {
                    self.keep_copy();
                    // An existing page has the same content and stems from a call whose answer was
                    // lost.
                    self.pages.entry(page.name()).or_insert(page.clone());
                }
                StoreReply::Written
            }
            StoreCall::RemovePage(name) => {
                self.keep_copy();
                self.pages.remove(name);
                StoreReply::Written
            }
            StoreCall::Registration(_, call, content) => {
                StoreReply::Registration(self.execute_registration(index, *call, content))
            }
        };
        let delay = self.rng.random_range(1..20);
        let era = Some(self.era);
        self.after(delay, Event::StoreAnswers(index, life, call, reply, era));
    }

    fn write_object(&mut self, leadership: Leadership) {
        self.keep_copy();
        self.revision += 1;
        let next = Some((self.revision, leadership));
        let before = std::mem::replace(&mut self.object, next);
        self.earlier_objects.push((self.now, before));
    }

    /// Returns the leadership object as the store's caches have it, which may be some seconds old.
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
        era: Option<StoreEra>,
    ) {
        if self.machines[index].life != life {
            return;
        }
        let known = self.machines[index].known_era;
        // An answer from before the restore is ignored.
        let reply = if era.is_none_or(|era| era < known) {
            StoreReply::Failed
        } else {
            reply
        };
        if let Some(era) = era {
            self.set_store_era(index, era);
        }
        match (call, reply) {
            (StoreCall::Registration(purpose, call, content), reply) => {
                let stored = if let StoreReply::Registration(stored) = reply {
                    Some(stored)
                } else {
                    None
                };
                self.registration_answered(index, purpose, call, &content, stored);
            }
            (StoreCall::Rewrite(..) | StoreCall::RemovePage(_), _) => {}
            (StoreCall::WritePage(page), StoreReply::Written) => {
                self.input(index, life, |participant, now, context| {
                    participant.registry_written(now, context, &page)
                });
            }
            (StoreCall::WritePage(_), _) => {}
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
                    StoreReply::Object(Some((_, leadership))) => Some(leadership),
                    _ => None,
                };
                self.input(index, life, |participant, now, context| {
                    participant.cached_leader_read(now, context, named)
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
                let is_in_its_era = leader.era == self.machines[index].known_era;
                let result = match reply {
                    StoreReply::Claimed(ClaimResult::Won) if !is_in_its_era => ClaimResult::Failed,
                    StoreReply::Claimed(result) => result,
                    _ => ClaimResult::Failed,
                };
                self.input(index, life, |participant, now, context| {
                    participant.claim_ended(now, context, sent_at, leader, result)
                });
            }
            (StoreCall::List, reply) => {
                let listed = if let StoreReply::Listed(listed) = reply {
                    Some(listed)
                } else {
                    None
                };
                self.input(index, life, |participant, now, context| {
                    participant.registered_listed(now, context, listed)
                });
            }
        }
    }
}
