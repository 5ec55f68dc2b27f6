//! What a control candidate is told.

use std::net::SocketAddr;

use wingspar_store::Answer;
use wingspar_wire::Message;
use wingspar_world::NodeId;

use crate::operator::OperatorRequest;

/// One input of [`Control::step`](crate::Control::step).
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A message of the internal protocol.
    Message {
        /// Process that sent it.
        sender: NodeId,
        /// Where the sender receives internal messages.
        reply_to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Time has passed.
    Tick,
    /// The store's answer to a [`StoreRequest`](crate::StoreRequest).
    Store(StoreReply),
    /// An operator's request; it is answered once, by the same id.
    Operator {
        /// Chosen by the caller.
        id: u64,
        /// The request.
        request: OperatorRequest,
    },
    /// This process is to stop: pass leadership and membership on, then report `Stopped`.
    Leave,
    /// Time of day (UTC), for quiet windows. Told at least once a minute.
    WallClock {
        /// Minute of the day, 0 to 1439.
        minute_of_day: u16,
    },
}

/// The end of one store request.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreReply {
    /// Id of the request.
    pub id: u64,
    /// The answer.
    pub answer: Answer,
}
