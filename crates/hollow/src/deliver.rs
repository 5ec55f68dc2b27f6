//! Carrying out events: decoding, steps and encoding, each measured and counted.

use bytes::Bytes;
use wingspar_agent::{AgentEvent, Input as AgentInput, Output as AgentOutput};
use wingspar_control::{Input, Output, StoreReply, StoreRequest};
use wingspar_routing::{Input as RouterInput, Output as RouterOutput};
use wingspar_wire::{Envelope, Message, Outbound, Pull, decode, encode};

use crate::account::Role;
use crate::cluster::{Cluster, Event, NETWORK_DELAY};
use crate::platform::{reply_bytes, request_bytes};

/// A message ready for the network; without bytes when it is too large for a frame.
struct Encoded {
    outbound: Outbound,
    bytes: Option<Bytes>,
}

fn encode_all(sends: Vec<Outbound>, from: &Sender) -> Vec<Encoded> {
    let encoded = sends.into_iter().map(|outbound| {
        let message = outbound.message.clone();
        let envelope = Envelope::new(from.node.clone(), from.address, message);
        let bytes = encode(&envelope).ok();
        Encoded { outbound, bytes }
    });
    encoded.collect()
}

struct Sender {
    node: wingspar_world::NodeId,
    address: std::net::SocketAddr,
}

impl Cluster {
    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Start(index) => {
                self.start_agent(index);
                self.step_agent(index, AgentInput::Tick);
            }
            Event::Wake(index) => {
                if self.takes_wake(index) {
                    self.tick(index);
                }
            }
            Event::Load(index) => self.load(index),
            Event::Deliver { to, bytes } => self.deliver(to, &bytes),
            Event::StoreArrives { host, request } => self.at_store(host, request),
            Event::StoreAnswers { host, reply } => self.on_store_reply(host, reply),
            Event::Watches => {
                self.answer_watches();
                self.enqueue(std::time::Duration::from_millis(100), Event::Watches);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        self.step_control(index, Input::Tick);
        self.step_agent(index, AgentInput::Tick);
        self.step_router(index, RouterInput::Tick);
    }

    fn deliver(&mut self, to: usize, bytes: &Bytes) {
        let (decoded, used) = self.cpu.measure(|| decode(bytes));
        let envelope = decoded.expect("nodes send what they can decode");
        let message = envelope.message;
        let role = match &message {
            Message::Table(_) => Role::Router,
            Message::RenewalReply(_)
            | Message::Configuration(_)
            | Message::Grants(_)
            | Message::Remember(_)
            | Message::RememberReply(_) => Role::Agent,
            _ => self.member_role(to),
        };
        let account = self.ledger.of(role);
        account.cpu += used;
        account.note_received(message.name(), bytes.len());
        let (sender, reply_to) = (envelope.sender, envelope.reply_to);
        match role {
            Role::Router => {
                if let Message::Table(update) = message {
                    self.step_router(to, RouterInput::Table(update));
                }
            }
            Role::Agent => {
                let input = AgentInput::Message {
                    sender,
                    reply_to,
                    message,
                };
                self.step_agent(to, input);
            }
            Role::Leader | Role::Follower => {
                let input = Input::Message {
                    sender,
                    reply_to,
                    message,
                };
                self.step_control(to, input);
            }
        }
    }

    pub(crate) fn step_control(&mut self, index: usize, input: Input) {
        let role = self.member_role(index);
        let (now, cpu) = (self.now, self.cpu);
        let sender = self.sender(index);
        let Some(control) = self.hosts[index].control.as_mut() else {
            return;
        };
        let (outputs, used) = cpu.measure(|| {
            let mut outputs = Vec::new();
            control.step(now, input, &mut outputs);
            outputs
        });
        self.ledger.of(role).cpu += used;
        let mut sends = Vec::new();
        for output in outputs {
            match output {
                Output::Send(outbound) => sends.push(outbound),
                Output::Store(request) => self.send_to_store(index, role, request),
                Output::OperatorReply { id, reply } => {
                    self.replies.insert(id, reply);
                }
                Output::Event(_) | Output::Stopped => {}
            }
        }
        self.send_all(role, &sender, sends);
        self.schedule(index);
    }

    pub(crate) fn step_agent(&mut self, index: usize, input: AgentInput) {
        let (now, cpu) = (self.now, self.cpu);
        let sender = self.sender(index);
        let host = &mut self.hosts[index];
        let Some(agent) = host.agent.as_mut() else {
            return;
        };
        let (outputs, used) = cpu.measure(|| {
            let mut outputs = Vec::new();
            agent.step(now, input, &mut outputs);
            outputs
        });
        self.ledger.of(Role::Agent).cpu += used;
        let mut sends = Vec::new();
        for output in outputs {
            match output {
                AgentOutput::Send(outbound) => sends.push(outbound),
                AgentOutput::LeaseLost => {
                    host.leases_lost += 1;
                    host.held = 0;
                }
                AgentOutput::Event(AgentEvent::GrantsChanged { held, .. }) => host.held = held,
                _ => {}
            }
        }
        self.send_all(Role::Agent, &sender, sends);
        self.share_configuration(index);
        self.schedule(index);
    }

    fn share_configuration(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let (Some(agent), Some(router)) = (&host.agent, &host.router) else {
            return;
        };
        if agent.config_version() > router.config_version() {
            let configuration = agent.configuration().clone();
            self.step_router(index, RouterInput::Configuration(configuration));
        }
    }

    fn step_router(&mut self, index: usize, input: RouterInput) {
        let (now, cpu) = (self.now, self.cpu);
        let sender = self.sender(index);
        let host = &mut self.hosts[index];
        let (Some(router), Some(agent)) = (host.router.as_mut(), host.agent.as_mut()) else {
            return;
        };
        let (outputs, used) = cpu.measure(|| {
            let mut outputs = Vec::new();
            router.step(now, input, &mut outputs);
            agent.set_table_version(Some(router.table_version()));
            outputs
        });
        let leader = agent.leader();
        self.ledger.of(Role::Router).cpu += used;
        let mut sends = Vec::new();
        for output in outputs {
            if let (RouterOutput::Pull { have }, Some(to)) = (output, leader) {
                let message = Message::Pull(Pull::Table { have });
                sends.push(Outbound { to, message });
            }
        }
        self.send_all(Role::Router, &sender, sends);
    }

    fn sender(&self, index: usize) -> Sender {
        let host = &self.hosts[index];
        Sender {
            node: host.node.clone(),
            address: host.machine.control_address,
        }
    }

    fn send_all(&mut self, role: Role, sender: &Sender, sends: Vec<Outbound>) {
        if sends.is_empty() {
            return;
        }
        let (encoded, used) = self.cpu.measure(|| encode_all(sends, sender));
        self.ledger.of(role).cpu += used;
        for one in encoded {
            let account = self.ledger.of(role);
            let Some(bytes) = one.bytes else {
                account.too_large += 1;
                continue;
            };
            account.note_sent(one.outbound.message.name(), bytes.len());
            if let Some(to) = self.by_address.get(&one.outbound.to).copied() {
                self.enqueue(NETWORK_DELAY, Event::Deliver { to, bytes });
            }
        }
    }

    fn send_to_store(&mut self, host: usize, role: Role, request: StoreRequest) {
        let (bytes, used) = self.cpu.measure(|| request_bytes(&request.operation));
        let account = self.ledger.of(role);
        account.cpu += used;
        account.note_sent("store_request", bytes.len());
        self.enqueue(NETWORK_DELAY, Event::StoreArrives { host, request });
    }

    fn at_store(&mut self, host: usize, request: StoreRequest) {
        if let Some(reply) = self.platform.ask(self.now, host, request) {
            self.enqueue(NETWORK_DELAY, Event::StoreAnswers { host, reply });
        }
    }

    fn answer_watches(&mut self) {
        for (host, reply) in self.platform.answer_watches(self.now) {
            self.enqueue(NETWORK_DELAY, Event::StoreAnswers { host, reply });
        }
    }

    fn on_store_reply(&mut self, host: usize, reply: StoreReply) {
        let role = self.member_role(host);
        let bytes = reply_bytes(&reply.answer);
        let parse = || serde_json::from_slice::<serde_json::Value>(&bytes).is_ok();
        let (_, used) = self.cpu.measure(parse);
        let account = self.ledger.of(role);
        account.cpu += used;
        account.note_received("store_reply", bytes.len());
        self.step_control(host, Input::Store(reply));
    }
}
