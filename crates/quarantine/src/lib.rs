//! Quarantine of requests whose execution terminates targets.
//!
//! A request may crash every target that starts to run it, and its caller may send it again under a
//! new id and to any node. Requests are therefore identified by their content, the [`Fingerprint`].
//! The agent beside a target tracks which requests are [`InFlight`] there; when the target
//! terminates, these become suspects. Each node has a [`Quarantine`]. It records suspects as
//! [`Observation`]s, refuses requests that were in flight at several terminations, and exchanges
//! its findings with other nodes through the leader ([`Report`], [`Reply`]). A successful
//! completion on any node clears a request.
//!
//! Times are durations since the process started; between nodes they are sent as ages.

mod fingerprint;
mod in_flight;
mod message;
mod quarantine;
mod recent_successes;
mod suspicion;
mod verdict;

pub use fingerprint::{Fingerprint, RequestContent};
pub use in_flight::{EndEvidence, InFlight, RunId, Suspect, Termination};
pub use message::{Observation, QuarantineSnapshot, Reply, Report, TargetEnd};
pub use quarantine::{Quarantine, VerdictChange};
pub use verdict::{Standing, Verdict};
