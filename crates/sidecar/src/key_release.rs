//! Release calls to the target, and which answers prove that the target holds nothing any more.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use tokio::time::timeout;

use crate::body::Body;
use crate::connections::ConnectionPool;

/// Sends a release; `None` if there is no complete answer in time. Each call has a connection of its own, since a
/// kept one may deliver a surplus answer to an earlier call, which can't be told from the release's.
pub async fn send(
    address: SocketAddr,
    request: Request<Body>,
    time: Duration,
) -> Option<Response<()>> {
    let connections = ConnectionPool::for_calls(address, time);
    let exchange = async {
        let response = connections.send(request).await.ok()?;
        let (parts, body) = response.into_parts();
        body.read_to_end().await.ok()?;
        Some(Response::from_parts(parts, ()))
    };
    timeout(time, exchange).await.ok().flatten()
}

/// Whether the answer to a release proves that the target no longer holds the keys. A target that may hold keys never
/// refuses a release, so any other status than success shows that the call wasn't executed. A target of an unkeyed
/// service doesn't implement the call and holds nothing; it rejects the call, unless it is too busy to read it.
pub fn is_released(status: StatusCode, may_hold_keys: bool) -> bool {
    let is_not_run = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
    );
    let is_rejected = status.is_client_error() && !is_not_run;
    status.is_success() || (!may_hold_keys && is_rejected)
}
