//! The router's front over real sockets, against scripted agents.

#[path = "../router_bed/mod.rs"]
mod router_bed;

mod endings;
mod messages;
mod outcomes;

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
