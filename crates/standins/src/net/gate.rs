//! A gate that stops a server as a whole, as if its process were stopped.

use std::future::poll_fn;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};

#[derive(Debug, Default)]
struct GateState {
    frozen: bool,
    waiting: Vec<Waker>,
}

/// While the gate is frozen, whoever passes it waits. Clones are the same gate.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    state: Arc<Mutex<GateState>>,
}

impl Gate {
    /// Stops everyone at their next pass.
    pub fn freeze(&self) {
        self.lock().frozen = true;
    }

    /// Lets everyone go on as if nothing had happened.
    pub fn thaw(&self) {
        let waiting = {
            let mut state = self.lock();
            state.frozen = false;
            std::mem::take(&mut state.waiting)
        };
        for waker in waiting {
            waker.wake();
        }
    }

    /// Whether the gate is frozen now.
    #[must_use]
    pub fn is_frozen(&self) -> bool {
        self.lock().frozen
    }

    /// Waits until the gate is not frozen.
    pub async fn pass(&self) {
        poll_fn(|context| self.poll_pass(context)).await;
    }

    /// Ready when the gate is not frozen.
    pub fn poll_pass(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        if !state.frozen {
            return Poll::Ready(());
        }
        let waker = context.waker();
        if !state.waiting.iter().any(|known| known.will_wake(waker)) {
            state.waiting.push(waker.clone());
        }
        Poll::Pending
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
