//! One router shared by the node's loop and all calls.

use std::sync::{Arc, Mutex};

use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use wingspar_routing::{Input, Output, Router};
use wingspar_world::MonotonicTime;

/// Handle of a router; clones share it.
#[derive(Debug, Clone)]
pub struct SharedRouter(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    router: Mutex<Router>,
    changed: Notify,
    outputs: Notify,
}

impl SharedRouter {
    /// Shares a router.
    pub fn new(router: Router) -> Self {
        Self(Arc::new(Inner {
            router: Mutex::new(router),
            changed: Notify::new(),
            outputs: Notify::new(),
        }))
    }

    /// Steps the router and wakes the calls that wait for news. For the node's loop.
    pub fn step(&self, now: MonotonicTime, input: Input) -> Vec<Output> {
        let is_news = !matches!(input, Input::Tick);
        let mut outputs = Vec::new();
        self.lock(|router| router.step(now, input, &mut outputs));
        if is_news {
            self.0.changed.notify_waiters();
        }
        outputs
    }

    /// Returns when calls have left outputs; step with [`Input::Tick`] to get them.
    pub async fn outputs_ready(&self) {
        self.0.outputs.notified().await;
    }

    /// Looks into the router, such as for counters. Must not block.
    pub fn with<Value>(&self, look: impl FnOnce(&mut Router) -> Value) -> Value {
        let (value, has_outputs) = self.lock(|router| (look(router), router.has_pending_outputs()));
        if has_outputs {
            self.0.outputs.notify_one();
        }
        value
    }

    /// Ends at the next change of table or configuration after this call.
    pub(crate) fn changed(&self) -> Notified<'_> {
        self.0.changed.notified()
    }

    fn lock<Value>(&self, look: impl FnOnce(&mut Router) -> Value) -> Value {
        // A panic under the lock is a broken invariant, and those stop the process.
        let mut router = self.0.router.lock().expect("no panic while routing");
        look(&mut router)
    }
}
