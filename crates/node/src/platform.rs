//! The way from the control candidate to the platform's store, and back.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use wingspar_control::{StoreReply, StoreRequest};
use wingspar_store::operation::Operation;
use wingspar_store::{HttpStore, HttpStoreSettings};

use crate::NodeError;

/// How long the store may hold a watch without events.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Sends store requests, each in a task of its own.
#[derive(Debug, Clone)]
pub(crate) struct PlatformPort {
    store: HttpStore,
    replies: mpsc::UnboundedSender<StoreReply>,
}

impl PlatformPort {
    /// Connects to nothing yet. Replies arrive at the receiver; the control candidate bounds how
    /// many are under way.
    pub(crate) fn new(url: &str) -> Result<(Self, mpsc::UnboundedReceiver<StoreReply>), NodeError> {
        let store = HttpStore::new(HttpStoreSettings::new(parse_address(url)?))?;
        let (replies, receiver) = mpsc::unbounded_channel();
        Ok((Self { store, replies }, receiver))
    }

    pub(crate) fn request(&self, request: StoreRequest) {
        let port = self.clone();
        tokio::spawn(async move {
            let wait = match request.operation {
                Operation::Watch { .. } => WATCH_WAIT,
                _ => Duration::ZERO,
            };
            let answer = port.store.execute_waiting(&request.operation, wait).await;
            // The loop may have ended meanwhile; then nobody wants the answer.
            let _ = port.replies.send(StoreReply {
                id: request.id,
                answer,
            });
        });
    }
}

fn parse_address(url: &str) -> Result<SocketAddr, NodeError> {
    let address = url.strip_prefix("http://").unwrap_or_default();
    let parsed = address.trim_end_matches('/').parse();
    parsed.map_err(|_| NodeError::PlatformUrl(url.to_owned()))
}
