//! One machine of a deployment: its target, its links and the settings of its node.

use std::fs::OpenOptions;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Stdio;

use wingspar_standins::fleet::{FleetStore, FleetTarget};
use wingspar_standins::net::{Interceptor, Proxy, SharedLink};

use crate::deployment::{KEYED, Machine, PLAIN, Wiring};

/// Where processes write their logs: nowhere, unless `SHOW_LOGS` is set.
pub fn logs() -> Stdio {
    if std::env::var_os("SHOW_LOGS").is_some() {
        Stdio::inherit()
    } else {
        Stdio::null()
    }
}

/// A file to which a process adds its log.
pub fn log_file(path: &Path) -> Stdio {
    let file = OpenOptions::new().create(true).append(true).open(path);
    file.expect("a log file").into()
}

/// Starts a machine's target and links and writes its settings; its process isn't started.
pub async fn machine(
    address: Ipv4Addr,
    index: u8,
    (store, store_way): (&FleetStore, &SharedLink),
    folder: &Path,
    wiring: &Wiring,
) -> Machine {
    let ip = IpAddr::V4(address);
    let keyed = index < 2;
    let service = if keyed { KEYED } else { PLAIN };
    let id = format!("target-{index}");
    let target = FleetTarget::start(SocketAddr::new(ip, 0), &id, keyed)
        .await
        .expect("a target");
    if wiring.checks_grants {
        target.check_grants();
    }
    let socket = |port| SocketAddr::new(ip, port);
    let link = async |server| Proxy::start(socket(0), server).await.expect("a free port");
    let store_link = Proxy::start_over(socket(0), store.local_addr(), store_way.clone());
    let store_link = store_link.await.expect("a free port");
    let target_link = link(target.local_addr()).await;
    let interceptor = |server| Interceptor::start(socket(0), Some(server)).expect("a free port");
    let store_interceptor = interceptor(store.local_addr());
    let target_interceptor = interceptor(target.local_addr());
    let through = |link: &Proxy, interceptor: &Interceptor, server| {
        if wiring.intercepted {
            interceptor.local_addr()
        } else if wiring.through_proxies {
            link.local_addr()
        } else {
            server
        }
    };
    let zone = if wiring.two_zones && index % 2 == 1 {
        "b"
    } else {
        "a"
    };
    let more_bounds = if wiring.two_zones {
        "evacuate_s = 5\nwarmup_rate_factor = 1.5\nwarmup_rate_extra = 8\n"
    } else {
        ""
    };
    let zones = if wiring.two_regions {
        "[zones]\na = \"north\"\nb = \"south\"\n"
    } else {
        ""
    };
    let target_address = through(&target_link, &target_interceptor, target.local_addr());
    let text = format!(
        "[node]\nname = \"node-{index}\"\nzone = \"{zone}\"\nservice = \"{service}\"\naddress = \"{ip}\"\n\
         target = \"{target_address}\"\nfirst_start = true\n{}\n\
         [listen]\noutbound = \"{}\"\nready = \"{}\"\nheartbeats = \"{}\"\ninternal_port = 7620\nmetrics_port = 7621\n\
         [store]\naddress = \"{}\"\n\
         [bounds]\ndrain_s = 2\ngrace_s = 6\nbudget_ratio = 0.2\nbudget_window_s = 10\nbudget_extra = 60\nmax_hold_s = 10\n{more_bounds}{}{zones}",
        wiring.node_settings,
        socket(7600),
        socket(7601),
        socket(7602),
        through(&store_link, &store_interceptor, store.local_addr()),
        wiring.bounds,
    );
    let settings = folder.join(format!("node-{index}.toml"));
    std::fs::write(&settings, text).expect("settings");
    Machine {
        outbound: socket(7600),
        service: service.to_owned(),
        zone,
        target: Some(target),
        store_link,
        target_link,
        store_interceptor,
        target_interceptor,
        target_address,
        ready: socket(7601),
        heartbeats: socket(7602),
        settings,
        log: wiring
            .keeps_logs
            .then(|| folder.join(format!("node-{index}.log"))),
        process: None,
        sending: None,
    }
}
