//! Metrics and health of one node.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;

use wingspar_agent::Agent;
use wingspar_dataplane::clock::Clock;
use wingspar_dataplane::listen::ListenCounters;
use wingspar_routing::Router;
use wingspar_telemetry::{Family, Health, HealthCheck, Kind, Metrics, Point};

use crate::parts::{Parts, SharedControl};

/// Adds the sources of all parts.
pub(crate) fn register(metrics: &Metrics, parts: &Parts, clock: &Clock) {
    if let Some(agent) = parts.agent.clone() {
        let clock = clock.clone();
        metrics.add_source(move |families| {
            let now = clock();
            agent.with(|agent| agent_families(agent, agent.lease(now).is_some(), families));
        });
    }
    if let Some(router) = parts.router.clone() {
        metrics.add_source(move |families| {
            router.with(|router| router_families(router, families));
        });
    }
    if let Some(control) = parts.control.clone() {
        metrics.add_source(move |families| control_families(&control, families));
    }
}

/// Adds the counters of an HTTP listener.
pub(crate) fn register_listener(
    metrics: &Metrics,
    part: &'static str,
    counters: Arc<ListenCounters>,
) {
    metrics.add_source(move |families| {
        let connections = counters.connections.load(Ordering::Relaxed);
        families.push(Family::single(
            format!("{part}_connections"),
            "Connections accepted.",
            Kind::Counter,
            connections,
        ));
    });
}

fn agent_families(agent: &Agent, leased: bool, families: &mut Vec<Family>) {
    let help = "Agent total; see the operators' handbook.";
    families.extend(Family::counters("agent", help, agent.counters().entries()));
    let gauge = |name: &str, help, value| Family::single(name, help, Kind::Gauge, value);
    families.push(gauge(
        "lease_valid",
        "Whether the machine's lease runs.",
        u64::from(leased),
    ));
    families.push(gauge(
        "agent_in_flight",
        "Requests admitted and not finished.",
        agent.in_flight() as u64,
    ));
    families.push(gauge(
        "agent_remembered",
        "Remembered requests.",
        agent.remembered() as u64,
    ));
    families.push(gauge(
        "configuration_version",
        "Configuration in force.",
        agent.config_version().0,
    ));
}

fn router_families(router: &Router, families: &mut Vec<Family>) {
    for (counter, reason, value) in router.counters().iter() {
        let labels = reason.map(|reason| ("reason", reason.to_owned()));
        let point = Point {
            labels: labels.into_iter().collect(),
            value,
        };
        let name = format!("router_{}", counter.name());
        match families.iter_mut().find(|family| family.name == name) {
            Some(family) => family.points.push(point),
            None => families.push(Family {
                name,
                help: "Router total; see the operators' handbook.",
                kind: Kind::Counter,
                points: vec![point],
            }),
        }
    }
    let gauge = |name: &str, help, value| Family::single(name, help, Kind::Gauge, value);
    families.push(gauge(
        "router_in_flight",
        "Requests in flight.",
        u64::from(router.in_flight()),
    ));
    families.push(gauge(
        "router_waiting",
        "Requests waiting for an owner.",
        u64::from(router.waiting()),
    ));
    families.push(gauge(
        "router_table_version",
        "Sequence of the slice table.",
        router.table_version().sequence,
    ));
}

fn control_families(control: &SharedControl, families: &mut Vec<Family>) {
    let control = control.lock().unwrap_or_else(PoisonError::into_inner);
    let help = "Control total; see the operators' handbook.";
    families.extend(Family::counters(
        "control",
        help,
        control.counters().entries(),
    ));
    let gauge = |name: &str, help, value| Family::single(name, help, Kind::Gauge, value);
    families.push(gauge(
        "control_leader",
        "Whether this process leads its group.",
        u64::from(control.is_leader()),
    ));
    if let Some(replica) = control.replica() {
        families.push(gauge("control_term", "Term of the group.", replica.term()));
        families.push(gauge(
            "control_commit_index",
            "Committed entries.",
            replica.commit_index(),
        ));
        let help = "Replication total of the current membership.";
        let totals = replica.counters();
        let entries = [
            ("elections_started", totals.elections_started),
            ("elections_won", totals.elections_won),
            ("quorum_losses", totals.quorum_losses),
            ("transfers", totals.transfers),
            ("snapshots_sent", totals.snapshots_sent),
            ("snapshots_installed", totals.snapshots_installed),
            ("excluded_sender", totals.excluded_sender),
            ("malformed", totals.malformed),
        ];
        families.extend(Family::counters("replication", help, entries));
    }
}

/// Adds the transport's counters.
pub(crate) fn register_transport(metrics: &Metrics, counters: Arc<wingspar_transport::Counters>) {
    metrics.add_source(move |families| {
        let help = "Internal protocol total.";
        families.extend(Family::counters("transport", help, counters.snapshot()));
    });
}

/// What `/readyz` answers from.
pub(crate) fn health_check(parts: &Parts, clock: &Clock) -> HealthCheck {
    let parts = parts.clone();
    let clock = clock.clone();
    Arc::new(move || {
        let waiting_for = missing(&parts, &clock);
        Health {
            ready: waiting_for.is_empty(),
            waiting_for,
        }
    })
}

fn missing(parts: &Parts, clock: &Clock) -> Vec<String> {
    let mut missing = Vec::new();
    if let Some(agent) = &parts.agent
        && agent.with(|agent| agent.lease(clock())).is_none()
    {
        missing.push("a lease of the control group".to_owned());
    }
    if let Some(router) = &parts.router
        && !router.with(|router| router.is_ready())
    {
        missing.push("the slice table and the configuration".to_owned());
    }
    missing
}
