//! The routes of one host, found by the prefixes of a path.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::Route;

/// Indexes of a host's routes by their prefix. A look-up tries each length that a prefix has, so its cost follows from
/// the number of lengths and not from that of the routes.
#[derive(Debug, Default)]
pub(crate) struct HostRoutes {
    /// Lengths of prefixes in bytes, longest first, each once.
    lengths: Vec<usize>,
    by_prefix: HashMap<Box<str>, usize>,
}

impl HostRoutes {
    /// Adds a route. Of routes with the same prefix that with the lowest name takes the requests, so that all nodes
    /// agree however they learned of them.
    pub(crate) fn add(&mut self, routes: &[Route], index: usize) {
        let prefix = routes[index].path_prefix.as_str();
        let position = self
            .lengths
            .binary_search_by_key(&Reverse(prefix.len()), |length| Reverse(*length));
        if let Err(position) = position {
            self.lengths.insert(position, prefix.len());
        }
        self.by_prefix
            .entry(prefix.into())
            .and_modify(|known| {
                if routes[index].name < routes[*known].name {
                    *known = index;
                }
            })
            .or_insert(index);
    }

    /// Index of the route with the longest prefix that begins the path.
    pub(crate) fn find(&self, path: &str) -> Option<usize> {
        self.lengths
            .iter()
            .filter_map(|length| path.get(..*length))
            .find_map(|beginning| self.by_prefix.get(beginning).copied())
    }
}
