//! Log lines, as nodes write them.

use serde::Deserialize;
use serde_json::{Map, Value};

/// One line of a node's log.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Line {
    /// The node's uptime, in milliseconds.
    pub at_ms: u64,
    /// The node.
    pub node: String,
    /// What is told.
    pub event: String,
    /// The event's own fields.
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; nothing if it isn't one of a node's. What a collector of logs puts before it is passed over.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        serde_json::from_str(text.get(start..)?).ok()
    }

    /// A field's text; empty if there is none.
    pub fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// A field's number; 0 if there is none.
    pub fn number(&self, field: &str) -> u64 {
        self.fields
            .get(field)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    }

    /// The event's own fields, in order.
    pub fn fields(&self) -> String {
        let fields = self
            .fields
            .iter()
            .map(|(name, value)| format!("{name}={value}"));
        fields.collect::<Vec<_>>().join(" ")
    }
}
