//! A small deterministic world for control candidates: virtual time, a network that loses what is
//! cut, the store's model, and simple agents that hold grants as told.
#![allow(dead_code, unused_imports)]

mod agent;
mod scenario;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use wingspar_consensus::LogPosition;
use wingspar_control::operator::OperatorReply;
use wingspar_control::{
    Control, ControlEvent, ControlSettings, Input, Output, StoreReply, StoreRequest,
};
use wingspar_store::Answer;
use wingspar_store::model::ObjectStore;
use wingspar_store::operation::{Operation, Reply};
use wingspar_wire::{Message, Outbound};
use wingspar_world::*;

pub use agent::Agent;
pub use scenario::*;

const NETWORK_DELAY: Duration = Duration::from_millis(1);
const WATCH_HOLD: Duration = Duration::from_secs(2);

/// One machine: a control candidate and an agent behind one address.
pub struct Host {
    pub control: Control,
    pub agent: Agent,
    pub machine: Machine,
    pub frozen: bool,
}

enum Event {
    Deliver {
        from: SocketAddr,
        to: SocketAddr,
        sender: NodeId,
        message: Box<Message>,
    },
    StoreArrives {
        host: SocketAddr,
        request: StoreRequest,
    },
    StoreAnswers {
        host: SocketAddr,
        reply: StoreReply,
    },
}

pub struct World {
    pub now: MonotonicTime,
    pub hosts: BTreeMap<SocketAddr, Host>,
    pub store: ObjectStore,
    pub store_down: bool,
    /// Number of coming answers to writes that are lost after they took effect.
    pub lose_write_answers: usize,
    pub cut: BTreeSet<(SocketAddr, SocketAddr)>,
    pub replies: BTreeMap<u64, OperatorReply>,
    pub stopped: BTreeSet<SocketAddr>,
    pub events: Vec<(MonotonicTime, SocketAddr, ControlEvent)>,
    pub settings: ControlSettings,
    /// Loss, repetition and further delay of messages, from a seed; none by default.
    pub noise: Option<ChaCha8Rng>,
    watches: Vec<(MonotonicTime, SocketAddr, StoreRequest)>,
    queue: BTreeMap<(MonotonicTime, u64), Event>,
    sequence: u64,
    last_request: u64,
    incarnations: u64,
    /// Positions whose state was checked.
    checked: BTreeMap<SocketAddr, (NodeId, Option<LogPosition>)>,
    max_fence: BTreeMap<(ServiceName, KeyHash), Fence>,
}

pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(number).unwrap()], 7000))
}

pub fn machine_name(number: u16) -> MachineName {
    MachineName::new(&format!("m{number}")).unwrap()
}

impl World {
    /// Hosts 1 to `count`, all candidates, three zones in turn.
    pub fn new(count: u16) -> Self {
        let mut world = Self {
            now: MonotonicTime::from_millis(1_000_000),
            hosts: BTreeMap::new(),
            store: ObjectStore::default(),
            store_down: false,
            lose_write_answers: 0,
            cut: BTreeSet::new(),
            replies: BTreeMap::new(),
            stopped: BTreeSet::new(),
            events: Vec::new(),
            settings: ControlSettings::new(GroupId(0)),
            noise: None,
            watches: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            last_request: 0,
            incarnations: 0,
            checked: BTreeMap::new(),
            max_fence: BTreeMap::new(),
        };
        for number in 1..=count {
            world.start(number);
        }
        world
    }

    /// Starts a process on a machine, in place of the one before.
    pub fn start(&mut self, number: u16) {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let node = NodeId::new(machine_name(number), incarnation);
        let machine = Machine {
            name: machine_name(number),
            region: RegionName::new("r").unwrap(),
            zone: ZoneName::new(&format!("z{}", number % 3)).unwrap(),
            control_address: address(number),
            agent_address: Some(SocketAddr::from(([10, 0, 0, number as u8], 8000))),
        };
        let seeds: Vec<SocketAddr> = (1..=9).map(address).collect();
        let control = Control::new(
            self.settings.clone(),
            node.clone(),
            machine.clone(),
            seeds.clone(),
            self.incarnations,
            self.now,
        );
        let agent = Agent::new(node, machine.clone(), seeds, self.now);
        let host = Host {
            control,
            agent,
            machine,
            frozen: false,
        };
        self.hosts.insert(address(number), host);
    }

    pub fn kill(&mut self, number: u16) {
        self.hosts.remove(&address(number));
    }

    pub fn isolate(&mut self, number: u16) {
        let others: Vec<u16> = (1..=9).filter(|other| *other != number).collect();
        self.cut_between(&[number], &others);
    }

    /// Cuts all links between two sets of hosts.
    pub fn cut_between(&mut self, some: &[u16], others: &[u16]) {
        for one in some {
            for other in others {
                self.cut.insert((address(*one), address(*other)));
                self.cut.insert((address(*other), address(*one)));
            }
        }
    }

    pub fn leader(&self) -> Option<u16> {
        let leads = |number: &u16| {
            self.hosts
                .get(&address(*number))
                .is_some_and(|it| it.control.is_leader() && !it.frozen)
        };
        (1..=9).find(leads)
    }

    pub fn host(&self, number: u16) -> &Host {
        &self.hosts[&address(number)]
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.advance(end);
        }
    }

    /// Runs until a condition holds; tells how long it took.
    pub fn run_until(
        &mut self,
        what: &str,
        limit: Duration,
        mut condition: impl FnMut(&World) -> bool,
    ) -> Duration {
        let start = self.now;
        while !condition(self) {
            assert!(
                self.now.since(start) < limit,
                "not within {limit:?}: {what}"
            );
            self.advance(start + limit);
        }
        self.now.since(start)
    }

    fn advance(&mut self, end: MonotonicTime) {
        let step = self.now + Duration::from_millis(5);
        self.now = step.min(end);
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let event = entry.remove();
            self.handle(event);
        }
        let addresses: Vec<SocketAddr> = self.hosts.keys().copied().collect();
        for host in addresses {
            self.tick(host);
        }
        self.answer_watches();
        self.check();
    }

    fn tick(&mut self, at: SocketAddr) {
        let Some(host) = self.hosts.get_mut(&at).filter(|host| !host.frozen) else {
            return;
        };
        if host.control.next_wake() <= self.now {
            self.step(at, Input::Tick);
        }
        let Some(host) = self.hosts.get_mut(&at) else {
            return;
        };
        let sends = host.agent.tick(self.now);
        let sender = host.agent.node.clone();
        self.send_all(at, &sender, sends);
    }

    pub fn step(&mut self, at: SocketAddr, input: Input) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&at) else {
            return;
        };
        let mut out = Vec::new();
        host.control.step(now, input, &mut out);
        let sender = host.agent.node.clone();
        for output in out {
            match output {
                Output::Send(outbound) => self.send_all(at, &sender, vec![outbound]),
                Output::Store(request) => {
                    self.enqueue(NETWORK_DELAY, Event::StoreArrives { host: at, request });
                }
                Output::OperatorReply { id, reply } => {
                    let before = self.replies.insert(id, reply);
                    assert!(before.is_none(), "request {id} was answered twice");
                }
                Output::Event(event) => {
                    self.check_session_end(&event);
                    self.events.push((now, at, event));
                }
                Output::Stopped => {
                    self.stopped.insert(at);
                }
            }
        }
    }

    fn send_all(&mut self, from: SocketAddr, sender: &NodeId, sends: Vec<Outbound>) {
        for Outbound { to, message } in sends {
            for delay in self.delays() {
                let event = Event::Deliver {
                    from,
                    to,
                    sender: sender.clone(),
                    message: Box::new(message.clone()),
                };
                self.enqueue(delay, event);
            }
        }
    }

    /// Delays of the copies of a message that arrive.
    fn delays(&mut self) -> Vec<Duration> {
        let Some(random) = &mut self.noise else {
            return vec![NETWORK_DELAY];
        };
        let copies = match random.random_range(0..100) {
            0..3 => 0,
            3..6 => 2,
            _ => 1,
        };
        let mut delay = || {
            let late = random.random_range(0..50) == 0;
            let most = if late { 1_500 } else { 20 };
            Duration::from_millis(random.random_range(1..most))
        };
        (0..copies).map(|_| delay()).collect()
    }

    fn enqueue(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver {
                from,
                to,
                sender,
                message,
            } => self.deliver(from, to, sender, *message),
            Event::StoreArrives { host, request } => self.at_store(host, request),
            Event::StoreAnswers { host, reply } => {
                if self.hosts.get(&host).is_some_and(|it| !it.frozen) {
                    self.step(host, Input::Store(reply));
                }
            }
        }
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, sender: NodeId, message: Message) {
        if self.cut.contains(&(from, to)) {
            return;
        }
        let Some(host) = self.hosts.get_mut(&to) else {
            return;
        };
        if host.frozen {
            return;
        }
        match message {
            Message::RenewalReply(_)
            | Message::Configuration(_)
            | Message::Grants(_)
            | Message::Table(_) => {
                let sends = host.agent.receive(self.now, from, message);
                let node = host.agent.node.clone();
                self.send_all(to, &node, sends);
            }
            message => self.step(
                to,
                Input::Message {
                    sender,
                    reply_to: from,
                    message,
                },
            ),
        }
    }

    fn at_store(&mut self, host: SocketAddr, request: StoreRequest) {
        if self.store_down {
            let answer = Answer::Unavailable {
                cause: "down".to_owned(),
            };
            return self.answer(host, request.id, answer);
        }
        if matches!(request.operation, Operation::Watch { .. }) {
            self.watches.push((self.now + WATCH_HOLD, host, request));
            return;
        }
        let is_write = request.operation.is_write();
        let now = Duration::from_micros(self.now.as_micros());
        let reply = self.store.apply(now, request.operation);
        if is_write && self.lose_write_answers > 0 {
            self.lose_write_answers -= 1;
            return self.answer(
                host,
                request.id,
                Answer::Unknown {
                    cause: "lost".to_owned(),
                },
            );
        }
        self.answer(host, request.id, Answer::Reply(reply));
    }

    fn answer(&mut self, host: SocketAddr, id: u64, answer: Answer) {
        let reply = StoreReply { id, answer };
        self.enqueue(NETWORK_DELAY, Event::StoreAnswers { host, reply });
    }

    fn answer_watches(&mut self) {
        for (until, host, request) in std::mem::take(&mut self.watches) {
            if self.store_down {
                self.answer(
                    host,
                    request.id,
                    Answer::Unavailable {
                        cause: "down".to_owned(),
                    },
                );
                continue;
            }
            let now = Duration::from_micros(self.now.as_micros());
            let reply = self.store.apply(now, request.operation.clone());
            let empty = matches!(&reply, Reply::Changes(batch) if batch.events.is_empty());
            if empty && self.now < until {
                self.watches.push((until, host, request));
            } else {
                self.answer(host, request.id, Answer::Reply(reply));
            }
        }
    }
}
