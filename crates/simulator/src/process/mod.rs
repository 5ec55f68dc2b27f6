//! One wingspar process: the shipped state machines composed as a node composes them.

mod desk;
mod effect;
mod front;

use std::net::SocketAddr;
use std::sync::Arc;

use wingspar_agent::{Agent, AgentSettings};
use wingspar_control::{Control, ControlSettings};
use wingspar_routing::{Router, RouterSettings};
use wingspar_wire::{Message, Outbound, Pull};
use wingspar_world::{Machine, MonotonicTime, NodeId};

use crate::network::MachineIndex;
use desk::Desk;
pub use effect::{Arrival, BackEndResult, Effect, Timer};
use front::Front;
pub use front::KEY_HEADER;

/// Settings that all processes of a simulation share.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// Control.
    pub control: ControlSettings,
    /// Agent.
    pub agent: AgentSettings,
    /// Router.
    pub router: RouterSettings,
    /// Internal addresses of control candidates.
    pub seeds: Vec<SocketAddr>,
}

/// Parts that a machine's process runs beside its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parts {
    /// A control candidate.
    pub control: bool,
    /// A router.
    pub router: bool,
}

/// One run of the program on one machine.
#[derive(Debug)]
pub struct Process {
    node: NodeId,
    control: Option<Control>,
    agent: Agent,
    router: Option<Router>,
    front: Front,
    desk: Desk,
    is_leaving: bool,
    control_stopped: bool,
    agent_drained: bool,
}

impl Process {
    /// Starts a process.
    pub fn start(
        settings: &ProcessSettings,
        parts: Parts,
        index: MachineIndex,
        node: NodeId,
        machine: &Machine,
        now: MonotonicTime,
    ) -> Self {
        let seed = node.incarnation.0;
        let seeds = settings.seeds.clone();
        let control = parts.control.then(|| {
            let settings = settings.control.clone();
            Control::new(
                settings,
                node.clone(),
                machine.clone(),
                seeds.clone(),
                seed,
                now,
            )
        });
        let agent_settings = settings.agent.clone();
        let mut agent = Agent::new(agent_settings, node.clone(), machine.clone(), seeds, now);
        let router = parts.router.then(|| Router::new(settings.router, seed));
        agent.set_table_version(router.as_ref().map(Router::table_version));
        Self {
            control,
            agent,
            router,
            front: Front::new(index, node.incarnation),
            desk: Desk::new(node.clone()),
            node,
            is_leaving: false,
            control_stopped: !parts.control,
            agent_drained: false,
        }
    }

    /// Its name.
    pub fn node(&self) -> &NodeId {
        &self.node
    }

    /// Its control candidate.
    pub fn control(&self) -> Option<&Control> {
        self.control.as_ref()
    }

    /// Its agent.
    pub fn agent(&self) -> &Agent {
        &self.agent
    }

    /// Its router.
    pub fn router(&self) -> Option<&Router> {
        self.router.as_ref()
    }

    /// Its router's front.
    pub fn front(&self) -> &Front {
        &self.front
    }

    /// Requests that would be cut off if it ended now.
    pub fn in_flight(&self) -> usize {
        self.front.open() + self.desk.open()
    }

    /// When it must be ticked at the latest, on its own clock.
    pub fn next_wake(&self) -> MonotonicTime {
        let control = self.control.as_ref().map(Control::next_wake);
        let router = self.router.as_ref().map(Router::next_wake);
        let others = control.into_iter().chain(router);
        others.fold(self.agent.next_wake(), MonotonicTime::min)
    }

    /// Takes in one arrival; `now` is on the machine's own clock.
    pub fn handle(&mut self, now: MonotonicTime, arrival: Arrival, effects: &mut Vec<Effect>) {
        match arrival {
            Arrival::Message {
                sender,
                reply_to,
                message,
            } => self.on_message(now, sender, reply_to, *message, effects),
            Arrival::Store(reply) => {
                self.step_control(now, wingspar_control::Input::Store(reply), effects);
            }
            Arrival::Operator { id, request } => {
                let input = wingspar_control::Input::Operator { id, request };
                self.step_control(now, input, effects);
            }
            Arrival::Tick => self.tick(now, effects),
            Arrival::WallClock(minute_of_day) => {
                let input = wingspar_control::Input::WallClock { minute_of_day };
                self.step_control(now, input, effects);
            }
            Arrival::Leave => self.leave(now, effects),
            other => self.on_request(now, other, effects),
        }
        self.follow(now, effects);
    }

    fn on_request(&mut self, now: MonotonicTime, arrival: Arrival, effects: &mut Vec<Effect>) {
        let (agent, desk) = (&mut self.agent, &mut self.desk);
        match (arrival, &mut self.router) {
            (Arrival::Forwarded(forwarded), _) => desk.accept(now, agent, forwarded, effects),
            (Arrival::BackEnd { ticket, result }, _) => {
                desk.back_end(now, agent, ticket, result, effects);
            }
            (Arrival::Timer(Timer::TicketDeadline(ticket)), _) => {
                desk.deadline(now, agent, ticket, effects);
            }
            (Arrival::Request(request), Some(router)) => {
                self.front.accept(now, router, request, effects);
            }
            (Arrival::Result { origin, result }, Some(router)) => {
                self.front.result(now, router, origin, result, effects);
            }
            (Arrival::Timer(timer), Some(router)) => {
                self.front.timer(now, router, timer, effects);
            }
            _ => {}
        }
    }

    fn on_message(
        &mut self,
        now: MonotonicTime,
        sender: NodeId,
        reply_to: SocketAddr,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Table(update) => {
                self.step_router(now, wingspar_routing::Input::Table(update), effects);
            }
            Message::RenewalReply(_)
            | Message::Configuration(_)
            | Message::Grants(_)
            | Message::Remember(_)
            | Message::RememberReply(_) => {
                let input = wingspar_agent::Input::Message {
                    sender,
                    reply_to,
                    message,
                };
                self.step_agent(now, input, effects);
            }
            message => {
                let input = wingspar_control::Input::Message {
                    sender,
                    reply_to,
                    message,
                };
                self.step_control(now, input, effects);
            }
        }
    }

    fn tick(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        if self
            .control
            .as_ref()
            .is_some_and(|one| one.next_wake() <= now)
        {
            self.step_control(now, wingspar_control::Input::Tick, effects);
        }
        if self.agent.next_wake() <= now {
            self.step_agent(now, wingspar_agent::Input::Tick, effects);
        }
        if self
            .router
            .as_ref()
            .is_some_and(|one| one.next_wake() <= now)
        {
            self.step_router(now, wingspar_routing::Input::Tick, effects);
        }
    }

    fn leave(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        self.is_leaving = true;
        self.step_agent(now, wingspar_agent::Input::Leave, effects);
        self.step_control(now, wingspar_control::Input::Leave, effects);
    }

    fn step_control(
        &mut self,
        now: MonotonicTime,
        input: wingspar_control::Input,
        effects: &mut Vec<Effect>,
    ) {
        let Some(control) = &mut self.control else {
            return;
        };
        let mut outputs = Vec::new();
        control.step(now, input, &mut outputs);
        for output in outputs {
            effects.push(match output {
                wingspar_control::Output::Send(outbound) => Effect::Send(outbound),
                wingspar_control::Output::Store(request) => Effect::Store(request),
                wingspar_control::Output::OperatorReply { id, reply } => {
                    Effect::OperatorReply { id, reply }
                }
                wingspar_control::Output::Event(event) => Effect::Event(event.to_string()),
                wingspar_control::Output::Stopped => {
                    self.control_stopped = true;
                    continue;
                }
            });
        }
    }

    fn step_agent(
        &mut self,
        now: MonotonicTime,
        input: wingspar_agent::Input,
        effects: &mut Vec<Effect>,
    ) {
        let mut outputs = Vec::new();
        self.agent.step(now, input, &mut outputs);
        for output in outputs {
            match output {
                wingspar_agent::Output::Send(outbound) => effects.push(Effect::Send(outbound)),
                wingspar_agent::Output::Event(event) => {
                    effects.push(Effect::Event(format!("{event:?}")));
                }
                wingspar_agent::Output::LeaseLost => {}
                wingspar_agent::Output::Cancel { tickets } => {
                    self.desk.cancel(now, &mut self.agent, &tickets, effects);
                }
                wingspar_agent::Output::Wake { tickets } => {
                    for ticket in tickets {
                        self.desk.start(now, &mut self.agent, ticket, effects);
                    }
                }
                wingspar_agent::Output::Drained => self.agent_drained = true,
            }
        }
    }

    fn step_router(
        &mut self,
        now: MonotonicTime,
        input: wingspar_routing::Input,
        effects: &mut Vec<Effect>,
    ) {
        let Some(router) = &mut self.router else {
            return;
        };
        let before = router.table_version();
        let mut outputs = Vec::new();
        router.step(now, input, &mut outputs);
        if router.table_version() != before {
            self.agent.set_table_version(Some(router.table_version()));
            self.front.table_changed(now, router, effects);
        }
        for output in outputs {
            match output {
                wingspar_routing::Output::Pull { have } => {
                    let message = Message::Pull(Pull::Table { have });
                    let to = self.agent.leader();
                    effects.extend(to.map(|to| Effect::Send(Outbound { to, message })));
                }
                wingspar_routing::Output::Event(event) => {
                    effects.push(Effect::Event(format!("{event:?}")));
                }
            }
        }
    }

    /// Passes a newer configuration from the agent to the router, and ends a planned stop.
    fn follow(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        let version = self.agent.config_version();
        if self
            .router
            .as_ref()
            .is_some_and(|one| one.config_version() < version)
        {
            let configuration = Arc::clone(self.agent.configuration());
            let input = wingspar_routing::Input::Configuration(configuration);
            self.step_router(now, input, effects);
        }
        let is_done = self.control_stopped && self.agent_drained && self.front.open() == 0;
        if self.is_leaving && is_done {
            self.is_leaving = false;
            effects.push(Effect::Stopped);
        }
    }
}
