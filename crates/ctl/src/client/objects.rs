//! Calls on services, targets and policies.

use wingspar_api::convert::{
    policy_from_proto, policy_to_proto, service_from_proto, service_to_proto, target_from_proto,
    target_to_proto,
};
use wingspar_api::status::Failure;
use wingspar_api::v1;
use wingspar_world::{ConfigObject, ConfigVersion};

use super::attempts::{Client, Effect};
use super::calls::{policies, send, services, targets};
use super::{Listing, Versioned};
use crate::Kind;

impl Client {
    /// Creates an object; a conflict when one of its name exists.
    pub async fn create(
        &mut self,
        change_id: &str,
        object: &ConfigObject,
    ) -> Result<ConfigVersion, Failure> {
        let change_id = change_id.to_owned();
        let reply = match object {
            ConfigObject::Service(service) => {
                let service = Some(service_to_proto(service));
                let request = v1::CreateServiceRequest { change_id, service };
                send!(self, Effect::Changes, services, create, request)?
            }
            ConfigObject::Target(target) => {
                let target = Some(target_to_proto(target));
                let request = v1::CreateTargetRequest { change_id, target };
                send!(self, Effect::Changes, targets, create, request)?
            }
            ConfigObject::Policy(policy) => {
                let policy = Some(policy_to_proto(policy));
                let request = v1::CreatePolicyRequest { change_id, policy };
                send!(self, Effect::Changes, policies, create, request)?
            }
        };
        Ok(ConfigVersion(reply.version))
    }

    /// Replaces an object that has the expected version.
    pub async fn update(
        &mut self,
        change_id: &str,
        object: &ConfigObject,
        expect: ConfigVersion,
    ) -> Result<ConfigVersion, Failure> {
        let change_id = change_id.to_owned();
        let expected_version = expect.0;
        let reply = match object {
            ConfigObject::Service(service) => {
                let request = v1::UpdateServiceRequest {
                    change_id,
                    expected_version,
                    service: Some(service_to_proto(service)),
                };
                send!(self, Effect::Changes, services, update, request)?
            }
            ConfigObject::Target(target) => {
                let request = v1::UpdateTargetRequest {
                    change_id,
                    expected_version,
                    target: Some(target_to_proto(target)),
                };
                send!(self, Effect::Changes, targets, update, request)?
            }
            ConfigObject::Policy(policy) => {
                let request = v1::UpdatePolicyRequest {
                    change_id,
                    expected_version,
                    policy: Some(policy_to_proto(policy)),
                };
                send!(self, Effect::Changes, policies, update, request)?
            }
        };
        Ok(ConfigVersion(reply.version))
    }

    /// Deletes an object that has the expected version.
    pub async fn delete(
        &mut self,
        change_id: &str,
        kind: Kind,
        name: &str,
        expect: ConfigVersion,
    ) -> Result<ConfigVersion, Failure> {
        let request = v1::DeleteRequest {
            change_id: change_id.to_owned(),
            expected_version: expect.0,
            name: name.to_owned(),
        };
        let reply = match kind {
            Kind::Service => send!(self, Effect::Changes, services, delete, request)?,
            Kind::Target => send!(self, Effect::Changes, targets, delete, request)?,
            Kind::Policy => send!(self, Effect::Changes, policies, delete, request)?,
        };
        Ok(ConfigVersion(reply.version))
    }

    /// Reads one object.
    pub async fn get(&mut self, kind: Kind, name: &str) -> Result<Versioned, Failure> {
        let name = name.to_owned();
        let request = v1::GetRequest { name };
        let read = match kind {
            Kind::Service => read_service(send!(self, Effect::Reads, services, get, request)?),
            Kind::Target => read_target(send!(self, Effect::Reads, targets, get, request)?),
            Kind::Policy => read_policy(send!(self, Effect::Reads, policies, get, request)?),
        };
        read.map_err(unreadable)
    }

    /// Reads all objects of a kind.
    pub async fn list(&mut self, kind: Kind) -> Result<Listing, Failure> {
        let (version, items) = match kind {
            Kind::Service => {
                let request = v1::ListServicesRequest {};
                let reply = send!(self, Effect::Reads, services, list, request)?;
                (reply.version, read_all(reply.services, read_service))
            }
            Kind::Target => {
                let request = v1::ListTargetsRequest::default();
                let reply = send!(self, Effect::Reads, targets, list, request)?;
                (reply.version, read_all(reply.targets, read_target))
            }
            Kind::Policy => {
                let request = v1::ListPoliciesRequest {};
                let reply = send!(self, Effect::Reads, policies, list, request)?;
                (reply.version, read_all(reply.policies, read_policy))
            }
        };
        Ok(Listing {
            version: ConfigVersion(version),
            items: items.map_err(unreadable)?,
        })
    }
}

fn read_all<T>(
    items: Vec<T>,
    read: fn(T) -> Result<Versioned, Vec<String>>,
) -> Result<Vec<Versioned>, Vec<String>> {
    items.into_iter().map(read).collect()
}

pub(super) fn read_service(message: v1::VersionedService) -> Result<Versioned, Vec<String>> {
    let service = service_from_proto(message.service.unwrap_or_default())?;
    Ok(versioned(message.version, ConfigObject::Service(service)))
}

pub(super) fn read_target(message: v1::VersionedTarget) -> Result<Versioned, Vec<String>> {
    let target = target_from_proto(message.target.unwrap_or_default())?;
    Ok(versioned(message.version, ConfigObject::Target(target)))
}

pub(super) fn read_policy(message: v1::VersionedPolicy) -> Result<Versioned, Vec<String>> {
    let policy = policy_from_proto(message.policy.unwrap_or_default())?;
    Ok(versioned(message.version, ConfigObject::Policy(policy)))
}

fn versioned(version: u64, object: ConfigObject) -> Versioned {
    Versioned {
        version: ConfigVersion(version),
        object,
    }
}

/// An answer that can't be read, as from a server of another version.
pub(super) fn unreadable(mistakes: Vec<String>) -> Failure {
    Failure::Unavailable {
        reason: format!("answer can't be read: {}", mistakes.join("; ")),
    }
}
