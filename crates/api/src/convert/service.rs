//! Services and their contracts.

use wingspar_world::{
    Contract, KeySource, PolicyName, RequestClass, RequestRule, Service, ServiceKind,
};

use super::Mistakes;
use crate::v1;
use crate::v1::contract::KeySource as ProtoKeySource;

/// Reads a service.
pub fn service_from_proto(message: v1::Service) -> Result<Service, Vec<String>> {
    let mut mistakes = Mistakes::default();
    let name = mistakes.name("service.name", &message.name);
    let kind = read_kind(&mut mistakes, message.kind);
    let policy = read_policy(&mut mistakes, &message.policy);
    let contract = read_contract(&mut mistakes, message.contract.unwrap_or_default());
    let service = build(name, kind, contract, policy);
    mistakes.finish(service)
}

fn build(
    name: Option<wingspar_world::ServiceName>,
    kind: Option<ServiceKind>,
    contract: Contract,
    policy: Option<PolicyName>,
) -> Option<Service> {
    Some(Service {
        name: name?,
        kind: kind?,
        contract,
        policy,
    })
}

fn read_kind(mistakes: &mut Mistakes, kind: i32) -> Option<ServiceKind> {
    match v1::ServiceKind::try_from(kind) {
        Ok(v1::ServiceKind::Keyed) => Some(ServiceKind::Keyed),
        Ok(v1::ServiceKind::Unkeyed) => Some(ServiceKind::Unkeyed),
        Ok(v1::ServiceKind::Unspecified) | Err(_) => {
            mistakes.note("service.kind", kind, "keyed (1) or unkeyed (2)");
            None
        }
    }
}

fn read_policy(mistakes: &mut Mistakes, policy: &str) -> Option<PolicyName> {
    if policy.is_empty() {
        return None;
    }
    mistakes.name("service.policy", policy)
}

fn read_contract(mistakes: &mut Mistakes, message: v1::Contract) -> Contract {
    let default = Contract::default();
    let key_bytes = message.max_key_bytes.map(|bytes| bytes as usize);
    let rules = message.rules.into_iter().enumerate();
    Contract {
        hosts: message.hosts,
        key: message.key_source.map(read_key_source),
        max_key_bytes: key_bytes.unwrap_or(default.max_key_bytes),
        default_deadline_ms: message
            .default_deadline_ms
            .unwrap_or(default.default_deadline_ms),
        max_deadline_ms: message.max_deadline_ms.unwrap_or(default.max_deadline_ms),
        idempotency_window_ms: message
            .idempotency_window_ms
            .unwrap_or(default.idempotency_window_ms),
        guard_unnumbered_attempts: message
            .guard_unnumbered_attempts
            .unwrap_or(default.guard_unnumbered_attempts),
        rules: rules
            .map(|(index, rule)| read_rule(mistakes, index, rule))
            .collect(),
    }
}

fn read_key_source(source: ProtoKeySource) -> KeySource {
    match source {
        ProtoKeySource::KeyHeader(header) => KeySource::Header(header),
        ProtoKeySource::KeyPathTemplate(template) => KeySource::PathTemplate(template),
    }
}

fn read_rule(mistakes: &mut Mistakes, index: usize, rule: v1::RequestRule) -> RequestRule {
    let class = match v1::RequestClass::try_from(rule.class) {
        Ok(v1::RequestClass::Unspecified | v1::RequestClass::Interactive) => {
            RequestClass::Interactive
        }
        Ok(v1::RequestClass::Checks) => RequestClass::Checks,
        Ok(v1::RequestClass::Bulk) => RequestClass::Bulk,
        Err(_) => {
            let field = format!("service.contract.rules[{index}].class");
            mistakes.note(
                &field,
                rule.class,
                "interactive (1), checks (2) or bulk (3)",
            );
            RequestClass::Interactive
        }
    };
    RequestRule {
        path_prefix: rule.path_prefix,
        methods: rule.methods,
        class,
        repeatable: rule.repeatable,
    }
}

/// Writes a service.
pub fn service_to_proto(service: &Service) -> v1::Service {
    let kind = match service.kind {
        ServiceKind::Keyed => v1::ServiceKind::Keyed,
        ServiceKind::Unkeyed => v1::ServiceKind::Unkeyed,
    };
    let policy = service.policy.as_ref().map(PolicyName::to_string);
    v1::Service {
        name: service.name.to_string(),
        kind: kind.into(),
        contract: Some(contract_to_proto(&service.contract)),
        policy: policy.unwrap_or_default(),
    }
}

fn contract_to_proto(contract: &Contract) -> v1::Contract {
    let key_source = contract.key.clone().map(|source| match source {
        KeySource::Header(header) => ProtoKeySource::KeyHeader(header),
        KeySource::PathTemplate(template) => ProtoKeySource::KeyPathTemplate(template),
    });
    let key_bytes = u32::try_from(contract.max_key_bytes).unwrap_or(u32::MAX);
    v1::Contract {
        hosts: contract.hosts.clone(),
        key_source,
        max_key_bytes: Some(key_bytes),
        default_deadline_ms: Some(contract.default_deadline_ms),
        max_deadline_ms: Some(contract.max_deadline_ms),
        idempotency_window_ms: Some(contract.idempotency_window_ms),
        guard_unnumbered_attempts: Some(contract.guard_unnumbered_attempts),
        rules: contract.rules.iter().map(rule_to_proto).collect(),
    }
}

fn rule_to_proto(rule: &RequestRule) -> v1::RequestRule {
    let class = match rule.class {
        RequestClass::Interactive => v1::RequestClass::Interactive,
        RequestClass::Checks => v1::RequestClass::Checks,
        RequestClass::Bulk => v1::RequestClass::Bulk,
    };
    v1::RequestRule {
        path_prefix: rule.path_prefix.clone(),
        methods: rule.methods.clone(),
        class: class.into(),
        repeatable: rule.repeatable,
    }
}
