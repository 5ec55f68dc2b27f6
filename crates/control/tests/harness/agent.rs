//! A simple agent: renews its session, holds grants as told while its lease runs, and gives slices
//! up as asked after a moment.

use std::net::SocketAddr;
use std::time::Duration;

use wingspar_wire::*;
use wingspar_world::*;

const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time that work in flight takes to end before a slice is given up.
const RELEASE_AFTER: Duration = Duration::from_millis(50);

pub struct Agent {
    pub node: NodeId,
    pub machine: Machine,
    pub session: Option<SessionId>,
    pub config: ConfigVersion,
    pub configurations: Vec<ConfigVersion>,
    pub grants: Option<GrantList>,
    pub table: StateVersion,
    pub leaving: bool,
    pub finished: bool,
    /// Completed hand-overs keep their remembered requests.
    pub remembers: bool,
    /// Takes in no configuration.
    pub deaf_to_configuration: bool,
    pub lease: Option<Lease>,
    pub verdicts: Vec<RenewalVerdict>,
    pub target_loads: Vec<TargetLoad>,
    seeds: Vec<SocketAddr>,
    contact: usize,
    leader: Option<SocketAddr>,
    last_sent: MonotonicTime,
    next: MonotonicTime,
    releasing: Vec<(MonotonicTime, Released)>,
}

impl Agent {
    pub fn new(node: NodeId, machine: Machine, seeds: Vec<SocketAddr>, now: MonotonicTime) -> Self {
        Self {
            node,
            machine,
            session: None,
            config: ConfigVersion::default(),
            configurations: Vec::new(),
            grants: None,
            table: StateVersion::default(),
            leaving: false,
            finished: false,
            remembers: true,
            deaf_to_configuration: false,
            lease: None,
            verdicts: Vec::new(),
            target_loads: Vec::new(),
            seeds,
            contact: 0,
            leader: None,
            last_sent: now,
            next: now,
            releasing: Vec::new(),
        }
    }

    pub fn tick(&mut self, now: MonotonicTime) -> Vec<Outbound> {
        let mut sends = Vec::new();
        if now >= self.next {
            sends.push(self.renew(now));
        }
        let (due, later) = self.releasing.drain(..).partition(|(at, _)| *at <= now);
        self.releasing = later;
        let due: Vec<(MonotonicTime, Released)> = due;
        for (_, released) in due {
            // Sent again until the list no longer asks for it.
            if let Some(to) = self.leader {
                sends.push(Outbound {
                    to,
                    message: Message::Released(released.clone()),
                });
            }
            if self.asks_for(&released) {
                self.releasing.push((now + RELEASE_AFTER, released));
            }
        }
        sends
    }

    fn renew(&mut self, now: MonotonicTime) -> Outbound {
        if now.since(self.last_sent) >= ANSWER_TIMEOUT && self.leader.is_none() {
            self.contact = (self.contact + 1) % self.seeds.len();
        }
        self.next = now + ANSWER_TIMEOUT;
        self.last_sent = now;
        let to = self.leader.unwrap_or(self.seeds[self.contact]);
        // Without an answer until then, somebody else is asked.
        self.leader = None;
        let renewal = Renewal {
            group: GroupId(0),
            node: self.node.clone(),
            machine: self.machine.clone(),
            session: self.session,
            sent_at: now,
            config: self.config,
            grants: self
                .grants
                .as_ref()
                .map_or(StateVersion::default(), |list| list.version),
            table: Some(self.table),
            leaving: self.leaving,
            finished: self.finished,
            targets: self.target_loads.clone(),
        };
        Outbound {
            to,
            message: Message::Renewal(renewal),
        }
    }

    pub fn receive(
        &mut self,
        now: MonotonicTime,
        from: SocketAddr,
        message: Message,
    ) -> Vec<Outbound> {
        match message {
            Message::RenewalReply(reply) => self.on_reply(now, from, reply),
            Message::Configuration(configuration) if !self.deaf_to_configuration => {
                assert!(configuration.version >= ConfigVersion::default());
                if configuration.version > self.config {
                    self.config = configuration.version;
                    self.configurations.push(configuration.version);
                    self.next = now;
                }
            }
            Message::Grants(list) => self.on_grants(now, list),
            Message::Table(update)
                if update.since.is_none_or(|since| since <= self.table) && !update.more =>
            {
                self.table = self.table.max(update.version);
            }
            _ => {}
        }
        Vec::new()
    }

    fn on_reply(&mut self, now: MonotonicTime, from: SocketAddr, reply: RenewalReply) {
        match &reply.verdict {
            RenewalVerdict::Renewed {
                session, lease_ms, ..
            } => {
                self.leader = Some(from);
                if self.session != Some(*session) {
                    self.session = Some(*session);
                    self.grants = None;
                }
                let lease = Lease {
                    renewed_at: reply.sent_at,
                    duration: Duration::from_millis(*lease_ms),
                };
                if self
                    .lease
                    .is_none_or(|old| old.renewed_at < lease.renewed_at)
                {
                    self.lease = Some(lease);
                }
                self.next = reply.sent_at + RENEWAL_INTERVAL;
            }
            RenewalVerdict::SessionOver => {
                self.leader = Some(from);
                self.session = None;
                self.lease = None;
                self.grants = None;
                self.next = now + Duration::from_millis(20);
            }
            RenewalVerdict::Registering | RenewalVerdict::ConfigurationBehind { .. } => {
                self.leader = Some(from);
                self.next = now + Duration::from_millis(50);
            }
            RenewalVerdict::NotLeader { leader } => {
                self.leader = *leader;
                self.next = now + Duration::from_millis(20);
                self.last_sent = self.last_sent - ANSWER_TIMEOUT;
            }
        }
        self.verdicts.push(reply.verdict);
    }

    fn on_grants(&mut self, now: MonotonicTime, list: GrantList) {
        let newer = self
            .grants
            .as_ref()
            .is_none_or(|held| held.version < list.version);
        if Some(list.session) != self.session || list.node != self.node || !newer {
            return;
        }
        for entry in &list.entries {
            if let GrantState::Release { hand_over, .. } = entry.state {
                let released = Released {
                    group: GroupId(0),
                    node: self.node.clone(),
                    session: list.session,
                    hand_over,
                    service: entry.grant.service.clone(),
                    range: entry.grant.range,
                    fence: entry.grant.fence,
                    remembered_moved: self.remembers,
                };
                if !self.releasing.iter().any(|(_, known)| *known == released) {
                    self.releasing.push((now + RELEASE_AFTER, released));
                }
            }
        }
        self.grants = Some(list);
    }

    fn asks_for(&self, released: &Released) -> bool {
        let entries = self.grants.iter().flat_map(|list| &list.entries);
        let asked = |state: &GrantState| matches!(state, GrantState::Release { hand_over, .. } if *hand_over == released.hand_over);
        entries
            .clone()
            .any(|entry| asked(&entry.state) && entry.grant.range == released.range)
    }

    /// Grants that may be served now.
    pub fn held(&self, now: MonotonicTime) -> impl Iterator<Item = &Grant> {
        let valid = self.lease.is_some_and(|lease| lease.is_valid(now));
        let entries = self.grants.iter().flat_map(|list| &list.entries);
        entries
            .filter(move |entry| valid && matches!(entry.state, GrantState::Hold { .. }))
            .map(|entry| &entry.grant)
    }

    pub fn serves(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        key: KeyHash,
    ) -> Option<TargetName> {
        let mut held = self.held(now);
        let found = held.find(|grant| grant.service == *service && grant.range.contains(key));
        found.map(|grant| grant.target.clone())
    }
}
