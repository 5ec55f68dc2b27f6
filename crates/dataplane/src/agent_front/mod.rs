//! HTTP front of the agent: takes requests from routers, asks the agent, and forwards to the back
//! end beside it.
//!
//! Each request must carry the router's `wingspar-request-id`, `-service`, `-target` and
//! `-deadline-ms`, for keyed services `-key-hash`, and may carry `-config`, `-class` and
//! `-repeatable`. The back end gets the fence, the grant with its rest of time, and the rest of
//! the deadline in addition. The answer always carries `wingspar-outcome`.

mod answers;
mod clients;
mod counters;
mod cut;
mod exchange;
mod heads;
mod parse;
mod running;
mod shared;

use std::io;
use std::sync::Arc;

use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use tokio::net::TcpListener;

pub use counters::FrontCounters;
pub use shared::SharedAgent;

use crate::clock::Clock;
use crate::listen::{self, ListenCounters, ListenSettings};
use clients::Clients;

/// The agent's HTTP handler.
pub struct AgentFront {
    agent: SharedAgent,
    clock: Clock,
    clients: Clients,
    counters: Arc<FrontCounters>,
}

impl AgentFront {
    /// A front for an agent.
    pub fn new(agent: SharedAgent, clock: Clock) -> Self {
        Self {
            agent,
            clock,
            clients: Clients::default(),
            counters: Arc::default(),
        }
    }

    /// Its counters.
    pub fn counters(&self) -> Arc<FrontCounters> {
        self.counters.clone()
    }

    /// Serves on a bound listener until `stop` ends and the requests in flight are over.
    pub async fn serve(
        self,
        listener: TcpListener,
        settings: ListenSettings,
        counters: Arc<ListenCounters>,
        stop: impl Future<Output = ()>,
    ) -> io::Result<()> {
        listen::serve(listener, self, settings, counters, stop).await
    }
}

#[async_trait]
impl Handler for AgentFront {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        self.exchange(request, response).await;
    }
}
