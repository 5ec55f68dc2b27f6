//! An agent with a configuration, and the control side of its messages played by the test.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;

use wingspar_agent::{
    Admission, Admit, Agent, AgentSettings, Finish, Idempotency, Input, Output, Ticket,
};
use wingspar_wire::{
    GrantEntry, GrantList, GrantState, Message, Renewal, RenewalReply, RenewalVerdict, SessionId,
    StateVersion, Takeover,
};
use wingspar_world::{
    ConfigVersion, Configuration, Contract, Fence, Grant, GroupId, Incarnation, KeyHash, Machine,
    MachineName, MonotonicTime, NodeId, RegionName, RequestClass, Service, ServiceKind,
    ServiceName, SliceRange, Target, TargetName, ZoneName,
};

pub const LEASE_MS: u64 = 1_500;
pub const SLOTS: u32 = 4;

pub fn ms(value: u64) -> MonotonicTime {
    MonotonicTime::from_millis(value)
}

pub fn version(sequence: u64) -> StateVersion {
    StateVersion {
        generation: 1,
        sequence,
    }
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn leader() -> SocketAddr {
    address(7_001)
}

pub fn stoc() -> ServiceName {
    ServiceName::new("stoc").unwrap()
}

pub fn tal() -> ServiceName {
    ServiceName::new("tal").unwrap()
}

pub fn target_name(name: &str) -> TargetName {
    TargetName::new(name).unwrap()
}

pub fn node(name: &str) -> NodeId {
    NodeId::new(MachineName::new(name).unwrap(), Incarnation(7))
}

pub fn target(name: &str, service: ServiceName) -> Target {
    Target {
        name: target_name(name),
        service,
        machine: MachineName::new("m1").unwrap(),
        region: RegionName::new("cymru-de").unwrap(),
        zone: ZoneName::new("neuadd-a").unwrap(),
        address: address(8_001),
        slots: SLOTS,
        connections: 100,
        draining: false,
    }
}

/// A keyed service `stoc` with target `s1`, and an unkeyed `tal` with target `t1`.
pub fn configuration(number: u64) -> Configuration {
    let number = ConfigVersion(number);
    let mut configuration = Configuration {
        version: number,
        ..Configuration::default()
    };
    for (name, kind) in [(stoc(), ServiceKind::Keyed), (tal(), ServiceKind::Unkeyed)] {
        let service = Service {
            name: name.clone(),
            kind,
            contract: Contract::default(),
            policy: None,
        };
        configuration.services.insert(name, (number, service));
    }
    for one in [target("s1", stoc()), target("t1", tal())] {
        configuration
            .targets
            .insert(one.name.clone(), (number, one));
    }
    configuration
}

pub fn hold(range: SliceRange, sequence: u64, takeover: Takeover) -> GrantEntry {
    entry(range, sequence, GrantState::Hold { takeover })
}

pub fn entry(range: SliceRange, sequence: u64, state: GrantState) -> GrantEntry {
    GrantEntry {
        grant: Grant {
            service: stoc(),
            range,
            target: target_name("s1"),
            fence: Fence {
                generation: 1,
                sequence,
            },
        },
        state,
    }
}

pub fn admission(key: &[u8], deadline: MonotonicTime) -> Admission {
    Admission {
        request_id: "r".to_owned(),
        service: stoc(),
        target: target_name("s1"),
        key: Some(KeyHash::of(key)),
        router_config: ConfigVersion(1),
        class: RequestClass::Interactive,
        deadline,
        repeatable: false,
        idempotency: None,
    }
}

pub fn once(mut admission: Admission, id: u64, attempt: Option<u32>) -> Admission {
    admission.idempotency = Some(Idempotency {
        id: [id, id],
        attempt,
    });
    admission
}

pub fn ran(body: &'static str) -> Finish {
    Finish::Ran {
        status: 201,
        content_type: Some("text/plain".to_owned()),
        body: Some(body.into()),
    }
}

pub struct Fixture {
    pub agent: Agent,
    pub outputs: Vec<Output>,
    pub session: SessionId,
    pub node: NodeId,
}

impl Fixture {
    /// An agent that knows nothing yet.
    pub fn new(settings: AgentSettings) -> Self {
        let machine = Machine {
            name: MachineName::new("m1").unwrap(),
            region: RegionName::new("cymru-de").unwrap(),
            zone: ZoneName::new("neuadd-a").unwrap(),
            control_address: address(7_100),
            agent_address: Some(address(7_101)),
        };
        let node = node("m1");
        let seeds = vec![leader(), address(7_002), address(7_003)];
        let agent = Agent::new(settings, node.clone(), machine, seeds, ms(0));
        Self {
            agent,
            outputs: Vec::new(),
            session: SessionId(version(1)),
            node,
        }
    }

    /// An agent with session, configuration and the whole ring of `stoc` at time 0.
    pub fn serving() -> Self {
        Self::serving_with(AgentSettings::default())
    }

    pub fn serving_with(settings: AgentSettings) -> Self {
        let mut fixture = Self::new(settings);
        fixture.renew(0);
        fixture.receive(0, Message::Configuration(Box::new(configuration(1))));
        fixture.grant(0, 1, vec![hold(SliceRange::FULL, 10, Takeover::First)]);
        fixture
    }

    pub fn step(&mut self, at: u64, input: Input) {
        self.agent.step(ms(at), input, &mut self.outputs);
    }

    pub fn tick(&mut self, at: u64) {
        self.step(at, Input::Tick);
    }

    pub fn receive(&mut self, at: u64, message: Message) {
        let input = Input::Message {
            sender: node("m9"),
            reply_to: leader(),
            message,
        };
        self.step(at, input);
    }

    pub fn grant(&mut self, at: u64, number: u64, entries: Vec<GrantEntry>) {
        let list = GrantList {
            group: GroupId(0),
            node: self.node.clone(),
            session: self.session,
            version: version(number),
            entries,
        };
        self.receive(at, Message::Grants(list));
    }

    /// Messages sent since the last call.
    pub fn sent(&mut self) -> Vec<Message> {
        let outputs = std::mem::take(&mut self.outputs);
        outputs
            .into_iter()
            .filter_map(|output| match output {
                Output::Send(outbound) => Some(outbound.message),
                _ => None,
            })
            .collect()
    }

    /// Renewals sent since the last call.
    pub fn renewals(&mut self) -> Vec<Renewal> {
        let sent = self.sent().into_iter();
        sent.filter_map(|message| match message {
            Message::Renewal(renewal) => Some(renewal),
            _ => None,
        })
        .collect()
    }

    pub fn verdict(&mut self, at: u64, sent_at: MonotonicTime, verdict: RenewalVerdict) {
        let reply = RenewalReply {
            group: GroupId(0),
            sent_at,
            verdict,
        };
        self.receive(at, Message::RenewalReply(reply));
    }

    pub fn renewed(&self) -> RenewalVerdict {
        RenewalVerdict::Renewed {
            session: self.session,
            lease_ms: LEASE_MS,
            config: ConfigVersion(1),
            grants: version(1),
            table: version(1),
        }
    }

    /// Lets the agent send a renewal and answers it at once.
    pub fn renew(&mut self, at: u64) {
        self.tick(at);
        let renewals = self.renewals();
        let renewal = renewals.last().expect("a renewal was due");
        let verdict = self.renewed();
        self.verdict(at, renewal.sent_at, verdict);
    }

    /// Admits and starts a request that must get a slot.
    pub fn run(&mut self, at: u64, admission: Admission) -> Ticket {
        let Admit::Run(ticket) = self.agent.admit(ms(at), admission) else {
            panic!("the request should run");
        };
        self.agent
            .start(ms(at), ticket)
            .expect("the request starts");
        ticket
    }
}
