//! The agent shared between the node's loop and the HTTP handlers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use wingspar_agent::{Admission, Admit, Agent, Clearance, Finish, Input, Output, Refusal, Ticket};
use wingspar_world::MonotonicTime;

/// Tells one waiting or running request that something happened to it.
#[derive(Debug, Default)]
pub(super) struct Signals {
    /// The request should call `start`.
    pub(super) runnable: Notify,
    /// The right to run it is over.
    pub(super) cancelled: Notify,
}

struct State {
    agent: Agent,
    signals: HashMap<Ticket, Arc<Signals>>,
}

struct Inner {
    state: Mutex<State>,
    changed: Notify,
}

/// Handle to the agent; cheap to clone. It is locked for single decisions only.
#[derive(Clone)]
pub struct SharedAgent {
    inner: Arc<Inner>,
}

/// An admitted request.
pub(super) enum Admitted {
    Run(Ticket, Arc<Signals>),
    Queue(Ticket, Arc<Signals>),
    /// It has its answer already.
    Answered(Admit),
}

impl SharedAgent {
    /// Shares an agent.
    pub fn new(agent: Agent) -> Self {
        let state = State {
            agent,
            signals: HashMap::new(),
        };
        Self {
            inner: Arc::new(Inner {
                state: Mutex::new(state),
                changed: Notify::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Feeds the agent one input. What concerns single requests is carried out here; the rest is
    /// returned for the node's loop.
    pub fn step(&self, now: MonotonicTime, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        let mut state = self.lock();
        state.agent.step(now, input, &mut outputs);
        outputs.retain(|output| match output {
            Output::Cancel { tickets } => {
                state.signal(tickets, |signals| signals.cancelled.notify_one());
                false
            }
            Output::Wake { tickets } => {
                state.signal(tickets, |signals| signals.runnable.notify_one());
                false
            }
            _ => true,
        });
        outputs
    }

    /// Looks at the agent or sets something on it.
    pub fn with<R>(&self, look: impl FnOnce(&mut Agent) -> R) -> R {
        look(&mut self.lock().agent)
    }

    /// When the node's loop must call `step` at the latest.
    pub fn next_wake(&self) -> MonotonicTime {
        self.lock().agent.next_wake()
    }

    /// Waits until a request changed something that `step` should look at before `next_wake`.
    pub async fn changed(&self) {
        self.inner.changed.notified().await;
    }

    pub(super) fn admit(&self, now: MonotonicTime, admission: Admission) -> Admitted {
        let mut state = self.lock();
        let answer = state.agent.admit(now, admission);
        self.tell_loop(&state);
        match answer {
            Admit::Run(ticket) => Admitted::Run(ticket, state.register(ticket)),
            Admit::Queue(ticket) => Admitted::Queue(ticket, state.register(ticket)),
            other => Admitted::Answered(other),
        }
    }

    pub(super) fn start(&self, now: MonotonicTime, ticket: Ticket) -> Result<Clearance, Refusal> {
        let mut state = self.lock();
        let cleared = state.agent.start(now, ticket);
        self.tell_loop(&state);
        cleared
    }

    pub(super) fn finish(&self, now: MonotonicTime, ticket: Ticket, finish: Finish) {
        let mut state = self.lock();
        let runnable = state.agent.finish(now, ticket, finish);
        state.signals.remove(&ticket);
        state.signal(&runnable, |signals| signals.runnable.notify_one());
        self.tell_loop(&state);
    }

    fn tell_loop(&self, state: &State) {
        if state.agent.next_wake() == MonotonicTime::ZERO {
            self.inner.changed.notify_one();
        }
    }
}

impl State {
    fn register(&mut self, ticket: Ticket) -> Arc<Signals> {
        let signals = Arc::new(Signals::default());
        self.signals.insert(ticket, signals.clone());
        signals
    }

    fn signal(&self, tickets: &[Ticket], send: impl Fn(&Signals)) {
        for ticket in tickets {
            if let Some(signals) = self.signals.get(ticket) {
                send(signals);
            }
        }
    }
}
