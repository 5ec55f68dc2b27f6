//! The router's front over real sockets, against scripted agents.

mod router_bed;

use std::sync::atomic::Ordering;

use futures_util::StreamExt;
use router_bed::*;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wingspar_routing::{Counter, Input};
use wingspar_wire::SliceStatus;
use wingspar_world::KeyHash;

/// An answer made by the router: status, outcome, reason.
async fn system_answer(answer: reqwest::Response) -> (u16, String, String) {
    let status = answer.status().as_u16();
    let headers = answer.headers().clone();
    let text = |name: &str| headers[name].to_str().unwrap().to_owned();
    let body: Value = answer.json().await.unwrap();
    assert_eq!(body["outcome"], text("wingspar-outcome"));
    assert_eq!(body["reason"], text("wingspar-reason"));
    assert_eq!(body["request_id"], text("wingspar-request-id"));
    assert!(!body["detail"].as_str().unwrap().is_empty());
    if status >= 500 {
        let seconds: u64 = text("retry-after").parse().unwrap();
        let millis: u64 = text("retry-after-ms").parse().unwrap();
        assert_eq!(seconds, millis.div_ceil(1_000));
        assert!(seconds >= 1);
    }
    (status, text("wingspar-outcome"), text("wingspar-reason"))
}

fn ending(status: u16, outcome: &str, reason: &str) -> (u16, String, String) {
    (status, outcome.to_owned(), reason.to_owned())
}

#[tokio::test]
async fn headers_are_cleaned_and_added_both_ways() {
    let bed = Bed::start(1).await;
    let hidden = "wingspar-grant: secret\r\nx-other: 1\r\n";
    bed.agents[0].on(
        "/stock/rosa?a=b",
        Reply::Bytes(ran("404 Not Found", hidden, "")),
    );
    let request = bed.request("GET", "stoc", "/stock/rosa?a=b");
    let request = request
        .header("wingspar-fence", "99.99")
        .header("wingspar-target", "elsewhere")
        .header("wingspar-request-id", "till-7")
        .header("wingspar-deadline-ms", "4000")
        .header("connection", "x-private")
        .header("x-private", "1")
        .header("x-public", "1");
    let answer = request.send().await.unwrap();
    assert_eq!(answer.status(), 404);
    assert_eq!(answer.headers()["wingspar-outcome"], "ran");
    assert_eq!(answer.headers()["wingspar-request-id"], "till-7");
    assert_eq!(answer.headers()["x-other"], "1");
    assert_eq!(answer.headers()["content-length"], "0");
    assert!(!answer.headers().contains_key("wingspar-grant"));
    assert_eq!(
        answer.text().await.unwrap(),
        "",
        "no error page of the library's"
    );
    let head = bed.agents[0].received()[0].head.clone();
    let key = KeyHash::of(b"rosa");
    for line in [
        "GET /stock/rosa?a=b HTTP/1.1",
        "wingspar-service: stoc",
        "wingspar-target: s1",
        "wingspar-fence: 1.1",
        "wingspar-config: 9",
        "wingspar-class: interactive",
        "wingspar-repeatable: 1",
        "wingspar-request-id: till-7",
        "x-public: 1",
        &format!("wingspar-key-hash: {key}"),
        &format!("host: {}", bed.address),
    ] {
        assert!(head.lines().any(|one| one == line), "{line} in {head}");
    }
    assert!(
        !head.contains("99.99") && !head.contains("x-private"),
        "{head}"
    );
    let deadline = head.split("wingspar-deadline-ms: ").nth(1).unwrap();
    let deadline: u64 = deadline.lines().next().unwrap().parse().unwrap();
    assert!((1..=4_000).contains(&deadline));
}

#[tokio::test]
async fn bad_requests_are_refused_and_nothing_is_forwarded() {
    let bed = Bed::start(1).await;
    for (service, path, status, reason) in [
        ("nothing", "/", 404, "unknown_service"),
        ("stoc", "/stock/", 400, "missing_key"),
        (
            "stoc",
            &format!("/stock/{}", "k".repeat(600)),
            400,
            "key_too_long",
        ),
        ("stoc", "/stock/%zz", 400, "bad_key"),
    ] {
        let answer = bed.request("POST", service, path).send().await.unwrap();
        assert_eq!(
            system_answer(answer).await,
            ending(status, "not-run", reason)
        );
    }
    let answer = bed.client.get(bed.url("/")).send().await.unwrap();
    assert_eq!(
        system_answer(answer).await,
        ending(404, "not-run", "no_service")
    );
    let mut tunnel = TcpStream::connect(bed.address).await.unwrap();
    let request = b"CONNECT tal.example:80 HTTP/1.1\r\nhost: tal.example\r\n\r\n";
    tunnel.write_all(request).await.unwrap();
    let mut answer = [0; 12];
    tunnel.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"HTTP/1.1 400");
    assert!(bed.agents[0].received().is_empty());
    let rejected = bed
        .router
        .with(|router| router.counters().get(Counter::Rejected));
    assert_eq!(rejected, 5);
}

#[tokio::test]
async fn malformed_and_oversized_heads_are_answered_and_counted() {
    let bed = Bed::start(1).await;
    let big = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(40_000));
    for (request, expected) in [
        (b"what is this\r\n\r\n".as_slice(), "HTTP/1.1 400"),
        (big.as_bytes(), "HTTP/1.1 431"),
    ] {
        let mut stream = TcpStream::connect(bed.address).await.unwrap();
        stream.write_all(request).await.unwrap();
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.unwrap();
        assert_eq!(std::str::from_utf8(&answer).unwrap(), expected);
    }
    let malformed = || bed.counters.malformed.load(Ordering::Relaxed);
    until("both are counted", || malformed() == 2).await;
    let answer = bed.request("GET", "tal", "/").send().await.unwrap();
    assert_eq!(answer.status(), 200, "alive");
    assert_eq!(malformed(), 2);
}

#[tokio::test]
async fn a_truncated_answer_never_looks_whole() {
    let bed = Bed::start(1).await;
    let agent = &bed.agents[0];
    let head = "HTTP/1.1 200 OK\r\nwingspar-outcome: ran\r\n";
    let cut = |rest: &str| Reply::Cut(format!("{head}{rest}").into_bytes());
    agent.on("/large", cut("content-length: 100000\r\n\r\npart"));
    agent.on(
        "/chunked",
        cut("transfer-encoding: chunked\r\n\r\n4\r\npart\r\n"),
    );
    agent.on("/small", cut("content-length: 100\r\n\r\npart"));
    let http2 = reqwest::Client::builder()
        .http2_prior_knowledge()
        .no_proxy();
    let http2 = http2.build().unwrap();
    for client in [&bed.client, &http2] {
        for path in ["/large", "/chunked"] {
            let request = client.get(bed.url(path)).header("wingspar-service", "tal");
            let answer = request.send().await.unwrap();
            assert_eq!(answer.status(), 200);
            assert!(answer.bytes().await.is_err(), "{path}");
        }
        let before = agent.received().len();
        let request = client
            .post(bed.url("/small"))
            .header("wingspar-service", "tal");
        let answer = request.send().await.unwrap();
        let expected = ending(502, "unknown", "connection_lost");
        assert_eq!(system_answer(answer).await, expected);
        assert_eq!(agent.received().len(), before + 1, "sent once");
    }
    until("all calls are over", || bed.in_flight() == 0).await;
}

#[tokio::test]
async fn answers_pass_unchanged_over_http2_and_redirects_are_not_followed() {
    let bed = Bed::start(1).await;
    let headers = "location: /elsewhere\r\ncontent-encoding: gzip\r\n";
    bed.agents[0].on(
        "/moved",
        Reply::Bytes(ran("302 Found", headers, "not really gzip")),
    );
    let client = reqwest::Client::builder()
        .http2_prior_knowledge()
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .build()
        .unwrap();
    let request = client
        .get(bed.url("/moved"))
        .header("wingspar-service", "tal");
    let answer = request.send().await.unwrap();
    assert_eq!(answer.version(), reqwest::Version::HTTP_2);
    assert_eq!(answer.status(), 302);
    assert_eq!(answer.headers()["content-encoding"], "gzip");
    assert_eq!(answer.headers()["content-length"], "15");
    assert_eq!(answer.text().await.unwrap(), "not really gzip");
    assert_eq!(bed.agents[0].received().len(), 1);
    let head = client
        .head(bed.url("/moved"))
        .header("wingspar-service", "tal");
    let only_head = b"HTTP/1.1 200 OK\r\nwingspar-outcome: ran\r\ncontent-length: 15\r\n\r\n";
    bed.agents[0].on("/moved", Reply::Bytes(only_head.to_vec()));
    let answer = head.send().await.unwrap();
    assert_eq!(answer.headers()["content-length"], "15");
    until("the calls are over", || bed.in_flight() == 0).await;
    assert_eq!(
        bed.router
            .with(|router| router.counters().get(Counter::Cancelled)),
        0
    );
}

#[tokio::test]
async fn a_refused_request_goes_elsewhere_with_its_whole_body() {
    let bed = Bed::start(2).await;
    bed.agents[0].on("/pay", Reply::Bytes(not_run("overloaded")));
    let mut seen = 0;
    while bed.agents[0].received().is_empty() {
        let request = bed.request("POST", "tal", "/pay").body("twelve bytes");
        let answer = request.send().await.unwrap();
        assert_eq!(answer.status(), 200);
        seen += 1;
    }
    let received = bed.agents[1].received();
    assert_eq!(received.len(), seen);
    assert!(received.iter().all(|one| one.body == b"twelve bytes"));
}

#[tokio::test]
async fn a_streamed_body_is_sent_once_only() {
    let bed = Bed::start(1).await;
    bed.agents[0].on("/pay", Reply::Bytes(not_run("back_end_down")));
    let parts = futures_util::stream::iter(["one", "two"].map(Ok::<_, std::io::Error>));
    let body = reqwest::Body::wrap_stream(parts);
    let answer = bed
        .request("POST", "tal", "/pay")
        .body(body)
        .send()
        .await
        .unwrap();
    assert_eq!(
        system_answer(answer).await,
        ending(503, "not-run", "back_end_down")
    );
    let received = bed.agents[0].received();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].body, b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n");
}

#[tokio::test]
async fn a_lost_answer_is_unknown_for_work_that_may_not_be_repeated() {
    let bed = Bed::start(1).await;
    bed.agents[0].on("/pay", Reply::Cut(Vec::new()));
    let request = bed
        .request("POST", "tal", "/pay")
        .header("idempotency-key", "k1");
    let answer = request.send().await.unwrap();
    assert_eq!(
        system_answer(answer).await,
        ending(502, "unknown", "connection_lost")
    );
    assert_eq!(bed.agents[0].received().len(), 1, "sent once");
    let answer = bed.request("GET", "tal", "/pay").send().await.unwrap();
    assert_eq!(system_answer(answer).await.1, "unknown");
    assert!(
        bed.agents[0].received().len() > 2,
        "repeatable work is tried again"
    );
    bed.agents[0].on(
        "/odd",
        Reply::Bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_vec()),
    );
    let answer = bed.request("POST", "tal", "/odd").send().await.unwrap();
    assert_eq!(
        system_answer(answer).await,
        ending(502, "unknown", "bad_answer")
    );
}

#[tokio::test]
async fn an_unreachable_agent_proves_not_run() {
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = unused.local_addr().unwrap();
    drop(unused);
    let bed = Bed::with_addresses(&[address]).await;
    let answer = bed
        .request("POST", "stoc", "/stock/rosa")
        .body("x")
        .send()
        .await
        .unwrap();
    assert_eq!(
        system_answer(answer).await,
        ending(503, "not-run", "unreachable")
    );
}

#[tokio::test]
async fn a_passed_deadline_is_answered_at_once_and_reaches_the_agent() {
    let bed = Bed::start(1).await;
    bed.agents[0].on("/pay", Reply::Silence);
    let request = bed
        .request("POST", "tal", "/pay")
        .header("wingspar-deadline-ms", "100");
    let answer = request.send().await.unwrap();
    assert_eq!(
        system_answer(answer).await,
        ending(504, "unknown", "deadline")
    );
    until("the agent's connection ended", || {
        bed.agents[0].ended() == 1
    })
    .await;
}

#[tokio::test]
async fn a_cancelled_caller_reaches_the_agent_and_frees_its_place() {
    let bed = Bed::start(1).await;
    bed.agents[0].on("/pay", Reply::Silence);
    let call = tokio::spawn(bed.request("POST", "tal", "/pay").send());
    until("the agent has it", || bed.agents[0].received().len() == 1).await;
    assert_eq!(bed.in_flight(), 1);
    call.abort();
    until("the agent's connection ended", || {
        bed.agents[0].ended() == 1
    })
    .await;
    until("the place is free", || bed.in_flight() == 0).await;
    assert_eq!(
        bed.router
            .with(|router| router.counters().get(Counter::Cancelled)),
        1
    );
}

#[tokio::test]
async fn a_slow_reader_holds_its_place_no_longer_than_its_deadline() {
    let bed = Bed::start(1).await;
    let endless = b"HTTP/1.1 200 OK\r\nwingspar-outcome: ran\r\n\r\n and so on and so on".to_vec();
    bed.agents[0].on("/file", Reply::Endless(endless));
    let request = bed
        .request("GET", "tal", "/file")
        .header("wingspar-deadline-ms", "500");
    let answer = request.send().await.unwrap();
    assert_eq!(answer.status(), 200);
    until("the agent's connection ended", || {
        bed.agents[0].ended() == 1
    })
    .await;
    until("the place is free", || bed.in_flight() == 0).await;
    let mut stream = answer.bytes_stream();
    let mut last = None;
    while let Some(part) = stream.next().await {
        last = Some(part);
    }
    assert!(last.unwrap().is_err(), "what was cut does not look whole");
}

#[tokio::test]
async fn a_request_waits_for_a_hand_over() {
    let bed = Bed::start(1).await;
    let (from, to) = (target_name("s1"), target_name("t0"));
    let moving = table(Some(1), 2, SliceStatus::HandingOver { from, to });
    bed.step(Input::Table(moving));
    let call = tokio::spawn(bed.request("POST", "stoc", "/stock/rosa").body("x").send());
    until("it waits", || {
        bed.router.with(|router| router.waiting()) == 1
    })
    .await;
    assert!(bed.agents[0].received().is_empty());
    let moved = table(Some(2), 3, SliceStatus::Served(target_name("t0")));
    bed.step(Input::Table(moved));
    assert_eq!(call.await.unwrap().unwrap().status(), 200);
    let head = bed.agents[0].received()[0].head.clone();
    assert!(head.contains("wingspar-target: t0") && head.contains("wingspar-fence: 1.3"));
}

#[tokio::test]
async fn an_unserved_key_is_given_up_at_once_with_the_time_to_come_back() {
    let bed = Bed::start(1).await;
    let retry_after_ms = 60_000;
    bed.step(Input::Table(table(
        Some(1),
        2,
        SliceStatus::Unserved { retry_after_ms },
    )));
    let answer = bed
        .request("POST", "stoc", "/stock/rosa")
        .send()
        .await
        .unwrap();
    let millis = answer.headers()["retry-after-ms"].to_str().unwrap();
    let millis: u64 = millis.parse().unwrap();
    assert!((30_000..=73_000).contains(&millis), "{millis}");
    assert_eq!(
        system_answer(answer).await,
        ending(503, "not-run", "unserved")
    );
}

#[tokio::test]
async fn a_body_cut_short_is_not_forwarded_as_whole() {
    let bed = Bed::start(1).await;
    let head = "POST /pay HTTP/1.1\r\nhost: tal.example\r\n";
    for framing in [
        "content-length: 10\r\n\r\nhalf",
        "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ] {
        let mut stream = TcpStream::connect(bed.address).await.unwrap();
        stream
            .write_all(format!("{head}{framing}").as_bytes())
            .await
            .unwrap();
        stream.shutdown().await.unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        assert!(!String::from_utf8_lossy(&answer).contains(" 200 "));
    }
    until("all calls are over", || bed.in_flight() == 0).await;
    assert!(
        bed.agents[0].received().is_empty(),
        "no whole request arrived"
    );
    assert_eq!(
        bed.request("GET", "tal", "/")
            .send()
            .await
            .unwrap()
            .status(),
        200
    );
}

#[tokio::test]
async fn a_planned_stop_finishes_what_is_in_flight_and_takes_nothing_new() {
    let mut bed = Bed::start(1).await;
    let (from, to) = (target_name("s1"), target_name("t0"));
    bed.step(Input::Table(table(
        Some(1),
        2,
        SliceStatus::HandingOver { from, to },
    )));
    let call = tokio::spawn(bed.request("POST", "stoc", "/stock/rosa").body("x").send());
    until("it waits", || {
        bed.router.with(|router| router.waiting()) == 1
    })
    .await;
    let serving = bed.stop();
    let refused = async || TcpStream::connect(bed.address).await.is_err();
    while !refused().await {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    bed.step(Input::Table(table(
        Some(2),
        3,
        SliceStatus::Served(target_name("t0")),
    )));
    let answer = call.await.unwrap().unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.text().await.unwrap(), "fine");
    serving.await.unwrap().unwrap();
}

#[tokio::test]
async fn an_answer_before_the_body_is_read_is_passed_on() {
    let bed = Bed::start(1).await;
    let early = ran("413 Payload Too Large", "", "too much");
    bed.agents[0].on("/pay", Reply::BeforeBody(early));
    let body = vec![7; 8 * 1024 * 1024];
    let answer = bed
        .request("POST", "tal", "/pay")
        .body(body)
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), 413);
    assert_eq!(answer.text().await.unwrap(), "too much");
}

#[tokio::test]
async fn a_second_answer_to_one_request_reaches_nobody() {
    let bed = Bed::start(1).await;
    let mut twice = ran("200 OK", "", "for the first");
    twice.extend(ran("200 OK", "", "a duplicate"));
    bed.agents[0].on("/first", Reply::Bytes(twice));
    for _ in 0..20 {
        let first = bed.request("GET", "tal", "/first").send().await.unwrap();
        assert_eq!(first.text().await.unwrap(), "for the first");
        let second = bed.request("POST", "tal", "/second").send().await.unwrap();
        let status = second.status();
        let text = second.text().await.unwrap();
        assert!(status != 200 || text == "fine", "{text}");
    }
}

#[tokio::test]
async fn a_caller_that_closes_its_sending_side_counts_as_gone() {
    let bed = Bed::start(1).await;
    bed.agents[0].on("/pay", Reply::Silence);
    let mut stream = TcpStream::connect(bed.address).await.unwrap();
    let request = b"POST /pay HTTP/1.1\r\nhost: tal.example\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request).await.unwrap();
    until("the agent has it", || bed.agents[0].received().len() == 1).await;
    stream.shutdown().await.unwrap();
    until("the agent's connection ended", || {
        bed.agents[0].ended() == 1
    })
    .await;
    until("the place is free", || bed.in_flight() == 0).await;
}
