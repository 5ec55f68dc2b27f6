//! Operators' command line, and the typed client beneath it.
//!
//! [`run`] is `wingspar ctl`; [`Client`] makes the same calls from programs. Both try the endpoints in
//! turn and repeat a change with its change id until it is answered, which is safe since a change
//! takes effect once per id.

mod arguments;
mod client;
mod command;
mod exit;
mod file;
mod help;
mod kind;
mod report;
mod run;
mod session;

pub use client::{Client, Listing, Moved, Versioned, Watch, WatchEvent, mint_change_id};
pub use exit::ExitStatus;
pub use kind::Kind;
pub use run::{run, run_with};
pub use wingspar_api::status::Failure;
