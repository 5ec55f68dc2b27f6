//! The machines of a deployment and what runs on them.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use wingspar_settings::{
    AgentSettings, ControlSettings, LogLevel, MachineSettings, PlatformSettings, RouterSettings,
    Settings, TelemetrySettings, Timing,
};
use wingspar_standins::backend::{BackendSettings, ServiceTime};
use wingspar_world::{GroupId, MachineName, ZoneName};

use super::host::{Host, HostPlan};
use super::ports;
use super::spec::{ClusterSpec, ServiceSpec};

/// Entries kept by each back end's journal; a run must not have more.
const JOURNAL_LIMIT: usize = 4_000_000;

/// Plans by machine.
pub(super) fn plans(
    spec: &ClusterSpec,
    platform: SocketAddr,
) -> io::Result<BTreeMap<String, HostPlan>> {
    let seeds = ports::free_addresses(spec.controls)?;
    let mut plans = BTreeMap::new();
    for (index, address) in seeds.iter().enumerate() {
        let name = format!("control-{}", index + 1);
        let mut settings = blank(spec, &name, spec.zone(index), &seeds);
        settings.control_address = *address;
        settings.control = Some(ControlSettings {
            operator_listen: ports::ANY,
            replicas: spec.replicas,
            group: GroupId::default(),
        });
        settings.platform = Some(PlatformSettings {
            url: format!("http://{platform}"),
        });
        plans.insert(name, plan(settings, Vec::new()));
    }
    for index in 0..spec.routers {
        let name = format!("router-{}", index + 1);
        let mut settings = blank(spec, &name, spec.zone(index), &seeds);
        settings.router = Some(RouterSettings { listen: ports::ANY });
        plans.insert(name, plan(settings, Vec::new()));
    }
    for service in &spec.services {
        for (index, target) in service.target_names().iter().enumerate() {
            let name = target.to_string();
            let mut settings = blank(spec, &name, spec.zone(index), &seeds);
            settings.agent = Some(AgentSettings { listen: ports::ANY });
            let backend = backend(service, &name, index);
            plans.insert(name, plan(settings, vec![(ports::ANY, backend)]));
        }
    }
    Ok(plans)
}

/// Makes a machine that is started again bind the addresses that it has now.
pub(super) fn keep_addresses(plan: &mut HostPlan, host: &Host) {
    let addresses = host.addresses();
    let settings = &mut plan.settings;
    settings.control_address = addresses.control;
    if let (Some(router), Some(listen)) = (&mut settings.router, addresses.router) {
        router.listen = listen;
    }
    if let (Some(agent), Some(listen)) = (&mut settings.agent, addresses.agent) {
        agent.listen = listen;
    }
    if let (Some(control), Some(listen)) = (&mut settings.control, addresses.operators) {
        control.operator_listen = listen;
    }
    for ((address, _), backend) in plan.backends.iter_mut().zip(host.backends()) {
        *address = backend.address;
    }
}

fn plan(settings: Settings, backends: Vec<(SocketAddr, BackendSettings)>) -> HostPlan {
    HostPlan { settings, backends }
}

fn blank(spec: &ClusterSpec, name: &str, zone: ZoneName, seeds: &[SocketAddr]) -> Settings {
    Settings {
        machine: MachineSettings {
            name: MachineName::new(name).expect("machines are named after valid names"),
            region: spec.region.clone(),
            zone,
        },
        control_address: ports::ANY,
        seeds: seeds.to_vec(),
        router: None,
        agent: None,
        control: None,
        platform: None,
        telemetry: TelemetrySettings {
            listen: None,
            log_level: LogLevel::Info,
            json: false,
        },
        timing: Timing::default(),
    }
}

fn backend(service: &ServiceSpec, name: &str, index: usize) -> BackendSettings {
    let milliseconds = |value: f64| Duration::from_secs_f64(value / 1_000.0);
    BackendSettings {
        name: name.to_owned(),
        slots: service.slots as usize,
        connection_setup: milliseconds(service.connection_ms),
        service_time: ServiceTime::Exponential {
            mean: milliseconds(service.work_ms),
        },
        seed: index as u64 + 1,
        journal_limit: JOURNAL_LIMIT,
        ..BackendSettings::default()
    }
}
