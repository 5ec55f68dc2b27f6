//! What must hold when processes are moved, killed, stopped and frozen.

use std::io::Write;
use std::net::{TcpStream, UdpSocket};
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;
use wingspar_rehearse::load::Outcome;

use crate::deployment::{Deployment, TARGETS, eventually};

const STOC: usize = 0;
const CLUDO: usize = 1;
/// Longer than any lease and the time to notice its end.
const BEYOND_LEASES: Duration = Duration::from_secs(5);

fn run(scenario: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(scenario);
}

#[test]
fn keys_move_and_survive_the_loss_of_their_owner() {
    run(async {
        let mut deployment = Deployment::start(1).await;
        let from = deployment.owner_of("item-1").await.unwrap();
        let to = (from + 1) % TARGETS;
        let moved = deployment.ctl(&format!("move stoc --key item-1 --to stoc-{}", to + 1));
        assert!(moved.status.success(), "{moved:?}");
        eventually("item-1 has moved", async || {
            deployment.owner_of("item-1").await == Some(to)
        })
        .await;
        deployment.read_until_served(STOC, "item-1").await;

        let load = deployment.load(8);
        sleep(Duration::from_secs(1)).await;
        deployment.kill_backend(to).await;
        let agent = format!("machine-{}", to + 1);
        deployment.processes.remove(&agent);
        deployment.read_until_served(STOC, "item-1").await;
        deployment.read_until_served(CLUDO, "").await;
        let owner = deployment.owner_of("item-1").await;
        assert!(owner.is_some_and(|owner| owner != to), "{owner:?}");
        load.await.unwrap();
        deployment.audit(false).await;
    });
}

#[test]
fn planned_stops_cut_nothing() {
    run(async {
        let mut deployment = Deployment::start(2).await;
        let load = deployment.load(10);
        sleep(Duration::from_secs(1)).await;
        let owner = deployment.owner_of("item-2").await.unwrap();
        let agent = format!("machine-{}", owner + 1);
        deployment.processes[&agent].signal(Signal::TERM);
        let mut process = deployment.processes.remove(&agent).unwrap();
        let mut status = None;
        eventually("the agent has stopped", async || {
            status = process.ended();
            status.is_some()
        })
        .await;
        assert!(status.unwrap().success(), "{status:?}");
        deployment.read_until_served(STOC, "item-2").await;
        load.await.unwrap();
        let cut = |record: &&wingspar_rehearse::load::Record| record.outcome == Outcome::Unknown;
        let records = deployment.records();
        let cut = records.iter().filter(cut).collect::<Vec<_>>();
        assert!(cut.is_empty(), "{cut:#?}");
        deployment.audit(true).await;
    });
}

#[test]
fn frozen_processes_return_without_harm() {
    run(async {
        let mut deployment = Deployment::start(3).await;
        let load = deployment.load(30);
        sleep(Duration::from_secs(1)).await;
        let owner = deployment.owner_of("item-3").await.unwrap();
        let frozen = [
            format!("machine-{}", owner + 1),
            format!("backend-{}", owner + 1),
        ];
        for name in &frozen {
            deployment.processes[name].signal(Signal::STOP);
        }
        eventually("item-3 has another owner", async || {
            let now = deployment.owner_of("item-3").await;
            now.is_some_and(|now| now != owner)
        })
        .await;
        deployment.read_until_served(STOC, "item-3").await;
        for name in &frozen {
            deployment.processes[name].signal(Signal::CONT);
        }

        let leader = leader(&deployment).await;
        deployment.processes[&leader].signal(Signal::STOP);
        eventually("another leader", async || {
            let group = deployment.client().group().await;
            let now = group.ok().and_then(|group| group.leader);
            now.is_some_and(|now| now.machine.as_str() != leader)
        })
        .await;
        deployment.processes[&leader].signal(Signal::CONT);
        deployment.read_until_served(STOC, "item-3").await;

        deployment.processes["platform"].signal(Signal::STOP);
        sleep(BEYOND_LEASES).await;
        for key in 0..16 {
            deployment
                .read_until_served(STOC, &format!("item-{key}"))
                .await;
        }
        deployment.processes["platform"].signal(Signal::CONT);
        load.await.unwrap();
        deployment.audit(true).await;
    });
}

async fn leader(deployment: &Deployment) -> String {
    let group = deployment.client().group().await.unwrap();
    group.leader.unwrap().machine.to_string()
}

#[test]
fn strangers_on_the_internal_port_change_nothing() {
    run(async {
        let mut deployment = Deployment::start(4).await;
        for index in 0..3 {
            let address = deployment.control_address(index);
            let mut stream = TcpStream::connect(address).unwrap();
            stream
                .write_all(b"\x00\x00\x00\x10GET / HTTP/1.1\r\n\r\n")
                .unwrap();
            let mut oversized = TcpStream::connect(address).unwrap();
            oversized.write_all(&[0xff; 64]).unwrap();
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            socket.send_to(b"not a message", address).unwrap();
        }
        for index in 0..3 {
            eventually("the stranger is counted", async || {
                counted(&deployment.metrics(index).await, "malformed")
            })
            .await;
        }
        for process in deployment.processes.values_mut() {
            process.assert_alive();
        }
        deployment.read_until_served(STOC, "item-4").await;
        deployment.audit(true).await;
    });
}

/// Whether a counter of the internal protocol is above zero.
fn counted(metrics: &str, entry: &str) -> bool {
    let name = format!("wingspar_transport_{entry}_total");
    let mut lines = metrics.lines().filter(|line| line.starts_with(&name));
    lines.any(|line| !line.ends_with(" 0"))
}
