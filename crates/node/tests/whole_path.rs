//! The whole path on loopback with embedded stand-ins: platform, control candidates, router, agents.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use wingspar_ctl::{Client, mint_change_id};
use wingspar_node::Node;
use wingspar_settings::{Settings, check};
use wingspar_standins::backend::{BackendSettings, BackendStandIn};
use wingspar_standins::platform::PlatformStandIn;
use wingspar_world::{
    ConfigObject, Contract, KeySource, PlacementPolicy, Service, ServiceKind, Target,
};

const PATIENCE: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(50);

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Addresses that were free a moment ago, for candidates that must be known beforehand.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<_> = (0..count)
        .map(|_| TcpListener::bind(any_port()).unwrap())
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect()
}

fn settings(name: &str, control: SocketAddr, seeds: &[SocketAddr], parts: &str) -> Settings {
    let text = format!(
        "control_address = \"{control}\"\nseeds = {seeds:?}\n\
         [machine]\nname = \"{name}\"\nregion = \"cymru-de\"\nzone = \"neuadd-a\"\n{parts}",
        seeds = seeds.iter().map(ToString::to_string).collect::<Vec<_>>(),
    );
    check(&text).unwrap()
}

async fn candidate(index: usize, seeds: &[SocketAddr], platform: SocketAddr) -> Node {
    let parts = format!(
        "[control]\noperator_listen = \"127.0.0.1:0\"\n[platform]\nurl = \"http://{platform}\"\n"
    );
    let settings = settings(&format!("control-{index}"), seeds[index], seeds, &parts);
    Node::start(settings).await.unwrap()
}

fn service() -> ConfigObject {
    ConfigObject::Service(Service {
        name: "stoc".parse().unwrap(),
        kind: ServiceKind::Keyed,
        contract: Contract {
            hosts: vec!["stoc.example".to_owned()],
            key: Some(KeySource::PathTemplate("/stock/{key}".to_owned())),
            ..Contract::default()
        },
        policy: Some("even".parse().unwrap()),
    })
}

fn target(index: usize, address: SocketAddr) -> ConfigObject {
    ConfigObject::Target(Target {
        name: format!("stoc-{index}").parse().unwrap(),
        service: "stoc".parse().unwrap(),
        machine: format!("backend-{index}").parse().unwrap(),
        region: "cymru-de".parse().unwrap(),
        zone: "neuadd-a".parse().unwrap(),
        address,
        slots: 20,
        connections: 100,
        draining: false,
    })
}

async fn create(client: &mut Client, object: ConfigObject) {
    let change_id = mint_change_id();
    let created = async {
        while let Err(failure) = client.create(&change_id, &object).await {
            eprintln!("not created yet: {failure:?}");
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::time::timeout(PATIENCE, created).await.unwrap();
}

async fn get_until_ran(client: &reqwest::Client, router: SocketAddr, key: &str) -> String {
    let served = async {
        loop {
            let request = client.get(format!("http://{router}/stock/{key}"));
            let answer = request.header("host", "stoc.example").send().await.unwrap();
            if answer
                .headers()
                .get("wingspar-outcome")
                .is_some_and(|outcome| outcome == "ran")
            {
                return answer.text().await.unwrap();
            }
            let outcome = answer.headers().get("wingspar-reason").cloned();
            eprintln!("{key}: {} {outcome:?}", answer.status());
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::time::timeout(PATIENCE, served).await.unwrap()
}

#[tokio::test]
async fn a_request_crosses_the_whole_system_and_survives_the_loss_of_an_owner() {
    let platform = PlatformStandIn::start(any_port()).await.unwrap();
    let seeds = free_addresses(3);
    let mut candidates = Vec::new();
    for index in 0..3 {
        candidates.push(candidate(index, &seeds, platform.local_addr()).await);
    }
    let router_part = "[router]\nlisten = \"127.0.0.1:0\"\n";
    let router = Node::start(settings("router-0", any_port(), &seeds, router_part))
        .await
        .unwrap();
    let mut backends = Vec::new();
    let mut agents = Vec::new();
    for index in 0..2 {
        backends.push(
            BackendStandIn::start(any_port(), BackendSettings::default())
                .await
                .unwrap(),
        );
        let part = "[agent]\nlisten = \"127.0.0.1:0\"\n";
        let settings = settings(&format!("backend-{index}"), any_port(), &seeds, part);
        agents.push(Node::start(settings).await.unwrap());
    }

    let operators = candidates
        .iter()
        .map(|node| node.addresses().operators.unwrap())
        .collect();
    let mut client = Client::new(operators);
    let policy = PlacementPolicy::with_defaults("even".parse().unwrap());
    create(&mut client, ConfigObject::Policy(policy)).await;
    create(&mut client, service()).await;
    for (index, backend) in backends.iter().enumerate() {
        create(&mut client, target(index, backend.local_addr())).await;
    }

    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let router_address = router.addresses().router.unwrap();
    for key in 0..20 {
        get_until_ran(&http, router_address, &format!("rosa-{key}")).await;
    }
    agents.remove(0).kill();
    for key in 0..20 {
        get_until_ran(&http, router_address, &format!("rosa-{key}")).await;
    }
    router.stop();
    tokio::time::timeout(PATIENCE, router.stopped())
        .await
        .unwrap();
}
