//! Guards against a request that is never refused because it crashes its targets only when their answers have begun: the
//! beginning of an answer counted as its good end.

use std::time::{Duration, Instant};

use serde_json::json;
use wingspar_standins::net::{AnswerEnd, InterceptedRequest, RawAnswer};

use crate::deployment::{Deployment, PLAIN, route};
use crate::intercepted::{answered, with_answers};
use crate::pipelined_client::request;
use crate::raw_client::exchange;

/// All nodes must know of the third target's end after this long.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// Targets that may end before the request must be refused.
const ENDS_BEFORE: usize = 3;
/// Sends of it that may reach targets afterwards, in all.
const SENDS_AFTERWARDS: usize = 3;
/// Time between two tries of its caller, in which a target is back.
const CALLER_PAUSE: Duration = Duration::from_millis(900);

/// Path of requests under which targets crash halfway through the answer. Its framing and its length in bytes follow.
const PREFIX: &str = "/download/crashing/";

/// Half of the answer that the path asks for, then the target crashes.
fn half_answer(request: &InterceptedRequest) -> Option<RawAnswer> {
    let (framing, length) = request.path.strip_prefix(PREFIX)?.split_once('/')?;
    let length = length.parse::<usize>().ok()?;
    let half = "h".repeat(length / 2);
    let (framing, half) = match framing {
        "length" => (format!("Content-Length: {length}\r\n"), half),
        "chunks" => (
            "Transfer-Encoding: chunked\r\n".to_owned(),
            format!("{:x}\r\n{half}\r\n", half.len()),
        ),
        _ => (String::new(), half),
    };
    let id = request.header("x-wingspar-request-id")?;
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Wingspar-Request-Id: {id}\r\nX-Wingspar-Response-Signature: s\r\n{framing}\r\n"
    );
    Some(RawAnswer {
        start: (head + &half).into_bytes(),
        end: AnswerEnd::Crash,
    })
}

/// A deployment whose targets crash halfway through an answer below [`PREFIX`].
async fn with_crashing_answers(test: u8) -> Deployment {
    let routes = json!([
        route("download", "/download/", "download", PLAIN),
        route("orders", "/orders/", "idempotent", PLAIN),
    ]);
    with_answers(test, routes, half_answer).await
}

/// Lets time pass while targets report.
async fn pass(deployment: &Deployment, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        deployment.try_heartbeats().await;
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
}

/// Sends the request through one node after the other. No client may take a half answer for a whole one.
async fn send_it(deployment: &Deployment, path: &str, name: &str, tries: usize) {
    for number in 0..tries {
        let sent = request(
            "GET",
            path,
            &format!("{name}-{number}"),
            "Connection: close\r\n",
        );
        let node = deployment.nodes[number % 4].outbound;
        let replies = exchange(node, sent.as_bytes()).await;
        assert!(
            !replies.iter().any(|reply| reply.is_success()),
            "{path}: {replies:?}"
        );
        pass(deployment, CALLER_PAUSE).await;
    }
}

async fn is_refused_by_every_node(test: u8, answer: &str) {
    let deployment = with_crashing_answers(test).await;
    let path = format!("{PREFIX}{answer}");
    for round in 0..8 {
        if answered(&deployment) >= ENDS_BEFORE {
            break;
        }
        send_it(&deployment, &path, &format!("before-{round}"), 1).await;
    }
    pass(&deployment, IN_TOUCH).await;
    let before = answered(&deployment);
    assert!(before <= ENDS_BEFORE, "{before} targets ended");
    send_it(&deployment, &path, "after", 8).await;
    let after = answered(&deployment) - before;
    assert!(
        after <= SENDS_AFTERWARDS,
        "{path}: it reached targets {after} times more"
    );
    let other = deployment.request(0, "/orders/1", "other");
    let other = other.send().await.expect("an answer");
    assert_eq!(other.status(), 200, "others are served");
}

#[tokio::test]
async fn a_request_that_crashes_targets_during_a_long_answer_is_refused() {
    is_refused_by_every_node(97, "length/3000000").await;
}

#[tokio::test]
async fn a_request_that_crashes_targets_during_a_long_answer_in_chunks_is_refused() {
    is_refused_by_every_node(98, "chunks/240000").await;
}

#[tokio::test]
async fn a_request_that_crashes_targets_during_a_long_answer_without_a_length_is_refused() {
    is_refused_by_every_node(99, "connection-end/240000").await;
}

#[tokio::test]
async fn a_request_that_crashes_targets_during_a_short_answer_is_refused() {
    is_refused_by_every_node(100, "length/2000").await;
}

#[tokio::test]
async fn a_request_that_crashes_targets_during_a_short_answer_without_a_length_is_refused() {
    is_refused_by_every_node(101, "connection-end/2000").await;
}
