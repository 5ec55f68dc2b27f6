//! An agent front over sockets, with the control side of the agent played by the test.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod back_end;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use reqwest::{Client, RequestBuilder};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use wingspar_agent::{Agent, AgentSettings, Input, Output};
use wingspar_dataplane::agent_front::{AgentFront, FrontCounters, SharedAgent};
use wingspar_dataplane::clock::Clock;
use wingspar_dataplane::listen::ListenSettings;
use wingspar_wire::{
    GrantEntry, GrantList, GrantState, Message, RenewalReply, RenewalVerdict, SessionId,
    StateVersion, Takeover, headers,
};
use wingspar_world::{
    ConfigVersion, Configuration, Contract, Fence, Grant, GroupId, Incarnation, KeyHash, Machine,
    MachineName, MonotonicTime, NodeId, RegionName, Service, ServiceKind, ServiceName, SliceRange,
    Target, TargetName, ZoneName,
};

use back_end::BackEnd;

/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(20);
const CONTROL: ([u8; 4], u16) = ([127, 0, 0, 1], 9);
const SESSION: SessionId = SessionId(StateVersion {
    generation: 1,
    sequence: 1,
});

pub struct Bed {
    pub agent: SharedAgent,
    pub address: SocketAddr,
    pub counters: Arc<FrontCounters>,
    pub client: Client,
    clock: Clock,
    serving: JoinHandle<std::io::Result<()>>,
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

impl Bed {
    /// A front for target `s1` (keyed service `stoc`) with a lease of `lease_ms`.
    pub async fn start(back_end: SocketAddr, slots: u32, lease_ms: u64) -> Self {
        let origin = Instant::now();
        let clock: Clock =
            Arc::new(move || MonotonicTime::from_micros(origin.elapsed().as_micros() as u64));
        let agent = SharedAgent::new(agent(clock()));
        register(&agent, &clock, lease_ms);
        let configuration = configuration(back_end, slots);
        receive(
            &agent,
            &clock,
            Message::Configuration(Box::new(configuration)),
        );
        receive(&agent, &clock, Message::Grants(grants()));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let front = AgentFront::new(agent.clone(), clock.clone());
        let counters = front.counters();
        let settings = ListenSettings::default();
        let never = std::future::pending();
        let serving = tokio::spawn(front.serve(listener, settings, Arc::default(), never));
        Self {
            agent,
            address,
            counters,
            client: Client::builder().no_proxy().build().unwrap(),
            clock,
            serving,
        }
    }

    pub async fn with_back_end(slots: u32) -> (Self, Arc<BackEnd>) {
        let back_end = BackEnd::start().await;
        (
            Self::start(back_end.address, slots, 3_600_000).await,
            back_end,
        )
    }

    /// A request as the router would send it.
    pub fn post(&self, path: &str) -> RequestBuilder {
        self.client
            .post(format!("http://{}{path}", self.address))
            .header(headers::REQUEST_ID, "r-1")
            .header(headers::SERVICE, "stoc")
            .header(headers::TARGET, "s1")
            .header(headers::DEADLINE_MS, "30000")
            .header(headers::KEY_HASH, KeyHash::of(b"rose").to_string())
            .header(headers::CONFIG, "1")
            .header(headers::CLASS, "interactive")
            .header(headers::REPEATABLE, "0")
    }

    pub fn tick(&self) -> Vec<Output> {
        self.agent.step((self.clock)(), Input::Tick)
    }

    pub fn count(&self, name: &str) -> u64 {
        let mut entries = self.counters.entries();
        entries.find(|(one, _)| *one == name).unwrap().1
    }

    pub fn in_flight(&self) -> usize {
        self.agent.with(|agent| agent.in_flight())
    }
}

/// Waits until a condition holds.
pub async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "never came: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

pub fn word(response: &reqwest::Response, name: &str) -> String {
    let value = response.headers().get(name);
    value.map_or("", |value| value.to_str().unwrap()).to_owned()
}

/// Outcome, reason and status of an answer.
pub fn ending(response: &reqwest::Response) -> (String, String, u16) {
    (
        word(response, headers::OUTCOME),
        word(response, headers::REASON),
        response.status().as_u16(),
    )
}

pub fn ended(outcome: &str, reason: &str, status: u16) -> (String, String, u16) {
    (outcome.to_owned(), reason.to_owned(), status)
}

fn agent(now: MonotonicTime) -> Agent {
    let machine = Machine {
        name: MachineName::new("m1").unwrap(),
        region: RegionName::new("cymru-de").unwrap(),
        zone: ZoneName::new("neuadd-a").unwrap(),
        control_address: SocketAddr::from(CONTROL),
        agent_address: None,
    };
    let seeds = vec![SocketAddr::from(CONTROL)];
    Agent::new(AgentSettings::default(), node(), machine, seeds, now)
}

fn node() -> NodeId {
    NodeId::new(MachineName::new("m1").unwrap(), Incarnation(7))
}

fn receive(agent: &SharedAgent, clock: &Clock, message: Message) {
    let input = Input::Message {
        sender: node(),
        reply_to: SocketAddr::from(CONTROL),
        message,
    };
    agent.step(clock(), input);
}

fn register(agent: &SharedAgent, clock: &Clock, lease_ms: u64) {
    let sent_at = agent
        .step(clock(), Input::Tick)
        .into_iter()
        .find_map(|output| match output {
            Output::Send(sent) => match sent.message {
                Message::Renewal(renewal) => Some(renewal.sent_at),
                _ => None,
            },
            _ => None,
        });
    let verdict = RenewalVerdict::Renewed {
        session: SESSION,
        lease_ms,
        config: ConfigVersion(1),
        grants: StateVersion::default(),
        table: StateVersion::default(),
    };
    let reply = RenewalReply {
        group: GroupId(0),
        sent_at: sent_at.expect("a renewal was due"),
        verdict,
    };
    receive(agent, clock, Message::RenewalReply(reply));
}

fn configuration(back_end: SocketAddr, slots: u32) -> Configuration {
    let version = ConfigVersion(1);
    let name = ServiceName::new("stoc").unwrap();
    let service = Service {
        name: name.clone(),
        kind: ServiceKind::Keyed,
        contract: Contract::default(),
        policy: None,
    };
    let target = Target {
        name: TargetName::new("s1").unwrap(),
        service: name.clone(),
        machine: MachineName::new("m1").unwrap(),
        region: RegionName::new("cymru-de").unwrap(),
        zone: ZoneName::new("neuadd-a").unwrap(),
        address: back_end,
        slots,
        connections: 10,
        draining: false,
    };
    let mut configuration = Configuration {
        version,
        ..Configuration::default()
    };
    configuration.services.insert(name, (version, service));
    let name = target.name.clone();
    configuration.targets.insert(name, (version, target));
    configuration
}

fn grants() -> GrantList {
    let grant = Grant {
        service: ServiceName::new("stoc").unwrap(),
        range: SliceRange::FULL,
        target: TargetName::new("s1").unwrap(),
        fence: Fence {
            generation: 1,
            sequence: 42,
        },
    };
    let takeover = Takeover::First;
    GrantList {
        group: GroupId(0),
        node: node(),
        session: SESSION,
        version: StateVersion {
            generation: 1,
            sequence: 1,
        },
        entries: vec![GrantEntry {
            grant,
            state: GrantState::Hold { takeover },
        }],
    }
}
