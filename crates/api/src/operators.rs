//! What answers operators' requests.

use std::future::Future;

use wingspar_control::operator::{OperatorReply, OperatorRequest};

/// Answers operators' requests, such as a node's control state machine.
pub trait Operators: Send + Sync + 'static {
    /// Carries out one request. It may be dropped before it is done; a change may then take effect
    /// all the same.
    fn execute(&self, request: OperatorRequest) -> impl Future<Output = OperatorReply> + Send;
}
