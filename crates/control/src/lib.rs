//! Control group decisions without I/O: leases, assignments, hand-over, configuration.
//!
//! A [`Control`] runs on every control candidate. It is driven by [`Control::step`] with messages,
//! store answers, operator requests and the passing of time, and returns what is to be sent, asked
//! and told. All times are of the caller's monotonic clock.

mod control;
mod counters;
mod event;
mod input;
pub mod operator;
mod output;
mod settings;

pub use control::Control;
pub use counters::ControlCounters;
pub use event::ControlEvent;
pub use input::{Input, StoreReply};
pub use output::{Output, StoreRequest};
pub use settings::ControlSettings;
