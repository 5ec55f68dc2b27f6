//! What a control candidate asks its caller to do.

use wingspar_store::operation::Operation;
use wingspar_wire::Outbound;

use crate::event::ControlEvent;
use crate::operator::OperatorReply;

/// One effect, to be carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send(Outbound),
    /// Ask the store; the answer comes back as [`Input::Store`](crate::Input::Store).
    Store(StoreRequest),
    /// Answer an operator.
    OperatorReply {
        /// Id of the request.
        id: u64,
        /// The answer.
        reply: OperatorReply,
    },
    /// A change of state worth one log line.
    Event(ControlEvent),
    /// What `Leave` asked for is done, as far as it could be: the process may end.
    Stopped,
}

/// One request to the platform's store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreRequest {
    /// Returned in the reply.
    pub id: u64,
    /// The operation. A `Watch` is a long poll: the caller holds it as long as it likes.
    pub operation: Operation,
}
