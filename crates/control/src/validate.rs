//! Checks an operator's object against the configuration; reports all mistakes at once.

use wingspar_world::{
    ConfigObject, Configuration, KeySource, PlacementPolicy, Service, ServiceKind, Target,
};

/// Highest share or weight that makes sense, to keep sums finite.
const LARGEST_WEIGHT: f64 = 1.0e6;
/// Most slices that a service may start with for each target.
const MOST_SLICES_PER_TARGET: u32 = 16_384;
/// Minutes in a day.
const MINUTES_IN_A_DAY: u16 = 1_440;
/// Longest deadline that a contract may allow, in milliseconds.
const LONGEST_DEADLINE_MS: u64 = 3_600_000;

/// All mistakes of an object, as sentences; none when it may be stored.
pub(crate) fn mistakes(configuration: &Configuration, object: &ConfigObject) -> Vec<String> {
    let mut mistakes = Vec::new();
    match object {
        ConfigObject::Service(service) => check_service(configuration, service, &mut mistakes),
        ConfigObject::Target(target) => check_target(configuration, target, &mut mistakes),
        ConfigObject::Policy(policy) => check_policy(policy, &mut mistakes),
    }
    mistakes
}

/// What still needs an object that is to be deleted.
pub(crate) fn dependents(configuration: &Configuration, key: &str) -> Vec<String> {
    let mut dependents = Vec::new();
    let Some((kind, name)) = key.split_once('/') else {
        return vec![format!("{key:?} is no key of an object")];
    };
    match kind {
        "services" => {
            let targets = configuration.targets.values().map(|(_, target)| target);
            let of_service = targets.filter(|target| target.service.as_str() == name);
            dependents.extend(of_service.map(|target| format!("target {} serves it", target.name)));
        }
        "policies" => {
            let services = configuration.services.values().map(|(_, service)| service);
            let with_policy = services.filter(|service| {
                service
                    .policy
                    .as_ref()
                    .is_some_and(|policy| policy.as_str() == name)
            });
            dependents.extend(with_policy.map(|it| format!("service {} names it", it.name)));
        }
        "targets" => {}
        _ => dependents.push(format!("{key:?} is no key of an object")),
    }
    dependents
}

fn check_service(configuration: &Configuration, service: &Service, mistakes: &mut Vec<String>) {
    let mut require = |holds: bool, mistake: String| {
        if !holds {
            mistakes.push(mistake);
        }
    };
    let contract = &service.contract;
    if service.kind == ServiceKind::Keyed {
        let keyed = contract.key.is_some();
        require(
            keyed,
            "contract.key: a keyed service needs a key source".to_owned(),
        );
        let policy = service.policy.is_some();
        require(
            policy,
            "policy: a keyed service needs a placement policy".to_owned(),
        );
    }
    if let Some(policy) = &service.policy {
        let exists = configuration.policies.contains_key(policy);
        require(exists, format!("policy: there is no policy {policy}"));
    }
    match &contract.key {
        Some(KeySource::Header(name)) => {
            let lower = !name.is_empty() && *name == name.to_ascii_lowercase();
            require(
                lower,
                format!("contract.key: header {name:?} must be in lower case"),
            );
        }
        Some(KeySource::PathTemplate(template)) => {
            let once = template.matches("{key}").count() == 1 && template.starts_with('/');
            require(
                once,
                format!("contract.key: {template:?} must be a path with one {{key}}"),
            );
        }
        None => {}
    }
    require(
        contract.max_key_bytes > 0,
        "contract.max_key_bytes: must not be 0".to_owned(),
    );
    let deadlines = contract.default_deadline_ms > 0
        && contract.default_deadline_ms <= contract.max_deadline_ms
        && contract.max_deadline_ms <= LONGEST_DEADLINE_MS;
    require(
        deadlines,
        format!(
            "contract: deadlines must satisfy 0 < default_deadline_ms <= max_deadline_ms <= \
             {LONGEST_DEADLINE_MS}"
        ),
    );
    for host in &contract.hosts {
        let plain = !host.is_empty() && *host == host.to_ascii_lowercase() && !host.contains(':');
        require(
            plain,
            format!("contract.hosts: {host:?} must be lower case without port"),
        );
        let others = configuration.services.values().map(|(_, other)| other);
        let mut taken =
            others.filter(|it| it.name != service.name && it.contract.hosts.contains(host));
        if let Some(other) = taken.next() {
            require(
                false,
                format!(
                    "contract.hosts: {host:?} selects service {} already",
                    other.name
                ),
            );
        }
    }
    for rule in &contract.rules {
        let path = rule.path_prefix.starts_with('/');
        require(
            path,
            format!("contract.rules: {:?} must begin with /", rule.path_prefix),
        );
        let upper = rule
            .methods
            .iter()
            .all(|it| !it.is_empty() && *it == it.to_ascii_uppercase());
        require(
            upper,
            format!(
                "contract.rules: methods of {:?} must be upper case",
                rule.path_prefix
            ),
        );
    }
    let before = configuration.service(&service.name);
    let same_kind = before.is_none_or(|before| before.kind == service.kind);
    require(
        same_kind,
        "kind: can't be changed; create another service".to_owned(),
    );
}

fn check_target(configuration: &Configuration, target: &Target, mistakes: &mut Vec<String>) {
    let mut require = |holds: bool, mistake: String| {
        if !holds {
            mistakes.push(mistake);
        }
    };
    let service = configuration.service(&target.service).is_some();
    require(
        service,
        format!("service: there is no service {}", target.service),
    );
    require(target.slots > 0, "slots: must not be 0".to_owned());
    require(
        target.connections > 0,
        "connections: must not be 0".to_owned(),
    );
    let address = target.address.port() != 0 && !target.address.ip().is_unspecified();
    require(
        address,
        format!("address: {} can't be connected to", target.address),
    );
    let before = configuration
        .targets
        .get(&target.name)
        .map(|(_, before)| before);
    let same_service = before.is_none_or(|before| before.service == target.service);
    require(
        same_service,
        "service: can't be changed; create another target".to_owned(),
    );
    let targets = configuration.targets.values().map(|(_, other)| other);
    let mut neighbours =
        targets.filter(|it| it.machine == target.machine && it.name != target.name);
    if let Some(other) = neighbours.find(|other| other.zone != target.zone) {
        let mistake = format!(
            "zone: target {} on machine {} stands in zone {}",
            other.name, other.machine, other.zone
        );
        require(false, mistake);
    }
}

fn check_policy(policy: &PlacementPolicy, mistakes: &mut Vec<String>) {
    let mut require = |holds: bool, mistake: String| {
        if !holds {
            mistakes.push(mistake);
        }
    };
    let slices = (1..=MOST_SLICES_PER_TARGET).contains(&policy.slices_per_target);
    require(
        slices,
        format!("slices_per_target: must be 1 to {MOST_SLICES_PER_TARGET}"),
    );
    let (high, low) = (policy.imbalance_high, policy.imbalance_low);
    let imbalance = high.is_finite() && low.is_finite() && low >= 1.0 && high >= low;
    require(
        imbalance,
        "imbalance: must satisfy 1 <= imbalance_low <= imbalance_high".to_owned(),
    );
    let churn = policy.churn_per_hour.is_finite() && policy.churn_per_hour >= 0.0;
    require(
        churn,
        "churn_per_hour: must be a number of at least 0".to_owned(),
    );
    let hot = policy.hot_slice_share.is_finite() && policy.hot_slice_share > 0.0;
    require(hot, "hot_slice_share: must be a number above 0".to_owned());
    for window in &policy.quiet_windows {
        let within = window.from_minute < MINUTES_IN_A_DAY && window.to_minute <= MINUTES_IN_A_DAY;
        require(
            within,
            format!("quiet_windows: minutes must be below {MINUTES_IN_A_DAY}"),
        );
    }
    for (region, weight) in &policy.region_weights {
        let fit = weight.is_finite() && (0.0..=LARGEST_WEIGHT).contains(weight);
        require(
            fit,
            format!("region_weights: weight of {region} must be 0 to {LARGEST_WEIGHT}"),
        );
    }
    let all_zero = !policy.region_weights.is_empty()
        && policy.region_weights.values().all(|weight| *weight <= 0.0);
    require(
        !all_zero,
        "region_weights: one region needs a weight above 0".to_owned(),
    );
}
