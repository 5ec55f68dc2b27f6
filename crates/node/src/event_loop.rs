//! The node's single loop.

use std::collections::HashMap;
use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use wingspar_agent::{Input as AgentInput, Output as AgentOutput};
use wingspar_control::operator::OperatorReply;
use wingspar_control::{Control, Input as ControlInput, Output as ControlOutput, StoreReply};
use wingspar_dataplane::clock::{Clock, sleep_until};
use wingspar_routing::{Input as RouterInput, Output as RouterOutput};
use wingspar_transport::{Inbound, Sender};
use wingspar_wire::{Envelope, Message, Pull};
use wingspar_world::{ConfigVersion, MonotonicTime};

use crate::clock::minute_of_day;
use crate::log::Log;
use crate::operators::Call;
use crate::parts::Parts;
use crate::platform::PlatformPort;
use crate::stopping::Phase;

/// How often the time of day is told to the control candidate.
const WALL_CLOCK_INTERVAL: Duration = Duration::from_secs(20);
/// How often the invariants of the control state are checked in a running node.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two ticks, so that a part that wants to be woken in the past can't keep
/// the other tasks of the thread from running.
const SHORTEST_TICK: Duration = Duration::from_millis(1);

/// Everything the loop works with.
pub(crate) struct EventLoop {
    pub(crate) clock: Clock,
    pub(crate) log: Log,
    pub(crate) parts: Parts,
    pub(crate) sender: Sender,
    pub(crate) inbound: Inbound,
    pub(crate) platform: Option<PlatformPort>,
    pub(crate) store_replies: mpsc::UnboundedReceiver<StoreReply>,
    pub(crate) operator_calls: mpsc::Receiver<Call>,
    pub(crate) stop: watch::Receiver<bool>,
    /// Tells the fronts which phase the node is in.
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) drain_limit: Duration,
    pub(crate) waiting_operators: HashMap<u64, oneshot::Sender<OperatorReply>>,
    pub(crate) next_operator: u64,
    pub(crate) next_wall_clock: MonotonicTime,
    pub(crate) earliest_tick: MonotonicTime,
    pub(crate) next_check: MonotonicTime,
    pub(crate) router_config: ConfigVersion,
}

impl EventLoop {
    /// Runs until a planned stop is done.
    pub(crate) async fn run(mut self) {
        while self.current_phase() != Phase::Stopped {
            let wake = self.next_wake();
            let stopping = self.current_phase() != Phase::Running;
            tokio::select! {
                Some(envelope) = self.inbound.recv() => self.on_envelope(envelope),
                Some(reply) = self.store_replies.recv() => self.step_control(ControlInput::Store(reply)),
                Some(call) = self.operator_calls.recv() => self.on_operator(call),
                () = stop_requested(&mut self.stop), if !stopping => self.begin_stop(),
                () = agent_changed(&self.parts) => self.step_agent(AgentInput::Tick),
                () = router_outputs(&self.parts) => self.step_router(RouterInput::Tick),
                () = sleep_until(&self.clock, wake) => self.tick(),
            }
            self.share_configuration();
            self.tend_stop();
        }
    }

    fn now(&self) -> MonotonicTime {
        (self.clock)()
    }

    fn current_phase(&self) -> Phase {
        *self.phase.borrow()
    }

    fn control(&self) -> Option<MutexGuard<'_, Control>> {
        let control = self.parts.control.as_ref()?;
        Some(control.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn next_wake(&self) -> MonotonicTime {
        let agent = self.parts.agent.as_ref().map(|agent| agent.next_wake());
        let router = self.parts.router.as_ref();
        let router = router.map(|router| router.with(|router| router.next_wake()));
        let control = self.control().map(|control| control.next_wake());
        let parts = [agent, router, control].into_iter().flatten().min();
        let own = self.next_wall_clock.min(self.current_phase().limit());
        let wanted = own.min(parts.unwrap_or(MonotonicTime::MAX));
        wanted.max(self.earliest_tick)
    }

    fn tick(&mut self) {
        let now = self.now();
        self.earliest_tick = now + SHORTEST_TICK;
        if now >= self.next_wall_clock {
            self.next_wall_clock = now + WALL_CLOCK_INTERVAL;
            let minute_of_day = minute_of_day();
            self.step_control(ControlInput::WallClock { minute_of_day });
        }
        self.step_control(ControlInput::Tick);
        self.step_agent(AgentInput::Tick);
        self.step_router(RouterInput::Tick);
        self.check_invariants(now);
    }

    /// A broken invariant is a defect after which nothing this process says can be trusted.
    fn check_invariants(&mut self, now: MonotonicTime) {
        if now < self.next_check {
            return;
        }
        self.next_check = now + CHECK_INTERVAL;
        let checked = self
            .control()
            .map_or(Ok(()), |control| control.check_invariants());
        if let Err(violation) = checked {
            self.log.invariant_broken(&violation);
            panic!("broken invariant: {violation}");
        }
    }

    fn on_envelope(&mut self, envelope: Envelope) {
        let Envelope {
            sender,
            reply_to,
            message,
            ..
        } = envelope;
        match message {
            Message::Renewal(_)
            | Message::Pull(_)
            | Message::Released(_)
            | Message::Presence(_)
            | Message::Replication(_) => self.step_control(ControlInput::Message {
                sender,
                reply_to,
                message,
            }),
            Message::RenewalReply(_)
            | Message::Configuration(_)
            | Message::Grants(_)
            | Message::Remember(_)
            | Message::RememberReply(_) => self.step_agent(AgentInput::Message {
                sender,
                reply_to,
                message,
            }),
            Message::Table(update) => self.step_router(RouterInput::Table(update)),
        }
    }

    fn on_operator(&mut self, (request, answer): Call) {
        let id = self.next_operator;
        self.next_operator += 1;
        self.waiting_operators
            .retain(|_, waiting| !waiting.is_closed());
        self.waiting_operators.insert(id, answer);
        self.step_control(ControlInput::Operator { id, request });
    }

    fn step_control(&mut self, input: ControlInput) {
        let now = self.now();
        let mut outputs = Vec::new();
        if let Some(mut control) = self.control() {
            control.step(now, input, &mut outputs);
        }
        for output in outputs {
            self.carry_out_control(output);
        }
    }

    fn carry_out_control(&mut self, output: ControlOutput) {
        match output {
            ControlOutput::Send(outbound) => self.sender.send(outbound.to, outbound.message),
            ControlOutput::Store(request) => {
                if let Some(platform) = &self.platform {
                    platform.request(request);
                }
            }
            ControlOutput::OperatorReply { id, reply } => {
                if let Some(waiting) = self.waiting_operators.remove(&id) {
                    // The caller may have gone away; the change stands all the same.
                    let _ = waiting.send(reply);
                }
            }
            ControlOutput::Event(change) => self.log.control(&change),
            ControlOutput::Stopped => self.enter(Phase::Stopped),
        }
    }

    fn step_agent(&mut self, input: AgentInput) {
        let Some(agent) = &self.parts.agent else {
            return;
        };
        for output in agent.step(self.now(), input) {
            match output {
                AgentOutput::Send(outbound) => self.sender.send(outbound.to, outbound.message),
                AgentOutput::Event(change) => self.log.agent(&change),
                AgentOutput::LeaseLost => self.log.lease_lost(),
                AgentOutput::Drained => self.leave_group(),
                // The shared agent signals the requests itself.
                AgentOutput::Cancel { .. } | AgentOutput::Wake { .. } => {}
            }
        }
    }

    fn step_router(&mut self, input: RouterInput) {
        let (Some(router), Some(agent)) = (&self.parts.router, &self.parts.agent) else {
            return;
        };
        for output in router.step(self.now(), input) {
            match output {
                RouterOutput::Pull { have } => {
                    if let Some(leader) = agent.with(|agent| agent.leader()) {
                        self.sender
                            .send(leader, Message::Pull(Pull::Table { have }));
                    }
                }
                RouterOutput::Event(change) => self.log.routing(&change),
            }
        }
    }

    /// Passes a new configuration from the agent to the router, and the router's table version to
    /// the agent, which reports it.
    fn share_configuration(&mut self) {
        let (Some(router), Some(agent)) = (&self.parts.router, &self.parts.agent) else {
            return;
        };
        let table = router.with(|router| router.table_version());
        let configuration = agent.with(|agent| {
            agent.set_table_version(Some(table));
            agent.configuration().clone()
        });
        if configuration.version > self.router_config {
            self.router_config = configuration.version;
            self.step_router(RouterInput::Configuration(configuration));
        }
    }

    fn enter(&mut self, phase: Phase) {
        self.log.phase("stop_phase", &format!("{phase:?}"));
        self.phase.send_replace(phase);
    }

    fn begin_stop(&mut self) {
        self.enter(Phase::draining(self.now(), self.drain_limit));
        if self.parts.agent.is_none() {
            return self.leave_group();
        }
        self.step_agent(AgentInput::Leave);
    }

    fn leave_group(&mut self) {
        if !matches!(self.current_phase(), Phase::Draining { .. }) {
            return;
        }
        if self.parts.control.is_none() {
            return self.enter(Phase::Stopped);
        }
        self.enter(Phase::leaving_group(self.now()));
        self.step_control(ControlInput::Leave);
    }

    /// Goes on to the next phase when the current one takes too long.
    fn tend_stop(&mut self) {
        let phase = self.current_phase();
        if self.now() < phase.limit() {
            return;
        }
        match phase {
            Phase::Draining { .. } => self.leave_group(),
            Phase::LeavingGroup { .. } => self.enter(Phase::Stopped),
            Phase::Running | Phase::Stopped => {}
        }
    }
}

/// Ends when a planned stop is asked for; never when nobody can ask any more.
async fn stop_requested(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn agent_changed(parts: &Parts) {
    match &parts.agent {
        Some(agent) => agent.changed().await,
        None => std::future::pending().await,
    }
}

async fn router_outputs(parts: &Parts) {
    match &parts.router {
        Some(router) => router.outputs_ready().await,
        None => std::future::pending().await,
    }
}
