//! Takes requests from the agent, runs them and answers.

use std::sync::Arc;

use futures_util::StreamExt;
use salvo::http::{ReqBody, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde::Serialize;
use tokio::sync::oneshot;
use wingspar_wire::headers;

use crate::net::render_json;

use super::answer;
use super::refusal::RefusalReason;
use super::run::{RunEnd, run};
use super::state::Backend;
use super::terms::RequestTerms;

/// When a caller may come back after a refusal that will pass, in whole seconds.
const RETRY_AFTER_SECONDS: &str = "1";

/// The body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody {
    reason: RefusalReason,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
}

/// Answers every path that is not the stand-in's own.
pub(super) struct WorkHandler {
    pub(super) backend: Arc<Backend>,
}

#[async_trait]
impl Handler for WorkHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let terms = match RequestTerms::read(request) {
            Ok(terms) => Arc::new(terms),
            Err(malformed) => return self.refuse_malformed(response, malformed.to_string()),
        };
        if let Err(reason) = self.backend.check_arrival(&terms) {
            return self.refuse(response, reason, None);
        }
        if !terms.answer.early
            && let Err(error) = read_to_end(request.take_body()).await
        {
            return self.refuse_malformed(response, error);
        }
        match self.run(&terms).await {
            RunEnd::Committed(slot) => {
                let truncate = terms.answer.truncate | self.backend.truncates_next_answer();
                answer::render(
                    response,
                    &terms,
                    &self.backend.settings.name,
                    truncate,
                    slot,
                );
            }
            RunEnd::Refused(reason) => self.refuse(response, reason, None),
            RunEnd::Cancelled => {
                response.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            }
        }
    }
}

impl WorkHandler {
    /// Runs in a task of its own, since this handler vanishes with its connection, but a frozen
    /// server doesn't notice that.
    async fn run(&self, terms: &Arc<RequestTerms>) -> RunEnd {
        let (_caller_waits, caller_gone) = oneshot::channel();
        let (end_sender, end) = oneshot::channel();
        let work = run(Arc::clone(&self.backend), Arc::clone(terms), caller_gone);
        self.backend.spawn(async move {
            let _nobody_waits = end_sender.send(work.await);
        });
        end.await.unwrap_or(RunEnd::Cancelled)
    }

    fn refuse_malformed(&self, response: &mut Response, detail: String) {
        self.refuse(response, RefusalReason::Malformed, Some(detail));
    }

    fn refuse(&self, response: &mut Response, reason: RefusalReason, detail: Option<String>) {
        self.backend.count_refusal(reason);
        let status = reason.status();
        render_json(response, status, &RefusalBody { reason, detail });
        answer::set_header(response, headers::OUTCOME, "not-run");
        answer::set_header(response, headers::REASON, reason.word());
        if status == StatusCode::SERVICE_UNAVAILABLE {
            answer::set_header(response, "retry-after", RETRY_AFTER_SECONDS);
        }
    }
}

/// Reads a body and throws it away.
async fn read_to_end(mut body: ReqBody) -> Result<(), String> {
    while let Some(piece) = body.next().await {
        piece.map_err(|error| format!("the body breaks off: {error}"))?;
    }
    Ok(())
}
