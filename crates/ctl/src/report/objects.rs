//! Services, targets and policies.

use serde_json::{Value, json};
use wingspar_world::{
    ConfigObject, KeySource, PlacementPolicy, PolicyName, Service, ServiceKind, Target,
};

use super::Report;
use super::table::Table;
use crate::client::{Listing, Versioned};
use crate::file::object_value;
use crate::kind::{Kind, name_of};

impl Report {
    /// One object; its text is a file that `update --file` takes.
    pub(crate) fn object(object: &Versioned) -> Self {
        let text = format!(
            "# version {}\n{}",
            object.version.0,
            toml_text(&object.object)
        );
        Self::new(text, object_json(object))
    }

    /// All objects of a kind.
    pub(crate) fn listing(kind: Kind, listing: &Listing) -> Self {
        let items = listing.items.iter().map(object_json).collect::<Vec<_>>();
        let mut table = Table::new(head(kind));
        for item in &listing.items {
            let mut row = vec![name_of(&item.object).to_owned(), item.version.0.to_string()];
            row.extend(cells(&item.object));
            table.row(row);
        }
        let json = json!({ "version": listing.version.0, "items": items });
        Self::new(table.render(), json)
    }

    /// A watch tells of a new or changed object.
    pub(crate) fn changed(object: &Versioned) -> Self {
        let kind = Kind::of(&object.object).noun();
        let name = name_of(&object.object);
        let details = cells(&object.object).join(" ");
        let text = format!(
            "changed {kind} {name} version {} {details}",
            object.version.0
        );
        let json = json!({ "event": "changed", "kind": kind, "changed": object_json(object) });
        Self::new(text, json)
    }

    /// A watch tells of a deleted object.
    pub(crate) fn deleted(kind: Kind, name: &str) -> Self {
        let kind = kind.noun();
        let json = json!({ "event": "deleted", "kind": kind, "name": name });
        Self::new(format!("deleted {kind} {name}"), json)
    }

    /// A watch has told all that existed when it began.
    pub(crate) fn synced() -> Self {
        Self::new("synced", json!({ "event": "synced" }))
    }
}

fn object_json(object: &Versioned) -> Value {
    json!({ "version": object.version.0, "object": object_value(&object.object) })
}

fn toml_text(object: &ConfigObject) -> String {
    let text = match object {
        ConfigObject::Service(service) => toml::to_string(service),
        ConfigObject::Target(target) => toml::to_string(target),
        ConfigObject::Policy(policy) => toml::to_string(policy),
    };
    text.expect("objects of the world have a TOML form")
}

fn head(kind: Kind) -> &'static [&'static str] {
    match kind {
        Kind::Service => &["NAME", "VERSION", "KIND", "POLICY", "KEY", "HOSTS"],
        Kind::Target => &[
            "NAME", "VERSION", "SERVICE", "MACHINE", "REGION", "ZONE", "ADDRESS", "SLOTS", "STATE",
        ],
        Kind::Policy => &[
            "NAME",
            "VERSION",
            "SLICES",
            "IMBALANCE",
            "CHURN/H",
            "WEIGHTS",
            "STATE",
        ],
    }
}

fn cells(object: &ConfigObject) -> Vec<String> {
    match object {
        ConfigObject::Service(service) => service_cells(service),
        ConfigObject::Target(target) => target_cells(target),
        ConfigObject::Policy(policy) => policy_cells(policy),
    }
}

fn service_cells(service: &Service) -> Vec<String> {
    let kind = match service.kind {
        ServiceKind::Keyed => "keyed",
        ServiceKind::Unkeyed => "unkeyed",
    };
    let key = match &service.contract.key {
        Some(KeySource::Header(header)) => header.clone(),
        Some(KeySource::PathTemplate(template)) => template.clone(),
        None => "-".to_owned(),
    };
    let policy = service.policy.as_ref().map(PolicyName::to_string);
    let hosts = service.contract.hosts.join(",");
    vec![
        kind.to_owned(),
        or_dash(policy.unwrap_or_default()),
        key,
        or_dash(hosts),
    ]
}

fn target_cells(target: &Target) -> Vec<String> {
    let state = if target.draining {
        "draining"
    } else {
        "active"
    };
    vec![
        target.service.to_string(),
        target.machine.to_string(),
        target.region.to_string(),
        target.zone.to_string(),
        target.address.to_string(),
        target.slots.to_string(),
        state.to_owned(),
    ]
}

fn policy_cells(policy: &PlacementPolicy) -> Vec<String> {
    let weights = policy.region_weights.iter();
    let weights = weights.map(|(region, weight)| format!("{region}={weight}"));
    let weights = weights.collect::<Vec<_>>().join(",");
    let state = if policy.paused { "paused" } else { "active" };
    vec![
        policy.slices_per_target.to_string(),
        format!("{}-{}", policy.imbalance_low, policy.imbalance_high),
        policy.churn_per_hour.to_string(),
        or_dash(weights),
        state.to_owned(),
    ]
}

fn or_dash(text: String) -> String {
    if text.is_empty() {
        return "-".to_owned();
    }
    text
}
