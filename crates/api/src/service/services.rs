//! Operators' calls on services.

use tonic::{Request, Response, Status};
use wingspar_world::{ConfigObject, ConfigVersion};

use super::{OperatorService, SERVICES, create, update, wrong_kind};
use crate::Operators;
use crate::convert::{service_from_proto, service_to_proto};
use crate::v1;
use crate::v1::service_event::Change as EventChange;
use crate::v1::services_server::Services;
use crate::watch::{Change, Events};

#[tonic::async_trait]
impl<O: Operators> Services for OperatorService<O> {
    type WatchStream = Events<v1::ServiceEvent>;

    async fn create(
        &self,
        request: Request<v1::CreateServiceRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        let message = request.into_inner();
        let object = read(message.service);
        self.write(create(&message.change_id, object)).await
    }

    async fn update(
        &self,
        request: Request<v1::UpdateServiceRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        let message = request.into_inner();
        let object = read(message.service);
        let change = update(&message.change_id, message.expected_version, object);
        self.write(change).await
    }

    async fn delete(
        &self,
        request: Request<v1::DeleteRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        OperatorService::delete(self, SERVICES, &request.into_inner()).await
    }

    async fn get(
        &self,
        request: Request<v1::GetRequest>,
    ) -> Result<Response<v1::VersionedService>, Status> {
        let (version, object) = OperatorService::get(self, SERVICES, request.into_inner()).await?;
        versioned(version, &object)
            .map(Response::new)
            .ok_or_else(|| wrong_kind(&object))
    }

    async fn list(
        &self,
        _request: Request<v1::ListServicesRequest>,
    ) -> Result<Response<v1::ListServicesReply>, Status> {
        let listing = OperatorService::list(self, SERVICES).await?;
        let items = listing.items.iter();
        let services = items.filter_map(|(version, object)| versioned(*version, object));
        Ok(Response::new(v1::ListServicesReply {
            version: listing.version.0,
            services: services.collect(),
        }))
    }

    async fn watch(
        &self,
        _request: Request<v1::WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let watch = OperatorService::watch(self, SERVICES).await?;
        Ok(Response::new(watch.events(event)))
    }
}

fn read(message: Option<v1::Service>) -> Result<ConfigObject, Vec<String>> {
    service_from_proto(message.unwrap_or_default()).map(ConfigObject::Service)
}

fn versioned(version: ConfigVersion, object: &ConfigObject) -> Option<v1::VersionedService> {
    let ConfigObject::Service(service) = object else {
        return None;
    };
    Some(v1::VersionedService {
        version: version.0,
        service: Some(service_to_proto(service)),
    })
}

fn event(version: ConfigVersion, change: Change) -> v1::ServiceEvent {
    let change = match change {
        Change::Changed(version, object) => versioned(version, &object).map(EventChange::Changed),
        Change::Deleted(name) => Some(EventChange::Deleted(name)),
        Change::Synced => Some(EventChange::Synced(v1::Synced {})),
    };
    v1::ServiceEvent {
        version: version.0,
        change,
    }
}
