//! The router's HTTP front: callers on one side, agents on the other.
//!
//! All decisions are the `routing` crate's; what is here turns HTTP into its inputs and its
//! decisions into HTTP. The router is locked for single decisions only, never across an `await`.

mod answer;
mod body;
mod call;
mod ids;
mod request;
mod result;
mod shared;

use std::future::Future;
use std::io;
use std::sync::Arc;

use thiserror::Error;
use tokio::net::TcpListener;

pub use ids::RequestIds;
pub use shared::SharedRouter;

use crate::clock::Clock;
use crate::forward::{self, ForwardError};
use crate::listen::{self, ListenCounters, ListenSettings};

/// Bounds of the router's front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrontSettings {
    /// Bounds of the listener.
    pub listen: ListenSettings,
    /// Idle connections kept to each agent.
    pub idle_connections: usize,
    /// Request bodies of known length up to this many bytes are read whole before they are sent
    /// on, so that they can be sent again.
    pub buffered_body_bytes: usize,
}

impl Default for FrontSettings {
    fn default() -> Self {
        Self {
            listen: ListenSettings::default(),
            idle_connections: 128,
            buffered_body_bytes: 64 * 1024,
        }
    }
}

/// Why the front can't serve.
#[derive(Debug, Error)]
pub enum FrontError {
    /// The HTTP client can't be built.
    #[error(transparent)]
    Client(#[from] ForwardError),
    /// The listener failed.
    #[error("the listener failed: {0}")]
    Listener(#[from] io::Error),
}

/// What every call needs.
pub(crate) struct Front {
    pub(crate) router: SharedRouter,
    pub(crate) client: reqwest::Client,
    pub(crate) clock: Clock,
    pub(crate) ids: RequestIds,
    pub(crate) settings: FrontSettings,
}

/// Serves callers on `listener` until `stop` ends; requests in flight are finished first, within
/// the bound of [`ListenSettings::stop_timeout`].
pub async fn serve(
    listener: TcpListener,
    router: SharedRouter,
    clock: Clock,
    settings: FrontSettings,
    counters: Arc<ListenCounters>,
    stop: impl Future<Output = ()>,
) -> Result<(), FrontError> {
    let client = forward::client(settings.idle_connections)?;
    let front = Arc::new(Front {
        router,
        client,
        clock,
        ids: RequestIds::new(),
        settings,
    });
    let handler = call::CallHandler::new(front);
    listen::serve(listener, handler, settings.listen, counters, stop).await?;
    Ok(())
}
