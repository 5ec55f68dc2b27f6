//! Quarantine of requests whose execution terminates targets.
//!
//! A request may crash every target that starts to run it, and its caller may send it again under a
//! new id and to any node. Requests are therefore identified by their content, the [`Fingerprint`].
//! The agent beside a target tracks which requests are [`InFlight`] there; when the target
//! terminates, these become suspects. Each node has a [`Quarantine`]. It records suspects as
//! [`Observation`]s, refuses requests that were in flight at several terminations, and exchanges
//! its findings with other nodes through the leader ([`Report`], [`Reply`]).
//!
//! The same request may come from several [`Caller`]s. Terminations count against it whoever sent it, as it may come
//! again from another one. A successful completion on any node clears what speaks against it for its own caller, and
//! exempts that caller from a refusal: its requests may be served where another caller's terminate targets.
//!
//! Times are durations since the process started; between nodes they are sent as ages.

mod caller;
mod fingerprint;
mod in_flight;
mod message;
mod quarantine;
mod recent_successes;
mod suspicion;
mod verdict;

pub use caller::{Caller, CallerRequest, Callers};
pub use fingerprint::{Fingerprint, RequestContent};
pub use in_flight::{EndEvidence, InFlight, RunId, Suspect, Termination};
pub use message::{Observation, QuarantineSnapshot, Reply, Report, TargetEnd};
pub use quarantine::{Quarantine, VerdictChange};
pub use verdict::{Standing, Verdict};
