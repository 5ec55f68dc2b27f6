//! Values from command line flags that replace those of the file.

use std::collections::BTreeMap;

/// A flag that replaces one field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverrideFlag {
    /// The flag, such as `--zone`.
    pub flag: &'static str,
    /// Path of the field it replaces, such as `machine.zone`.
    pub field: &'static str,
    /// One line of help.
    pub help: &'static str,
}

/// Every flag that replaces a field.
pub const OVERRIDE_FLAGS: &[OverrideFlag] = &[
    OverrideFlag {
        flag: "--machine",
        field: "machine.name",
        help: "name of this machine",
    },
    OverrideFlag {
        flag: "--region",
        field: "machine.region",
        help: "region of this machine",
    },
    OverrideFlag {
        flag: "--zone",
        field: "machine.zone",
        help: "zone of this machine",
    },
    OverrideFlag {
        flag: "--control-address",
        field: "control_address",
        help: "IP:PORT of the internal protocol",
    },
    OverrideFlag {
        flag: "--seeds",
        field: "seeds",
        help: "comma-separated IP:PORT of control candidates",
    },
    OverrideFlag {
        flag: "--router-listen",
        field: "router.listen",
        help: "IP:PORT for callers; switches the router on",
    },
    OverrideFlag {
        flag: "--agent-listen",
        field: "agent.listen",
        help: "IP:PORT for routers; switches the agent on",
    },
    OverrideFlag {
        flag: "--operator-listen",
        field: "control.operator_listen",
        help: "IP:PORT of the operator API; switches the control candidate on",
    },
    OverrideFlag {
        flag: "--telemetry-listen",
        field: "telemetry.listen",
        help: "IP:PORT for metrics and health",
    },
    OverrideFlag {
        flag: "--platform-url",
        field: "platform.url",
        help: "URL of the platform's object API",
    },
];

/// Values given by flags, not yet checked.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Overrides {
    values: BTreeMap<&'static str, (&'static str, String)>,
}

impl Overrides {
    /// Notes the value of a flag; a later value replaces an earlier one.
    pub fn set(&mut self, flag: &OverrideFlag, value: String) {
        self.values.insert(flag.field, (flag.flag, value));
    }

    /// Flag and value that replace a field.
    pub(crate) fn get(&self, field: &str) -> Option<(&'static str, &str)> {
        let (flag, value) = self.values.get(field)?;
        Some((flag, value))
    }
}
