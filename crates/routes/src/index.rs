//! Named things by a key that several of them may have.

use std::borrow::Borrow;
use std::hash::Hash;
use std::rc::Rc;

use crate::named::Named;
use crate::shared_map::SharedMap;

/// The things of one key by their names; most keys have one thing.
#[derive(Debug, Clone)]
enum Holders<Thing> {
    One(Rc<Thing>),
    Several(Vec<Rc<Thing>>),
}

impl<Thing: Named> Holders<Thing> {
    fn as_slice(&self) -> &[Rc<Thing>] {
        match self {
            Self::One(thing) => std::slice::from_ref(thing),
            Self::Several(things) => things,
        }
    }

    /// The same without one thing; nothing if it was the last.
    fn without(&self, thing: &Rc<Thing>) -> Option<Self> {
        let others = self.as_slice().iter();
        let others = others.filter(|other| !Rc::ptr_eq(other, thing));
        let mut others = others.cloned().collect::<Vec<_>>();
        if others.len() > 1 {
            return Some(Self::Several(others));
        }
        others.pop().map(Self::One)
    }

    /// The same with one more thing, behind those of lower and of equal names.
    fn with(&self, thing: Rc<Thing>) -> Self {
        let mut things = self.as_slice().to_vec();
        let position = things.partition_point(|other| other.name() <= thing.name());
        things.insert(position, thing);
        Self::Several(things)
    }

    fn contains(&self, thing: &Rc<Thing>) -> bool {
        self.as_slice().iter().any(|other| Rc::ptr_eq(other, thing))
    }
}

/// Things by a key. Copies share what doesn't differ between them.
#[derive(Debug, Clone)]
pub(crate) struct Index<Key, Thing> {
    by_key: SharedMap<Key, Holders<Thing>>,
    len: usize,
}

impl<Key, Thing> Default for Index<Key, Thing> {
    fn default() -> Self {
        Self {
            by_key: SharedMap::default(),
            len: 0,
        }
    }
}

impl<Key, Thing> Index<Key, Thing>
where
    Key: Hash + Eq + Clone,
    Thing: Named,
{
    /// How many things there are; one with two keys counts twice.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// How many keys there are.
    pub(crate) fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// All things of a key, that with the lowest name first.
    pub(crate) fn all<Asked>(&self, key: &Asked) -> &[Rc<Thing>]
    where
        Key: Borrow<Asked>,
        Asked: Hash + Eq + ?Sized,
    {
        self.by_key.get(key).map_or(&[], Holders::as_slice)
    }

    /// The thing with the lowest name of a key, so that all nodes agree however they learned of it.
    pub(crate) fn first<Asked>(&self, key: &Asked) -> Option<&Rc<Thing>>
    where
        Key: Borrow<Asked>,
        Asked: Hash + Eq + ?Sized,
    {
        self.all(key).first()
    }

    /// All things, in no order.
    pub(crate) fn things(&self) -> impl Iterator<Item = &Rc<Thing>> {
        self.by_key.values().flat_map(Holders::as_slice)
    }

    /// Adds a thing. Returns whether the key didn't have it yet.
    pub(crate) fn add(&mut self, key: Key, thing: Rc<Thing>) -> bool {
        let Some(holders) = self.by_key.get_mut(&key) else {
            self.by_key.insert(key, Holders::One(thing));
            self.len += 1;
            return true;
        };
        if holders.contains(&thing) {
            return false;
        }
        *holders = holders.with(thing);
        self.len += 1;
        true
    }

    /// Takes a thing away. Returns whether the key had it.
    pub(crate) fn remove<Asked>(&mut self, key: &Asked, thing: &Rc<Thing>) -> bool
    where
        Key: Borrow<Asked>,
        Asked: Hash + Eq + ?Sized,
    {
        let holders = self.by_key.get_mut(key);
        let Some(holders) = holders.filter(|holders| holders.contains(thing)) else {
            return false;
        };
        match holders.without(thing) {
            Some(others) => *holders = others,
            None => self.by_key.remove(key),
        }
        self.len -= 1;
        true
    }
}
