//! Retries, proofs and unknown outcomes.

use super::*;

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
