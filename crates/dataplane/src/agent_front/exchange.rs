//! One request from its arrival to its answer.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, SystemTime};

use http::header::{CONTENT_TYPE, HeaderValue};
use salvo::conn::ConnCtrl;
use salvo::{Request, Response};
use tokio::time::Instant;
use wingspar_agent::{Admission, Admit, Finish, NotRunProof, Refusal, RefusalReason};
use wingspar_wire::headers;
use wingspar_world::{MonotonicTime, Target};

use super::answers::{self, Loss, NOT_RUN, UNKNOWN};
use super::counters::count;
use super::cut::Cut;
use super::running::{AnswerWatcher, Ended, RunningTicket};
use super::shared::{Admitted, Signals};
use super::{AgentFront, heads, parse};
use crate::answer::SystemAnswer;
use crate::body::WatchedBody;
use crate::forward::{self, SendFailure};
use crate::gather::gather;

/// Pause advised after a failure of a back end.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// A request that ran this long without an answer speaks against its back end; a shorter one only
/// had a short deadline.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(1);
/// A started request and what is known of it.
struct Started {
    request_id: String,
    keep_answer: bool,
    started_at: Instant,
    deadline: Instant,
    ticket: RunningTicket,
    signals: Arc<Signals>,
}

impl AgentFront {
    /// Answers one request.
    pub(super) async fn exchange(&self, request: &mut Request, response: &mut Response) {
        let now = (self.clock)();
        let path = request.uri().path();
        let admission = match parse::admission(request.method(), path, request.headers(), now) {
            Ok(admission) => admission,
            Err(error) => {
                count(&self.counters.malformed);
                return answers::malformed(&error).write(response);
            }
        };
        if let Err(answer) = self.admitted(admission, request, response).await {
            answer.write(response);
        }
    }

    async fn admitted(
        &self,
        admission: Admission,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), SystemAnswer> {
        let request_id = admission.request_id.clone();
        let keep_answer = admission.idempotency.is_some() && !admission.repeatable;
        let target_name = admission.target.clone();
        let queue_deadline = self.instant(admission.deadline);
        let admitted = self.agent.admit((self.clock)(), admission);
        let (ticket, signals, queued) = match admitted {
            Admitted::Run(ticket, signals) => (ticket, signals, false),
            Admitted::Queue(ticket, signals) => (ticket, signals, true),
            Admitted::Answered(answer) => {
                return answered(request_id, answer, response);
            }
        };
        let mut guard = RunningTicket::new(self.agent.clone(), self.clock.clone(), ticket);
        if queued {
            // When the deadline comes first, `start` refuses.
            let runnable = signals.runnable.notified();
            let _ = tokio::time::timeout_at(queue_deadline, runnable).await;
        }
        let target = self.agent.with(|agent| agent.target(&target_name).cloned());
        let prepared = target.as_ref().map(|target| self.prepare(target, request));
        let Some((client, outgoing)) = prepared.transpose().map_err(|detail| {
            count(&self.counters.unforwardable);
            guard.finish(Finish::NotRun(NotRunProof::NotStarted));
            answers::bad_request(request_id.clone(), detail)
        })?
        else {
            guard.finish(Finish::NotRun(NotRunProof::NotStarted));
            let refusal = Refusal {
                reason: RefusalReason::UnknownTarget,
                retry_after: FAILURE_PAUSE,
            };
            return Err(answers::refused(request_id, refusal));
        };
        // Read first: a stop between the two readings then only shortens the grant.
        let wall_clock = SystemTime::now();
        let now = (self.clock)();
        let clearance = self.agent.start(now, ticket).map_err(|refusal| {
            guard.finish(Finish::NotRun(NotRunProof::NotStarted));
            answers::refused(request_id.clone(), refusal)
        })?;
        let started = Started {
            request_id,
            keep_answer,
            started_at: Instant::now(),
            deadline: self.instant(clearance.deadline),
            ticket: guard,
            signals,
        };
        let outgoing = heads::cleared(outgoing, &clearance, now, wall_clock);
        let control = request.extensions().get::<ConnCtrl>().cloned();
        self.send(started, client, outgoing, control, response)
            .await
    }

    /// The tokio instant of a time on the agent's clock.
    fn instant(&self, time: MonotonicTime) -> Instant {
        Instant::now() + (self.clock)().until(time)
    }

    /// Builds the request to the back end, so that only the start stands before its sending.
    fn prepare(
        &self,
        target: &Target,
        request: &mut Request,
    ) -> Result<(reqwest::Client, reqwest::Request), String> {
        let describe = |error: forward::ForwardError| error.to_string();
        let client = self.clients.get(target.connections).map_err(describe)?;
        let url = forward::url(target.address, request.uri()).map_err(describe)?;
        let headers = heads::towards_back_end(request.headers());
        let body = forward::request_body(request.take_body());
        let outgoing = forward::request(request.method().clone(), url, headers, body);
        Ok((client, outgoing))
    }

    async fn send(
        &self,
        started: Started,
        client: reqwest::Client,
        outgoing: reqwest::Request,
        control: Option<ConnCtrl>,
        response: &mut Response,
    ) -> Result<(), SystemAnswer> {
        // Dropping the call closes its connection, which is how a back end learns of the end.
        let result = tokio::select! {
            result = client.execute(outgoing) => result,
            () = tokio::time::sleep_until(started.deadline) => {
                return Err(started.lose(&self.counters.deadline_lapsed, Loss::Deadline));
            }
            () = started.signals.cancelled.notified() => {
                return Err(started.lose(&self.counters.lease_lost, Loss::Lease));
            }
        };
        match result {
            Ok(answer) if !heads::is_own_answer(&answer, &started.request_id) => {
                Err(started.lose(&self.counters.wrong_answers, Loss::Connection))
            }
            Ok(answer) => {
                let (head, body) = http::Response::<reqwest::Body>::from(answer).into_parts();
                match gather(body).await {
                    Ok(body) => self.pass_on(started, head, body, control, response),
                    Err(error) => return Err(self.failed(started, &error)),
                }
                Ok(())
            }
            Err(error) => Err(self.failed(started, &error)),
        }
    }

    fn failed(&self, mut started: Started, error: &reqwest::Error) -> SystemAnswer {
        match forward::send_failure(error) {
            SendFailure::NoConnection => {
                count(&self.counters.no_connection);
                let proof = NotRunProof::NoConnection;
                started.ticket.finish(Finish::NotRun(proof));
                answers::unreachable(started.request_id, FAILURE_PAUSE)
            }
            SendFailure::AfterSending => {
                started.lose(&self.counters.connection_lost, Loss::Connection)
            }
        }
    }

    /// Streams the back end's answer to the caller.
    fn pass_on(
        &self,
        mut started: Started,
        head: http::response::Parts,
        body: reqwest::Body,
        control: Option<ConnCtrl>,
        response: &mut Response,
    ) {
        let mut headers = head.headers;
        let outcome = heads::back_end_outcome(&headers);
        heads::clean_answer(&mut headers);
        headers.insert(headers::OUTCOME, HeaderValue::from_static(outcome));
        match outcome {
            NOT_RUN => {
                count(&self.counters.refused_by_back_end);
                let proof = NotRunProof::RefusedByBackEnd;
                started.ticket.finish(Finish::NotRun(proof));
            }
            UNKNOWN => started.ticket.finish(Finish::Unknown),
            _ => {}
        }
        let content_type = headers.get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let keep_limit = started
            .keep_answer
            .then(|| self.agent.with(|agent| agent.kept_body_limit()));
        let ended = Ended::default();
        let watcher = AnswerWatcher::new(
            started.ticket,
            head.status.as_u16(),
            content_type.map(str::to_owned),
            keep_limit,
            ended.clone(),
        );
        let body = WatchedBody::new(body, watcher);
        if !body.has_ended() {
            let cut = Cut {
                deadline: started.deadline,
                signals: started.signals,
                ended,
                control,
                counters: self.counters.clone(),
            };
            tokio::spawn(cut.watch());
        }
        response.status_code = Some(head.status);
        response.headers = headers;
        response.body = body.into_response_body();
    }
}

impl Started {
    /// Ends the request as unknown. `Cancelled` is so too, but does not count as a failure of the
    /// back end.
    fn lose(mut self, counter: &AtomicU64, loss: Loss) -> SystemAnswer {
        count(counter);
        let failed = match loss {
            Loss::Connection => true,
            Loss::Deadline => self.started_at.elapsed() >= UNRESPONSIVE_AFTER,
            Loss::Lease => false,
        };
        let finish = if failed {
            Finish::Unknown
        } else {
            Finish::Cancelled
        };
        self.ticket.finish(finish);
        answers::lost(self.request_id, loss, FAILURE_PAUSE)
    }
}

/// Writes the answer to a request that needs no run.
fn answered(
    request_id: String,
    answer: Admit,
    response: &mut Response,
) -> Result<(), SystemAnswer> {
    match answer {
        Admit::Replay(outcome) => {
            answers::replay(response, request_id, outcome);
            Ok(())
        }
        Admit::Unknown(refusal) => Err(answers::uncertain(request_id, refusal)),
        Admit::Refuse(refusal) => Err(answers::refused(request_id, refusal)),
        Admit::Run(_) | Admit::Queue(_) => unreachable!("tickets are handled by the caller"),
    }
}
