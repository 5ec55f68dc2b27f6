//! Operators' calls on the control group.

use tonic::{Request, Response, Status};
use wingspar_control::operator::{OperatorReply, OperatorRequest};
use wingspar_world::ConfigVersion;

use super::OperatorService;
use crate::Operators;
use crate::convert::{force_request, group_to_proto, rollout_to_proto};
use crate::status::refusal;
use crate::v1;
use crate::v1::group_server::Group;

#[tonic::async_trait]
impl<O: Operators> Group for OperatorService<O> {
    async fn rollout(
        &self,
        request: Request<v1::RolloutRequest>,
    ) -> Result<Response<v1::RolloutReply>, Status> {
        let version = request.into_inner().version.map(ConfigVersion);
        match self.read(OperatorRequest::Rollout { version }).await? {
            OperatorReply::Rollout(report) => Ok(Response::new(rollout_to_proto(&report))),
            other => Err(refusal(other)),
        }
    }

    async fn status(
        &self,
        _request: Request<v1::GroupStatusRequest>,
    ) -> Result<Response<v1::GroupStatus>, Status> {
        match self.read(OperatorRequest::Group).await? {
            OperatorReply::Group(report) => Ok(Response::new(group_to_proto(&report))),
            other => Err(refusal(other)),
        }
    }

    async fn force_generation(
        &self,
        request: Request<v1::ForceGenerationRequest>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        self.write(force_request(request.get_ref())).await
    }
}
