//! What tests ask of the world, how they set it up, and what must hold at every step.

use std::net::SocketAddr;
use std::time::Duration;

use wingspar_control::operator::{OperatorReply, OperatorRequest};
use wingspar_control::{ControlEvent, ControlSettings, Input};
use wingspar_world::*;

use super::{World, address, machine_name};

impl World {
    /// Asks the leader, or the host given, and returns the id to look for in `replies`.
    pub fn ask(&mut self, at: u16, request: OperatorRequest) -> u64 {
        self.last_request += 1;
        let id = self.last_request;
        self.step(address(at), Input::Operator { id, request });
        id
    }

    /// Asks the leader and waits for the answer.
    pub fn call(&mut self, request: OperatorRequest) -> OperatorReply {
        let leader = self.leader().expect("a leader");
        let id = self.ask(leader, request);
        self.run_until("answer", Duration::from_secs(15), |world| {
            world.replies.contains_key(&id)
        });
        self.replies[&id].clone()
    }

    pub fn put(&mut self, change_id: &str, object: ConfigObject) -> OperatorReply {
        let change_id = change_id.to_owned();
        self.call(OperatorRequest::Put {
            change_id,
            object,
            expect: None,
        })
    }

    /// Who serves a key now under a running lease.
    pub fn owner(&self, service: &str, key: KeyHash) -> Option<TargetName> {
        let service = ServiceName::new(service).unwrap();
        let serving = self.hosts.values().filter(|host| !host.frozen);
        let mut owners = serving.filter_map(|host| host.agent.serves(self.now, &service, key));
        owners.next()
    }

    /// Whether every key of a service has an owner under a running lease.
    pub fn all_served(&self, service: &str) -> bool {
        SliceRange::partition(512)
            .iter()
            .all(|range| self.owner(service, range.first).is_some())
    }

    /// A session that ran out ends only when its node's lease is over.
    pub(super) fn check_session_end(&self, event: &ControlEvent) {
        let ControlEvent::SessionEnded {
            session,
            lost: true,
        } = event
        else {
            return;
        };
        let agents = self.hosts.values().map(|host| &host.agent);
        for agent in agents.filter(|agent| agent.session == Some(*session)) {
            let valid = agent.lease.is_some_and(|lease| lease.is_valid(self.now));
            assert!(
                !valid,
                "the session of {} ended under its lease",
                agent.node
            );
        }
    }

    /// No key has two owners under running leases, also on frozen hosts; state invariants hold.
    pub(super) fn check(&mut self) {
        for (at, host) in &self.hosts {
            let state = host
                .control
                .replica()
                .map(|replica| replica.applied_position());
            let checked = self.checked.insert(*at, (host.agent.node.clone(), state));
            if checked == Some((host.agent.node.clone(), state)) {
                continue;
            }
            if let Err(violation) = host.control.check_invariants() {
                panic!("{violation}");
            }
        }
        let mut held: Vec<(ServiceName, SliceRange, &NodeId, Fence)> = Vec::new();
        for host in self.hosts.values() {
            held.extend(host.agent.held(self.now).map(|grant| {
                (
                    grant.service.clone(),
                    grant.range,
                    &host.agent.node,
                    grant.fence,
                )
            }));
        }
        held.sort_by_key(|(service, range, _, _)| (service.clone(), range.first));
        for pair in held.windows(2) {
            let overlap = pair[0].0 == pair[1].0 && pair[0].1.overlaps(&pair[1].1);
            assert!(
                !overlap,
                "two owners at {}: {:?} {:?}",
                self.now.as_micros(),
                pair[0],
                pair[1]
            );
        }
        for (service, range, node, fence) in &held {
            let newest = self
                .max_fence
                .entry((service.clone(), range.first))
                .or_default();
            assert!(
                fence >= newest,
                "{node} serves {range} under {fence} after {newest}"
            );
            *newest = *fence;
        }
    }

    /// A keyed service with a target on each machine given, once the group leads.
    pub fn with_service(count: u16, targets: &[u16]) -> Self {
        Self::with_settings(ControlSettings::new(GroupId(0)), count, targets)
    }

    pub fn with_settings(settings: ControlSettings, count: u16, targets: &[u16]) -> Self {
        let mut world = World::new(0);
        world.settings = settings;
        (1..=count).for_each(|number| world.start(number));
        world.run_until("leader", Duration::from_secs(10), |world| {
            world.leader().is_some()
        });
        world.run(Duration::from_millis(500));
        world.create_service(targets);
        world.run_until("all served", Duration::from_secs(10), |world| {
            world.all_served("stoc")
        });
        world
    }

    pub fn create_service(&mut self, targets: &[u16]) {
        let written = |reply| assert!(matches!(reply, OperatorReply::Written { .. }), "{reply:?}");
        let mut policy = PlacementPolicy::with_defaults(PolicyName::new("even").unwrap());
        policy.slices_per_target = 8;
        written(self.put("p", ConfigObject::Policy(policy.clone())));
        written(self.put("s", ConfigObject::Service(keyed_service("stoc"))));
        for number in targets {
            written(self.put(&format!("t{number}"), ConfigObject::Target(target(*number))));
        }
    }
}

pub fn keyed_service(name: &str) -> Service {
    let contract = Contract {
        key: Some(KeySource::Header("key".to_owned())),
        ..Contract::default()
    };
    Service {
        name: ServiceName::new(name).unwrap(),
        kind: ServiceKind::Keyed,
        contract,
        policy: Some(PolicyName::new("even").unwrap()),
    }
}

pub fn target(number: u16) -> Target {
    Target {
        name: TargetName::new(&format!("stoc-{number}")).unwrap(),
        service: ServiceName::new("stoc").unwrap(),
        machine: machine_name(number),
        region: RegionName::new("r").unwrap(),
        zone: ZoneName::new(&format!("z{}", number % 3)).unwrap(),
        address: SocketAddr::from(([10, 0, 0, number as u8], 9000)),
        slots: 20,
        connections: 100,
        draining: false,
    }
}
