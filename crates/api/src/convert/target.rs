//! Targets.

use std::net::SocketAddr;

use wingspar_world::Target;

use super::Mistakes;
use crate::v1;

/// Slots of a target that names none.
const DEFAULT_SLOTS: u32 = 20;
/// Connections of a target that names none.
const DEFAULT_CONNECTIONS: u32 = 100;

/// Reads a target.
pub fn target_from_proto(message: v1::Target) -> Result<Target, Vec<String>> {
    let mut mistakes = Mistakes::default();
    let target = read(&mut mistakes, &message);
    mistakes.finish(target)
}

fn read(mistakes: &mut Mistakes, message: &v1::Target) -> Option<Target> {
    let name = mistakes.name("target.name", &message.name);
    let service = mistakes.name("target.service", &message.service);
    let machine = mistakes.name("target.machine", &message.machine);
    let region = mistakes.name("target.region", &message.region);
    let zone = mistakes.name("target.zone", &message.zone);
    let address = mistakes.parsed::<SocketAddr>("target.address", &message.address, "IP:PORT");
    Some(Target {
        name: name?,
        service: service?,
        machine: machine?,
        region: region?,
        zone: zone?,
        address: address?,
        slots: message.slots.unwrap_or(DEFAULT_SLOTS),
        connections: message.connections.unwrap_or(DEFAULT_CONNECTIONS),
        draining: message.draining,
    })
}

/// Writes a target.
pub fn target_to_proto(target: &Target) -> v1::Target {
    v1::Target {
        name: target.name.to_string(),
        service: target.service.to_string(),
        machine: target.machine.to_string(),
        region: target.region.to_string(),
        zone: target.zone.to_string(),
        address: target.address.to_string(),
        slots: Some(target.slots),
        connections: Some(target.connections),
        draining: target.draining,
    }
}
