//! Open-loop load: requests arrive when their time has come, whether or not earlier ones were answered.

mod caller;
mod driver;
mod record;
mod traffic;
mod zipf;

pub use caller::{Caller, CallerSettings};
pub use driver::{Driver, DriverSettings};
pub use record::{Outcome, Record};
pub use traffic::{Call, RequestKind, Shared, Traffic, TrafficMix, key_of};
pub use zipf::Zipf;
