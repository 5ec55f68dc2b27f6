//! Binding a node's addresses and starting its tasks.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::random;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use wingspar_dataplane::agent_front::AgentFront;
use wingspar_dataplane::clock::Clock;
use wingspar_dataplane::listen::ListenSettings;
use wingspar_dataplane::router_front::{self, FrontSettings};
use wingspar_settings::Settings;
use wingspar_telemetry::{Metrics, serve as serve_telemetry};
use wingspar_transport::Transport;
use wingspar_world::{ConfigVersion, Incarnation, Machine, MonotonicTime, NodeId};

use crate::event_loop::EventLoop;
use crate::log::Log;
use crate::parts::Parts;
use crate::platform::PlatformPort;
use crate::stopping::Phase;
use crate::{NodeError, boot_clock, metrics, operators};

/// The addresses that a node has bound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addresses {
    /// Internal protocol.
    pub control: SocketAddr,
    /// Callers, if the router is on.
    pub router: Option<SocketAddr>,
    /// Routers, if the agent is on.
    pub agent: Option<SocketAddr>,
    /// Operators, if the control candidate is on.
    pub operators: Option<SocketAddr>,
    /// Metrics and health, if set.
    pub telemetry: Option<SocketAddr>,
}

struct Listeners {
    router: Option<TcpListener>,
    agent: Option<TcpListener>,
    operators: Option<TcpListener>,
    telemetry: Option<TcpListener>,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    id: NodeId,
    addresses: Addresses,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Binds the node's addresses and starts its tasks on the current runtime, which should be
    /// single-threaded.
    ///
    /// Errors: an address that can't be bound, or an unusable platform URL.
    pub async fn start(settings: Settings) -> Result<Self, NodeError> {
        let transport = bind_transport(settings.control_address).await?;
        let listeners = Listeners::bind(&settings).await?;
        let addresses = listeners.addresses(transport.local_address())?;
        let machine = bound_machine(&settings, &addresses);
        let id = NodeId::new(machine.name.clone(), Incarnation(random()));
        let clock = boot_clock();
        let parts = Parts::new(&settings, &id, &machine, clock());
        let (stop, stopped) = watch::channel(false);
        let builder = Builder {
            settings,
            id: id.clone(),
            clock,
            parts,
            metrics: Metrics::default(),
        };
        let tasks = builder.spawn(transport, listeners, stopped)?;
        Ok(Self {
            id,
            addresses,
            stop,
            tasks,
        })
    }

    /// The process's identity.
    pub fn id(&self) -> &NodeId {
        &self.id
    }

    /// The bound addresses.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Asks for a planned stop.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits until a planned stop is done.
    pub async fn stopped(self) {
        for task in self.tasks {
            // A task that panicked has broken an invariant: stop the process as it would have.
            if let Err(error) = task.await
                && error.is_panic()
            {
                std::panic::resume_unwind(error.into_panic());
            }
        }
    }

    /// Ends the node as a crash would: nothing is handed over or finished.
    pub fn kill(self) {
        for task in self.tasks {
            task.abort();
        }
    }
}

async fn bind_transport(address: SocketAddr) -> Result<Transport, NodeError> {
    let bound = Transport::bind(address, wingspar_transport::Settings::default()).await;
    bound.map_err(|error| NodeError::Bind {
        part: "the internal protocol",
        address,
        error,
    })
}

async fn bind(
    part: &'static str,
    address: Option<SocketAddr>,
) -> Result<Option<TcpListener>, NodeError> {
    let Some(address) = address else {
        return Ok(None);
    };
    let bound = TcpListener::bind(address).await;
    let failed = |error| NodeError::Bind {
        part,
        address,
        error,
    };
    bound.map(Some).map_err(failed)
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self, NodeError> {
        let router = settings.router.as_ref().map(|router| router.listen);
        let agent = settings.agent.as_ref().map(|agent| agent.listen);
        let operators = settings.control.as_ref();
        let operators = operators.map(|control| control.operator_listen);
        Ok(Self {
            router: bind("the router", router).await?,
            agent: bind("the agent", agent).await?,
            operators: bind("the operator API", operators).await?,
            telemetry: bind("telemetry", settings.telemetry.listen).await?,
        })
    }

    fn addresses(&self, control: SocketAddr) -> io::Result<Addresses> {
        let address = |listener: &Option<TcpListener>| {
            let listener = listener.as_ref();
            listener.map(TcpListener::local_addr).transpose()
        };
        Ok(Addresses {
            control,
            router: address(&self.router)?,
            agent: address(&self.agent)?,
            operators: address(&self.operators)?,
            telemetry: address(&self.telemetry)?,
        })
    }
}

fn bound_machine(settings: &Settings, addresses: &Addresses) -> Machine {
    Machine {
        control_address: addresses.control,
        agent_address: addresses.agent,
        ..settings.as_machine()
    }
}

struct Builder {
    settings: Settings,
    id: NodeId,
    clock: Clock,
    parts: Parts,
    metrics: Metrics,
}

impl Builder {
    fn spawn(
        self,
        transport: Transport,
        listeners: Listeners,
        stop: watch::Receiver<bool>,
    ) -> Result<Vec<JoinHandle<()>>, NodeError> {
        let (phase, phases) = watch::channel(Phase::Running);
        let (operator_port, operator_calls) = operators::channel();
        let (platform, store_replies) = self.platform()?;
        metrics::register(&self.metrics, &self.parts, &self.clock);
        let mut tasks = Vec::new();
        tasks.extend(self.spawn_router(listeners.router, phases.clone()));
        tasks.extend(self.spawn_agent(listeners.agent, phases.clone()));
        self.spawn_telemetry(listeners.telemetry, phases.clone());
        if let Some(listener) = listeners.operators {
            let stopped = reached(phases, |phase| phase == Phase::Stopped);
            tokio::spawn(async move {
                // A failed listener leaves the node without an operator API; its metrics show it.
                let _ = wingspar_api::serve(listener, operator_port, stopped).await;
            });
        }
        let (sender, inbound) = transport.start(self.id.clone());
        metrics::register_transport(&self.metrics, sender.counters());
        let event_loop = EventLoop {
            log: Log::new(&self.id),
            clock: self.clock,
            parts: self.parts,
            sender,
            inbound,
            platform,
            store_replies,
            operator_calls,
            stop,
            phase,
            drain_limit: self.settings.timing.drain_limit,
            waiting_operators: HashMap::new(),
            next_operator: 0,
            next_wall_clock: MonotonicTime::ZERO,
            earliest_tick: MonotonicTime::ZERO,
            next_check: MonotonicTime::ZERO,
            router_config: ConfigVersion::default(),
        };
        tasks.push(tokio::spawn(event_loop.run()));
        Ok(tasks)
    }

    fn platform(
        &self,
    ) -> Result<
        (
            Option<PlatformPort>,
            mpsc::UnboundedReceiver<wingspar_control::StoreReply>,
        ),
        NodeError,
    > {
        match &self.settings.platform {
            Some(platform) if self.parts.control.is_some() => {
                let (port, replies) = PlatformPort::new(&platform.url)?;
                Ok((Some(port), replies))
            }
            _ => Ok((None, mpsc::unbounded_channel().1)),
        }
    }

    fn spawn_router(
        &self,
        listener: Option<TcpListener>,
        phases: watch::Receiver<Phase>,
    ) -> Option<JoinHandle<()>> {
        let (listener, router) = listener.zip(self.parts.router.clone())?;
        let counters = Arc::default();
        metrics::register_listener(&self.metrics, "router", Arc::clone(&counters));
        let clock = self.clock.clone();
        let stopped = reached(phases, |phase| phase != Phase::Running);
        Some(tokio::spawn(async move {
            let settings = FrontSettings::default();
            let served =
                router_front::serve(listener, router, clock, settings, counters, stopped).await;
            served.expect("a bound listener can be served");
        }))
    }

    fn spawn_agent(
        &self,
        listener: Option<TcpListener>,
        phases: watch::Receiver<Phase>,
    ) -> Option<JoinHandle<()>> {
        let (listener, agent) = listener.zip(self.parts.agent.clone())?;
        let counters = Arc::default();
        metrics::register_listener(&self.metrics, "agent", Arc::clone(&counters));
        let front = AgentFront::new(agent, self.clock.clone());
        let totals = front.counters();
        self.metrics.add_source(move |families| {
            let help = "Agent's HTTP front total.";
            let entries = totals.entries();
            families.extend(wingspar_telemetry::Family::counters(
                "agent_front",
                help,
                entries,
            ));
        });
        let drained = |phase| matches!(phase, Phase::LeavingGroup { .. } | Phase::Stopped);
        let stopped = reached(phases, drained);
        Some(tokio::spawn(async move {
            let served = front
                .serve(listener, ListenSettings::default(), counters, stopped)
                .await;
            served.expect("a bound listener can be served");
        }))
    }

    fn spawn_telemetry(&self, listener: Option<TcpListener>, phases: watch::Receiver<Phase>) {
        let Some(listener) = listener else {
            return;
        };
        let health = metrics::health_check(&self.parts, &self.clock);
        let metrics = self.metrics.clone();
        let stopped = reached(phases, |phase| phase == Phase::Stopped);
        tokio::spawn(async move {
            // Without telemetry the node still does its work.
            let _ = serve_telemetry(listener, metrics, health, stopped).await;
        });
    }
}

/// Ends when the node has reached a phase, or is gone.
async fn reached(mut phases: watch::Receiver<Phase>, wanted: impl Fn(Phase) -> bool) {
    let _ = phases.wait_for(|phase| wanted(*phase)).await;
}
