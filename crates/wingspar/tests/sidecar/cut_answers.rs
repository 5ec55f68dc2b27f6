//! Guards against an answer that a target cut off and that reaches a client as if it were whole.

use futures_util::StreamExt;
use serde_json::json;
use wingspar_standins::net::{AnswerEnd, InterceptedRequest, RawAnswer};

use crate::deployment::{Deployment, KEYED, PLAIN, route};
use crate::intercepted::{answered, with_answers};
use crate::pipelined_client::request;
use crate::raw_client::{RawReply, exchange};

/// Begins the ids of requests whose answers are cut.
const CUT: &str = "cut";
/// Body of a short answer.
const SHORT: usize = 24;
/// Longer than what a node buffers of an answer without a length.
const BUFFERED_IN_PART: usize = 100_000;
/// Longer than any answer that a node buffers.
const STREAMED: usize = 1_500_000;
/// Requests that are sent at once.
const AT_ONCE: usize = 4;
/// Bytes of an upload that nodes don't buffer.
const UPLOAD: usize = 100_000;
/// The key of keyed requests.
const KEY: &str = "X-Wingspar-Shard-Key: 77\r\n";

/// How an answer shows its length.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Length,
    Chunks,
    ConnectionEnd,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::ConnectionEnd];

/// What a target answers: the whole answer and where it ends the connection.
#[derive(Debug, Clone, Copy)]
struct Cut {
    framing: Framing,
    body: usize,
    /// Bytes that are sent; more than the answer has for the whole one.
    sent: usize,
    end: AnswerEnd,
}

impl Cut {
    /// An id of a request that tells the target where to cut.
    fn id(&self) -> String {
        let framing = self.framing as usize;
        let resets = u8::from(self.end == AnswerEnd::Reset);
        format!("{CUT}-{framing}-{}-{resets}-{}", self.body, self.sent)
    }

    fn of_id(id: &str) -> Option<Self> {
        let mut parts = id.strip_prefix(CUT)?.strip_prefix('-')?.split('-');
        let mut next = || parts.next()?.parse::<usize>().ok();
        Some(Self {
            framing: FRAMINGS[next()?],
            body: next()?,
            end: match next()? {
                0 => AnswerEnd::Close,
                _ => AnswerEnd::Reset,
            },
            sent: next()?,
        })
    }

    fn head(&self) -> String {
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {}\r\n", self.body),
            Framing::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::ConnectionEnd => String::new(),
        };
        format!(
            "HTTP/1.1 200 OK\r\nX-Wingspar-Request-Id: {}\r\nX-Wingspar-Response-Signature: s\r\n{framing}\r\n",
            self.id()
        )
    }

    fn body(&self) -> Vec<u8> {
        (b'a'..=b'z').cycle().take(self.body).collect()
    }

    /// The whole answer.
    fn whole(&self) -> Vec<u8> {
        let body = self.body();
        let framed = match self.framing {
            Framing::Length | Framing::ConnectionEnd => body,
            Framing::Chunks => {
                let (first, second) = body.split_at(self.body / 3);
                let chunk = |bytes: &[u8]| {
                    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
                };
                [chunk(first), chunk(second), chunk(b"")].concat()
            }
        };
        [self.head().into_bytes(), framed].concat()
    }

    fn is_whole(&self) -> bool {
        self.sent >= self.whole().len() && self.end == AnswerEnd::Close
    }

    /// Panics if a client takes the cut answer for a success, or doesn't take the whole one for it.
    fn check(&self, reply: Option<&RawReply>) {
        let success = reply.filter(|reply| reply.is_success());
        let is_length_unknown = matches!(self.framing, Framing::ConnectionEnd);
        let all_has_arrived = self.sent >= self.whole().len() && !is_length_unknown;
        if let Some(reply) = success {
            assert!(self.is_whole() || all_has_arrived, "{self:?}: {reply:?}");
            assert!(reply.body == self.body(), "{self:?}: {reply:?}");
            assert_eq!(reply.header("x-wingspar-request-id"), Some(&*self.id()));
        }
        assert!(success.is_some() || !self.is_whole(), "{self:?}: {reply:?}");
        if let Some(reply) = reply.filter(|reply| reply.whole && !reply.is_success()) {
            assert!(
                [502, 503, 504].contains(&reply.status),
                "{self:?}: {reply:?}"
            );
        }
    }
}

/// Each position of a short answer in which it can be cut; its end is the last one.
fn each_byte(framing: Framing) -> Vec<Cut> {
    let ends = [AnswerEnd::Close, AnswerEnd::Reset];
    let cut = |sent, end| Cut {
        framing,
        body: SHORT,
        sent,
        end,
    };
    // The digits of the position are part of the answer.
    let longest = cut(999, AnswerEnd::Close).whole().len();
    (0..=longest)
        .flat_map(|sent| ends.map(|end| cut(sent, end)))
        .filter(|cut| !cut.ends_unnoticed())
        .collect()
}

/// A few positions in the body of a long answer, and its end.
fn long_answers(framing: Framing, body: usize) -> Vec<Cut> {
    let cut = |sent, end| Cut {
        framing,
        body,
        sent,
        end,
    };
    let whole = cut(9_999_999, AnswerEnd::Close);
    let (length, head) = (whole.whole().len(), whole.head().len());
    let positions = [head, head + body / 2, length - 6, length - 1, length];
    let ends = [AnswerEnd::Close, AnswerEnd::Reset];
    let cuts = positions.map(|sent| ends.map(|end| cut(sent, end)));
    let cuts = cuts.into_iter().flatten();
    cuts.filter(|cut| !cut.ends_unnoticed()).collect()
}

impl Cut {
    /// Whether nothing tells a client, or a node, that there was more: a body without a length ends in order.
    fn ends_unnoticed(&self) -> bool {
        matches!(self.framing, Framing::ConnectionEnd)
            && self.end == AnswerEnd::Close
            && (self.head().len()..self.whole().len()).contains(&self.sent)
    }
}

fn answer_cut(request: &InterceptedRequest) -> Option<RawAnswer> {
    let cut = Cut::of_id(request.header("x-wingspar-request-id")?)?;
    let mut start = cut.whole();
    start.truncate(cut.sent);
    Some(RawAnswer {
        start,
        end: cut.end,
    })
}

/// A deployment whose targets cut answers as the ids of requests say.
async fn with_cut_answers(test: u8) -> Deployment {
    let routes = json!([
        route("orders", "/orders/", "idempotent", PLAIN),
        route("book", "/book/", "non_idempotent", PLAIN),
        route("upload", "/upload/", "upload", PLAIN),
        route("download", "/download/", "download", PLAIN),
        route("stock", "/stock/", "non_idempotent", KEYED),
    ]);
    with_answers(test, routes, answer_cut).await
}

/// A request without a body that asks for the connection's end.
fn lookup(path: &str, cut: &Cut, lines: &str) -> Vec<u8> {
    let lines = format!("Connection: close\r\n{lines}");
    request("GET", path, &cut.id(), &lines).into_bytes()
}

/// An upload that asks for the connection's end.
fn upload(cut: &Cut) -> Vec<u8> {
    let lines = format!("Connection: close\r\nContent-Length: {UPLOAD}\r\n");
    let head = request("POST", "/upload/1", &cut.id(), &lines);
    [head.into_bytes(), vec![b'u'; UPLOAD]].concat()
}

/// Sends a request for each cut at a node and checks what the client gets.
async fn check_all(
    deployment: &Deployment,
    node: usize,
    cuts: &[Cut],
    request: impl Fn(&Cut) -> Vec<u8>,
) {
    let node = deployment.nodes[node].outbound;
    let answered_before = answered(deployment);
    let exchanges = cuts.iter().map(|cut| {
        let sent = request(cut);
        async move {
            let replies = exchange(node, &sent).await;
            assert!(replies.len() <= 1, "{cut:?}: {replies:?}");
            cut.check(replies.first());
        }
    });
    let exchanges = futures_util::stream::iter(exchanges);
    exchanges
        .buffer_unordered(AT_ONCE)
        .collect::<Vec<_>>()
        .await;
    assert!(answered(deployment) - answered_before >= cuts.len());
}

#[tokio::test]
async fn an_answer_cut_at_any_byte_is_no_success() {
    let deployment = with_cut_answers(150).await;
    for framing in FRAMINGS {
        let cuts = each_byte(framing);
        check_all(&deployment, 2, &cuts, |cut| lookup("/book/1", cut, "")).await;
    }
}

#[tokio::test]
async fn an_answer_cut_at_any_byte_is_no_success_at_another_node() {
    let deployment = with_cut_answers(151).await;
    for framing in FRAMINGS {
        let cuts = each_byte(framing);
        check_all(&deployment, 0, &cuts, |cut| lookup("/book/1", cut, "")).await;
    }
}

#[tokio::test]
async fn an_answer_cut_at_any_byte_is_no_success_of_a_request_that_is_repeated() {
    let deployment = with_cut_answers(152).await;
    for (node, framing) in [(0, Framing::Length), (2, Framing::Chunks)] {
        let cuts = each_byte(framing);
        check_all(&deployment, node, &cuts, |cut| lookup("/orders/1", cut, "")).await;
    }
}

#[tokio::test]
async fn an_answer_cut_at_any_byte_is_no_success_of_a_keyed_request() {
    let deployment = with_cut_answers(153).await;
    for (node, framing) in [
        (0, Framing::Length),
        (1, Framing::Chunks),
        (2, Framing::ConnectionEnd),
    ] {
        let cuts = each_byte(framing);
        check_all(&deployment, node, &cuts, |cut| lookup("/stock/1", cut, KEY)).await;
    }
}

#[tokio::test]
async fn an_answer_cut_at_any_byte_is_no_success_of_an_upload() {
    let deployment = with_cut_answers(154).await;
    for (node, framing) in [
        (0, Framing::Length),
        (2, Framing::Chunks),
        (3, Framing::ConnectionEnd),
    ] {
        let cuts = each_byte(framing);
        check_all(&deployment, node, &cuts, upload).await;
    }
}

#[tokio::test]
async fn a_long_answer_that_is_cut_does_not_end_as_if_it_were_whole() {
    let deployment = with_cut_answers(155).await;
    for framing in FRAMINGS {
        for body in [BUFFERED_IN_PART, STREAMED] {
            let cuts = long_answers(framing, body);
            for node in [0, 2] {
                check_all(&deployment, node, &cuts, |cut| {
                    lookup("/download/1", cut, "")
                })
                .await;
            }
        }
    }
}

/// Requests that may run side by side, every other one of which gets a cut answer.
fn pipelined(cuts: &[Cut]) -> String {
    let pair = |cut: &Cut| {
        let whole = format!("whole-{}", cut.id());
        request("GET", "/orders/1", &cut.id(), "") + &request("GET", "/orders/1", &whole, "")
    };
    let pairs = cuts.iter().map(pair).collect::<String>();
    pairs + &request("GET", "/orders/1", "last", "Connection: close\r\n")
}

#[tokio::test]
async fn an_answer_cut_at_any_byte_is_no_success_among_pipelined_requests() {
    let deployment = with_cut_answers(156).await;
    for (node, framing) in [(0, Framing::Chunks), (2, Framing::Length)] {
        let answered_before = answered(&deployment);
        let cuts = each_byte(framing);
        for some in cuts.chunks(5) {
            let sent = pipelined(some);
            let replies = exchange(deployment.nodes[node].outbound, sent.as_bytes()).await;
            assert_eq!(replies.len(), 2 * some.len() + 1, "{replies:?}");
            for (pair, cut) in replies.chunks(2).zip(some) {
                cut.check(Some(&pair[0]));
                let id = format!("whole-{}", cut.id());
                assert!(pair[1].is_success(), "{cut:?}: {:?}", pair[1]);
                assert_eq!(pair[1].header("x-wingspar-request-id"), Some(&*id));
                assert!(pair[1].body.starts_with(b"{\"ran_at\""), "{:?}", pair[1]);
            }
        }
        assert!(answered(&deployment) - answered_before >= cuts.len());
    }
}
