//! A control group in memory behind the real gRPC service.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::net::TcpListener;
use tokio::sync::oneshot;
use wingspar_api::Operators;
use wingspar_control::operator::{
    AssignmentReason, GroupReport, OperatorReply, OperatorRequest, PlacementReport, RolloutReport,
    SliceReport, TargetReport,
};
use wingspar_ctl::{ExitStatus, run_with};
use wingspar_wire::{Availability, SliceStatus, StateVersion, Takeover};
use wingspar_world::{
    ConfigObject, ConfigVersion, Fence, GroupId, Incarnation, KeyHash, NodeId, SliceRange,
};

/// How a replica answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// As the leader.
    Leader,
    /// It does not lead.
    Follower,
    /// Something it needs is out of reach.
    Unavailable,
    /// It carries changes out but can't tell.
    LosesAnswers,
    /// It carries changes out and never answers.
    Silent,
}

/// State that all replicas share.
#[derive(Default)]
pub struct Shared {
    pub objects: BTreeMap<String, (ConfigVersion, ConfigObject)>,
    pub version: u64,
    pub answers: HashMap<String, OperatorReply>,
    pub requests: Vec<OperatorRequest>,
    pub polls_until_in_force: u32,
    /// Replicas forget change ids, as after the loss of a majority.
    pub forgetful: bool,
}

pub struct Replica {
    pub shared: Arc<Mutex<Shared>>,
    pub mode: Arc<Mutex<Mode>>,
}

impl Operators for Replica {
    async fn execute(&self, request: OperatorRequest) -> OperatorReply {
        let mode = *self.mode.lock().unwrap();
        let reason = "test".to_owned();
        match mode {
            Mode::Leader => self.shared.lock().unwrap().answer(request),
            Mode::Follower => OperatorReply::NotLeader {
                leader: Some(node("till-02")),
            },
            Mode::Unavailable => OperatorReply::Unavailable { reason },
            Mode::LosesAnswers => {
                self.shared.lock().unwrap().answer(request);
                OperatorReply::Unknown { reason }
            }
            Mode::Silent => {
                self.shared.lock().unwrap().answer(request);
                std::future::pending().await
            }
        }
    }
}

impl Shared {
    fn answer(&mut self, request: OperatorRequest) -> OperatorReply {
        self.requests.push(request.clone());
        match request {
            OperatorRequest::Put {
                change_id,
                object,
                expect,
            } => {
                let key = object.store_key();
                self.change(change_id, key, expect, Some(object))
            }
            OperatorRequest::Delete {
                change_id,
                key,
                expect,
            } => self.change(change_id, key, expect, None),
            OperatorRequest::Get { key } => match self.objects.get(&key) {
                Some(item) => self.listing(vec![item.clone()]),
                None => OperatorReply::NotFound,
            },
            OperatorRequest::List { prefix } => {
                let items = self.objects.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix));
                let items = items.map(|(_, item)| item.clone()).collect();
                self.listing(items)
            }
            OperatorRequest::Move { .. } => OperatorReply::MoveAccepted { version: state() },
            OperatorRequest::Placement { service, key } => {
                OperatorReply::Placement(placement(service, key))
            }
            OperatorRequest::Rollout { version } => self.rollout(version),
            OperatorRequest::Group => OperatorReply::Group(group()),
            OperatorRequest::SetDraining { .. }
            | OperatorRequest::ShiftWeights { .. }
            | OperatorRequest::ForceGeneration { .. } => OperatorReply::Written {
                version: ConfigVersion(self.version),
            },
        }
    }

    fn change(
        &mut self,
        change_id: String,
        key: String,
        expect: Option<ConfigVersion>,
        object: Option<ConfigObject>,
    ) -> OperatorReply {
        if let Some(answer) = self.answers.get(&change_id).filter(|_| !self.forgetful) {
            return answer.clone();
        }
        let current = self.objects.get(&key).cloned();
        let now = current.as_ref().map(|(version, _)| *version);
        if expect.is_some_and(|expect| expect != now.unwrap_or_default()) {
            return OperatorReply::Conflict { current };
        }
        self.version += 1;
        let version = ConfigVersion(self.version);
        match object {
            Some(object) => self.objects.insert(key, (version, object)),
            None => self.objects.remove(&key),
        };
        let answer = OperatorReply::Written { version };
        self.answers.insert(change_id, answer.clone());
        answer
    }

    fn listing(&self, items: Vec<(ConfigVersion, ConfigObject)>) -> OperatorReply {
        let version = ConfigVersion(self.version);
        OperatorReply::Objects { version, items }
    }

    fn rollout(&mut self, version: Option<ConfigVersion>) -> OperatorReply {
        let in_force = self.polls_until_in_force == 0;
        self.polls_until_in_force = self.polls_until_in_force.saturating_sub(1);
        OperatorReply::Rollout(RolloutReport {
            version: version.unwrap_or(ConfigVersion(self.version)),
            in_force,
            applied: 4,
            behind: vec![node("till-03")],
            in_force_after_ms: in_force.then_some(1_200),
        })
    }
}

fn node(machine: &str) -> NodeId {
    NodeId::new(machine.parse().unwrap(), Incarnation(0x2a))
}

fn state() -> StateVersion {
    StateVersion {
        generation: 1,
        sequence: 9,
    }
}

fn placement(service: wingspar_world::ServiceName, key: Option<KeyHash>) -> PlacementReport {
    let status = SliceStatus::HandingOver {
        from: "stoc-1".parse().unwrap(),
        to: "stoc-2".parse().unwrap(),
    };
    PlacementReport {
        service,
        version: state(),
        slices: vec![SliceReport {
            range: key.map_or(SliceRange::FULL, SliceRange::single),
            fence: Fence {
                generation: 1,
                sequence: 8,
            },
            status,
            reason: AssignmentReason::OwnerLost,
            takeover: Takeover::Unplanned { age_ms: 61_000 },
            age_ms: 500,
        }],
        targets: vec![TargetReport {
            target: "stoc-1".parse().unwrap(),
            machine: "till-01".parse().unwrap(),
            availability: Availability::Draining,
            slices: 1,
            requests_per_second: 2.5,
        }],
    }
}

fn group() -> GroupReport {
    GroupReport {
        group: GroupId(0),
        generation: 1,
        term: 4,
        leader: Some(node("till-01")),
        voters: vec![node("till-01"), node("till-02")],
        learners: vec![node("till-03")],
        sessions: vec![(node("till-04"), "10.0.0.4:7400".parse().unwrap())],
        version: state(),
        stored: StateVersion::default(),
    }
}

/// A replica that listens; it stops when dropped.
pub struct Running {
    pub address: SocketAddr,
    pub mode: Arc<Mutex<Mode>>,
    pub shared: Arc<Mutex<Shared>>,
    stop: Option<oneshot::Sender<()>>,
}

impl Running {
    pub async fn start(mode: Mode, shared: &Arc<Mutex<Shared>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mode = Arc::new(Mutex::new(mode));
        let replica = Replica {
            shared: Arc::clone(shared),
            mode: Arc::clone(&mode),
        };
        let (stop, stopped) = oneshot::channel();
        tokio::spawn(async move {
            let shutdown = async {
                let _ = stopped.await;
            };
            wingspar_api::serve(listener, replica, shutdown)
                .await
                .unwrap();
        });
        Self {
            address,
            mode,
            shared: Arc::clone(shared),
            stop: Some(stop),
        }
    }

    pub async fn leader() -> Self {
        Self::start(Mode::Leader, &Arc::default()).await
    }

    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    pub fn stop(&mut self) {
        self.stop.take();
    }

    pub fn last_request(&self) -> OperatorRequest {
        self.shared.lock().unwrap().requests.last().unwrap().clone()
    }
}

/// What a command printed and how it ended.
#[derive(Debug)]
pub struct Ended {
    pub status: ExitStatus,
    pub out: String,
    pub err: String,
}

impl Ended {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// Runs a command, given as words, at the endpoints.
pub async fn ctl(endpoints: &[SocketAddr], command: &str) -> Ended {
    let endpoints = endpoints
        .iter()
        .map(|address| format!("--endpoint={address}"));
    let words = command.split_whitespace().map(str::to_owned);
    let arguments = endpoints.chain(words).map(Into::into).collect();
    let mut out = Vec::new();
    let mut err = Vec::new();
    let status = run_with(arguments, &mut out, &mut err).await;
    Ended {
        status,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}
