//! The gRPC server.

use std::future::Future;
use std::time::Duration;

use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::Operators;
use crate::service::OperatorService;
use crate::v1::group_server::GroupServer;
use crate::v1::placement_policies_server::PlacementPoliciesServer;
use crate::v1::placements_server::PlacementsServer;
use crate::v1::services_server::ServicesServer;
use crate::v1::targets_server::TargetsServer;

/// Calls that one connection may have open.
const CALLS_PER_CONNECTION: usize = 32;
/// Between two pings that find dead connections.
const PING_INTERVAL: Duration = Duration::from_secs(20);
/// Wait for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for open calls after the order to stop; longer than any call but a watch takes.
const STOP_LIMIT: Duration = Duration::from_secs(12);

/// Why the server ended before it was told to.
#[derive(Debug, Error)]
#[error("operator API: {0}")]
pub struct ServeError(#[from] tonic::transport::Error);

/// Serves operators until `shutdown` completes. Open calls are answered first, watches are ended.
pub async fn serve(
    listener: TcpListener,
    operators: impl Operators,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<(), ServeError> {
    let (stop, stopped) = watch::channel(false);
    let service = OperatorService::new(operators, stopped.clone());
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = Server::builder()
        .concurrency_limit_per_connection(CALLS_PER_CONNECTION)
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT))
        .add_service(ServicesServer::new(service.clone()))
        .add_service(TargetsServer::new(service.clone()))
        .add_service(PlacementPoliciesServer::new(service.clone()))
        .add_service(PlacementsServer::new(service.clone()))
        .add_service(GroupServer::new(service));
    let shutdown = async move {
        shutdown.await;
        stop.send_replace(true);
    };
    tokio::select! {
        ended = server.serve_with_incoming_shutdown(incoming, shutdown) => Ok(ended?),
        () = overdue(stopped) => Ok(()),
    }
}

/// Completes when open calls had their time after the order to stop.
async fn overdue(mut stopped: watch::Receiver<bool>) {
    let ordered = stopped.wait_for(|stop| *stop).await.is_ok();
    if !ordered {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(STOP_LIMIT).await;
}
