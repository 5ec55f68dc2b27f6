//! The text format of metrics and the operator address over a real socket.

use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wingspar_telemetry::{Family, Health, Kind, Metrics, Point, serve};

fn example() -> Metrics {
    let metrics = Metrics::default();
    metrics.add_source(|families| {
        families.push(Family::single(
            "lease_valid",
            "Whether the lease runs.",
            Kind::Gauge,
            1,
        ));
        families.push(Family {
            name: "requests".to_owned(),
            help: "Requests by outcome.",
            kind: Kind::Counter,
            points: vec![Point {
                labels: vec![("outcome", "ran".to_owned())],
                value: 7,
            }],
        });
    });
    metrics
}

#[test]
fn metrics_follow_the_text_format() {
    let text = example().encode().unwrap();
    assert!(text.contains("# TYPE wingspar_lease_valid gauge"), "{text}");
    assert!(text.contains("wingspar_lease_valid 1"), "{text}");
    assert!(
        text.contains("wingspar_requests_total{outcome=\"ran\"} 7"),
        "{text}"
    );
}

async fn get(path: &str, ready: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let health = Arc::new(move || Health {
        ready,
        waiting_for: vec!["a lease".to_owned()],
    });
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let stopped = async {
        let _ = stopped.await;
    };
    let server = tokio::spawn(serve(listener, example(), health, stopped));
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    drop(stop);
    server.await.unwrap().unwrap();
    answer
}

#[tokio::test]
async fn operators_read_metrics_health_and_readiness() {
    assert!(
        get("/metrics", true)
            .await
            .contains("wingspar_requests_total")
    );
    assert!(get("/healthz", false).await.starts_with("HTTP/1.1 200"));
    assert!(get("/readyz", true).await.starts_with("HTTP/1.1 200"));
    let not_ready = get("/readyz", false).await;
    assert!(not_ready.starts_with("HTTP/1.1 503"), "{not_ready}");
    assert!(not_ready.contains("a lease"), "{not_ready}");
}
