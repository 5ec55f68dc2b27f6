//! The back-end stand-in keeps its contract, and misbehaves only on demand.

mod admission;
mod answers;
mod freezing;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use wingspar_standins::backend::{
    AnswerPattern, BackendSettings, BackendStandIn, Behaviour, HealthReport, JournalEntry,
    JournalOutcome, RefusalReason, Violation, audit,
};
use wingspar_wire::headers;

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const KEY: &str = "0000000000000010";
const RANGE: &str = "0000000000000000-00000000000000ff";

/// A server with a client that reuses connections.
struct Scene {
    server: BackendStandIn,
    client: Client,
}

impl Scene {
    async fn new(settings: BackendSettings) -> Self {
        let server = BackendStandIn::start(ANY_PORT, settings)
            .await
            .expect("a free port");
        let client = Client::builder().no_proxy().build().expect("a client");
        Self { server, client }
    }

    async fn ordinary() -> Self {
        Self::new(BackendSettings::default()).await
    }

    fn get(&self, path: &str) -> RequestBuilder {
        self.client
            .get(format!("http://{}{path}", self.server.local_addr()))
    }

    fn post(&self, path: &str) -> RequestBuilder {
        self.client
            .post(format!("http://{}{path}", self.server.local_addr()))
    }

    /// A request for a key under a fence, with a grant that holds for `ttl_ms`.
    fn keyed(&self, path: &str, fence: &str, ttl_ms: u64) -> RequestBuilder {
        self.post(path)
            .header(headers::SERVICE, "stoc")
            .header(headers::REQUEST_ID, "r-1")
            .header(headers::KEY_HASH, KEY)
            .header(headers::FENCE, fence)
            .header(headers::GRANT, format!("{RANGE};ttl-ms={ttl_ms}"))
    }

    fn behave(&self, behaviour: Behaviour) {
        self.server.set_behaviour(behaviour);
    }

    /// Waits until `count` requests have been started, finished or not.
    async fn wait_for_started(&self, count: usize) {
        self.wait_until(|server| server.journal().len() == count)
            .await;
    }

    async fn wait_until(&self, condition: impl Fn(&BackendStandIn) -> bool) {
        while !condition(&self.server) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn send(request: RequestBuilder) -> Response {
    request.send().await.expect("an answer")
}

/// Checks that an answer proves that the request was not run, and gives the reason.
async fn refused(request: RequestBuilder, status: u16) -> String {
    let answer = send(request).await;
    assert_eq!(answer.status(), status);
    assert_eq!(answer.headers()[headers::OUTCOME], "not-run");
    let word = answer.headers()[headers::REASON]
        .to_str()
        .expect("text")
        .to_owned();
    let body: Value = answer.json().await.expect("a body");
    assert_eq!(body["reason"], json!(word));
    word
}

/// Freezes a server over the end of a request's grant, lets a second server take the key over, and
/// returns the status of the first answer and the journals of both.
async fn freeze_over_a_takeover(check_before_commit: bool) -> (u16, Vec<JournalEntry>) {
    let settings = |name: &str| BackendSettings {
        name: name.into(),
        check_before_commit,
        ..BackendSettings::default()
    };
    let scene = Scene::new(settings("old")).await;
    let successor = Scene::new(settings("new")).await;
    let working = tokio::spawn(scene.keyed("/?work_ms=500", "1.1", 700).send());
    scene.wait_for_started(1).await;
    scene.behave(Behaviour {
        frozen: true,
        ..Behaviour::default()
    });
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(send(successor.keyed("/", "1.2", 5_000)).await.status(), 200);
    scene.behave(Behaviour::default());
    let answer = working.await.expect("ends").expect("an answer");
    let journals = [scene.server.journal(), successor.server.journal()].concat();
    (answer.status().as_u16(), journals)
}
