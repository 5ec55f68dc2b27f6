//! The routes of one host, found by the prefixes of a path.

use std::cmp::Reverse;
use std::rc::Rc;

use crate::Route;
use crate::index::Index;

/// Prefixes of one length.
#[derive(Debug, Clone)]
struct Length {
    bytes: usize,
    routes: usize,
}

/// A host's routes by their prefix. A look-up tries each length that a prefix has, so its cost follows from the number
/// of lengths and not from that of the routes.
#[derive(Debug, Clone, Default)]
pub(crate) struct HostRoutes {
    /// Longest first, each once.
    lengths: Vec<Length>,
    by_prefix: Index<Rc<str>, Route>,
}

impl HostRoutes {
    /// Adds a route. Of routes with the same prefix that with the lowest name takes the requests, so that all nodes
    /// agree however they learned of them.
    pub(crate) fn add(&mut self, route: &Rc<Route>) {
        let prefix = route.path_prefix.as_str();
        if !self.by_prefix.add(prefix.into(), route.clone()) {
            return;
        }
        match self.position_of(prefix.len()) {
            Ok(position) => self.lengths[position].routes += 1,
            Err(position) => {
                let length = Length {
                    bytes: prefix.len(),
                    routes: 1,
                };
                self.lengths.insert(position, length);
            }
        }
    }

    /// Takes a route away.
    pub(crate) fn remove(&mut self, route: &Rc<Route>) {
        let prefix = route.path_prefix.as_str();
        if !self.by_prefix.remove(prefix, route) {
            return;
        }
        if let Ok(position) = self.position_of(prefix.len()) {
            self.lengths[position].routes -= 1;
            self.lengths.retain(|length| length.routes > 0);
        }
    }

    /// Whether the host has no routes.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_prefix.len() == 0
    }

    /// The route with the longest prefix that begins the path.
    pub(crate) fn find(&self, path: &str) -> Option<&Route> {
        self.lengths
            .iter()
            .filter_map(|length| path.get(..length.bytes))
            .find_map(|beginning| self.by_prefix.first(beginning))
            .map(Rc::as_ref)
    }

    /// Where a length of prefixes stands, or where it would.
    fn position_of(&self, bytes: usize) -> Result<usize, usize> {
        self.lengths
            .binary_search_by_key(&Reverse(bytes), |length| Reverse(length.bytes))
    }
}
