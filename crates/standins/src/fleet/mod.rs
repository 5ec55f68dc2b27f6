//! Stand-ins for the users' platform, written from its published protocol: the metadata store with
//! objects, revisions and watches, and a target that owns keys.

mod store;
mod target;

pub use store::{FleetStore, StoreCopy, StoreFaults};
pub use target::{
    FleetTarget, Holding, KeyChange, KeyEvent, KeySpan, LowFence, Overlap, Seen, TargetCall,
    TargetFaults, TargetKeys, fences_of_earlier_lives, holdings, low_fences, overlaps,
};

use salvo::http::StatusCode;

/// Answers with a status and a JSON body.
fn answer(response: &mut salvo::Response, status: u16, body: &serde_json::Value) {
    response.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    let _headers = response.add_header("content-type", "application/json", true);
    let _written = response.write_body(body.to_string());
}
