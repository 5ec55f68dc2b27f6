//! The operator-only HTTP address: `/metrics`, `/healthz` and `/readyz`.

use std::io;
use std::sync::Arc;

use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::Metrics;

/// What the process says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Health {
    /// It should get requests.
    pub ready: bool,
    /// Why not, one line for each cause.
    pub waiting_for: Vec<String>,
}

/// Reads the process's health.
pub type HealthCheck = Arc<dyn Fn() -> Health + Send + Sync>;

struct MetricsPage(Metrics);
struct ReadyPage(HealthCheck);

#[async_trait]
impl Handler for MetricsPage {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        answer: &mut Response,
        _: &mut FlowCtrl,
    ) {
        match self.0.encode() {
            Ok(text) => answer.render(Text::Plain(text)),
            Err(_) => {
                answer.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            }
        }
    }
}

#[async_trait]
impl Handler for ReadyPage {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        answer: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let health = (self.0)();
        if !health.ready {
            answer.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        answer.render(Json(health));
    }
}

#[handler]
async fn alive() -> &'static str {
    "ok\n"
}

/// Serves until `stop` ends.
///
/// Errors: the listener can't be used.
pub async fn serve(
    listener: TcpListener,
    metrics: Metrics,
    health: HealthCheck,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let acceptor = TcpAcceptor::try_from(listener)?;
    let router = Router::new()
        .push(Router::with_path("metrics").get(MetricsPage(metrics)))
        .push(Router::with_path("readyz").get(ReadyPage(health)))
        .push(Router::with_path("healthz").get(alive));
    let server = Server::new(acceptor);
    tokio::select! {
        served = server.try_serve(router) => served,
        () = stop => Ok(()),
    }
}
