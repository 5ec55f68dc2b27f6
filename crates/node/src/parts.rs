//! The parts of a node that are switched on, made from its settings.

use std::sync::{Arc, Mutex};

use rand::random;
use wingspar_agent::{Agent, AgentSettings};
use wingspar_control::{Control, ControlSettings};
use wingspar_dataplane::agent_front::SharedAgent;
use wingspar_dataplane::router_front::SharedRouter;
use wingspar_routing::{Router, RouterSettings};
use wingspar_settings::Settings;
use wingspar_world::{GroupId, Machine, MonotonicTime, NodeId};

/// A control candidate that metrics may look at.
pub(crate) type SharedControl = Arc<Mutex<Control>>;

/// The state machines of one node.
#[derive(Clone)]
pub(crate) struct Parts {
    /// Keeps the machine's session; on machines with a router or back ends.
    pub(crate) agent: Option<SharedAgent>,
    pub(crate) router: Option<SharedRouter>,
    pub(crate) control: Option<SharedControl>,
}

impl Parts {
    pub(crate) fn new(
        settings: &Settings,
        node: &NodeId,
        machine: &Machine,
        now: MonotonicTime,
    ) -> Self {
        let has_session = settings.router.is_some() || settings.agent.is_some();
        let agent = has_session.then(|| {
            let terms = agent_settings(settings);
            let seeds = settings.seeds.clone();
            SharedAgent::new(Agent::new(terms, node.clone(), machine.clone(), seeds, now))
        });
        let router = settings.router.as_ref().map(|_| {
            let router = Router::new(RouterSettings::default(), random());
            SharedRouter::new(router)
        });
        let control = control_settings(settings).map(|terms| {
            let seeds = settings.seeds.clone();
            let control = Control::new(terms, node.clone(), machine.clone(), seeds, random(), now);
            Arc::new(Mutex::new(control))
        });
        Self {
            agent,
            router,
            control,
        }
    }
}

fn group(settings: &Settings) -> GroupId {
    let control = settings.control.as_ref();
    control.map_or(GroupId::default(), |control| control.group)
}

fn agent_settings(settings: &Settings) -> AgentSettings {
    AgentSettings {
        group: group(settings),
        renewal_interval: settings.timing.renewal,
        retry_interval: settings.timing.renewal / 2,
        ..AgentSettings::default()
    }
}

fn control_settings(settings: &Settings) -> Option<ControlSettings> {
    let control = settings.control.as_ref()?;
    let mut terms = ControlSettings::new(control.group);
    terms.replicas = control.replicas as usize;
    terms.lease = settings.timing.lease;
    terms.drift = settings.timing.drift;
    terms.consensus.heartbeat_interval = settings.timing.heartbeat;
    terms.consensus.election_timeout_min = settings.timing.election_min;
    terms.consensus.election_timeout_max = settings.timing.election_max;
    terms.consensus.drift_bound = settings.timing.drift;
    Some(terms)
}
