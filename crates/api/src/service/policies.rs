//! Operators' calls on placement policies.

use tonic::{Request, Response, Status};
use wingspar_world::{ConfigObject, ConfigVersion};

use super::{OperatorService, POLICIES, create, update, wrong_kind};
use crate::Operators;
use crate::convert::{policy_from_proto, policy_to_proto, shift_request};
use crate::v1;
use crate::v1::placement_policies_server::PlacementPolicies;
use crate::v1::policy_event::Change as EventChange;
use crate::watch::{Change, Events};

#[tonic::async_trait]
impl<O: Operators> PlacementPolicies for OperatorService<O> {
    type WatchStream = Events<v1::PolicyEvent>;

    async fn create(
        &self,
        request: Request<v1::CreatePolicyRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        let message = request.into_inner();
        let object = read(message.policy);
        self.write(create(&message.change_id, object)).await
    }

    async fn update(
        &self,
        request: Request<v1::UpdatePolicyRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        let message = request.into_inner();
        let object = read(message.policy);
        let change = update(&message.change_id, message.expected_version, object);
        self.write(change).await
    }

    async fn delete(
        &self,
        request: Request<v1::DeleteRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        OperatorService::delete(self, POLICIES, &request.into_inner()).await
    }

    async fn get(
        &self,
        request: Request<v1::GetRequest>,
    ) -> Result<Response<v1::VersionedPolicy>, Status> {
        let (version, object) = OperatorService::get(self, POLICIES, request.into_inner()).await?;
        versioned(version, &object)
            .map(Response::new)
            .ok_or_else(|| wrong_kind(&object))
    }

    async fn list(
        &self,
        _request: Request<v1::ListPoliciesRequest>,
    ) -> Result<Response<v1::ListPoliciesReply>, Status> {
        let listing = OperatorService::list(self, POLICIES).await?;
        let items = listing.items.iter();
        let policies = items.filter_map(|(version, object)| versioned(*version, object));
        Ok(Response::new(v1::ListPoliciesReply {
            version: listing.version.0,
            policies: policies.collect(),
        }))
    }

    async fn watch(
        &self,
        _request: Request<v1::WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let watch = OperatorService::watch(self, POLICIES).await?;
        Ok(Response::new(watch.events(event)))
    }

    async fn shift_weights(
        &self,
        request: Request<v1::ShiftWeightsRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        self.write(shift_request(request.into_inner())).await
    }
}

fn read(message: Option<v1::PlacementPolicy>) -> Result<ConfigObject, Vec<String>> {
    policy_from_proto(message.unwrap_or_default()).map(ConfigObject::Policy)
}

fn versioned(version: ConfigVersion, object: &ConfigObject) -> Option<v1::VersionedPolicy> {
    let ConfigObject::Policy(policy) = object else {
        return None;
    };
    Some(v1::VersionedPolicy {
        version: version.0,
        policy: Some(policy_to_proto(policy)),
    })
}

fn event(version: ConfigVersion, change: Change) -> v1::PolicyEvent {
    let change = match change {
        Change::Changed(version, object) => versioned(version, &object).map(EventChange::Changed),
        Change::Deleted(name) => Some(EventChange::Deleted(name)),
        Change::Synced => Some(EventChange::Synced(v1::Synced {})),
    };
    v1::PolicyEvent {
        version: version.0,
        change,
    }
}
