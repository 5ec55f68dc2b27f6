//! Replacement of voters that are lost or leave.

use wingspar_store::Answer;

use crate::{Control, Output};

/// The leader's progress with a change of members.
#[derive(Debug, Default)]
pub(crate) struct MemberPlan {}

impl Control {
    pub(crate) fn tend_members(&mut self, _out: &mut Vec<Output>) {}

    pub(crate) fn on_members_recorded(&mut self, _answer: Answer, _out: &mut Vec<Output>) {}
}
