//! Operators' calls on targets.

use tonic::{Request, Response, Status};
use wingspar_control::operator::OperatorRequest;
use wingspar_world::{ConfigObject, ConfigVersion};

use super::{OperatorService, TARGETS, create, update, wrong_kind};
use crate::Operators;
use crate::convert::{Mistakes, change_id, target_from_proto, target_to_proto};
use crate::v1;
use crate::v1::target_event::Change as EventChange;
use crate::v1::targets_server::Targets;
use crate::watch::{Change, Events};

#[tonic::async_trait]
impl<O: Operators> Targets for OperatorService<O> {
    type WatchStream = Events<v1::TargetEvent>;

    async fn create(
        &self,
        request: Request<v1::CreateTargetRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        let message = request.into_inner();
        let object = read(message.target);
        self.write(create(&message.change_id, object)).await
    }

    async fn update(
        &self,
        request: Request<v1::UpdateTargetRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        let message = request.into_inner();
        let object = read(message.target);
        let change = update(&message.change_id, message.expected_version, object);
        self.write(change).await
    }

    async fn delete(
        &self,
        request: Request<v1::DeleteRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        OperatorService::delete(self, TARGETS, &request.into_inner()).await
    }

    async fn get(
        &self,
        request: Request<v1::GetRequest>,
    ) -> Result<Response<v1::VersionedTarget>, Status> {
        let (version, object) = OperatorService::get(self, TARGETS, request.into_inner()).await?;
        versioned(version, &object)
            .map(Response::new)
            .ok_or_else(|| wrong_kind(&object))
    }

    async fn list(
        &self,
        request: Request<v1::ListTargetsRequest>,
    ) -> Result<Response<v1::ListTargetsReply>, Status> {
        let service = request.into_inner().service;
        let listing = OperatorService::list(self, TARGETS).await?;
        let items = listing.items.iter();
        let targets = items.filter_map(|(version, object)| versioned(*version, object));
        let targets = targets.filter(|target| service.is_empty() || serves(target, &service));
        Ok(Response::new(v1::ListTargetsReply {
            version: listing.version.0,
            targets: targets.collect(),
        }))
    }

    async fn watch(
        &self,
        _request: Request<v1::WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let watch = OperatorService::watch(self, TARGETS).await?;
        Ok(Response::new(watch.events(event)))
    }

    async fn drain(
        &self,
        request: Request<v1::DrainRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        self.write(set_draining(&request.into_inner(), true)).await
    }

    async fn undrain(
        &self,
        request: Request<v1::DrainRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        self.write(set_draining(&request.into_inner(), false)).await
    }
}

fn read(message: Option<v1::Target>) -> Result<ConfigObject, Vec<String>> {
    target_from_proto(message.unwrap_or_default()).map(ConfigObject::Target)
}

fn versioned(version: ConfigVersion, object: &ConfigObject) -> Option<v1::VersionedTarget> {
    let ConfigObject::Target(target) = object else {
        return None;
    };
    Some(v1::VersionedTarget {
        version: version.0,
        target: Some(target_to_proto(target)),
    })
}

fn event(version: ConfigVersion, change: Change) -> v1::TargetEvent {
    let change = match change {
        Change::Changed(version, object) => versioned(version, &object).map(EventChange::Changed),
        Change::Deleted(name) => Some(EventChange::Deleted(name)),
        Change::Synced => Some(EventChange::Synced(v1::Synced {})),
    };
    v1::TargetEvent {
        version: version.0,
        change,
    }
}

fn serves(target: &v1::VersionedTarget, service: &str) -> bool {
    target
        .target
        .as_ref()
        .is_some_and(|target| target.service == service)
}

fn set_draining(
    message: &v1::DrainRequest,
    draining: bool,
) -> Result<OperatorRequest, Vec<String>> {
    let mut mistakes = Mistakes::default();
    let change_id = change_id(&mut mistakes, &message.change_id);
    let target = mistakes.name("target", &message.target);
    mistakes.finish(target.map(|target| OperatorRequest::SetDraining {
        change_id,
        target,
        draining,
    }))
}
