//! A new generation of the group after its majority was lost for good.

use wingspar_store::Answer;
use wingspar_world::NodeId;

use crate::operator::OperatorReply;
use crate::{Control, Output};

impl Control {
    pub(crate) fn tend_recovery(&mut self, _out: &mut Vec<Output>) {}

    pub(crate) fn on_origin_read(&mut self, _answer: Answer, _out: &mut Vec<Output>) {}

    pub(crate) fn on_machines(&mut self, _answer: Answer) {}

    /// Takes in an operator's word that members can never come back.
    pub(crate) fn force_generation(
        &mut self,
        _change_id: &str,
        _generation: u32,
        _dead: Vec<NodeId>,
    ) -> OperatorReply {
        OperatorReply::Unavailable {
            reason: "not supported yet".to_owned(),
        }
    }

    /// Whether leases of the generation before are over for certain.
    pub(crate) fn may_assign(&self) -> bool {
        true
    }
}
