//! The agent's HTTP front over sockets, with well and badly behaved back ends and callers.

mod bed;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bed::back_end::{BIG, header};
use bed::{Bed, ended, ending, wait_for, word};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wingspar_wire::headers;

#[tokio::test]
async fn forwards_with_fence_grant_and_deadline() {
    let (bed, back_end) = Bed::with_back_end(4).await;
    let response = bed.post("/ok?size=2").body("order").send().await.unwrap();
    assert_eq!(ending(&response), ended("ran", "", 200));
    assert_eq!(word(&response, "content-length"), "2");
    assert_eq!(word(&response, headers::FENCE), "", "the back end's own");
    assert_eq!(word(&response, "keep-alive"), "");
    assert_eq!(response.text().await.unwrap(), "ok");

    let head = &back_end.heads()[0];
    assert!(head.starts_with("POST /ok?size=2 HTTP/1.1\r\n"), "{head}");
    assert_eq!(header(head, headers::FENCE).unwrap(), "1.42");
    let grant = header(head, headers::GRANT).unwrap();
    let until: u128 = grant
        .split_once(";until-unix-ms=")
        .unwrap()
        .1
        .parse()
        .unwrap();
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis();
    assert!((now..=now + 3_600_000).contains(&until));
    assert!(grant.starts_with("0000000000000000-ffffffffffffffff;ttl-ms="));
    let deadline: u64 = header(head, headers::DEADLINE_MS).unwrap().parse().unwrap();
    assert!((1..=30_000).contains(&deadline));
    assert_eq!(header(head, headers::TARGET), None);
    assert_eq!(header(head, "content-length").unwrap(), "5");
    assert_eq!(bed.in_flight(), 0);
}

#[tokio::test]
async fn passes_answers_on_untouched() {
    let (bed, back_end) = Bed::with_back_end(4).await;
    let missing = bed.post("/missing").send().await.unwrap();
    assert_eq!(ending(&missing), ended("ran", "", 404));
    assert_eq!(
        missing.text().await.unwrap(),
        "",
        "no error page of our own"
    );
    let packed = bed.post("/packed").send().await.unwrap();
    assert_eq!(word(&packed, "content-encoding"), "gzip");
    assert_eq!(packed.text().await.unwrap(), "raw");
    let client = reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .unwrap();
    let moved = client.execute(bed.post("/moved").build().unwrap()).await;
    assert_eq!(moved.unwrap().status(), 302);
    assert_eq!(back_end.runs(), 3, "redirects are not followed");
}

#[tokio::test]
async fn refused_connection_proves_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let nobody = listener.local_addr().unwrap();
    drop(listener);
    let bed = Bed::start(nobody, 4, 3_600_000).await;
    let response = bed.post("/ok").send().await.unwrap();
    assert_eq!(ending(&response), ended("not-run", "unreachable", 503));
    assert!(!word(&response, "retry-after").is_empty());
    assert!(!word(&response, "retry-after-ms").is_empty());
    assert_eq!(bed.count("no_connection"), 1);
}

#[tokio::test]
async fn lost_connection_is_unknown_and_not_run_again() {
    let (bed, back_end) = Bed::with_back_end(4).await;
    let deposit = || bed.post("/close").header(headers::IDEMPOTENCY_KEY, "d-1");
    let response = deposit().send().await.unwrap();
    assert_eq!(ending(&response), ended("unknown", "connection_lost", 502));
    let again = deposit().send().await.unwrap();
    assert_eq!(ending(&again), ended("unknown", "earlier_unknown", 409));
    assert_eq!(back_end.runs(), 1);
}

#[tokio::test]
async fn cut_answer_never_looks_whole() {
    let (bed, back_end) = Bed::with_back_end(4).await;
    for path in ["/cut", "/cut-chunks"] {
        let request = bed.post(path).header(headers::IDEMPOTENCY_KEY, path);
        let response = request.send().await.unwrap();
        if word(&response, headers::OUTCOME) == "ran" {
            assert!(response.bytes().await.is_err(), "{path}");
        } else {
            // Seen before anything was passed on.
            assert_eq!(ending(&response), ended("unknown", "connection_lost", 502));
        }
        let again = bed.post(path).header(headers::IDEMPOTENCY_KEY, path);
        let again = again.send().await.unwrap();
        assert_eq!(ending(&again), ended("unknown", "earlier_unknown", 409));
    }
    assert_eq!(back_end.runs(), 2);
    assert_eq!(bed.in_flight(), 0);
}

#[tokio::test]
async fn repeat_is_answered_from_memory() {
    let (bed, back_end) = Bed::with_back_end(4).await;
    let order = |path: &str| bed.post(path).header(headers::IDEMPOTENCY_KEY, "o-1");
    let first = order("/ok").send().await.unwrap();
    assert_eq!(first.text().await.unwrap(), "ok");
    let replayed = order("/ok").send().await.unwrap();
    assert_eq!(ending(&replayed), ended("ran", "replayed", 200));
    assert_eq!(word(&replayed, "content-type"), "text/plain");
    assert_eq!(replayed.text().await.unwrap(), "ok");
    assert_eq!(back_end.runs(), 1);

    let long = order("/long").send().await.unwrap();
    assert_eq!(long.bytes().await.unwrap().len(), 5_000, "other work");
    let not_kept = order("/long").send().await.unwrap();
    assert_eq!(ending(&not_kept), ended("ran", "answer_not_kept", 409));
    assert_eq!(back_end.runs(), 2);
}

#[tokio::test]
async fn repeat_while_the_first_runs_is_unknown() {
    let (bed, back_end) = Bed::with_back_end(4).await;
    let slow = || bed.post("/slow").header(headers::IDEMPOTENCY_KEY, "s-1");
    let first = tokio::spawn(slow().send());
    wait_for("the first runs", || back_end.runs() == 1).await;
    let second = slow().send().await.unwrap();
    assert_eq!(ending(&second), ended("unknown", "in_progress", 409));
    back_end.release.add_permits(1);
    assert_eq!(first.await.unwrap().unwrap().status(), 200);
    assert_eq!(back_end.runs(), 1);
}

#[tokio::test]
async fn refusal_of_the_back_end_is_not_run_and_may_be_tried_again() {
    let (bed, back_end) = Bed::with_back_end(4).await;
    for _ in 0..2 {
        let request = bed.post("/refuse").header(headers::IDEMPOTENCY_KEY, "x-1");
        let response = request.send().await.unwrap();
        assert_eq!(ending(&response), ended("not-run", "shed", 503));
        assert_eq!(word(&response, "retry-after"), "3");
    }
    assert_eq!(back_end.runs(), 2);
}

#[tokio::test]
async fn lapsed_deadline_is_unknown_and_reaches_the_back_end() {
    let (bed, back_end) = Bed::with_back_end(1).await;
    let mut request = bed.post("/slow").build().unwrap();
    let short = "300".parse().unwrap();
    request.headers_mut().insert(headers::DEADLINE_MS, short);
    let response = bed.client.execute(request).await.unwrap();
    assert_eq!(ending(&response), ended("unknown", "deadline", 504));
    wait_for("the back end is told", || back_end.gone() == 1).await;
    let next = bed.post("/ok").send().await.unwrap();
    assert_eq!(ending(&next), ended("ran", "", 200), "the slot is free");
}

#[tokio::test]
async fn caller_who_goes_away_frees_the_slot() {
    let (bed, back_end) = Bed::with_back_end(1).await;
    let caller = tokio::spawn(bed.post("/slow").send());
    wait_for("it runs", || bed.in_flight() == 1 && back_end.runs() == 1).await;
    caller.abort();
    wait_for("the back end is told", || back_end.gone() == 1).await;
    wait_for("the slot is free", || bed.in_flight() == 0).await;
}

#[tokio::test]
async fn waits_for_a_slot_and_refuses_when_the_queue_is_full() {
    let (bed, back_end) = Bed::with_back_end(1).await;
    let running = tokio::spawn(bed.post("/slow").send());
    wait_for("one runs", || bed.in_flight() == 1).await;
    let waiting = tokio::spawn(bed.post("/ok").send());
    let queued = || bed.agent.with(|agent| agent.counters().queued) == 1;
    wait_for("one waits", queued).await;
    let third = bed.post("/ok").send().await.unwrap();
    assert_eq!(ending(&third), ended("not-run", "overloaded", 503));
    assert!(!word(&third, "retry-after-ms").is_empty());
    back_end.release.add_permits(1);
    assert_eq!(running.await.unwrap().unwrap().status(), 200);
    assert_eq!(waiting.await.unwrap().unwrap().status(), 200);
    assert_eq!(back_end.runs(), 2);
}

#[tokio::test]
async fn lapsed_lease_cancels_what_runs_and_refuses_the_rest() {
    let back_end = bed::back_end::BackEnd::start().await;
    let bed = Bed::start(back_end.address, 4, 1_000).await;
    let running = tokio::spawn(bed.post("/slow").send());
    wait_for("it runs", || back_end.runs() == 1).await;
    wait_for("the lease lapses", || {
        bed.tick();
        bed.agent.with(|agent| agent.counters().leases_lapsed) == 1
    })
    .await;
    let response = running.await.unwrap().unwrap();
    assert_eq!(ending(&response), ended("unknown", "lease_lost", 502));
    wait_for("the back end is told", || back_end.gone() == 1).await;
    let late = bed.post("/ok").send().await.unwrap();
    assert_eq!(ending(&late), ended("not-run", "no_lease", 503));
    assert_eq!(back_end.runs(), 1);
}

#[tokio::test]
async fn strangers_are_told_what_is_missing() {
    let (bed, back_end) = Bed::with_back_end(4).await;
    let url = format!("http://{}/ok", bed.address);
    let response = bed.client.get(url).send().await.unwrap();
    assert_eq!(ending(&response), ended("not-run", "bad_request", 400));
    let bent = bed.post("/ok").header(headers::IDEMPOTENCY_KEY, "k");
    let bent = bent.header(headers::IDEMPOTENCY_ATTEMPT, "first");
    assert_eq!(bent.send().await.unwrap().status(), 400);
    assert_eq!(bed.count("malformed"), 2);
    let mut endless = bed.post("/ok").build().unwrap();
    let never = u64::MAX.to_string().parse().unwrap();
    endless.headers_mut().insert(headers::DEADLINE_MS, never);
    let bounded = bed.client.execute(endless).await.unwrap();
    assert_eq!(ending(&bounded), ended("ran", "", 200));
    assert_eq!(back_end.runs(), 1);
}

#[tokio::test]
async fn answer_before_the_body_is_read_passes() {
    let (bed, _back_end) = Bed::with_back_end(4).await;
    let response = bed.post("/early").body(vec![b'x'; 100]).send().await;
    let response = response.unwrap();
    assert_eq!(ending(&response), ended("ran", "", 413));
    assert_eq!(response.text().await.unwrap(), "large");
}

#[tokio::test]
async fn slow_reader_loses_the_slot_at_the_deadline() {
    let (bed, back_end) = Bed::with_back_end(1).await;
    let mut caller = TcpStream::connect(bed.address).await.unwrap();
    let head = "GET /big HTTP/1.1\r\nhost: stoc\r\nwingspar-request-id: r\r\n\
                wingspar-service: stoc\r\nwingspar-target: s1\r\nwingspar-deadline-ms: 500\r\n\
                wingspar-key-hash: 0000000000000001\r\nwingspar-repeatable: 1\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    wait_for("it runs", || back_end.runs() == 1).await;
    wait_for("the slot is free", || bed.in_flight() == 0).await;
    wait_for("the back end is told", || back_end.gone() == 1).await;
    assert_eq!(bed.count("answers_cut"), 1);
    let mut received = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(20), caller.read_to_end(&mut received)).await;
    assert!(received.len() < BIG, "the answer does not look whole");
}

#[tokio::test]
async fn large_answers_pass_whole() {
    let (bed, _back_end) = Bed::with_back_end(4).await;
    let response = bed.post("/big").send().await.unwrap();
    assert_eq!(response.bytes().await.unwrap().len(), BIG);
    assert_eq!(bed.in_flight(), 0);
}

#[tokio::test]
async fn duplicate_and_foreign_answers_reach_no_other_request() {
    let (bed, _back_end) = Bed::with_back_end(4).await;
    for _ in 0..20 {
        let first = bed.post("/twice").send().await.unwrap();
        assert_eq!(first.text().await.unwrap(), "one");
        let next = bed.post("/ok").send().await.unwrap();
        assert_eq!(next.text().await.unwrap(), "ok");
    }
    let foreign = bed.post("/other").send().await.unwrap();
    assert_eq!(ending(&foreign), ended("unknown", "connection_lost", 502));
    assert_eq!(bed.count("wrong_answers"), 1);
}

#[tokio::test]
async fn answer_of_a_thawed_back_end_reaches_nobody() {
    let (bed, back_end) = Bed::with_back_end(1).await;
    let mut request = bed.post("/frozen").build().unwrap();
    let short = "200".parse().unwrap();
    request.headers_mut().insert(headers::DEADLINE_MS, short);
    let response = bed.client.execute(request).await.unwrap();
    assert_eq!(ending(&response), ended("unknown", "deadline", 504));
    let slow = tokio::spawn(bed.post("/slow").send());
    wait_for("the next runs", || back_end.runs() == 2).await;
    back_end.release.add_permits(2);
    let answer = slow.await.unwrap().unwrap();
    assert_eq!(answer.text().await.unwrap(), "ok");
    let next = bed.post("/ok").send().await.unwrap();
    assert_eq!(next.text().await.unwrap(), "ok");
}

#[tokio::test]
async fn half_closed_connections_end_in_order() {
    let (bed, back_end) = Bed::with_back_end(1).await;
    for _ in 0..3 {
        let answer = bed.post("/half").send().await.unwrap();
        assert_eq!(answer.text().await.unwrap(), "ok");
    }
    let mut caller = TcpStream::connect(bed.address).await.unwrap();
    let request = bed.post("/slow").build().unwrap();
    let mut head = "POST /slow HTTP/1.1\r\nhost: stoc\r\n".to_owned();
    for (name, value) in request.headers() {
        head += &format!("{name}: {}\r\n", value.to_str().unwrap());
    }
    caller.write_all((head + "\r\n").as_bytes()).await.unwrap();
    wait_for("it runs", || back_end.runs() == 4).await;
    caller.shutdown().await.unwrap();
    wait_for("the back end is told", || back_end.gone() == 1).await;
    wait_for("the slot is free", || bed.in_flight() == 0).await;
}

#[tokio::test]
async fn oversized_heads_are_refused_both_ways() {
    let (bed, back_end) = Bed::with_back_end(4).await;
    let large = bed.post("/ok").header("x-large", "x".repeat(40_000));
    let refused = large.send().await.unwrap();
    assert_eq!(refused.status(), 431);
    assert_eq!(back_end.runs(), 0);
    let answer = bed.post("/headers").send().await.unwrap();
    assert_eq!(ending(&answer), ended("unknown", "connection_lost", 502));
    assert_eq!(bed.in_flight(), 0);
}

#[tokio::test]
async fn odd_paths_arrive_as_sent_or_are_refused() {
    let (bed, back_end) = Bed::with_back_end(4).await;
    for path in ["/%ff", "//x", "/a%2Fb", "/", "/a;b=c/?d=%20e"] {
        let before = back_end.runs();
        let response = bed.post(path).send().await.unwrap();
        assert_eq!(ending(&response), ended("ran", "", 200), "{path}");
        let head = back_end.heads().remove(before);
        assert!(head.starts_with(&format!("POST {path} HTTP/1.1")), "{head}");
    }
}

#[tokio::test]
async fn small_chunked_answers_get_a_length_and_slow_ones_are_streamed() {
    let (bed, back_end) = Bed::with_back_end(4).await;
    let answer = bed.post("/chunks").send().await.unwrap();
    assert_eq!(word(&answer, "content-length"), "6");
    assert_eq!(word(&answer, "transfer-encoding"), "");
    assert_eq!(answer.text().await.unwrap(), "onetwo");
    let mut answer = bed.post("/drip").send().await.unwrap();
    assert_eq!(word(&answer, "transfer-encoding"), "chunked");
    assert_eq!(answer.chunk().await.unwrap().unwrap(), "one");
    back_end.release.add_permits(1);
    assert_eq!(answer.text().await.unwrap(), "two");
}
