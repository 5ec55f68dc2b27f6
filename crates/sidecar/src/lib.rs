//! The sidecar node that runs beside a target on the users' platform: router, agent and
//! control-plane candidate in one process.
//!
//! The [`router`] accepts a request from a client, selects the route, service and node, and passes
//! it to that node's [`agent`], over [`hop`] if that is another machine. Right before the request
//! is sent to the target, the agent checks which process of the target is running, whether it is
//! leaving, who owns the key and whether a slot is free. [`control`] maintains leases, leadership
//! and the table of nodes; [`store`] and [`store_sync`] keep the configuration current. Everything
//! runs on one event loop on a single thread.

mod agent;
mod announcements;
mod blocked_writes;
pub mod body;
mod bounded_reads;
pub mod breaker;
pub mod buffer_budget;
pub mod caller_age;
pub mod clock;
pub mod command;
pub mod compact_headers;
pub mod compressed_cbor;
mod configuration;
pub mod configuration_doubts;
pub mod configuration_fetch;
pub mod connections;
mod control;
pub mod deadline;
pub mod directory;
pub mod evacuation;
pub mod expect_continue;
mod heartbeats;
pub mod hop;
pub mod inbound;
mod internal;
mod key_calls;
mod key_exchange;
mod key_load;
pub mod key_release;
pub mod leaving_targets;
pub mod length_limit;
mod lingering_close;
pub mod link;
mod listen;
mod local_response;
pub mod logs;
mod metrics;
pub mod network_paths;
mod node;
pub mod occupancy;
mod operations;
pub mod outages;
pub mod owner_zones;
pub mod pipelining;
mod quarantine;
pub mod quota;
pub mod receive;
mod registration;
pub mod relay;
pub mod request_limit;
pub mod response_body;
pub mod retry_budget;
mod router;
mod run;
pub mod selection;
pub mod settings;
pub mod slots;
pub mod spill_over;
pub mod start_rate;
pub mod stop;
mod store;
mod store_sync;
pub mod stored_configuration;
pub mod target;
mod target_body;
mod target_calls;
mod target_end;
pub mod tenant_counts;
pub mod tenants;
pub mod untracked_work;

pub use run::{RunError, run};
pub use settings::{Settings, SettingsError};
