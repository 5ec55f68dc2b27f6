//! Deadlines, callers that leave, and a planned stop.

use super::*;

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
