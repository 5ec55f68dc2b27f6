//! Requests that are no objects.

use std::collections::BTreeMap;

use wingspar_control::operator::{Durability, OperatorRequest};
use wingspar_world::{
    ConfigVersion, KeyHash, MAX_KEY_BYTES, PolicyName, RegionName, ServiceName, SliceRange,
    weight_mistakes,
};

use super::Mistakes;
use super::group::nodes_from_proto;
use super::placement::range_from_proto;
use super::policy::weights;
use crate::v1;
use crate::v1::move_request::What;

/// Longest change id in bytes.
const MAX_CHANGE_ID: usize = 64;

/// Checks a change id.
pub(crate) fn change_id(mistakes: &mut Mistakes, change_id: &str) -> String {
    let printable = change_id.bytes().all(|byte| byte.is_ascii_graphic());
    if change_id.is_empty() || change_id.len() > MAX_CHANGE_ID || !printable {
        let allowed = "1 to 64 printable ASCII characters without spaces";
        mistakes.note("change_id", format!("{change_id:?}"), allowed);
    }
    change_id.to_owned()
}

/// Checks an expected version.
pub(crate) fn expected_version(mistakes: &mut Mistakes, version: u64) -> ConfigVersion {
    if version == 0 {
        mistakes.note("expected_version", 0, "the version that the object has now");
    }
    ConfigVersion(version)
}

/// Key of an object in the store from its kind's prefix and its name.
pub(crate) fn object_key(mistakes: &mut Mistakes, prefix: &str, name: &str) -> String {
    // All names follow the same rules, so any of their types checks them.
    mistakes.name::<ServiceName>("name", name);
    format!("{prefix}{name}")
}

/// Reads a deletion.
pub(crate) fn delete_request(
    prefix: &str,
    message: &v1::DeleteRequest,
) -> Result<OperatorRequest, Vec<String>> {
    let mut mistakes = Mistakes::default();
    let request = OperatorRequest::Delete {
        change_id: change_id(&mut mistakes, &message.change_id),
        key: object_key(&mut mistakes, prefix, &message.name),
        expect: Some(expected_version(&mut mistakes, message.expected_version)),
    };
    mistakes.finish(Some(request))
}

/// Reads a question for a placement.
pub(crate) fn placement_request(
    message: &v1::ShowPlacementRequest,
) -> Result<OperatorRequest, Vec<String>> {
    let mut mistakes = Mistakes::default();
    let service = mistakes.name("service", &message.service);
    let key = message.key.as_ref();
    let key = key.and_then(|key| hash(&mut mistakes, key));
    mistakes.finish(service.map(|service| OperatorRequest::Placement { service, key }))
}

fn hash(mistakes: &mut Mistakes, key: &[u8]) -> Option<KeyHash> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let given = format!("{} bytes", key.len());
        mistakes.note("key", given, "1 to 4096 bytes");
        return None;
    }
    Some(KeyHash::of(key))
}

/// Reads an order to move.
pub(crate) fn move_request(message: v1::MoveRequest) -> Result<OperatorRequest, Vec<String>> {
    let mut mistakes = Mistakes::default();
    let change_id = change_id(&mut mistakes, &message.change_id);
    let service = mistakes.name("service", &message.service);
    let range = moved_range(&mut mistakes, message.what);
    let to = mistakes.name("to", &message.to);
    let durability = durability(&mut mistakes, message.durability);
    let request = (|| {
        Some(OperatorRequest::Move {
            change_id,
            service: service?,
            range: range?,
            to: to?,
            durability: durability?,
        })
    })();
    mistakes.finish(request)
}

fn moved_range(mistakes: &mut Mistakes, what: Option<What>) -> Option<SliceRange> {
    match mistakes.required("key or range", what)? {
        What::Key(key) => hash(mistakes, &key).map(SliceRange::single),
        What::Range(range) => range_from_proto(mistakes, range),
    }
}

fn durability(mistakes: &mut Mistakes, durability: i32) -> Option<Durability> {
    match v1::Durability::try_from(durability) {
        Ok(v1::Durability::Unspecified | v1::Durability::Quorum) => Some(Durability::Quorum),
        Ok(v1::Durability::Stored) => Some(Durability::Stored),
        Err(_) => {
            mistakes.note("durability", durability, "quorum (1) or stored (2)");
            None
        }
    }
}

/// Reads a shift of weights.
pub(crate) fn shift_request(
    message: v1::ShiftWeightsRequest,
) -> Result<OperatorRequest, Vec<String>> {
    let mut mistakes = Mistakes::default();
    let change_id = change_id(&mut mistakes, &message.change_id);
    let policy = mistakes.name::<PolicyName>("policy", &message.policy);
    let weights = message
        .region_weights
        .map(|shift| read_weights(&mut mistakes, shift.weights));
    if weights.is_none() && message.paused.is_none() {
        mistakes.note("region_weights", "nothing", "weights, or paused, or both");
    }
    mistakes.finish(policy.map(|policy| OperatorRequest::ShiftWeights {
        change_id,
        policy,
        region_weights: weights,
        paused: message.paused,
    }))
}

fn read_weights(
    mistakes: &mut Mistakes,
    given: BTreeMap<String, f64>,
) -> BTreeMap<RegionName, f64> {
    let read = weights(mistakes, "region_weights", given);
    mistakes.extend(weight_mistakes("region_weights", &read));
    read
}

/// Reads an order for a new generation.
pub(crate) fn force_request(
    message: &v1::ForceGenerationRequest,
) -> Result<OperatorRequest, Vec<String>> {
    let mut mistakes = Mistakes::default();
    let change_id = change_id(&mut mistakes, &message.change_id);
    let dead = nodes_from_proto(&mut mistakes, &message.dead);
    if message.dead.is_empty() {
        mistakes.note("dead", "nothing", "the members that can never come back");
    }
    mistakes.finish(Some(OperatorRequest::ForceGeneration {
        change_id,
        generation: message.generation,
        dead,
    }))
}
