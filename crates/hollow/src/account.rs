//! What each role sent, received and computed.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

/// A part that a hollow node plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Leads the control group; it is also the one that reads the platform's store.
    Leader,
    /// Another member of the control group.
    Follower,
    /// Keeps a machine's session and grants.
    Agent,
    /// Keeps the slice table.
    Router,
}

/// Messages and their bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Encoded bytes, without headers of the network.
    pub bytes: u64,
    /// Bytes of the largest one.
    pub largest: u64,
}

impl Traffic {
    fn add(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        self.messages += 1;
        self.bytes += bytes;
        self.largest = self.largest.max(bytes);
    }
}

/// Account of all nodes of one role together.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Account {
    /// Sent messages by name.
    pub sent: BTreeMap<&'static str, Traffic>,
    /// Received messages by name.
    pub received: BTreeMap<&'static str, Traffic>,
    /// Processor time of decoding, steps and encoding.
    pub cpu: Duration,
    /// Messages over the largest frame, which can't be sent at all.
    pub too_large: u64,
}

/// Accounts by role.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Ledger {
    /// The accounts.
    pub roles: BTreeMap<Role, Account>,
}

impl Ledger {
    /// The account of a role.
    pub fn of(&mut self, role: Role) -> &mut Account {
        self.roles.entry(role).or_default()
    }

    /// Forgets the processor time, which differs between runs.
    pub fn without_cpu(mut self) -> Self {
        for account in self.roles.values_mut() {
            account.cpu = Duration::ZERO;
        }
        self
    }
}

impl Account {
    pub(crate) fn note_sent(&mut self, name: &'static str, bytes: usize) {
        self.sent.entry(name).or_default().add(bytes);
    }

    pub(crate) fn note_received(&mut self, name: &'static str, bytes: usize) {
        self.received.entry(name).or_default().add(bytes);
    }

    /// Messages sent and received.
    pub fn messages(&self) -> u64 {
        let all = self.sent.values().chain(self.received.values());
        all.map(|traffic| traffic.messages).sum()
    }

    /// Bytes sent and received.
    pub fn bytes(&self) -> u64 {
        let all = self.sent.values().chain(self.received.values());
        all.map(|traffic| traffic.bytes).sum()
    }
}
