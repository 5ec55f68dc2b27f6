//! Several requests on one client connection, through real processes.

use std::time::{Duration, Instant};

use serde_json::json;
use wingspar_standins::fleet::{FleetTarget, TargetFaults};

use crate::deployment::{Deployment, eventually};
use crate::pipelined_client::{PipelinedAnswer, PipelinedClient, request};

/// Requests that run at once at each target.
const SLOTS: usize = 8;

fn works(millis: u64) -> TargetFaults {
    TargetFaults {
        work: Duration::from_millis(millis),
        ..TargetFaults::default()
    }
}

fn lookup(id: &str) -> String {
    request("GET", "/orders/1", id, "")
}

async fn client_of(deployment: &Deployment, node: usize) -> PipelinedClient {
    let address = deployment.nodes[node].outbound;
    PipelinedClient::connect(address).await.expect("it accepts")
}

async fn answer(client: &mut PipelinedClient) -> PipelinedAnswer {
    let answer = client.answer().await.expect("a whole answer");
    answer.expect("the connection is open")
}

/// When a request ran, which it did once.
fn ran_at(deployment: &Deployment, id: &str) -> Instant {
    let seen = deployment.seen(id);
    assert_eq!(seen.len(), 1, "{id}");
    seen[0].at
}

#[tokio::test]
async fn requests_of_one_connection_run_side_by_side_and_are_answered_in_order() {
    let deployment = Deployment::start(40).await;
    deployment.plain_targets_do(works(500));
    let mut client = client_of(&deployment, 0).await;
    // The last is for another service, and done long before those ahead of it.
    let quick = request("GET", "/stock/1", "d", "X-Wingspar-Shard-Key: 7\r\n");
    let sent = ["a", "b", "c"].map(lookup).concat() + &quick;
    client.send(&sent).await.expect("sent");
    for id in ["a", "b", "c", "d"] {
        let answer = answer(&mut client).await;
        assert_eq!((answer.status, answer.id()), (200, Some(id)));
    }
    let first = ran_at(&deployment, "a");
    for id in ["b", "c", "d"] {
        let behind = ran_at(&deployment, id).saturating_duration_since(first);
        assert!(
            behind < Duration::from_millis(400),
            "{id} waited {behind:?}"
        );
    }
}

#[tokio::test]
async fn a_packet_of_many_requests_starts_a_bounded_number_at_once() {
    let deployment = Deployment::start(41).await;
    deployment.plain_targets_do(works(300));
    let mut client = client_of(&deployment, 0).await;
    let ids = (0..24)
        .map(|number| format!("m{number}"))
        .collect::<Vec<_>>();
    let sent = ids.iter().map(|id| lookup(id)).collect::<String>();
    client.send(&sent).await.expect("sent");
    for id in &ids {
        let answer = answer(&mut client).await;
        assert_eq!((answer.status, answer.id()), (200, Some(id.as_str())));
    }
    let first = ran_at(&deployment, "m0");
    let at_once = ids.iter().filter(|id| {
        let behind = ran_at(&deployment, id).saturating_duration_since(first);
        behind < Duration::from_millis(250)
    });
    let at_once = at_once.count();
    assert!((2..=SLOTS + 1).contains(&at_once), "{at_once} at once");
}

#[tokio::test]
async fn what_may_not_be_repeated_waits_for_its_turn_and_holds_back_what_follows() {
    let deployment = Deployment::start(42).await;
    deployment.plain_targets_do(works(200));
    let mut client = client_of(&deployment, 0).await;
    let order = request("POST", "/book/1", "once", "Content-Length: 4\r\n") + "body";
    let sent = ["a", "b"].map(lookup).concat() + &order + &["c", "d"].map(lookup).concat();
    client.send(&sent).await.expect("sent");
    for id in ["a", "b", "once", "c", "d"] {
        let answer = answer(&mut client).await;
        assert_eq!((answer.status, answer.id()), (200, Some(id)));
    }
    assert_eq!(deployment.seen("once")[0].body, "body");
    let work = Duration::from_millis(190);
    let at = |id| ran_at(&deployment, id);
    assert!(at("once") >= at("a").max(at("b")) + work);
    assert!(at("c").min(at("d")) >= at("once") + work);
}

#[tokio::test]
async fn a_broken_head_is_refused_after_the_answers_before_it() {
    let deployment = Deployment::start(43).await;
    deployment.plain_targets_do(works(100));
    let mut client = client_of(&deployment, 0).await;
    let sent = ["a", "b"].map(lookup).concat() + "no head\r\n\r\n" + &lookup("c");
    client.send(&sent).await.expect("sent");
    for id in ["a", "b"] {
        let answer = answer(&mut client).await;
        assert_eq!((answer.status, answer.id()), (200, Some(id)));
    }
    assert_eq!(answer(&mut client).await.status, 400);
    assert!(matches!(client.answer().await, Ok(None) | Err(_)));
    assert!(deployment.seen("c").is_empty());
}

#[tokio::test]
async fn nothing_is_passed_on_behind_an_answer_that_closes() {
    let deployment = Deployment::start(44).await;
    let mut client = client_of(&deployment, 0).await;
    let last = request("GET", "/orders/1", "last", "Connection: close\r\n");
    let sent = lookup("first") + &last + &lookup("behind");
    client.send(&sent).await.expect("sent");
    assert!(!answer(&mut client).await.closes());
    assert!(answer(&mut client).await.closes());
    assert!(matches!(client.answer().await, Ok(None) | Err(_)));
    assert!(deployment.seen("behind").is_empty());
}

#[tokio::test]
async fn all_requests_of_a_client_that_leaves_are_given_up() {
    let deployment = Deployment::start(45).await;
    deployment.plain_targets_do(TargetFaults {
        silent: true,
        ..TargetFaults::default()
    });
    // Neither the route nor, for a while, the client's deadline ends the work.
    let long = json!([{"name": "long", "host": "shop.example", "path_prefix": "/long/", "kind": "idempotent",
        "service": "orders"}]);
    deployment.configure(9, long);
    eventually("the route is in force", || async {
        deployment.configuration_version(0).await == Some(9)
    })
    .await;
    let targets = [2, 3].map(|node| deployment.nodes[node].target.as_ref().expect("a target"));
    let open = || {
        targets
            .map(FleetTarget::open_connections)
            .iter()
            .sum::<u64>()
    };
    let ids = ["a", "b", "c", "d", "e"];
    let mut client = client_of(&deployment, 0).await;
    let sent = ids.map(|id| request("GET", "/long/1", id, "")).concat();
    client.send(&sent).await.expect("sent");
    eventually("all run", || async {
        ids.iter().all(|id| deployment.seen(id).len() == 1)
    })
    .await;
    let busy = open();
    let left_at = Instant::now();
    drop(client);
    eventually("their connections are closed", || async {
        open() + ids.len() as u64 <= busy
    })
    .await;
    assert!(left_at.elapsed() < Duration::from_secs(2));
}

#[tokio::test]
async fn a_planned_stop_answers_all_that_runs_and_announces_the_close_on_the_last() {
    let mut deployment = Deployment::start(46).await;
    deployment.plain_targets_do(works(900));
    let mut client = client_of(&deployment, 0).await;
    deployment.terminate(0);
    // The requests run when the process begins to close its connections.
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    let ids = ["a", "b", "c", "d", "e"];
    client.send(&ids.map(lookup).concat()).await.expect("sent");
    for id in ids {
        let answer = answer(&mut client).await;
        assert_eq!((answer.status, answer.id()), (200, Some(id)));
        assert_eq!(answer.closes(), id == "e", "{id}");
    }
    assert!(matches!(client.answer().await, Ok(None)));
    assert!(deployment.exited_well(0).await);
}

#[tokio::test]
async fn requests_that_are_open_when_a_planned_stop_begins_are_answered() {
    let mut deployment = Deployment::start(49).await;
    // They end after the process has begun to close its connections.
    deployment.plain_targets_do(works(900));
    let ids = ["a", "b", "c", "d", "e"];
    let mut client = client_of(&deployment, 0).await;
    client.send(&ids.map(lookup).concat()).await.expect("sent");
    eventually("all run", || async {
        ids.iter().all(|id| deployment.seen(id).len() == 1)
    })
    .await;
    deployment.terminate(0);
    for id in ids {
        let answer = answer(&mut client).await;
        assert_eq!((answer.status, answer.id()), (200, Some(id)));
        assert_eq!(deployment.seen(id).len(), 1, "{id} ran once");
    }
    assert!(matches!(client.answer().await, Ok(None)));
    assert!(deployment.exited_well(0).await);
}

#[tokio::test]
async fn what_a_client_that_leaves_has_not_had_read_never_runs() {
    let deployment = Deployment::start(55).await;
    deployment.plain_targets_do(works(600));
    let mut client = client_of(&deployment, 0).await;
    // Neither may run beside another, so the second one isn't read before the first one is answered.
    let once = |id| request("POST", "/book/1", id, "Content-Length: 0\r\n");
    let sent = once("first") + &once("unread");
    client.send(&sent).await.expect("sent");
    eventually("the first runs", || async {
        deployment.seen("first").len() == 1
    })
    .await;
    drop(client);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(deployment.seen("unread").is_empty());
}

#[tokio::test]
async fn heads_without_bodies_and_other_versions_keep_their_place() {
    let deployment = Deployment::start(47).await;
    let mut client = client_of(&deployment, 0).await;
    let old = lookup("old").replace("HTTP/1.1", "HTTP/1.0");
    let expecting = request(
        "POST",
        "/orders/1",
        "expecting",
        "Expect: 100-continue\r\nContent-Length: 4\r\n",
    );
    client
        .send(&(lookup("a") + &expecting))
        .await
        .expect("sent");
    assert_eq!(answer(&mut client).await.id(), Some("a"));
    assert_eq!(answer(&mut client).await.status, 100);
    let rest = "body".to_owned() + &lookup("b") + &old + &lookup("behind");
    client.send(&rest).await.expect("sent");
    for id in ["expecting", "b", "old"] {
        assert_eq!(answer(&mut client).await.id(), Some(id));
    }
    assert!(matches!(client.answer().await, Ok(None) | Err(_)));
    assert_eq!(deployment.seen("expecting")[0].body, "body");
    assert!(deployment.seen("behind").is_empty());
}

#[tokio::test]
async fn requests_that_arrive_in_pieces_are_answered_in_order() {
    let deployment = Deployment::start(48).await;
    deployment.plain_targets_do(works(30));
    let mut client = client_of(&deployment, 0).await;
    let sent = ["a", "b", "c", "d"].map(lookup).concat();
    for byte in sent.as_bytes().chunks(7) {
        let piece = String::from_utf8_lossy(byte);
        client.send(&piece).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    for id in ["a", "b", "c", "d"] {
        let answer = answer(&mut client).await;
        assert_eq!((answer.status, answer.id()), (200, Some(id)));
    }
}
