//! Checked node settings.
//!
//! A settings file is TOML. [`check`] reads it and reports every mistake at once, each with its
//! line, the field, the value given and what is allowed; unknown fields are mistakes. Addresses and
//! zones may come from command line flags instead ([`Overrides`]).
//!
//! ```
//! let mistakes = wingspar_settings::check("control_address = 7").unwrap_err();
//! let first_line = mistakes.iter().find(|mistake| mistake.line() == Some(1)).unwrap();
//! assert!(first_line.to_string().starts_with("line 1: control_address: given 7"));
//! ```

mod check;
mod cross;
mod document;
mod leftover;
mod mistake;
mod overrides;
mod parse;
mod reader;
mod settings;

pub use check::{check, check_with};
pub use mistake::{Mistake, Place};
pub use overrides::{OVERRIDE_FLAGS, OverrideFlag, Overrides};
pub use settings::{
    AgentSettings, ControlSettings, LogLevel, MachineSettings, PlatformSettings, RouterSettings,
    Settings, TelemetrySettings, Timing,
};
