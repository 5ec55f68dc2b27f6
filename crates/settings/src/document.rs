//! A settings file as sections of fields, each with its line and its text as written.

use std::collections::BTreeMap;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::mistake::{Mistake, Place};

/// A value as written.
#[derive(Debug, Clone)]
pub(crate) enum Value {
    /// A string.
    Text(String),
    /// A whole number.
    Integer(i128),
    /// `true` or `false`.
    Boolean(bool),
    /// A list.
    List(Vec<Entry>),
    /// Something that no field takes.
    Other,
}

/// A value, where it was given and its text.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// Where it was given.
    pub(crate) place: Place,
    /// Its text as written.
    pub(crate) given: String,
    /// The value.
    pub(crate) value: Value,
}

/// Fields of one section, by name.
#[derive(Debug, Default)]
pub(crate) struct Section {
    /// Where it begins.
    pub(crate) place: Option<Place>,
    /// Its fields.
    pub(crate) fields: BTreeMap<String, Entry>,
}

/// Sections by name; the fields before the first section have the empty name.
#[derive(Debug, Default)]
pub(crate) struct Document {
    /// The sections.
    pub(crate) sections: BTreeMap<String, Section>,
}

/// Stands for the field in mistakes of syntax.
pub(crate) const SYNTAX: &str = "syntax";
/// Longest stretch of the file that a mistake repeats, in characters.
const MAX_GIVEN: usize = 60;

impl Document {
    /// Reads a file as far as it can be read, and its faults of syntax.
    pub(crate) fn parse(text: &str) -> (Self, Vec<Mistake>) {
        let (root, errors) = DeTable::parse_recoverable(text);
        let source = Source { text };
        let mistakes = errors.iter().map(|error| source.syntax(error)).collect();
        (source.document(root.get_ref()), mistakes)
    }
}

struct Source<'a> {
    text: &'a str,
}

impl Source<'_> {
    fn syntax(&self, error: &toml::de::Error) -> Mistake {
        let span = error.span().unwrap_or(0..0);
        let line = self.line(&span);
        let written = self.text.lines().nth(line - 1).unwrap_or_default();
        Mistake {
            place: Place::Line(line),
            field: SYNTAX.to_owned(),
            given: shorten(written.trim()),
            allowed: format!("TOML ({})", error.message().replace('\n', ", ")),
        }
    }

    fn document(&self, root: &DeTable<'_>) -> Document {
        let mut document = Document::default();
        document.sections.entry(String::new()).or_default();
        for (key, value) in root.iter() {
            self.add_top(&mut document, key, value);
        }
        document
    }

    fn add_top(
        &self,
        document: &mut Document,
        key: &Spanned<std::borrow::Cow<'_, str>>,
        value: &Spanned<DeValue<'_>>,
    ) {
        let name = key.get_ref().to_string();
        let DeValue::Table(table) = value.get_ref() else {
            let root = document.sections.entry(String::new()).or_default();
            root.fields.insert(name, self.entry(value));
            return;
        };
        let section = document.sections.entry(name).or_default();
        section.place = Some(Place::Line(self.line(&key.span())));
        for (field, value) in table.iter() {
            let field = field.get_ref().to_string();
            section.fields.insert(field, self.entry(value));
        }
    }

    fn entry(&self, value: &Spanned<DeValue<'_>>) -> Entry {
        let span = value.span();
        let given = self.text.get(span.clone()).unwrap_or_default();
        Entry {
            place: Place::Line(self.line(&span)),
            given: shorten(given),
            value: self.value(value.get_ref()),
        }
    }

    fn value(&self, value: &DeValue<'_>) -> Value {
        match value {
            DeValue::String(text) => Value::Text(text.to_string()),
            DeValue::Integer(integer) => {
                let parsed = i128::from_str_radix(integer.as_str(), integer.radix());
                parsed.map_or(Value::Other, Value::Integer)
            }
            DeValue::Boolean(boolean) => Value::Boolean(*boolean),
            DeValue::Array(items) => {
                Value::List(items.iter().map(|item| self.entry(item)).collect())
            }
            DeValue::Float(_) | DeValue::Datetime(_) | DeValue::Table(_) => Value::Other,
        }
    }

    fn line(&self, span: &Range<usize>) -> usize {
        let before = self.text.as_bytes().iter().take(span.start);
        before.filter(|byte| **byte == b'\n').count() + 1
    }
}

fn shorten(text: &str) -> String {
    let line = text.lines().next().unwrap_or_default();
    let cut = line.chars().take(MAX_GIVEN).collect::<String>();
    if cut.len() == text.len() {
        return cut;
    }
    format!("{cut}...")
}
