//! Things that an operator names.

use std::borrow::Borrow;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::index::Index;
use crate::{Route, Service, Tenant};

/// Something that an operator names.
pub trait Named: Clone + PartialEq {
    /// Its name.
    fn name(&self) -> &str;
}

impl Named for Route {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Service {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Tenant {
    fn name(&self) -> &str {
        &self.name
    }
}

/// A thing in place of its name, so that the name isn't kept twice.
#[derive(Debug, Clone)]
struct ByName<Thing>(Rc<Thing>);

impl<Thing: Named> Borrow<str> for ByName<Thing> {
    fn borrow(&self) -> &str {
        self.0.name()
    }
}

impl<Thing: Named> Hash for ByName<Thing> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.name().hash(state);
    }
}

impl<Thing: Named> PartialEq for ByName<Thing> {
    fn eq(&self, other: &Self) -> bool {
        self.0.name() == other.0.name()
    }
}

impl<Thing: Named> Eq for ByName<Thing> {}

/// Named things, in no order. Copies share the things, so that a version of a configuration costs no more than what it
/// changes. Several may have the same name, since an operator may write that.
#[derive(Debug, Clone)]
pub struct NamedList<Thing>(Index<ByName<Thing>, Thing>);

impl<Thing> Default for NamedList<Thing> {
    fn default() -> Self {
        Self(Index::default())
    }
}

impl<Thing: Named> NamedList<Thing> {
    /// How many things there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether each name stands for one thing.
    pub fn names_tell_apart(&self) -> bool {
        self.0.key_count() == self.0.len()
    }

    /// All things, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Thing> {
        self.shared().map(Rc::as_ref)
    }

    /// The thing of that name; the first that was added, if there are several.
    pub fn get(&self, name: &str) -> Option<&Thing> {
        self.get_shared(name).map(Rc::as_ref)
    }

    /// Adds a thing beside others of its name.
    pub fn add(&mut self, thing: Thing) {
        let thing = Rc::new(thing);
        self.0.add(ByName(thing.clone()), thing);
    }

    /// Adds a thing in place of others of its name.
    pub fn put(&mut self, thing: Thing) {
        self.remove(thing.name());
        self.add(thing);
    }

    /// Removes all things of a name.
    pub fn remove(&mut self, name: &str) {
        while let Some(thing) = self.get_shared(name).cloned() {
            self.0.remove(name, &thing);
        }
    }

    pub(crate) fn shared(&self) -> impl Iterator<Item = &Rc<Thing>> {
        self.0.things()
    }

    pub(crate) fn get_shared(&self, name: &str) -> Option<&Rc<Thing>> {
        self.0.first(name)
    }

    /// All things by their names; those with the same name in the order in which they were added.
    fn sorted(&self) -> Vec<&Thing> {
        let mut sorted = self.iter().collect::<Vec<_>>();
        sorted.sort_by_key(|thing| thing.name());
        sorted
    }
}

impl<Thing: Named> PartialEq for NamedList<Thing> {
    fn eq(&self, other: &Self) -> bool {
        self.sorted() == other.sorted()
    }
}

impl<'list, Thing: Named> IntoIterator for &'list NamedList<Thing> {
    type Item = &'list Thing;
    type IntoIter = Box<dyn Iterator<Item = &'list Thing> + 'list>;

    fn into_iter(self) -> Self::IntoIter {
        Box::new(self.iter())
    }
}

impl<Thing: Named> FromIterator<Thing> for NamedList<Thing> {
    fn from_iter<Things: IntoIterator<Item = Thing>>(things: Things) -> Self {
        let mut list = Self::default();
        things.into_iter().for_each(|thing| list.add(thing));
        list
    }
}

/// Written by names: what is alike stands together, and packs better.
impl<Thing: Named + Serialize> Serialize for NamedList<Thing> {
    fn serialize<Writer: Serializer>(&self, writer: Writer) -> Result<Writer::Ok, Writer::Error> {
        writer.collect_seq(self.sorted())
    }
}

impl<'de, Thing: Named + Deserialize<'de>> Deserialize<'de> for NamedList<Thing> {
    fn deserialize<Reader: Deserializer<'de>>(reader: Reader) -> Result<Self, Reader::Error> {
        let things = Vec::<Thing>::deserialize(reader)?;
        Ok(things.into_iter().collect())
    }
}
