//! Renewals of many nodes from one socket.

use std::io;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::{Duration, Instant};

use wingspar_wire::{
    Envelope, HotKey, Message, Renewal, RenewalVerdict, SessionId, SliceLoad, StateVersion,
    TargetLoad, decode, encode,
};
use wingspar_world::{
    ConfigVersion, GroupId, Incarnation, KeyHash, Machine, MonotonicTime, NodeId, SliceRange,
};

use super::{Waiting, renewal_reply};
use crate::configuration::{agent_machine, target_name};
use crate::ramp::Size;

/// Time between two renewals of a node.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two looks at what is due.
const LOOK: Duration = Duration::from_millis(1);
/// Slices and hot keys reported, as agents do by default.
const REPORTED_SLICES: u64 = 6;
const REPORTED_KEYS: u64 = 3;
/// Requests that each target is said to start.
const REQUESTS_PER_SECOND: f32 = 40.0;

struct Node {
    node: NodeId,
    machine: Machine,
    next: Instant,
    session: Option<SessionId>,
    config: ConfigVersion,
    grants: StateVersion,
}

pub(super) struct Generator {
    socket: UdpSocket,
    address: SocketAddr,
    nodes: Vec<Node>,
    members: Vec<SocketAddr>,
    leader: usize,
    waiting: Waiting,
    origin: Instant,
    sent_at: MonotonicTime,
    size: Size,
}

impl Generator {
    pub(super) fn new(size: Size, members: Vec<SocketAddr>, origin: Instant) -> io::Result<Self> {
        let count = size.agents;
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        std::thread::spawn(move || discard(&listener));
        let start = Instant::now();
        let nodes = (0..count).map(|number| {
            let machine = Machine {
                control_address: address,
                ..agent_machine(number)
            };
            let offset = RENEWAL_INTERVAL * number as u32 / count.max(1) as u32;
            Node {
                node: NodeId::new(machine.name.clone(), Incarnation(number as u64 + 1_000)),
                machine,
                next: start + offset,
                session: None,
                config: ConfigVersion::default(),
                grants: StateVersion::default(),
            }
        });
        Ok(Self {
            socket,
            address,
            nodes: nodes.collect(),
            members,
            leader: 0,
            waiting: Waiting::new(),
            origin,
            sent_at: MonotonicTime::ZERO,
            size,
        })
    }

    /// Renews all sessions for a time.
    pub(super) fn run(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.receive();
            let now = Instant::now();
            for number in 0..self.nodes.len() {
                if self.nodes[number].next <= now {
                    self.nodes[number].next += RENEWAL_INTERVAL;
                    self.renew(number);
                }
            }
            std::thread::sleep(LOOK);
        }
    }

    fn renew(&mut self, number: usize) {
        let elapsed = MonotonicTime::ZERO + self.origin.elapsed();
        self.sent_at = elapsed.max(self.sent_at + Duration::from_micros(1));
        self.waiting.insert(self.sent_at, number);
        while self.waiting.len() > 4 * self.nodes.len() {
            self.waiting.pop_first();
        }
        let node = &self.nodes[number];
        let renewal = Renewal {
            group: GroupId::default(),
            node: node.node.clone(),
            machine: node.machine.clone(),
            session: node.session,
            sent_at: self.sent_at,
            config: node.config,
            grants: node.grants,
            table: None,
            leaving: false,
            finished: false,
            targets: vec![load(number, self.size)],
        };
        let message = Message::Renewal(renewal);
        let envelope = Envelope::new(node.node.clone(), self.address, message);
        if let Ok(bytes) = encode(&envelope) {
            // A datagram that can't be sent is lost like any other.
            let _ = self.socket.send_to(&bytes, self.members[self.leader]);
        }
    }

    fn receive(&mut self) {
        let mut buffer = [0; 2_048];
        while let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
            let envelope = decode(&buffer[..length]).ok();
            let Some(reply) = envelope.and_then(|it| renewal_reply(it.message)) else {
                continue;
            };
            let Some(number) = self.waiting.remove(&reply.sent_at) else {
                continue;
            };
            let node = &mut self.nodes[number];
            match reply.verdict {
                RenewalVerdict::Renewed {
                    session,
                    config,
                    grants,
                    ..
                } => {
                    node.session = Some(session);
                    node.config = config;
                    node.grants = grants;
                }
                RenewalVerdict::SessionOver => node.session = None,
                RenewalVerdict::ConfigurationBehind { required } => node.config = required,
                RenewalVerdict::Registering => {}
                RenewalVerdict::NotLeader { leader } => self.follow(leader),
            }
        }
    }

    fn follow(&mut self, leader: Option<SocketAddr>) {
        let known = self.members.iter().position(|one| Some(*one) == leader);
        self.leader = known.unwrap_or((self.leader + 1) % self.members.len());
    }
}

/// Takes in what is sent by streams, and forgets it.
fn discard(listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        std::thread::spawn(move || {
            let mut stream = stream;
            let mut buffer = [0; 65_536];
            while stream.read(&mut buffer).is_ok_and(|length| length > 0) {}
        });
    }
}

/// A load that is the same for all targets, over slices in turn and with keys spread evenly.
fn load(number: usize, size: Size) -> TargetLoad {
    let nodes = size.agents;
    let mut load = TargetLoad::idle(target_name(number));
    load.in_flight = 3;
    load.requests_per_second = REQUESTS_PER_SECOND;
    let slices = nodes as u64 * u64::from(size.slices_per_target);
    let width = u64::MAX / slices;
    let slice = |step: u64| (step * nodes as u64 + number as u64) * width;
    load.slices = (0..REPORTED_SLICES.min(u64::from(size.slices_per_target)))
        .map(|step| SliceLoad {
            range: SliceRange {
                first: KeyHash(slice(step)),
                last: KeyHash(slice(step) + width - 1),
            },
            requests_per_second: REQUESTS_PER_SECOND / size.slices_per_target as f32,
        })
        .collect();
    load.hot_keys = (0..REPORTED_KEYS)
        .map(|step| HotKey {
            key: KeyHash(slice(step)),
            requests_per_second: REQUESTS_PER_SECOND / 100.0,
        })
        .collect();
    load
}
