//! Collects the mistakes of one message.

use std::fmt::Display;
use std::str::FromStr;

/// Mistakes of one message, one line each.
#[derive(Debug, Default)]
pub struct Mistakes(Vec<String>);

impl Mistakes {
    /// Notes a mistake: field, value given and what is allowed.
    pub fn note(&mut self, field: &str, given: impl Display, allowed: &str) {
        self.0
            .push(format!("{field}: given {given}; allowed: {allowed}"));
    }

    /// Notes mistakes that are lines already.
    pub fn extend(&mut self, lines: Vec<String>) {
        self.0.extend(lines);
    }

    /// A value that its type reads from text.
    pub fn parsed<T: FromStr>(&mut self, field: &str, text: &str, allowed: &str) -> Option<T> {
        let value = text.parse().ok();
        if value.is_none() {
            self.note(field, format!("{text:?}"), allowed);
        }
        value
    }

    /// A name of the world.
    pub fn name<T: FromStr>(&mut self, field: &str, text: &str) -> Option<T> {
        let allowed = "1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit";
        self.parsed(field, text, allowed)
    }

    /// A field that must be there.
    pub fn required<T>(&mut self, field: &str, value: Option<T>) -> Option<T> {
        if value.is_none() {
            self.note(field, "nothing", "a value");
        }
        value
    }

    /// The value, when there are no mistakes.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Vec<String>> {
        match (value, self.0.is_empty()) {
            (Some(value), true) => Ok(value),
            (None, true) => Err(vec!["a field is missing".to_owned()]),
            (_, false) => Err(self.0),
        }
    }
}
