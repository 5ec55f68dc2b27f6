//! Operators' requests, by family.

use crate::intent::Intent;
use crate::operator::{OperatorReply, OperatorRequest};
use crate::{Control, Output};

/// Longest accepted change id in bytes.
const MAX_CHANGE_ID_BYTES: usize = 200;

impl Control {
    pub(crate) fn on_operator(&mut self, id: u64, request: OperatorRequest, out: &mut Vec<Output>) {
        self.counters.operator_requests += 1;
        if let OperatorRequest::ForceGeneration {
            generation, dead, ..
        } = request
        {
            self.force_generation(id, generation, dead, out);
            return;
        }
        if self.leading.is_none() || !self.holds_leader_lease() {
            let leader = self.known_leader().filter(|leader| *leader != self.node);
            let reply = OperatorReply::NotLeader { leader };
            out.push(Output::OperatorReply { id, reply });
            return;
        }
        if let Some(reply) = self.serve(id, request, out) {
            out.push(Output::OperatorReply { id, reply });
        }
    }

    /// Serves a request as leader; `None` when the answer comes later.
    fn serve(
        &mut self,
        id: u64,
        request: OperatorRequest,
        out: &mut Vec<Output>,
    ) -> Option<OperatorReply> {
        match request {
            OperatorRequest::Put {
                change_id,
                object,
                expect,
            } => self.write(id, change_id, Intent::Put { object, expect }, out),
            OperatorRequest::Delete {
                change_id,
                key,
                expect,
            } => self.write(id, change_id, Intent::Delete { key, expect }, out),
            OperatorRequest::SetDraining {
                change_id,
                target,
                draining,
            } => self.write(id, change_id, Intent::Draining { target, draining }, out),
            OperatorRequest::ShiftWeights {
                change_id,
                policy,
                region_weights,
                paused,
            } => {
                let intent = Intent::Weights {
                    policy,
                    region_weights,
                    paused,
                };
                self.write(id, change_id, intent, out)
            }
            OperatorRequest::Move {
                change_id,
                service,
                range,
                to,
                durability,
            } => self.order_move(id, change_id, (service, range, to), durability),
            OperatorRequest::Get { key } => Some(self.get(&key)),
            OperatorRequest::List { prefix } => Some(self.list(&prefix)),
            OperatorRequest::Placement { service, key } => {
                Some(self.placement_report(&service, key))
            }
            OperatorRequest::Rollout { version } => Some(OperatorReply::Rollout(
                self.rollout_report(version.unwrap_or_else(|| self.configuration_version())),
            )),
            OperatorRequest::Group => Some(OperatorReply::Group(self.group_report())),
            OperatorRequest::ForceGeneration { .. } => None,
        }
    }

    fn write(
        &mut self,
        id: u64,
        change_id: String,
        intent: Intent,
        out: &mut Vec<Output>,
    ) -> Option<OperatorReply> {
        if let Some(mistake) = change_id_mistake(&change_id) {
            return Some(OperatorReply::Invalid(vec![mistake]));
        }
        if !self.has_read_configuration() {
            return Some(OperatorReply::Unavailable {
                reason: "the leader has not read the store yet".to_owned(),
            });
        }
        self.begin_write(id, change_id, intent, out);
        None
    }
}

/// What is wrong with a change id, if anything.
pub(crate) fn change_id_mistake(change_id: &str) -> Option<String> {
    let fit = !change_id.is_empty() && change_id.len() <= MAX_CHANGE_ID_BYTES;
    (!fit).then(|| format!("change_id: must have 1 to {MAX_CHANGE_ID_BYTES} bytes"))
}
