//! Log lines for changes of state.

use wingspar_agent::AgentEvent;
use wingspar_control::ControlEvent;
use wingspar_routing::RoutingEvent;
use wingspar_telemetry::log::{Level, event};
use wingspar_world::NodeId;

/// Writes the log lines of one node.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    node: String,
}

impl Log {
    pub(crate) fn new(node: &NodeId) -> Self {
        Self {
            node: node.to_string(),
        }
    }

    pub(crate) fn control(&self, change: &ControlEvent) {
        let level = match change {
            ControlEvent::SessionEnded { lost: true, .. }
            | ControlEvent::UnreadableObject { .. }
            | ControlEvent::StoreReachable(false)
            | ControlEvent::RecoveryBlocked { .. } => Level::Warn,
            _ => Level::Info,
        };
        event(level, change.name(), &self.node, &change.to_string());
    }

    pub(crate) fn agent(&self, change: &AgentEvent) {
        let (level, name) = match change {
            AgentEvent::SessionBegun { .. } => (Level::Info, "session_begun"),
            AgentEvent::SessionEnded { .. } => (Level::Warn, "session_over"),
            AgentEvent::GrantsChanged { .. } => (Level::Debug, "grants_changed"),
            AgentEvent::ConfigurationApplied { .. } => (Level::Info, "configuration_applied"),
            AgentEvent::SliceReleased { .. } => (Level::Info, "slice_released"),
            AgentEvent::TargetHealth { .. } => (Level::Warn, "target_health"),
            AgentEvent::Leaving => (Level::Info, "leaving"),
        };
        event(level, name, &self.node, &format!("{change:?}"));
    }

    pub(crate) fn routing(&self, change: &RoutingEvent) {
        let (level, name) = match change {
            RoutingEvent::TargetEjected { .. } => (Level::Warn, "target_ejected"),
            RoutingEvent::TargetReturned { .. } => (Level::Info, "target_returned"),
            RoutingEvent::TableReady { .. } => (Level::Info, "table_ready"),
        };
        event(level, name, &self.node, &format!("{change:?}"));
    }

    pub(crate) fn lease_lost(&self) {
        event(Level::Warn, "lease_lost", &self.node, "all grants dropped");
    }

    pub(crate) fn invariant_broken(&self, violation: &str) {
        event(Level::Critical, "invariant_broken", &self.node, violation);
    }

    pub(crate) fn phase(&self, name: &str, detail: &str) {
        event(Level::Info, name, &self.node, detail);
    }
}
