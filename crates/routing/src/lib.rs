//! Routing decisions without I/O: resolution, slice table, outcomes, retries, limits.
//!
//! [`Router`] is the state machine. For each request a front calls [`Router::resolve`],
//! [`Router::begin`], then [`Router::route`] and [`Router::after`] in turn until one of them ends
//! it, and [`Router::finish`] once the answer has been passed on.
//!
//! ```
//! use wingspar_routing::{Input, Output, Router, RouterSettings};
//! use wingspar_world::MonotonicTime;
//!
//! let mut router = Router::new(RouterSettings::default(), 1);
//! let mut outputs = Vec::new();
//! router.step(MonotonicTime::ZERO, Input::Tick, &mut outputs);
//! assert!(!router.is_ready());
//! ```

mod after;
mod attempt;
mod balance;
mod counters;
mod follow;
mod limits;
mod outcome;
mod outlier;
mod path_template;
mod reason;
mod resolver;
mod retry;
mod route;
mod router;
mod settings;
mod slice_map;
mod table;
mod targets;
mod window;

pub use attempt::{Attempt, AttemptResult, Decision, Forward, GiveUp, Next};
pub use counters::{Counter, Counters};
pub use outcome::{AgentRefusal, ConnectFailure, Outcome, Proof, ProofSource};
pub use reason::Reason;
pub use resolver::{MAX_IDEMPOTENCY_KEY_BYTES, Rejection, RequestHead, Resolved, Resolver};
pub use router::{Input, Output, Router, RoutingEvent};
pub use settings::{LimitSettings, OutlierSettings, RetrySettings, RouterSettings};
pub use table::{Applied, Owner, OwnerStatus, SliceTable, TargetId};
