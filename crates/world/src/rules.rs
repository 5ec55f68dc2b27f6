//! Rules for single objects of the configuration beyond what their types say. Rules across objects,
//! such as that a target's service exists, are the control group's.

use std::collections::BTreeMap;
use std::fmt::Display;

use crate::{
    ConfigObject, Contract, KeySource, PlacementPolicy, QuietWindow, RegionName, RequestRule,
    Service, ServiceKind, Target,
};

/// Longest key that a contract may accept, in bytes.
pub const MAX_KEY_BYTES: usize = 4_096;
/// Longest deadline that a contract may allow: one hour, in milliseconds.
const MAX_DEADLINE_MS: u64 = 60 * 60 * 1_000;
/// Longest time for which requests are remembered: one day, in milliseconds.
const MAX_WINDOW_MS: u64 = 24 * MAX_DEADLINE_MS;
/// Longest host, path template or prefix in bytes.
const MAX_TEXT_BYTES: usize = 255;
/// Most hosts, rules or windows in one object.
const MAX_ITEMS: usize = 256;
/// Most slices a service starts with for each target.
const MAX_SLICES_PER_TARGET: u32 = 16_384;
/// Highest weight of a region, which keeps sums finite.
const MAX_WEIGHT: f64 = 1.0e6;
/// Most slots or connections of a target.
const MAX_SLOTS: u32 = 100_000;
/// Minutes of a day.
const MINUTES_PER_DAY: u16 = 1_440;

/// Mistakes of one object, one line each.
#[derive(Default)]
struct Mistakes(Vec<String>);

impl Mistakes {
    /// Notes a mistake: field, value given and what is allowed.
    fn note(&mut self, field: &str, given: impl Display, allowed: &str) {
        let line = format!("{field}: given {given}; allowed: {allowed}");
        self.0.push(line);
    }
}

impl ConfigObject {
    /// Every rule that the object breaks, one line each with field, value and what is allowed.
    pub fn mistakes(&self) -> Vec<String> {
        let mut mistakes = Mistakes::default();
        match self {
            Self::Service(service) => check_service(&mut mistakes, service),
            Self::Target(target) => check_target(&mut mistakes, target),
            Self::Policy(policy) => check_policy(&mut mistakes, policy),
        }
        mistakes.0
    }
}

/// Every rule that region weights break, named by the field that holds them.
pub fn weight_mistakes(field: &str, weights: &BTreeMap<RegionName, f64>) -> Vec<String> {
    let mut mistakes = Mistakes::default();
    check_weights(&mut mistakes, field, weights);
    mistakes.0
}

fn check_service(mistakes: &mut Mistakes, service: &Service) {
    if service.kind == ServiceKind::Keyed {
        if service.contract.key.is_none() {
            let allowed = "a header or path template, since the service is keyed";
            mistakes.note("service.contract.key", "nothing", allowed);
        }
        if service.policy.is_none() {
            let allowed = "a policy, since the service is keyed";
            mistakes.note("service.policy", "nothing", allowed);
        }
    }
    check_contract(mistakes, &service.contract);
}

fn check_contract(mistakes: &mut Mistakes, contract: &Contract) {
    check_hosts(mistakes, &contract.hosts);
    if let Some(source) = &contract.key {
        check_key_source(mistakes, source);
    }
    let key_bytes = contract.max_key_bytes;
    if !(1..=MAX_KEY_BYTES).contains(&key_bytes) {
        let field = "service.contract.max_key_bytes";
        mistakes.note(field, key_bytes, "1 to 4096");
    }
    check_times(mistakes, contract);
    if contract.rules.len() > MAX_ITEMS {
        let given = format!("{} rules", contract.rules.len());
        mistakes.note("service.contract.rules", given, "at most 256");
    }
    for (index, rule) in contract.rules.iter().enumerate() {
        check_rule(mistakes, index, rule);
    }
}

fn check_hosts(mistakes: &mut Mistakes, hosts: &[String]) {
    let field = "service.contract.hosts";
    if hosts.len() > MAX_ITEMS {
        mistakes.note(field, format!("{} hosts", hosts.len()), "at most 256");
    }
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-._".contains(&byte);
    for host in hosts {
        let length_fits = (1..=MAX_TEXT_BYTES).contains(&host.len());
        if !length_fits || !host.bytes().all(allowed) {
            let allowed = "a host in lower case, without port";
            mistakes.note(field, format!("{host:?}"), allowed);
        }
    }
}

fn check_key_source(mistakes: &mut Mistakes, source: &KeySource) {
    match source {
        KeySource::Header(header) => {
            let token = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
            let inner = |byte: u8| token(byte) || byte == b'-' || byte == b'_';
            let length_fits = (1..=MAX_TEXT_BYTES).contains(&header.len());
            if !length_fits || !header.bytes().all(inner) {
                let field = "service.contract.key.header";
                mistakes.note(field, format!("{header:?}"), "a header name in lower case");
            }
        }
        KeySource::PathTemplate(template) => {
            let segments = template.split('/');
            let keys = segments.filter(|segment| *segment == "{key}").count();
            let braces = template.matches(['{', '}']).count();
            let shape_fits = template.starts_with('/') && template.len() <= MAX_TEXT_BYTES;
            if !shape_fits || keys != 1 || braces != 2 {
                let field = "service.contract.key.path_template";
                let allowed = "a path beginning with '/' with one segment {key}";
                mistakes.note(field, format!("{template:?}"), allowed);
            }
        }
    }
}

fn check_times(mistakes: &mut Mistakes, contract: &Contract) {
    let times = [
        (
            "default_deadline_ms",
            contract.default_deadline_ms,
            MAX_DEADLINE_MS,
        ),
        ("max_deadline_ms", contract.max_deadline_ms, MAX_DEADLINE_MS),
        (
            "idempotency_window_ms",
            contract.idempotency_window_ms,
            MAX_WINDOW_MS,
        ),
    ];
    for (name, time, longest) in times {
        if !(1..=longest).contains(&time) {
            let field = format!("service.contract.{name}");
            mistakes.note(&field, time, &format!("1 to {longest}"));
        }
    }
    if contract.default_deadline_ms > contract.max_deadline_ms {
        let allowed = format!("at most max_deadline_ms, {}", contract.max_deadline_ms);
        let field = "service.contract.default_deadline_ms";
        mistakes.note(field, contract.default_deadline_ms, &allowed);
    }
}

fn check_rule(mistakes: &mut Mistakes, index: usize, rule: &RequestRule) {
    let field = format!("service.contract.rules[{index}]");
    if !rule.path_prefix.starts_with('/') || rule.path_prefix.len() > MAX_TEXT_BYTES {
        let given = format!("{:?}", rule.path_prefix);
        let allowed = "a path beginning with '/'";
        mistakes.note(&format!("{field}.path_prefix"), given, allowed);
    }
    for method in &rule.methods {
        if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
            let given = format!("{method:?}");
            mistakes.note(&format!("{field}.methods"), given, "methods in upper case");
        }
    }
}

fn check_target(mistakes: &mut Mistakes, target: &Target) {
    if target.address.port() == 0 || target.address.ip().is_unspecified() {
        let allowed = "the IP:PORT of one interface and port";
        mistakes.note("target.address", target.address, allowed);
    }
    for (name, count) in [("slots", target.slots), ("connections", target.connections)] {
        if !(1..=MAX_SLOTS).contains(&count) {
            mistakes.note(&format!("target.{name}"), count, "1 to 100000");
        }
    }
}

fn check_policy(mistakes: &mut Mistakes, policy: &PlacementPolicy) {
    let slices = policy.slices_per_target;
    if !(1..=MAX_SLICES_PER_TARGET).contains(&slices) {
        mistakes.note("policy.slices_per_target", slices, "1 to 16384");
    }
    check_thresholds(mistakes, policy);
    if policy.quiet_windows.len() > MAX_ITEMS {
        let given = format!("{} windows", policy.quiet_windows.len());
        mistakes.note("policy.quiet_windows", given, "at most 256");
    }
    for (index, window) in policy.quiet_windows.iter().enumerate() {
        check_window(mistakes, index, window);
    }
    check_weights(mistakes, "policy.region_weights", &policy.region_weights);
}

fn check_thresholds(mistakes: &mut Mistakes, policy: &PlacementPolicy) {
    let low = policy.imbalance_low;
    if !(low.is_finite() && low >= 1.0) {
        mistakes.note("policy.imbalance_low", low, "at least 1");
    }
    let high = policy.imbalance_high;
    if !(high.is_finite() && high > low) {
        let allowed = format!("more than imbalance_low, {low}");
        mistakes.note("policy.imbalance_high", high, &allowed);
    }
    let churn = policy.churn_per_hour;
    if !(churn.is_finite() && churn >= 0.0) {
        mistakes.note("policy.churn_per_hour", churn, "at least 0");
    }
    let share = policy.hot_slice_share;
    if !(share.is_finite() && share > 0.0 && share <= 1.0) {
        mistakes.note("policy.hot_slice_share", share, "above 0, at most 1");
    }
}

fn check_window(mistakes: &mut Mistakes, index: usize, window: &QuietWindow) {
    let field = format!("policy.quiet_windows[{index}]");
    let from = window.from_minute;
    if from >= MINUTES_PER_DAY {
        mistakes.note(&format!("{field}.from_minute"), from, "0 to 1439");
    }
    let to = window.to_minute;
    if to > MINUTES_PER_DAY {
        mistakes.note(&format!("{field}.to_minute"), to, "0 to 1440");
    }
}

fn check_weights(mistakes: &mut Mistakes, field: &str, weights: &BTreeMap<RegionName, f64>) {
    for (region, weight) in weights {
        if !(0.0..=MAX_WEIGHT).contains(weight) {
            mistakes.note(&format!("{field}.{region}"), weight, "0 to 1000000");
        }
    }
    let total = weights.values().sum::<f64>();
    if !weights.is_empty() && total == 0.0 {
        let allowed = "at least one region above 0";
        mistakes.note(field, "0 for every region", allowed);
    }
}
