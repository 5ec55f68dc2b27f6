//! One call: from the caller's request through the router's decisions to an answer.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use reqwest::Url;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use wingspar_routing::{
    Attempt, AttemptResult, Decision, Forward, GiveUp, Next, Rejection, Router,
};
use wingspar_wire::headers;
use wingspar_world::MonotonicTime;

use crate::answer::SystemAnswer;
use crate::clock::sleep_until;
use crate::forward::{self, ForwardError};
use crate::router_front::Front;
use crate::router_front::answer::{self, BackEndAnswer};
use crate::router_front::body::RequestBody;
use crate::router_front::request::{CallerRequest, at_agent, insert_text};
use crate::router_front::result;

/// Largest answer of known length that is read whole before it is passed on. If it is cut short, the
/// caller gets a clear outcome in place of a cut connection; and it is written in one piece.
const MAX_WHOLE_BYTES: u64 = 16 * 1024;

/// Takes callers' requests.
pub(crate) struct CallHandler(Arc<Front>);

/// How the decisions about a call ended.
enum End {
    /// A back end's answer, to be passed on.
    Answer(BackEndAnswer),
    /// The system's own answer.
    GiveUp(GiveUp),
}

/// An admitted request. Dropping it tells the router that the caller is gone.
pub(crate) struct OpenCall {
    front: Arc<Front>,
    attempt: Option<Attempt>,
}

impl CallHandler {
    pub(crate) fn new(front: Arc<Front>) -> Self {
        Self(front)
    }
}

#[async_trait]
impl Handler for CallHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let front = &self.0;
        let body = request.take_body();
        let caller = CallerRequest::take(request, || front.ids.mint());
        let url = match caller.url() {
            Ok(url) => url,
            Err(error) => return bad_target(&caller, &error, response),
        };
        let resolved = front.router.with(|router| router.resolve(&caller.head()));
        let resolved = match resolved {
            Ok(resolved) => resolved,
            Err(rejection) => return reject(&caller, &rejection, response),
        };
        let now = (front.clock)();
        let attempt = match front.router.with(|router| router.begin(now, resolved)) {
            Ok(attempt) => attempt,
            Err(refusal) => return give_up(&caller, &refusal, response),
        };
        let mut call = OpenCall::new(front.clone(), attempt);
        let limit = front.settings.buffered_body_bytes;
        let received = call
            .within_deadline(RequestBody::receive(body, limit))
            .await;
        let end = match received {
            Some(Ok(body)) => call.run(&caller, &url, &body).await,
            Some(Err(_)) => call.abandon(AttemptResult::BodyCutShort),
            None => call.abandon(AttemptResult::DeadlinePassed),
        };
        match end {
            End::Answer(answer) => answer::pass_on(answer, &caller, call, response),
            End::GiveUp(refusal) => {
                call.finish();
                give_up(&caller, &refusal, response);
            }
        }
    }
}

impl OpenCall {
    fn new(front: Arc<Front>, attempt: Attempt) -> Self {
        Self {
            front,
            attempt: Some(attempt),
        }
    }

    /// Time left until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        let deadline = self.attempt.as_ref().map(Attempt::deadline);
        let deadline = deadline.expect("an open call has its attempt");
        (self.front.clock)().until(deadline)
    }

    /// Ends the call: its answer has been passed on, or it was given up.
    pub(crate) fn finish(mut self) {
        if let Some(attempt) = self.attempt.take() {
            let now = (self.front.clock)();
            self.front.router.with(|router| router.finish(now, attempt));
        }
    }

    async fn run(&mut self, caller: &CallerRequest, url: &Url, body: &RequestBody) -> End {
        let front = self.front.clone();
        loop {
            let changed = front.router.changed();
            tokio::pin!(changed);
            // Registered before the decision, so that no change falls between the two.
            changed.as_mut().enable();
            let until = match self.decide(|router, now, attempt| router.route(now, attempt)) {
                Decision::GiveUp(refusal) => return End::GiveUp(refusal),
                Decision::Wait { until } => until,
                Decision::Forward(forward) => {
                    let (result, answer) = self.forward(caller, url, body, &forward).await;
                    match self.judge(body, result) {
                        Next::GiveUp(refusal) => return End::GiveUp(refusal),
                        Next::Answer => return answered(answer),
                        Next::Retry { at } => {
                            sleep_until(&front.clock, at).await;
                            continue;
                        }
                    }
                }
            };
            tokio::select! {
                () = changed => {}
                () = sleep_until(&front.clock, until) => {}
            }
        }
    }

    async fn forward(
        &self,
        caller: &CallerRequest,
        url: &Url,
        body: &RequestBody,
        forward: &Forward,
    ) -> (AttemptResult, Option<BackEndAnswer>) {
        let attempt = self.attempt.as_ref().expect("an open call has its attempt");
        let headers = caller.headers_for(attempt.resolved(), forward);
        let method = caller.method.clone();
        let url = at_agent(url, forward.agent);
        let request = forward::request(method, url, headers, body.lend());
        let sent = self.within_deadline(self.front.client.execute(request));
        let answer = match sent.await {
            None => return (AttemptResult::DeadlinePassed, None),
            Some(Err(error)) => return (result::of_error(&error, body.is_cut_short()), None),
            Some(Ok(answer)) => answer,
        };
        let result = result::of_answer(answer.status().as_u16(), answer.headers());
        let is_small = |length: u64| length <= MAX_WHOLE_BYTES;
        if !answer.content_length().is_some_and(is_small) {
            return (result, Some(BackEndAnswer::Streamed(answer)));
        }
        // Refusals are read too, so that their connections go back to the pool.
        match self.within_deadline(BackEndAnswer::read(answer)).await {
            Some(Ok(answer)) => (result, Some(answer)),
            Some(Err(_)) => (result::of_broken_answer(result), None),
            None => (AttemptResult::DeadlinePassed, None),
        }
    }

    fn judge(&mut self, body: &RequestBody, result: AttemptResult) -> Next {
        let is_spent = body.is_spent();
        self.decide(|router, now, attempt| {
            if is_spent {
                attempt.mark_body_spent();
            }
            router.after(now, attempt, result)
        })
    }

    /// Gives up a call that is not under way to an agent.
    fn abandon(&mut self, result: AttemptResult) -> End {
        match self.decide(|router, now, attempt| router.after(now, attempt, result)) {
            Next::GiveUp(refusal) => End::GiveUp(refusal),
            next => unreachable!("a call that was never forwarded goes on: {next:?}"),
        }
    }

    fn decide<Value>(
        &mut self,
        decision: impl FnOnce(&mut Router, MonotonicTime, &mut Attempt) -> Value,
    ) -> Value {
        let now = (self.front.clock)();
        let attempt = self.attempt.as_mut().expect("an open call has its attempt");
        let router = &self.front.router;
        router.with(|router| decision(router, now, attempt))
    }

    async fn within_deadline<Value>(&self, work: impl Future<Output = Value>) -> Option<Value> {
        tokio::time::timeout(self.remaining(), work).await.ok()
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            let now = (self.front.clock)();
            self.front.router.with(|router| router.cancel(now, attempt));
        }
    }
}

fn answered(answer: Option<BackEndAnswer>) -> End {
    End::Answer(answer.expect("only an answered forwarding is passed on"))
}

fn reject(caller: &CallerRequest, rejection: &Rejection, response: &mut Response) {
    let answer = SystemAnswer {
        status: status(rejection.status()),
        outcome: "not-run",
        reason: rejection.reason().to_string(),
        detail: rejection.to_string(),
        request_id: caller.id.clone(),
        retry_after: None,
    };
    write(answer, response);
}

fn bad_target(caller: &CallerRequest, error: &ForwardError, response: &mut Response) {
    let answer = SystemAnswer {
        status: StatusCode::BAD_REQUEST,
        outcome: "not-run",
        reason: "bad_target".to_owned(),
        detail: error.to_string(),
        request_id: caller.id.clone(),
        retry_after: None,
    };
    write(answer, response);
}

fn give_up(caller: &CallerRequest, refusal: &GiveUp, response: &mut Response) {
    let answer = SystemAnswer {
        status: status(refusal.status()),
        outcome: refusal.outcome.as_str(),
        reason: refusal.reason.to_string(),
        detail: refusal.reason.detail().to_owned(),
        request_id: caller.id.clone(),
        retry_after: Some(refusal.retry_after),
    };
    write(answer, response);
}

fn write(answer: SystemAnswer, response: &mut Response) {
    answer.write(response);
    let map = response.headers_mut();
    insert_text(map, headers::REQUEST_ID, &answer.request_id);
}

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).expect("the routing crate names valid statuses")
}
