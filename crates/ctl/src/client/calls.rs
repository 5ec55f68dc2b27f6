//! Calls on placements and the group, and what all calls share.

use std::collections::BTreeMap;

use tonic::transport::Channel;
use wingspar_api::convert::{
    group_from_proto, node_to_proto, placement_from_proto, range_to_proto, rollout_from_proto,
    state_version_from_proto,
};
use wingspar_api::status::Failure;
use wingspar_api::v1::group_client::GroupClient;
use wingspar_api::v1::move_request::What;
use wingspar_api::v1::placement_policies_client::PlacementPoliciesClient;
use wingspar_api::v1::placements_client::PlacementsClient;
use wingspar_api::v1::services_client::ServicesClient;
use wingspar_api::v1::targets_client::TargetsClient;
use wingspar_api::{MAX_ANSWER_BYTES, v1};
use wingspar_control::operator::{Durability, GroupReport, PlacementReport, RolloutReport};
use wingspar_wire::StateVersion;
use wingspar_world::{
    ConfigVersion, NodeId, PolicyName, RegionName, ServiceName, SliceRange, TargetName,
};

use super::attempts::{Client, Effect};
use super::objects::unreadable;

/// Makes one call by the generated client that `$client` builds; every attempt sends the same request.
macro_rules! send {
    ($self:ident, $effect:expr, $client:ident, $method:ident, $request:expr) => {{
        let request = $request;
        let attempt = |channel| {
            let request = request.clone();
            async move { $client(channel).$method(request).await }
        };
        $self.call($effect, attempt).await
    }};
}
pub(super) use send;

pub(super) fn services(channel: Channel) -> ServicesClient<Channel> {
    ServicesClient::new(channel).max_decoding_message_size(MAX_ANSWER_BYTES)
}

pub(super) fn targets(channel: Channel) -> TargetsClient<Channel> {
    TargetsClient::new(channel).max_decoding_message_size(MAX_ANSWER_BYTES)
}

pub(super) fn policies(channel: Channel) -> PlacementPoliciesClient<Channel> {
    PlacementPoliciesClient::new(channel).max_decoding_message_size(MAX_ANSWER_BYTES)
}

fn placements(channel: Channel) -> PlacementsClient<Channel> {
    PlacementsClient::new(channel).max_decoding_message_size(MAX_ANSWER_BYTES)
}

fn group(channel: Channel) -> GroupClient<Channel> {
    GroupClient::new(channel).max_decoding_message_size(MAX_ANSWER_BYTES)
}

/// What an operator moves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Moved {
    /// One key, which becomes a slice of its own.
    Key(Vec<u8>),
    /// A range of the ring.
    Range(SliceRange),
}

impl Client {
    /// Reads who owns what of a service; with a key, only the slice that holds it.
    pub async fn placement(
        &mut self,
        service: &ServiceName,
        key: Option<&[u8]>,
    ) -> Result<PlacementReport, Failure> {
        let request = v1::ShowPlacementRequest {
            service: service.to_string(),
            key: key.map(<[u8]>::to_vec),
        };
        let reply = send!(self, Effect::Reads, placements, show, request)?;
        placement_from_proto(reply).map_err(unreadable)
    }

    /// Orders a move; the placement tells when it is done.
    pub async fn order_move(
        &mut self,
        change_id: &str,
        service: &ServiceName,
        moved: &Moved,
        to: &TargetName,
        durability: Durability,
    ) -> Result<StateVersion, Failure> {
        let what = match moved {
            Moved::Key(key) => What::Key(key.clone()),
            Moved::Range(range) => What::Range(range_to_proto(*range)),
        };
        let durability = match durability {
            Durability::Quorum => v1::Durability::Quorum,
            Durability::Stored => v1::Durability::Stored,
        };
        let request = v1::MoveRequest {
            change_id: change_id.to_owned(),
            service: service.to_string(),
            what: Some(what),
            to: to.to_string(),
            durability: durability.into(),
        };
        let reply = send!(self, Effect::Changes, placements, r#move, request)?;
        Ok(state_version_from_proto(reply.version))
    }

    /// Drains a target or takes the drain back.
    pub async fn set_draining(
        &mut self,
        change_id: &str,
        target: &TargetName,
        draining: bool,
    ) -> Result<ConfigVersion, Failure> {
        let request = v1::DrainRequest {
            change_id: change_id.to_owned(),
            target: target.to_string(),
        };
        let reply = if draining {
            send!(self, Effect::Changes, targets, drain, request)?
        } else {
            send!(self, Effect::Changes, targets, undrain, request)?
        };
        Ok(ConfigVersion(reply.version))
    }

    /// Sets a policy's region weights, pauses or resumes elective moves; `None` keeps each.
    pub async fn shift_weights(
        &mut self,
        change_id: &str,
        policy: &PolicyName,
        weights: Option<&BTreeMap<RegionName, f64>>,
        paused: Option<bool>,
    ) -> Result<ConfigVersion, Failure> {
        let request = v1::ShiftWeightsRequest {
            change_id: change_id.to_owned(),
            policy: policy.to_string(),
            region_weights: weights.map(weights_to_proto),
            paused,
        };
        let reply = send!(self, Effect::Changes, policies, shift_weights, request)?;
        Ok(ConfigVersion(reply.version))
    }

    /// Reads how far a configuration version, or the newest, is in force.
    pub async fn rollout(
        &mut self,
        version: Option<ConfigVersion>,
    ) -> Result<RolloutReport, Failure> {
        let version = version.map(|version| version.0);
        let request = v1::RolloutRequest { version };
        let reply = send!(self, Effect::Reads, group, rollout, request)?;
        rollout_from_proto(reply).map_err(unreadable)
    }

    /// Reads the state of the control group.
    pub async fn group(&mut self) -> Result<GroupReport, Failure> {
        let request = v1::GroupStatusRequest {};
        let reply = send!(self, Effect::Reads, group, status, request)?;
        group_from_proto(reply).map_err(unreadable)
    }

    /// Orders a new generation without proof that the old majority is dead. Safe only when the
    /// members named as dead can never come back.
    pub async fn force_generation(
        &mut self,
        change_id: &str,
        generation: u32,
        dead: &[NodeId],
    ) -> Result<ConfigVersion, Failure> {
        let request = v1::ForceGenerationRequest {
            change_id: change_id.to_owned(),
            generation,
            dead: dead.iter().map(node_to_proto).collect(),
        };
        let reply = send!(self, Effect::Changes, group, force_generation, request)?;
        Ok(ConfigVersion(reply.version))
    }
}

fn weights_to_proto(weights: &BTreeMap<RegionName, f64>) -> v1::RegionWeights {
    let weights = weights.iter();
    let weights = weights.map(|(region, weight)| (region.to_string(), *weight));
    v1::RegionWeights {
        weights: weights.collect(),
    }
}
