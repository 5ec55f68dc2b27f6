//! Fields that nobody took out of a document, and the final list of mistakes.

use std::collections::BTreeSet;

use crate::document::SYNTAX;
use crate::mistake::{Mistake, Place};
use crate::reader::{Reader, path};

impl Reader<'_> {
    /// Notes every field that nobody took, then hands over all mistakes in order of place.
    pub(crate) fn finish(mut self) -> Vec<Mistake> {
        let sections = std::mem::take(&mut self.document.sections);
        for (name, section) in sections {
            if self.is_unknown_section(&name) {
                let allowed = format!("one of the sections {}", self.section_names());
                let place = section.place.unwrap_or(Place::File);
                self.mistake(place, &name, &format!("[{name}]"), &allowed);
                continue;
            }
            for (field, entry) in section.fields {
                let allowed = format!("one of the fields {}", self.field_names(&name));
                self.mistake(entry.place, &path(&name, &field), &entry.given, &allowed);
            }
        }
        self.drop_echoes();
        self.mistakes.sort();
        self.mistakes
    }

    /// Drops what only echoes a fault of syntax: further mistakes on its line, and values that
    /// recovery from it made up.
    fn drop_echoes(&mut self) {
        let mut broken = BTreeSet::new();
        let syntax = |mistake: &Mistake| mistake.field == SYNTAX;
        self.mistakes
            .retain(|mistake| !syntax(mistake) || broken.insert(mistake.place.clone()));
        if broken.is_empty() {
            return;
        }
        self.mistakes.retain(|mistake| {
            let echo = broken.contains(&mistake.place) || mistake.given.is_empty();
            syntax(mistake) || !echo
        });
    }

    fn is_unknown_section(&self, name: &str) -> bool {
        !name.is_empty() && self.field_names(name).is_empty()
    }

    fn field_names(&self, section: &str) -> String {
        let split = self.known.iter().map(|path| split_path(path));
        let names = split.filter(|(of, _)| *of == section).map(|(_, name)| name);
        names.collect::<Vec<_>>().join(", ")
    }

    fn section_names(&self) -> String {
        let split = self.known.iter().map(|path| split_path(path).0);
        let mut names = split.filter(|name| !name.is_empty()).collect::<Vec<_>>();
        names.dedup();
        names.join(", ")
    }
}

fn split_path(path: &str) -> (&str, &str) {
    path.split_once('.').unwrap_or(("", path))
}
