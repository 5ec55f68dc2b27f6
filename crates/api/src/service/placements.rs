//! Operators' calls on placements.

use tonic::{Request, Response, Status};
use wingspar_control::operator::OperatorReply;

use super::OperatorService;
use crate::Operators;
use crate::convert::{move_request, placement_request, placement_to_proto, state_version_to_proto};
use crate::status::{invalid, refusal};
use crate::v1;
use crate::v1::placements_server::Placements;

#[tonic::async_trait]
impl<O: Operators> Placements for OperatorService<O> {
    async fn show(
        &self,
        request: Request<v1::ShowPlacementRequest>,
    ) -> Result<Response<v1::Placement>, Status> {
        let question = placement_request(request.get_ref()).map_err(invalid)?;
        match self.read(question).await? {
            OperatorReply::Placement(report) => Ok(Response::new(placement_to_proto(&report))),
            other => Err(refusal(other)),
        }
    }

    async fn r#move(
        &self,
        request: Request<v1::MoveRequest>,
    ) -> Result<Response<v1::MoveReply>, Status> {
        let order = move_request(request.into_inner()).map_err(invalid)?;
        match self.change(order).await? {
            OperatorReply::MoveAccepted { version } => {
                let version = Some(state_version_to_proto(version));
                Ok(Response::new(v1::MoveReply { version }))
            }
            other => Err(refusal(other)),
        }
    }
}
