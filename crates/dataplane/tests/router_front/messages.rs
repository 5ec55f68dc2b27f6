//! What passes unchanged, and what is refused or seen to be broken.

use super::*;

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
