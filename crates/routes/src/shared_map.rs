//! A hash map whose copies share their entries.
//!
//! Its entries lie in shards. A copy shares all shards with its original; a change makes a copy of the one shard that it
//! concerns. With some n entries there are about √n shards of √n entries, so that neither copy nor change takes work in
//! proportion to all entries.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, RandomState};
use std::rc::Rc;

/// Most entries of a map with one shard; a map of s shards holds s² times as many. With more, a change in a small map
/// copies more than it must; with fewer, most small maps pay for hashing a key twice.
const ENTRIES_OF_ONE_SHARD: usize = 16;
/// The bits of a hash that tell the shard begin here: a shard itself goes by the lowest and the highest.
const SHARD_BITS: u32 = 32;

type Shard<Key, Value> = HashMap<Key, Value, RandomState>;

/// A hash map that is cheap to copy and to change. Its hash is keyed at random, as that of the standard library's map.
#[derive(Debug, Clone)]
pub(crate) struct SharedMap<Key, Value> {
    hashing: RandomState,
    /// Their number is a power of two.
    shards: Vec<Rc<Shard<Key, Value>>>,
    len: usize,
}

impl<Key, Value> Default for SharedMap<Key, Value> {
    fn default() -> Self {
        let hashing = RandomState::new();
        let shards = empty_shards(1, &hashing).map(Rc::new).collect();
        Self {
            hashing,
            shards,
            len: 0,
        }
    }
}

fn empty_shards<Key, Value>(
    count: usize,
    hashing: &RandomState,
) -> impl Iterator<Item = Shard<Key, Value>> {
    (0..count).map(|_| HashMap::with_hasher(hashing.clone()))
}

impl<Key, Value> SharedMap<Key, Value> {
    /// How many entries there are.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// All values, in no order.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Value> {
        self.shards.iter().flat_map(|shard| shard.values())
    }

    fn shard_of<Asked: Hash + ?Sized>(&self, key: &Asked) -> usize {
        if let [_only] = self.shards.as_slice() {
            return 0;
        }
        let bits = (self.hashing.hash_one(key) >> SHARD_BITS) as usize;
        bits & (self.shards.len() - 1)
    }
}

impl<Key: Hash + Eq + Clone, Value: Clone> SharedMap<Key, Value> {
    /// The value of a key.
    pub(crate) fn get<Asked>(&self, key: &Asked) -> Option<&Value>
    where
        Key: Borrow<Asked>,
        Asked: Hash + Eq + ?Sized,
    {
        self.shards[self.shard_of(key)].get(key)
    }

    /// The value of a key, to be changed.
    pub(crate) fn get_mut<Asked>(&mut self, key: &Asked) -> Option<&mut Value>
    where
        Key: Borrow<Asked>,
        Asked: Hash + Eq + ?Sized,
    {
        let shard = self.shard_of(key);
        Rc::make_mut(&mut self.shards[shard]).get_mut(key)
    }

    /// Gives a key a value.
    pub(crate) fn insert(&mut self, key: Key, value: Value) {
        let shard = self.shard_of(&key);
        let before = Rc::make_mut(&mut self.shards[shard]).insert(key, value);
        if before.is_none() {
            self.len += 1;
            self.grow();
        }
    }

    /// Removes a key.
    pub(crate) fn remove<Asked>(&mut self, key: &Asked)
    where
        Key: Borrow<Asked>,
        Asked: Hash + Eq + ?Sized,
    {
        let shard = self.shard_of(key);
        if Rc::make_mut(&mut self.shards[shard]).remove(key).is_some() {
            self.len -= 1;
        }
    }

    /// Doubles the shards if they hold too many entries each. That takes work in proportion to all entries, but only
    /// once they have become four times as many.
    fn grow(&mut self) {
        let count = self.shards.len();
        if self.len <= ENTRIES_OF_ONE_SHARD * count * count {
            return;
        }
        let old = std::mem::take(&mut self.shards);
        let empty = empty_shards(count * 2, &self.hashing);
        self.shards = empty.map(Rc::new).collect();
        for shard in old {
            for (key, value) in Rc::unwrap_or_clone(shard) {
                let shard = self.shard_of(&key);
                Rc::make_mut(&mut self.shards[shard]).insert(key, value);
            }
        }
    }
}
