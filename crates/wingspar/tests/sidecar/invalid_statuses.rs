//! Guards against an answer of a target in trouble whose status is none, such as 000 or 600, and that reaches a client as
//! an answer.

use serde_json::json;
use wingspar_standins::net::{AnswerEnd, InterceptedRequest, RawAnswer};

use crate::deployment::{Deployment, KEYED, PLAIN, route};
use crate::intercepted::{answered, with_answers};
use crate::pipelined_client::request;
use crate::raw_client::{RawReply, exchange};

/// What targets send in place of a status.
const STATUSES: [&str; 14] = [
    "000", "0", "00", "0000", "099", "20", "2000", "-10", "abc", "", "600", "999", "101", "199",
];
/// Begins the ids of requests that get such an answer; the position in [`STATUSES`] follows.
const ODD: &str = "odd-";
/// What must not reach a client.
const BODY: &str = "trouble";
/// Bytes of an upload that nodes don't buffer.
const UPLOAD: usize = 100_000;
/// The key of keyed requests.
const KEY: &str = "X-Wingspar-Shard-Key: 77\r\n";
/// Has the node end the connection behind the answer.
const CLOSE: &str = "Connection: close\r\n";

fn answer_oddly(request: &InterceptedRequest) -> Option<RawAnswer> {
    let id = request.header("x-wingspar-request-id")?;
    let number = id.strip_prefix(ODD)?.split('-').next()?;
    let status = STATUSES.get(number.parse::<usize>().ok()?)?;
    let length = BODY.len();
    let answer = format!(
        "HTTP/1.1 {status} Trouble\r\nX-Wingspar-Request-Id: {id}\r\nX-Wingspar-Response-Signature: s\r\n\
         Content-Length: {length}\r\n\r\n{BODY}"
    );
    Some(RawAnswer {
        start: answer.into_bytes(),
        end: AnswerEnd::Close,
    })
}

/// A deployment whose targets answer with such statuses as the ids of requests say.
async fn with_odd_answers(test: u8) -> Deployment {
    let routes = json!([
        route("orders", "/orders/", "idempotent", PLAIN),
        route("book", "/book/", "non_idempotent", PLAIN),
        route("upload", "/upload/", "upload", PLAIN),
        route("stock", "/stock/", "non_idempotent", KEYED),
    ]);
    with_answers(test, routes, answer_oddly).await
}

/// Panics unless the client is told that the request may have run.
fn check(status: &str, reply: &RawReply) {
    assert!(reply.whole && reply.status == 502, "{status:?}: {reply:?}");
    assert_ne!(reply.body, BODY.as_bytes(), "{status:?}");
}

/// Sends a request for each status through a node on the target's machine, or another one.
async fn is_no_answer(test: u8, nodes: [usize; 2], to_request: impl Fn(&str) -> Vec<u8>) {
    let deployment = with_odd_answers(test).await;
    for node in nodes {
        for (number, status) in STATUSES.iter().enumerate() {
            let id = format!("{ODD}{number}-{node}");
            let replies = exchange(deployment.nodes[node].outbound, &to_request(&id)).await;
            assert_eq!(replies.len(), 1, "{status:?}: {replies:?}");
            check(status, &replies[0]);
        }
    }
    assert!(answered(&deployment) >= nodes.len() * STATUSES.len());
}

#[tokio::test]
async fn an_invalid_status_is_no_answer() {
    is_no_answer(103, [0, 2], |id| {
        request("GET", "/book/1", id, CLOSE).into_bytes()
    })
    .await;
}

#[tokio::test]
async fn an_invalid_status_is_no_answer_to_a_keyed_request() {
    is_no_answer(104, [0, 2], |id| {
        request("GET", "/stock/1", id, &format!("{CLOSE}{KEY}")).into_bytes()
    })
    .await;
}

#[tokio::test]
async fn an_invalid_status_is_no_answer_to_an_upload() {
    is_no_answer(105, [0, 2], |id| {
        let lines = format!("{CLOSE}Content-Length: {UPLOAD}\r\n");
        let head = request("POST", "/upload/1", id, &lines);
        [head.into_bytes(), vec![b'u'; UPLOAD]].concat()
    })
    .await;
}

#[tokio::test]
async fn an_invalid_status_is_no_answer_among_pipelined_requests() {
    let deployment = with_odd_answers(106).await;
    for node in [0, 2] {
        let odd = STATUSES.iter().enumerate().map(|(number, _)| {
            let odd = request("GET", "/orders/1", &format!("{ODD}{number}-{node}"), "");
            odd + &request("GET", "/orders/1", &format!("whole-{number}-{node}"), "")
        });
        let last = request("GET", "/orders/1", "last", CLOSE);
        let sent = odd.collect::<String>() + &last;
        let replies = exchange(deployment.nodes[node].outbound, sent.as_bytes()).await;
        assert_eq!(replies.len(), 2 * STATUSES.len() + 1, "{replies:?}");
        for (pair, status) in replies.chunks_exact(2).zip(STATUSES) {
            check(status, &pair[0]);
            assert!(pair[1].is_success(), "behind {status:?}: {:?}", pair[1]);
        }
    }
}
