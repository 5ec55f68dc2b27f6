//! The union of all messages.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wingspar_world::Configuration;

use crate::{
    GrantList, Presence, Pull, Released, Remember, RememberReply, Renewal, RenewalReply,
    Replication, TableUpdate,
};

/// Any message of the internal protocol.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Node to control leader: keep my session, and here is my load.
    Renewal(Renewal),
    /// Control replica to node.
    RenewalReply(RenewalReply),
    /// Node to control leader: send what I lack.
    Pull(Pull),
    /// Control leader to node: the whole configuration.
    Configuration(Box<Configuration>),
    /// Control leader to agent: all grants of the agent.
    Grants(GrantList),
    /// Control leader to router: changes of the slice table.
    Table(TableUpdate),
    /// Agent to control leader: a slice was given up as asked.
    Released(Released),
    /// Agent to agent: remembered requests of a slice that changes hands.
    Remember(Remember),
    /// Agent to agent: the remembered requests were taken in.
    RememberReply(RememberReply),
    /// Control candidate to control candidate: who I am and what I belong to.
    Presence(Presence),
    /// Replica to replica.
    Replication(Replication),
}

/// How a message travels.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Channel {
    /// One UDP datagram: small, frequent, repeated anyway.
    Datagram,
    /// A TCP stream: large or rare.
    Stream,
}

impl Message {
    /// The channel that suits the message; one too large for a datagram travels by stream anyway.
    pub fn channel(&self) -> Channel {
        match self {
            Self::Renewal(_) | Self::RenewalReply(_) | Self::Pull(_) | Self::Presence(_) => {
                Channel::Datagram
            }
            Self::Released(_) | Self::RememberReply(_) | Self::Replication(_) => Channel::Datagram,
            Self::Configuration(_) | Self::Grants(_) | Self::Table(_) | Self::Remember(_) => {
                Channel::Stream
            }
        }
    }

    /// Stable name for counters.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Renewal(_) => "renewal",
            Self::RenewalReply(_) => "renewal_reply",
            Self::Pull(_) => "pull",
            Self::Configuration(_) => "configuration",
            Self::Grants(_) => "grants",
            Self::Table(_) => "table",
            Self::Released(_) => "released",
            Self::Remember(_) => "remember",
            Self::RememberReply(_) => "remember_reply",
            Self::Presence(_) => "presence",
            Self::Replication(_) => "replication",
        }
    }
}

/// A message that a state machine wants sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Outbound {
    /// Internal-protocol address of the receiver.
    pub to: SocketAddr,
    /// What to send.
    pub message: Message,
}
