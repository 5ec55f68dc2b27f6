//! Performs the actions of participants: datagrams, store calls, and orders to targets.

use super::*;

impl World {
    pub(super) fn perform(&mut self, index: usize, life: u64, action: Action) {
        match action {
            Action::Send(to, datagram) => self.send(index, to, datagram),
            Action::ReadLeadership => self.store_call(index, StoreCall::Read(self.clock(index))),
            Action::ReadCachedLeadership => self.store_call(index, StoreCall::ReadCached),
            Action::Confirm => self.store_call(index, StoreCall::Confirm(self.clock(index))),
            Action::ListRegistered => self.store_call(index, StoreCall::List),
            Action::Claim(revision, leader) => {
                self.store_call(index, StoreCall::Claim(self.clock(index), revision, leader));
            }
            Action::Rewrite(revision, leadership) => {
                self.store_call(index, StoreCall::Rewrite(revision, leadership));
            }
            Action::RegisterSelf => self.registers_itself_from_now(index),
            Action::RegistrationMissing(revision) => self.registration_missing(index, revision),
            Action::WriteRegistry(page) => self.store_call(index, StoreCall::WritePage(page)),
            Action::RemoveRegistry(name) => self.store_call(index, StoreCall::RemovePage(name)),
            Action::Order(order) => {
                if self.counts_as_released(index, life, &order) {
                    return;
                }
                let late = self.rng.random_bool(self.options.late_order_rate);
                let delay = if late {
                    self.rng.random_range(2_000..12_000)
                } else {
                    self.rng.random_range(1..8)
                };
                let sent_at = self.clock(index);
                if late {
                    // The caller gives up long before the order is carried out.
                    let failed =
                        matches!(order, Order::Grant { .. }).then_some(GrantResult::Failed);
                    self.after(
                        600,
                        Event::OrderAnswers(index, life, order.clone(), sent_at, false, failed),
                    );
                }
                let sent = SentOrder {
                    order,
                    sent_at,
                    meant_for: self.machines[index].lives.current.clone(),
                };
                self.after(delay, Event::OrderArrives(index, life, sent));
            }
            Action::FetchTable(from) => {
                let other = self.index_of(from);
                let table = other
                    .filter(|other| self.reaches(index, *other) && self.reaches(*other, index));
                let known = self.machines[index]
                    .participant
                    .as_ref()
                    .map(Participant::table);
                let known = known
                    .map(|table| (table.epoch, table.version))
                    .unwrap_or_default();
                let table = table.and_then(|other| {
                    let participant = self.machines[other].participant.as_ref()?;
                    Some(participant.table_since(known.0, known.1))
                });
                let delay = self.rng.random_range(2..30);
                self.after(delay, Event::TableArrives(index, life, table));
            }
            Action::Log(note) => self.trace(|| format!("node {index}: {note:?}")),
            Action::StoreEra(era) => self.set_store_era(index, era),
            Action::FetchConfiguration(..)
            | Action::ConfigurationChecked(_)
            | Action::EvacuationsReceived(..)
            | Action::QuarantineReported(_)
            | Action::QuarantineAnswered(_)
            | Action::TableChanged => {}
        }
    }

    /// Whether the order is a release that the node takes to be done without asking the target.
    fn counts_as_released(&mut self, index: usize, life: u64, order: &Order) -> bool {
        let lives = &mut self.machines[index].lives;
        let is_skipped = match order {
            Order::Grant { fence, .. } => {
                lives.granted(*fence);
                false
            }
            Order::Release { fence, .. } => lives.is_of_earlier_life(*fence),
            Order::Clear { .. } => false,
        };
        if !is_skipped || !self.options.new_lives_hold_nothing {
            return false;
        }
        let sent_at = self.clock(index);
        let ended = Event::OrderAnswers(index, life, order.clone(), sent_at, true, None);
        self.after(0, ended);
        true
    }

    pub(super) fn index_of(&self, address: SocketAddr) -> Option<usize> {
        self.machines
            .iter()
            .position(|machine| machine.address == address)
    }

    pub(super) fn reaches(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to))
    }

    pub(super) fn send(&mut self, from: usize, to: SocketAddr, datagram: Datagram) {
        let Some(other) = self.index_of(to) else {
            return;
        };
        let lost = self.rng.random_bool(0.02);
        if lost || !self.reaches(from, other) {
            return;
        }
        let slow = self.rng.random_bool(0.03);
        let delay = if slow {
            self.rng.random_range(30..400)
        } else {
            self.rng.random_range(1..10)
        };
        let sender = self.machines[from].address;
        self.after(delay, Event::Datagram(other, sender, Box::new(datagram)));
    }

    pub(super) fn order_arrives(&mut self, index: usize, life: u64, sent: SentOrder) {
        let SentOrder {
            order,
            sent_at,
            meant_for,
        } = sent;
        let now = self.now;
        let late = self.clock(index).0.saturating_sub(sent_at.0) > 1_500;
        self.trace(|| format!("node {index}: {order:?} sent {sent_at:?}"));
        // An order names the target's address, not the life.
        let target = &mut self.machines[index].target;
        let reached = target.up;
        let id = target.id.clone();
        let is_grant = matches!(order, Order::Grant { .. });
        let mut result = is_grant.then_some(GrantResult::Failed);
        let mut acquired = Vec::new();
        if reached {
            match &order {
                Order::Grant {
                    range, fence, hold, ..
                } => {
                    let taken = target.grant(now, *range, *fence, hold.as_millis() as u64, late);
                    result = Some(if taken.is_some() {
                        GrantResult::Granted
                    } else {
                        GrantResult::Outranked
                    });
                    acquired = taken
                        .unwrap_or_default()
                        .into_iter()
                        .map(|index| (index, *fence))
                        .collect();
                }
                Order::Release { range, .. } => target.release(*range),
                Order::Clear { .. } => target.release(wingspar_ownership::KeyRange::ALL),
            }
        }
        if late {
            // Grants that arrive late don't count, because no requests are sent to such a target.
            return;
        }
        let is_renewal_across_lives = meant_for.is_some_and(|life| life != id);
        for (key, fence) in acquired {
            self.acquired(index, key, fence, is_renewal_across_lives);
        }
        let delay = self.rng.random_range(1..60);
        self.after(
            delay,
            Event::OrderAnswers(index, life, order, sent_at, reached, result),
        );
    }
}
