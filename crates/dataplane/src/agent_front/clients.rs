//! HTTP clients towards back ends.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use crate::forward::{ForwardError, client};

/// One client for each number of idle connections; each keeps a pool for every address.
#[derive(Default)]
pub(super) struct Clients {
    by_connections: Mutex<HashMap<u32, reqwest::Client>>,
}

impl Clients {
    /// A client that keeps at most `connections` idle connections to a back end. Requests in
    /// flight, and so connections in use, are bounded by the target's slots.
    pub(super) fn get(&self, connections: u32) -> Result<reqwest::Client, ForwardError> {
        let clients = self.by_connections.lock();
        let mut clients = clients.unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = clients.get(&connections) {
            return Ok(known.clone());
        }
        let fresh = client(connections as usize)?;
        clients.insert(connections, fresh.clone());
        Ok(fresh)
    }
}
