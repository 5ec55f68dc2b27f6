//! Passing a back end's answer on to the caller.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use salvo::BoxedError;
use salvo::http::ResBody;
use thiserror::Error;
use tokio::task::AbortHandle;
use wingspar_wire::headers;

use crate::answer::whole_body;
use crate::forward::remove_hop_by_hop;
use crate::router_front::call::OpenCall;
use crate::router_front::request::{CallerRequest, insert_text, remove_prefixed};

/// Headers of ours that go on to the caller.
const TO_CALLER: [&str; 2] = [headers::OUTCOME, headers::REASON];

/// Why an answer's body ends early. The caller's connection (or HTTP/2 stream) is cut with it, so
/// that a part never looks like the whole.
#[derive(Debug, Error)]
enum AnswerCut {
    #[error("the request's deadline passed while its answer was passed on")]
    Deadline,
    #[error("the answer was cut short: {0}")]
    Source(reqwest::Error),
}

/// A back end's answer as its agent passed it on.
pub(crate) enum BackEndAnswer {
    /// Read whole.
    Whole(http::response::Parts, Bytes),
    /// To be read as it is passed on.
    Streamed(reqwest::Response),
}

impl BackEndAnswer {
    /// Reads an answer whole.
    pub(crate) async fn read(answer: reqwest::Response) -> Result<Self, reqwest::Error> {
        let answer: http::Response<reqwest::Body> = answer.into();
        let (head, body) = answer.into_parts();
        let whole = body.collect().await?;
        Ok(Self::Whole(head, whole.to_bytes()))
    }
}

/// Writes a back end's answer into the caller's response; a streamed body follows as it comes.
pub(crate) fn pass_on(
    answer: BackEndAnswer,
    caller: &CallerRequest,
    call: OpenCall,
    response: &mut salvo::Response,
) {
    match answer {
        BackEndAnswer::Whole(head, body) => {
            call.finish();
            write_head(head, caller, response);
            response.body(whole_body(body));
        }
        BackEndAnswer::Streamed(answer) => {
            let answer: http::Response<reqwest::Body> = answer.into();
            let (head, body) = answer.into_parts();
            write_head(head, caller, response);
            response.body(stream(caller, body, call));
        }
    }
}

fn stream(caller: &CallerRequest, body: reqwest::Body, call: OpenCall) -> ResBody {
    if caller.method == Method::HEAD || body.is_end_stream() {
        call.finish();
        return whole_body(Bytes::new());
    }
    PassedBody::new(body, call).into_response_body()
}

fn write_head(head: http::response::Parts, caller: &CallerRequest, response: &mut salvo::Response) {
    response.status_code(head.status);
    response.set_headers(cleaned(head.headers, &caller.id));
}

fn cleaned(mut map: HeaderMap, request_id: &str) -> HeaderMap {
    remove_hop_by_hop(&mut map);
    remove_prefixed(&mut map, headers::PREFIX, &TO_CALLER);
    insert_text(&mut map, headers::REQUEST_ID, request_id);
    map
}

/// An answer that is being passed on, until its end or its deadline.
struct Open {
    body: reqwest::Body,
    call: OpenCall,
}

/// The body of an answer. Its call is finished when it is over, cancelled when the caller leaves.
///
/// At the deadline the agent's side is dropped by a timer of its own: a caller that reads slowly
/// may not ask for more for a long time, and must not hold a slot meanwhile.
struct PassedBody {
    open: Arc<Mutex<Option<Open>>>,
    is_whole: bool,
    timer: AbortHandle,
}

impl PassedBody {
    fn new(body: reqwest::Body, call: OpenCall) -> Self {
        let remaining = call.remaining();
        let open = Arc::new(Mutex::new(Some(Open { body, call })));
        let timer = tokio::spawn(close_after(remaining, open.clone()));
        Self {
            open,
            is_whole: false,
            timer: timer.abort_handle(),
        }
    }

    fn into_response_body(self) -> ResBody {
        ResBody::Boxed(Box::pin(self))
    }

    /// Ends the call in order.
    fn finish(&mut self) {
        if let Some(open) = take(&self.open) {
            open.call.finish();
        }
    }
}

impl Body for PassedBody {
    type Data = Bytes;
    type Error = BoxedError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxedError>>> {
        if self.is_whole {
            return Poll::Ready(None);
        }
        let polled = {
            let mut open = self.open.lock().expect("no panic while locked");
            let Some(open) = open.as_mut() else {
                return Poll::Ready(Some(Err(AnswerCut::Deadline.into())));
            };
            let polled = Pin::new(&mut open.body).poll_frame(context);
            std::task::ready!(polled).map(|frame| (frame, open.body.is_end_stream()))
        };
        match polled {
            Some((Ok(frame), is_last)) => {
                if is_last {
                    self.is_whole = true;
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some((Err(error), _)) => {
                self.finish();
                Poll::Ready(Some(Err(AnswerCut::Source(error).into())))
            }
            None => {
                self.is_whole = true;
                self.finish();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_whole
    }

    fn size_hint(&self) -> SizeHint {
        let open = self.open.lock().expect("no panic while locked");
        open.as_ref()
            .map_or_else(SizeHint::default, |open| open.body.size_hint())
    }
}

impl Drop for PassedBody {
    fn drop(&mut self) {
        self.timer.abort();
        // What is still open is cancelled by being dropped.
        drop(take(&self.open));
    }
}

async fn close_after(remaining: Duration, open: Arc<Mutex<Option<Open>>>) {
    tokio::time::sleep(remaining).await;
    if let Some(open) = take(&open) {
        open.call.finish();
    }
}

fn take(open: &Mutex<Option<Open>>) -> Option<Open> {
    open.lock().expect("no panic while locked").take()
}
