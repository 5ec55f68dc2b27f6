//! Sessions and their leases, as the leader answers for them.

use std::net::SocketAddr;

use wingspar_consensus::Replica;
use wingspar_wire::{Message, Renewal, RenewalReply, RenewalVerdict, SessionId};
use wingspar_world::{ConfigVersion, MonotonicTime};

use crate::command::{Command, SessionEnd};
use crate::leading::SessionView;
use crate::{Control, Output};

impl Control {
    /// Answers a renewal. A lease is given only under a valid leader lease, only for a committed
    /// session whose end was not proposed, and only with the configuration in force.
    pub(crate) fn on_renewal(
        &mut self,
        renewal: Renewal,
        reply_to: SocketAddr,
        out: &mut Vec<Output>,
    ) {
        self.counters.renewals += 1;
        let mismatch = renewal.node.machine != renewal.machine.name;
        if renewal.group != self.settings.group || mismatch {
            self.counters.malformed += 1;
            return;
        }
        let (group, sent_at) = (renewal.group, renewal.sent_at);
        let verdict = self.judge_renewal(renewal, reply_to, out);
        let reply = RenewalReply {
            group,
            sent_at,
            verdict,
        };
        Self::send(reply_to, Message::RenewalReply(reply), out);
    }

    fn judge_renewal(
        &mut self,
        renewal: Renewal,
        reply_to: SocketAddr,
        out: &mut Vec<Output>,
    ) -> RenewalVerdict {
        if self.leading.is_none() || !self.holds_leader_lease() {
            self.counters.not_leader += 1;
            let leader = self.known_leader().filter(|leader| *leader != self.node);
            let leader = leader.and_then(|leader| self.address_of(&leader));
            return RenewalVerdict::NotLeader { leader };
        }
        if let Some(required) = self.configuration_missing(&renewal) {
            self.counters.configuration_behind += 1;
            self.push_configuration(reply_to, renewal.session, out);
            return RenewalVerdict::ConfigurationBehind { required };
        }
        let Some(session) = self.committed_session(&renewal) else {
            if renewal.session.is_some() || renewal.finished {
                self.counters.session_over += 1;
                return RenewalVerdict::SessionOver;
            }
            self.register(renewal);
            return RenewalVerdict::Registering;
        };
        self.renew(session, renewal)
    }

    /// The version that a node must have before it gets a lease, if it lacks it.
    ///
    /// A lease that runs is counted in every report of what is in force, so its holder may lag by
    /// the bound. One that begins must not fall behind a report that was made without it.
    fn configuration_missing(&self, renewal: &Renewal) -> Option<ConfigVersion> {
        let leading = self.leading.as_ref()?;
        let newest = self.configuration_version();
        let session = self.committed_session(renewal);
        let view = session.and_then(|session| leading.sessions.get(&session));
        let is_running = view.is_some_and(|view| self.now < self.lease_may_run_until(view));
        let reported = if is_running {
            leading.configuration_floor.unwrap_or(newest)
        } else {
            newest
        };
        let bound = self.settings.configuration_bound;
        let accepted = &self.observed.configuration;
        let accepted_in_time = accepted.newest_at(self.now - bound).unwrap_or_default();
        let required = reported.max(accepted_in_time);
        (renewal.config < required).then_some(required)
    }

    /// The session that a renewal is for, if it is committed and not about to end.
    fn committed_session(&self, renewal: &Renewal) -> Option<SessionId> {
        let leading = self.leading.as_ref()?;
        let state = self.replica.as_ref()?.state();
        let session = state.session_of(&renewal.node)?.id;
        let named = renewal.session.is_none_or(|named| named == session);
        let ending = leading
            .sessions
            .get(&session)
            .is_some_and(|view| view.ending);
        (named && !ending).then_some(session)
    }

    fn register(&mut self, renewal: Renewal) {
        let applied = self.replica.as_ref().map_or(0, Replica::applied_index);
        let waiting = |index: &u64| *index > applied;
        let registering = self.leading.as_ref().map(|leading| &leading.registering);
        if registering.is_some_and(|it| it.get(&renewal.node).is_some_and(waiting)) {
            return;
        }
        let node = renewal.node.clone();
        let command = Command::RegisterSession {
            node: renewal.node,
            machine: renewal.machine,
        };
        let position = self.propose(command);
        if let (Some(position), Some(leading)) = (position, &mut self.leading) {
            leading.registering.insert(node, position.index);
        }
    }

    fn renew(&mut self, session: SessionId, renewal: Renewal) -> RenewalVerdict {
        let leaving = renewal.leaving && !self.is_marked_leaving(session);
        let finished = renewal.finished;
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return RenewalVerdict::NotLeader { leader: None };
        };
        let view = leading.sessions.entry(session);
        let view = view.or_insert_with(|| SessionView::new(now));
        if finished {
            self.finish_session(session);
            return RenewalVerdict::SessionOver;
        }
        view.answered_at = now;
        if renewal.sent_at >= view.sent_at {
            view.heard = true;
            view.sent_at = renewal.sent_at;
            view.config = renewal.config;
            view.grants = renewal.grants;
            view.table = renewal.table;
            view.targets = renewal.targets;
        }
        if leaving && !view.leaving_proposed {
            view.leaving_proposed = true;
            self.propose(Command::MarkLeaving { session });
        }
        self.counters.renewed += 1;
        self.renewed(session)
    }

    fn renewed(&self, session: SessionId) -> RenewalVerdict {
        let replica = self.replica.as_ref().expect("a leader has a replica");
        let state = replica.state();
        let grants = state.session(session).map(|it| it.grants_version);
        RenewalVerdict::Renewed {
            session,
            lease_ms: u64::try_from(self.settings.lease.as_millis()).unwrap_or(u64::MAX),
            config: state.configuration().version,
            grants: grants.unwrap_or_default(),
            table: state.history().last(),
        }
    }

    fn is_marked_leaving(&self, session: SessionId) -> bool {
        let state = self.replica.as_ref().map(Replica::state);
        let session = state.and_then(|state| state.session(session));
        session.is_some_and(|session| session.leaving)
    }

    /// The node gave its session up: it serves nothing any more, so there is no lease to wait for.
    fn finish_session(&mut self, session: SessionId) {
        let end = SessionEnd {
            session,
            lost: false,
        };
        let proposed = self.propose(Command::ExpireSessions(vec![end])).is_some();
        let view = self
            .leading
            .as_mut()
            .and_then(|it| it.sessions.get_mut(&session));
        if let Some(view) = view {
            view.ending = proposed;
        }
    }

    /// Brings the leader's view in line with the committed sessions. A session that the leader has
    /// not heard of may have been renewed until the moment it took over.
    pub(crate) fn sync_sessions(&mut self) {
        let (Some(replica), Some(leading)) = (&self.replica, &mut self.leading) else {
            return;
        };
        let state = replica.state();
        leading
            .sessions
            .retain(|id, _| state.session(*id).is_some());
        let now = self.now;
        for session in state.sessions() {
            let view = leading.sessions.entry(session.id);
            view.or_insert_with(|| SessionView::new(now));
            leading.registering.remove(&session.node);
        }
    }

    /// Proposes the end of sessions whose lease is over for certain.
    pub(crate) fn expire_sessions(&mut self) {
        let limit = self.settings.lease_with_drift();
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let over = |view: &SessionView| !view.ending && now.since(view.answered_at) > limit;
        let ends = leading.sessions.iter_mut().filter(|(_, view)| over(view));
        let ends: Vec<SessionEnd> = ends
            .map(|(session, view)| {
                view.ending = true;
                SessionEnd {
                    session: *session,
                    lost: true,
                }
            })
            .collect();
        if ends.is_empty() {
            return;
        }
        if self
            .propose(Command::ExpireSessions(ends.clone()))
            .is_none()
        {
            self.forget_ends(&ends);
        }
    }

    /// The replication refused the proposal, so the sessions go on.
    fn forget_ends(&mut self, ends: &[SessionEnd]) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        for end in ends {
            if let Some(view) = leading.sessions.get_mut(&end.session) {
                view.ending = false;
            }
        }
    }

    /// Latest time until which a session's lease may run, by this leader's clock.
    pub(crate) fn lease_may_run_until(&self, view: &SessionView) -> MonotonicTime {
        view.answered_at + self.settings.lease_with_drift()
    }
}
