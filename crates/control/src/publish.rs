//! Telling nodes what concerns them: configuration, grant lists, slice table.

use std::net::SocketAddr;

use wingspar_consensus::Replica;
use wingspar_wire::{GrantEntry, GrantList, GrantState, Message, Pull, SessionId, Takeover};
use wingspar_world::{Grant, ServiceName, TargetName};

use crate::leading::Push;
use crate::state::{GroupState, Slice, TakeoverKind};
use crate::{Control, Output};

impl Control {
    /// Pushes what changed to the nodes concerned, and again what they don't confirm.
    pub(crate) fn publish(&mut self, due: bool, out: &mut Vec<Output>) {
        let (Some(replica), Some(leading)) = (&self.replica, &mut self.leading) else {
            return;
        };
        let version = replica.state().version();
        let changed = leading.published != version;
        let rested = self.now.since(leading.published_at) >= self.settings.publish_interval;
        if !(due || changed && rested) {
            if changed {
                let at = leading.published_at + self.settings.publish_interval;
                self.next_tick = self.next_tick.min(at);
            }
            return;
        }
        leading.published = version;
        leading.published_at = self.now;
        let sessions: Vec<SessionId> = leading.sessions.keys().copied().collect();
        for session in sessions {
            self.publish_to(session, out);
        }
    }

    fn publish_to(&mut self, session: SessionId, out: &mut Vec<Output>) {
        let (Some(replica), Some(leading)) = (&self.replica, &mut self.leading) else {
            return;
        };
        let state = replica.state();
        let Some(view) = leading
            .sessions
            .get_mut(&session)
            .filter(|view| !view.ending)
        else {
            return;
        };
        let Some(session) = state.session(session) else {
            return;
        };
        let (now, retry) = (self.now, self.settings.push_retry);
        let address = session.machine.control_address;
        let config = state.configuration().version;
        if view.heard && view.pushed_config.is_due(now, config, view.config, retry) {
            view.pushed_config = Push {
                version: config,
                at: now,
            };
            self.counters.configurations_sent += 1;
            let configuration = Box::new(state.configuration().as_ref().clone());
            Self::send(address, Message::Configuration(configuration), out);
        }
        let grants = session.grants_version;
        if view.pushed_grants.is_due(now, grants, view.grants, retry) {
            view.pushed_grants = Push {
                version: grants,
                at: now,
            };
            self.counters.grant_lists_sent += 1;
            let list = self.grant_list(session.id);
            Self::send(address, Message::Grants(list), out);
        }
        self.publish_table(session.id, address, out);
    }

    fn publish_table(&mut self, session: SessionId, address: SocketAddr, out: &mut Vec<Output>) {
        let (Some(replica), Some(leading)) = (&self.replica, &mut self.leading) else {
            return;
        };
        let newest = replica.state().history().last();
        let Some(view) = leading.sessions.get_mut(&session) else {
            return;
        };
        let Some(held) = view.table else {
            return;
        };
        let (now, retry) = (self.now, self.settings.push_retry);
        if !view.pushed_table.is_due(now, newest, held, retry) {
            return;
        }
        // What was pushed lately is taken to have arrived; a gap is pulled or pushed again.
        let lately = now.since(view.pushed_table.at) < retry;
        let have = if lately {
            view.pushed_table.version.max(held)
        } else {
            held
        };
        view.pushed_table = Push {
            version: newest,
            at: now,
        };
        self.send_table(address, have, out);
    }

    /// Sends the configuration to a node that must have it before it gets a lease.
    pub(crate) fn push_configuration(
        &mut self,
        to: SocketAddr,
        session: Option<SessionId>,
        out: &mut Vec<Output>,
    ) {
        let (Some(replica), Some(leading)) = (&self.replica, &mut self.leading) else {
            return;
        };
        let configuration = replica.state().configuration();
        let view = session.and_then(|session| leading.sessions.get_mut(&session));
        if let Some(view) = view {
            let version = configuration.version;
            let pushed = Push {
                version,
                at: self.now,
            };
            if self.now.since(view.pushed_config.at) < self.settings.push_retry {
                return;
            }
            view.pushed_config = pushed;
        }
        self.counters.configurations_sent += 1;
        let configuration = Box::new(configuration.as_ref().clone());
        Self::send(to, Message::Configuration(configuration), out);
    }

    /// Answers a pull. Committed state is never wrong, only old, so any leader may answer.
    pub(crate) fn on_pull(&mut self, pull: Pull, reply_to: SocketAddr, out: &mut Vec<Output>) {
        if self.leading.is_none() || !self.holds_leader_lease() {
            return;
        }
        match pull {
            Pull::Configuration { have } => {
                if have < self.configuration_version() {
                    self.push_configuration(reply_to, None, out);
                }
            }
            Pull::Grants { node, session } => {
                let state = self.replica.as_ref().map(Replica::state);
                let known = state.and_then(|state| state.session_of(&node));
                if known.is_some_and(|known| known.id == session) {
                    self.counters.grant_lists_sent += 1;
                    let list = self.grant_list(session);
                    Self::send(reply_to, Message::Grants(list), out);
                }
            }
            Pull::Table { have } => self.send_table(reply_to, have, out),
        }
    }

    /// All grants of a session.
    fn grant_list(&self, session: SessionId) -> GrantList {
        let replica = self.replica.as_ref().expect("a leader has a replica");
        let state = replica.state();
        let holder = state
            .session(session)
            .expect("the caller found the session");
        let slices = state.slices_of(session);
        GrantList {
            group: self.settings.group,
            node: holder.node.clone(),
            session,
            version: holder.grants_version,
            entries: slices
                .flat_map(|(service, slice)| self.grant_entries(state, session, service, slice))
                .collect(),
        }
    }

    /// A slice can be in a list twice, when both its owners are beside the same agent.
    fn grant_entries(
        &self,
        state: &GroupState,
        session: SessionId,
        service: &ServiceName,
        slice: &Slice,
    ) -> Vec<GrantEntry> {
        let grant = |target: &TargetName| Grant {
            service: service.clone(),
            range: slice.range,
            target: target.clone(),
            fence: slice.fence,
        };
        let to = slice.hand_over.as_ref().and_then(|it| it.to.as_ref());
        let owner = slice.owner.iter().filter(|owner| owner.session == session);
        let incoming = to.into_iter().filter(|to| to.session == session);
        let owned = owner.map(|owner| GrantEntry {
            grant: grant(&owner.target),
            state: self.grant_state(state, slice),
        });
        let expected = incoming.map(|to| GrantEntry {
            grant: grant(&to.target),
            state: GrantState::Incoming,
        });
        owned.chain(expected).collect()
    }

    fn grant_state(&self, state: &GroupState, slice: &Slice) -> GrantState {
        let takeover = self.takeover(slice);
        match &slice.hand_over {
            Some(hand_over) => {
                let to = hand_over
                    .to
                    .as_ref()
                    .and_then(|to| state.session(to.session));
                GrantState::Release {
                    hand_over: hand_over.id,
                    successor: to.map(|to| to.machine.control_address),
                    takeover,
                }
            }
            None => GrantState::Hold { takeover },
        }
    }

    /// How a slice came to its owner, with its age as this leader knows it.
    pub(crate) fn takeover(&self, slice: &Slice) -> Takeover {
        match slice.takeover {
            TakeoverKind::First => Takeover::First,
            TakeoverKind::Planned => Takeover::Planned,
            TakeoverKind::Unplanned => {
                let age = self.observed.age(self.now, slice.since);
                Takeover::Unplanned {
                    age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                }
            }
        }
    }
}
