//! What commands print: a text for people and the same as JSON for programs.

mod group;
mod objects;
mod placement;
mod table;

use std::io::{self, Write};

use serde_json::{Value, json};
use wingspar_api::status::Failure;
use wingspar_wire::StateVersion;
use wingspar_world::ConfigVersion;

use crate::client::describe;

/// Output of a command in both forms.
#[derive(Debug)]
pub(crate) struct Report {
    text: String,
    json: Value,
}

impl Report {
    fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
        }
    }

    /// Writes it; JSON is indented.
    pub(crate) fn write(&self, as_json: bool, out: &mut dyn Write) -> io::Result<()> {
        if as_json {
            return writeln!(out, "{:#}", self.json);
        }
        writeln!(out, "{}", self.text.trim_end())
    }

    /// Writes it as one of many; JSON is one line.
    pub(crate) fn write_line(&self, as_json: bool, out: &mut dyn Write) -> io::Result<()> {
        if as_json {
            return writeln!(out, "{}", self.json);
        }
        writeln!(out, "{}", self.text.trim_end())
    }

    /// A change of the configuration was accepted.
    pub(crate) fn written(version: ConfigVersion, change_id: &str) -> Self {
        let text = format!("version {} (change id {change_id})", version.0);
        let json = json!({ "version": version.0, "change_id": change_id });
        Self::new(text, json)
    }

    /// A move was ordered.
    pub(crate) fn moved(version: StateVersion, change_id: &str) -> Self {
        let text = format!(
            "ordered at state {} (change id {change_id})",
            state_text(version)
        );
        let json = json!({ "state": state_json(version), "change_id": change_id });
        Self::new(text, json)
    }

    /// A call failed.
    pub(crate) fn failure(failure: &Failure) -> Self {
        let message = describe(failure);
        let kind = match failure {
            Failure::Invalid(mistakes) => return Self::invalid(mistakes),
            Failure::NotFound => "not-found",
            Failure::Conflict { current } => return Self::conflict(*current, &message),
            Failure::NotLeader { .. } | Failure::Unavailable { .. } => "unavailable",
            Failure::Unknown { .. } => "unknown",
        };
        let mut text = format!("error: {kind}: {message}");
        if matches!(failure, Failure::Unknown { .. }) {
            text.push_str("\nThe change may have taken effect. Repeat it with its --change-id.");
        }
        Self::new(text, json!({ "error": kind, "message": message }))
    }

    /// An object given on the command line is wrong; nothing was sent.
    pub(crate) fn refusal(message: &str) -> Self {
        Self::invalid(&[message.trim_end().to_owned()])
    }

    fn invalid(mistakes: &[String]) -> Self {
        let lines = mistakes.join("\n  ");
        let text = format!("error: invalid:\n  {lines}");
        Self::new(text, json!({ "error": "invalid", "mistakes": mistakes }))
    }

    fn conflict(current: Option<ConfigVersion>, message: &str) -> Self {
        let current = current.map(|version| version.0);
        let json = json!({ "error": "conflict", "current_version": current });
        Self::new(format!("error: {message}"), json)
    }
}

fn state_text(version: StateVersion) -> String {
    format!("{}.{}", version.generation, version.sequence)
}

fn state_json(version: StateVersion) -> Value {
    json!({ "generation": version.generation, "sequence": version.sequence })
}
