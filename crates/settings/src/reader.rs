//! Takes fields out of a document one by one, noting every mistake on the way.

use std::ops::RangeInclusive;
use std::str::FromStr;

use crate::document::{Document, Entry, Value};
use crate::mistake::{Mistake, Place};
use crate::overrides::Overrides;

/// What a mistake says was given when there was nothing.
const NOTHING: &str = "nothing";

/// A checked value and where it was given.
#[derive(Debug, Clone)]
pub(crate) struct Located<T> {
    /// The value.
    pub(crate) value: T,
    /// Where it was given.
    pub(crate) place: Place,
}

/// Takes fields out of a document and collects mistakes.
pub(crate) struct Reader<'a> {
    pub(crate) document: Document,
    overrides: &'a Overrides,
    pub(crate) mistakes: Vec<Mistake>,
    pub(crate) known: Vec<String>,
}

impl<'a> Reader<'a> {
    /// Starts with a document and its faults of syntax.
    pub(crate) fn new(document: Document, overrides: &'a Overrides, syntax: Vec<Mistake>) -> Self {
        Self {
            document,
            overrides,
            mistakes: syntax,
            known: Vec::new(),
        }
    }

    /// Whether a section is in the file or one of its fields is given by flag.
    pub(crate) fn has_section(&self, section: &str, listen: &str) -> bool {
        let by_flag = self.overrides.get(&path(section, listen)).is_some();
        by_flag || self.document.sections.contains_key(section)
    }

    /// Makes the fields of a section known without reading them.
    pub(crate) fn declare(&mut self, section: &str, fields: &[&str]) {
        let paths = fields.iter().map(|field| path(section, field));
        self.known.extend(paths);
    }

    /// Whether a mistake was noted for a field.
    pub(crate) fn has_mistake(&self, field: &str) -> bool {
        self.mistakes.iter().any(|mistake| mistake.field == field)
    }

    /// Notes a mistake.
    pub(crate) fn mistake(&mut self, place: Place, field: &str, given: &str, allowed: &str) {
        self.mistakes.push(Mistake {
            place,
            field: field.to_owned(),
            given: given.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Where a section begins; the file as a whole when it isn't there.
    pub(crate) fn section_place(&self, section: &str) -> Place {
        let found = self.document.sections.get(section);
        let place = found.and_then(|found| found.place.clone());
        place.unwrap_or(Place::File)
    }

    fn take(&mut self, section: &str, field: &str) -> Option<Entry> {
        let path = path(section, field);
        self.known.push(path.clone());
        let fields = self.document.sections.get_mut(section);
        let written = fields.and_then(|section| section.fields.remove(field));
        let Some((flag, value)) = self.overrides.get(&path) else {
            return written;
        };
        Some(Entry {
            place: Place::Flag(flag.to_owned()),
            given: format!("{value:?}"),
            value: Value::Text(value.to_owned()),
        })
    }

    /// A string field that `parse` accepts; `None` when it is missing or wrong.
    pub(crate) fn optional<T>(
        &mut self,
        section: &str,
        field: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<Located<T>> {
        let entry = self.take(section, field)?;
        let parsed = match &entry.value {
            Value::Text(text) => parse(text),
            _ => None,
        };
        let Some(value) = parsed else {
            self.mistake(entry.place, &path(section, field), &entry.given, allowed);
            return None;
        };
        Some(Located {
            value,
            place: entry.place,
        })
    }

    /// Like `optional`, but a missing field is a mistake.
    pub(crate) fn required<T>(
        &mut self,
        section: &str,
        field: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<Located<T>> {
        if !self.is_given(section, field) {
            self.known.push(path(section, field));
            let place = self.section_place(section);
            self.mistake(place, &path(section, field), NOTHING, allowed);
            return None;
        }
        self.optional(section, field, allowed, parse)
    }

    /// A required name of the world, with the name's own rules as what is allowed.
    pub(crate) fn name<T: FromStr>(&mut self, section: &str, field: &str) -> Option<T> {
        let allowed = "1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit";
        let parse = |text: &str| text.parse().ok();
        self.required(section, field, allowed, parse)
            .map(|located| located.value)
    }

    /// A whole number in a range, with a default; `None` when it is wrong.
    pub(crate) fn integer(
        &mut self,
        section: &str,
        field: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Option<Located<u64>> {
        let Some(entry) = self.take(section, field) else {
            return Some(Located {
                value: default,
                place: Place::File,
            });
        };
        let number = match entry.value {
            Value::Integer(number) => u64::try_from(number).ok(),
            _ => None,
        };
        let Some(value) = number.filter(|number| range.contains(number)) else {
            let allowed = format!("a whole number from {} to {}", range.start(), range.end());
            self.mistake(entry.place, &path(section, field), &entry.given, &allowed);
            return None;
        };
        Some(Located {
            value,
            place: entry.place,
        })
    }

    /// `true` or `false`, with a default.
    pub(crate) fn boolean(&mut self, section: &str, field: &str, default: bool) -> bool {
        let Some(entry) = self.take(section, field) else {
            return default;
        };
        let Value::Boolean(value) = entry.value else {
            let allowed = "true or false";
            self.mistake(entry.place, &path(section, field), &entry.given, allowed);
            return default;
        };
        value
    }

    /// A list of strings that `parse` accepts; a flag gives it comma-separated. Wrong items are
    /// mistakes of their own.
    pub(crate) fn list<T>(
        &mut self,
        section: &str,
        field: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Vec<Located<T>> {
        let Some(entry) = self.take(section, field) else {
            return Vec::new();
        };
        let items = match list_items(&entry) {
            Some(items) => items,
            None => {
                let allowed = format!("a list of {allowed}");
                self.mistake(entry.place, &path(section, field), &entry.given, &allowed);
                return Vec::new();
            }
        };
        let mut values = Vec::new();
        for item in items {
            let parsed = match &item.value {
                Value::Text(text) => parse(text),
                _ => None,
            };
            match parsed {
                Some(value) => values.push(Located {
                    value,
                    place: item.place,
                }),
                None => self.mistake(item.place, &path(section, field), &item.given, allowed),
            }
        }
        values
    }

    /// Whether a field is in the file or given by flag.
    pub(crate) fn is_given(&self, section: &str, field: &str) -> bool {
        let found = self.document.sections.get(section);
        let written = found.is_some_and(|section| section.fields.contains_key(field));
        written || self.overrides.get(&path(section, field)).is_some()
    }
}

fn list_items(entry: &Entry) -> Option<Vec<Entry>> {
    match (&entry.value, &entry.place) {
        (Value::List(items), _) => Some(items.clone()),
        (Value::Text(text), Place::Flag(_)) => Some(split_flag(text, &entry.place)),
        _ => None,
    }
}

fn split_flag(text: &str, place: &Place) -> Vec<Entry> {
    let parts = text.split(',').map(str::trim);
    parts
        .map(|part| Entry {
            place: place.clone(),
            given: format!("{part:?}"),
            value: Value::Text(part.to_owned()),
        })
        .collect()
}

/// Path of a field.
pub(crate) fn path(section: &str, field: &str) -> String {
    if section.is_empty() {
        return field.to_owned();
    }
    format!("{section}.{field}")
}
