//! The way from the operator API's tasks to the control candidate in the node's loop, and back.

use tokio::sync::{mpsc, oneshot};
use wingspar_api::Operators;
use wingspar_control::operator::{OperatorReply, OperatorRequest};

/// Requests that wait for the loop; more are answered `Unavailable`.
const QUEUE: usize = 256;

/// One operator request with the place for its answer.
pub(crate) type Call = (OperatorRequest, oneshot::Sender<OperatorReply>);

/// The sending half, given to the operator API.
#[derive(Clone)]
pub(crate) struct OperatorPort {
    calls: mpsc::Sender<Call>,
}

/// Makes both halves.
pub(crate) fn channel() -> (OperatorPort, mpsc::Receiver<Call>) {
    let (calls, receiver) = mpsc::channel(QUEUE);
    (OperatorPort { calls }, receiver)
}

impl Operators for OperatorPort {
    async fn execute(&self, request: OperatorRequest) -> OperatorReply {
        let (answer, answered) = oneshot::channel();
        if self.calls.try_send((request, answer)).is_err() {
            let reason = "too many operator requests wait, or the node is stopping".to_owned();
            return OperatorReply::Unavailable { reason };
        }
        answered.await.unwrap_or_else(|_| OperatorReply::Unknown {
            reason: "the node stopped before it answered".to_owned(),
        })
    }
}
