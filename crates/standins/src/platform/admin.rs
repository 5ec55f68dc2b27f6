//! Steering of the stand-in over HTTP, below `/admin`. Not part of the published API.

use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use serde::Serialize;

use crate::net::{read_json, render_error, render_json};

use super::faults::Faults;
use super::state::{MachineAction, PlatformState};

/// Longest body of an admin request, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

#[derive(Serialize)]
struct RevisionBody {
    revision: u64,
}

#[derive(Debug, Clone, Copy)]
enum Command {
    SetFaults,
    GetFaults,
    ChangeMachine,
    GetCounters,
}

struct AdminHandler {
    command: Command,
    state: PlatformState,
}

pub(super) fn router(state: &PlatformState) -> Router {
    let handler = |command| AdminHandler {
        command,
        state: state.clone(),
    };
    Router::with_path("admin")
        .push(
            Router::with_path("faults")
                .get(handler(Command::GetFaults))
                .post(handler(Command::SetFaults)),
        )
        .push(Router::with_path("machines").post(handler(Command::ChangeMachine)))
        .push(Router::with_path("counters").get(handler(Command::GetCounters)))
}

#[async_trait]
impl Handler for AdminHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.command {
            Command::SetFaults => match read_json::<Faults>(request, MAX_BODY_BYTES).await {
                Ok(faults) => {
                    self.state.set_faults(faults);
                    render_json(response, StatusCode::OK, &faults);
                }
                Err((status, error)) => render_error(response, status, error),
            },
            Command::GetFaults => render_json(response, StatusCode::OK, &self.state.faults()),
            Command::ChangeMachine => self.change_machine(request, response).await,
            Command::GetCounters => render_json(response, StatusCode::OK, &self.state.counters()),
        }
    }
}

impl AdminHandler {
    async fn change_machine(&self, request: &mut Request, response: &mut Response) {
        let action = match read_json::<MachineAction>(request, MAX_BODY_BYTES).await {
            Ok(action) => action,
            Err((status, error)) => return render_error(response, status, error),
        };
        match self.state.change_machine(action) {
            Some(revision) => render_json(response, StatusCode::OK, &RevisionBody { revision }),
            None => render_error(response, StatusCode::NOT_FOUND, "no such machine"),
        }
    }
}
