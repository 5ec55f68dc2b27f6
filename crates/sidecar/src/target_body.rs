//! The body of a target's response. The request counts as in flight at the target until the body has ended.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::header::TRANSFER_ENCODING;
use http::response::Parts;
use http_body::{Body as HttpBody, Frame, SizeHint};

use crate::body::BodyError;
use crate::node::Node;
use crate::target_end::{self, Run};

/// The target ended before its response did.
#[derive(Debug, thiserror::Error)]
#[error("the target ended during its response")]
pub struct TargetEndedError;

/// A response body that ends the request's run when it ends. If it is dropped earlier, the run counts as cancelled.
pub struct TargetBody<Inner> {
    inner: Inner,
    node: Rc<Node>,
    is_success: bool,
    /// Whether only the end of the connection shows the end of the body.
    ends_with_connection: bool,
    state: State,
}

enum State {
    /// The body is being received.
    Receiving(Run),
    /// The connection ended; whether the target did is being checked.
    Checking(Check),
    /// The body has ended.
    Ended,
}

struct Check {
    run: Run,
    /// Why the body is incomplete; `None` if the connection was closed in order, which ends a body without a length.
    /// A terminated process closes its connections in the same way.
    error: Option<BodyError>,
    target_ended: Pin<Box<dyn Future<Output = bool>>>,
}

impl<Inner> TargetBody<Inner>
where
    Inner: HttpBody<Data = Bytes, Error = BodyError> + Unpin,
{
    /// The body of the response with this head to the request of `run`.
    pub fn new(node: &Rc<Node>, head: &Parts, inner: Inner, run: Run) -> Self {
        run.responding();
        let has_length = inner.size_hint().exact().is_some();
        Self {
            inner,
            node: node.clone(),
            is_success: head.status.is_success(),
            ends_with_connection: !has_length && !head.headers.contains_key(TRANSFER_ENCODING),
            state: State::Receiving(run),
        }
    }

    fn poll_inner(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match ready!(Pin::new(&mut self.inner).poll_frame(context)) {
            Some(Ok(frame)) => {
                if let State::Receiving(run) = &self.state {
                    run.responding();
                }
                if self.inner.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) if matches!(self.state, State::Receiving(_)) => {
                self.begin_check(Some(error));
                self.poll_check(context)
            }
            Some(Err(error)) => Poll::Ready(Some(Err(error))),
            None if self.may_be_cut() => {
                self.begin_check(None);
                self.poll_check(context)
            }
            None => {
                self.finish();
                Poll::Ready(None)
            }
        }
    }

    /// Whether the body would look whole although the target had ended. One that leaves ends its responses first.
    fn may_be_cut(&self) -> bool {
        self.ends_with_connection && !self.node.target.borrow().is_leaving()
    }

    /// The whole body has been received.
    fn finish(&mut self) {
        if let State::Receiving(run) = std::mem::replace(&mut self.state, State::Ended) {
            run.ended(self.is_success);
        }
    }

    fn begin_check(&mut self, error: Option<BodyError>) {
        if let State::Receiving(run) = std::mem::replace(&mut self.state, State::Ended) {
            run.connection_broke();
            let node = self.node.clone();
            self.state = State::Checking(Check {
                run,
                error,
                target_ended: Box::pin(async move { target_end::check_ended(&node).await }),
            });
        }
    }

    /// Waits for the check, which decides how the body ends.
    fn poll_check(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let has_ended = match &mut self.state {
            State::Checking(check) => ready!(check.target_ended.as_mut().poll(context)),
            State::Receiving(_) | State::Ended => return Poll::Ready(None),
        };
        let State::Checking(check) = std::mem::replace(&mut self.state, State::Ended) else {
            return Poll::Ready(None);
        };
        if has_ended {
            return Poll::Ready(Some(Err(TargetEndedError.into())));
        }
        match check.error {
            Some(error) => Poll::Ready(Some(Err(error))),
            None => {
                check.run.ended(self.is_success);
                Poll::Ready(None)
            }
        }
    }
}

impl<Inner> HttpBody for TargetBody<Inner>
where
    Inner: HttpBody<Data = Bytes, Error = BodyError> + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &self.state {
            State::Checking(_) => self.poll_check(context),
            State::Receiving(_) | State::Ended => self.poll_inner(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.state, State::Ended) && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
