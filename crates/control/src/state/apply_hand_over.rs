//! Hand-overs: begun, completed, called off, and operators' moves.

use wingspar_wire::StateVersion;
use wingspar_world::{KeyHash, ServiceName, SliceRange};

use super::{ChangeResult, GroupState, HandOver, TakeoverKind};
use crate::command::{HandOverOrder, SliceOwner};
use crate::operator::AssignmentReason;

impl GroupState {
    pub(super) fn apply_order(&mut self, at: StateVersion, order: &HandOverOrder) -> bool {
        let fit = match &order.to {
            Some(to) => *to != order.from && self.may_own(&order.service, to),
            None => true,
        };
        let slices = self.services.get_mut(&order.service);
        let slice = slices.and_then(|slices| slices.get_mut(&order.range));
        let Some(slice) = slice.filter(|slice| fit && slice.owner.as_ref() == Some(&order.from))
        else {
            return false;
        };
        if slice.hand_over.is_some() {
            return false;
        }
        slice.hand_over = Some(HandOver {
            id: at,
            to: order.to.clone(),
            reason: order.reason,
        });
        self.touch_session(at, order.from.session);
        if let Some(to) = &order.to {
            self.touch_session(at, to.session);
        }
        self.touch_range(at, &order.service, order.range);
        true
    }

    pub(super) fn apply_completion(
        &mut self,
        at: StateVersion,
        service: &ServiceName,
        range: &SliceRange,
        id: StateVersion,
        remembered_moved: bool,
    ) -> bool {
        let slices = self.services.get_mut(service);
        let Some(slice) = slices.and_then(|slices| slices.get_mut(range)) else {
            return false;
        };
        let Some(hand_over) = slice.hand_over.clone().filter(|it| it.id == id) else {
            return false;
        };
        let from = slice.owner.clone();
        match &hand_over.to {
            Some(to) => {
                let kind = if remembered_moved {
                    TakeoverKind::Planned
                } else {
                    TakeoverKind::Unplanned
                };
                slice.give_to(to.clone(), at, kind);
                slice.reason = hand_over.reason;
            }
            None => slice.orphan(at, hand_over.reason),
        }
        let to = hand_over.to.map(|to| to.session);
        for session in from.map(|from| from.session).into_iter().chain(to) {
            self.touch_session(at, session);
        }
        self.touch_range(at, service, *range);
        true
    }

    pub(super) fn apply_cancellation(
        &mut self,
        at: StateVersion,
        service: &ServiceName,
        range: &SliceRange,
        id: StateVersion,
    ) -> bool {
        let slices = self.services.get_mut(service);
        let Some(slice) = slices.and_then(|slices| slices.get_mut(range)) else {
            return false;
        };
        let Some(hand_over) = slice.hand_over.take_if(|it| it.id == id) else {
            return false;
        };
        let from = slice.owner.as_ref().map(|from| from.session);
        let to = hand_over.to.map(|to| to.session);
        for session in from.into_iter().chain(to) {
            self.touch_session(at, session);
        }
        self.touch_range(at, service, *range);
        true
    }

    /// Cuts slices at the range's ends and begins the hand-over of all within that have another
    /// owner. Slices that are being handed over already or have no owner are left to the leader.
    pub(super) fn apply_move(
        &mut self,
        at: StateVersion,
        change_id: &str,
        service: &ServiceName,
        range: SliceRange,
        to: &SliceOwner,
    ) -> bool {
        let known = self.changes.get(change_id).is_some();
        if known || !self.may_own(service, to) || !self.services.contains_key(service) {
            return false;
        }
        self.cut(at, service, range.first);
        if let Some(after) = range.last.0.checked_add(1) {
            self.cut(at, service, KeyHash(after));
        }
        self.clear_for_move(at, service, range, to);
        for order in self.orders_for_move(service, range, to) {
            self.apply_order(at, &order);
        }
        self.changes.remember(change_id, ChangeResult::Moved(at));
        true
    }

    /// Calls off hand-overs that lead elsewhere, and marks slices without owner for the target.
    fn clear_for_move(
        &mut self,
        at: StateVersion,
        service: &ServiceName,
        range: SliceRange,
        to: &SliceOwner,
    ) {
        let slices = self.services.get_mut(service).into_iter();
        let inside = slices.flat_map(|slices| slices.iter_mut());
        let mut called_off = Vec::new();
        for slice in inside.filter(|slice| range.covers(&slice.range)) {
            if slice.owner.is_none() {
                slice.preferred = Some(to.target.clone());
            }
            let elsewhere = |it: &mut HandOver| it.to.as_ref() != Some(to);
            if let Some(hand_over) = slice.hand_over.take_if(elsewhere) {
                let sessions = slice.owner.iter().chain(&hand_over.to).map(|it| it.session);
                called_off.push((slice.range, sessions.collect::<Vec<_>>()));
            }
        }
        for (range, sessions) in called_off {
            for session in sessions {
                self.touch_session(at, session);
            }
            self.touch_range(at, service, range);
        }
    }

    fn cut(&mut self, at: StateVersion, service: &ServiceName, first: KeyHash) {
        let Some(slices) = self.services.get_mut(service) else {
            return;
        };
        let Some(slice) = slices.at(first).map(|slice| slice.range) else {
            return;
        };
        if !slices.split(&slice, first) {
            return;
        }
        let owner = slices.at(first).and_then(|it| it.owner.clone());
        if let Some(owner) = owner {
            self.touch_session(at, owner.session);
        }
        self.touch_range(at, service, slice);
    }

    fn orders_for_move(
        &self,
        service: &ServiceName,
        range: SliceRange,
        to: &SliceOwner,
    ) -> Vec<HandOverOrder> {
        let slices = self.services[service].overlapping(range);
        let inside = slices.filter(|slice| range.covers(&slice.range));
        let order = |from: &SliceOwner, range| HandOverOrder {
            service: service.clone(),
            range,
            from: from.clone(),
            to: Some(to.clone()),
            reason: AssignmentReason::Operator,
        };
        inside
            .filter_map(|slice| Some(order(slice.owner.as_ref()?, slice.range)))
            .filter(|order| order.from != *to)
            .collect()
    }
}
