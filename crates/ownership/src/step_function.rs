//! Operations on step functions over all keys, such as the owner of each key. A step function is a
//! list of consecutive ranges, each given by its last key and its value, in the order of keys.

use crate::KeyRange;

/// The ranges of a step function with their values.
pub fn ranges<Value>(steps: &[(u16, Value)]) -> impl Iterator<Item = (KeyRange, &Value)> {
    let starts = std::iter::once(0).chain(steps.iter().map(|(to, _)| to.saturating_add(1)));
    starts
        .zip(steps)
        .map(|(from, (to, value))| (KeyRange { from, to: *to }, value))
}

/// The value at a key; `None` if the list is empty.
pub fn at<Value>(steps: &[(u16, Value)], key: u16) -> Option<&Value> {
    let index = steps.partition_point(|(to, _)| *to < key);
    steps.get(index).map(|(_, value)| value)
}

/// The ranges in which two step functions differ; all keys if either is empty.
pub fn differences<Value: PartialEq>(
    before: &[(u16, Value)],
    after: &[(u16, Value)],
) -> Vec<KeyRange> {
    if before.is_empty() || after.is_empty() {
        return vec![KeyRange::ALL];
    }
    let mut differing = Vec::new();
    let mut old = ranges(before).peekable();
    for (range, value) in ranges(after) {
        while let Some((known, was)) = old.peek() {
            if let Some(common) = known.intersection(range)
                && *was != value
            {
                differing.push(common);
            }
            if known.to > range.to {
                break;
            }
            old.next();
        }
    }
    union(differing)
}

/// The union of key ranges: all keys in any of them, in as few ranges as possible, in order.
pub fn union(mut parts: Vec<KeyRange>) -> Vec<KeyRange> {
    parts.sort();
    let mut joined = Vec::<KeyRange>::with_capacity(parts.len());
    for part in parts {
        match joined.last_mut() {
            Some(last) if u32::from(part.from) <= u32::from(last.to) + 1 => {
                last.to = last.to.max(part.to);
            }
            _ => joined.push(part),
        }
    }
    joined
}

/// The values of a step function within the wanted ranges, one entry per part with the same value.
pub fn within<Value: Clone>(steps: &[(u16, Value)], wanted: &[KeyRange]) -> Vec<(KeyRange, Value)> {
    let mut found = Vec::new();
    for (range, value) in ranges(steps) {
        let parts = wanted
            .iter()
            .filter_map(|wanted| range.intersection(*wanted));
        found.extend(parts.map(|part| (part, value.clone())));
    }
    found
}

/// The step function that results when the given parts of `steps` get new values. If `steps` is
/// empty, the parts must cover all keys.
pub fn overlaid<Value: Clone + PartialEq>(
    steps: &[(u16, Value)],
    parts: &[(KeyRange, Value)],
) -> Vec<(u16, Value)> {
    let mut kept = ranges(steps)
        .flat_map(|(range, value)| {
            let rest = parts.iter().fold(vec![range], |rest, (part, _)| {
                rest.into_iter()
                    .flat_map(|range| range.without(*part))
                    .collect()
            });
            rest.into_iter().map(|range| (range, value.clone()))
        })
        .chain(parts.iter().cloned())
        .collect::<Vec<_>>();
    kept.sort_by_key(|(range, _)| *range);
    joined(kept.into_iter().map(|(range, value)| (range.to, value)))
}

/// A step function with adjacent ranges of the same value merged.
pub fn joined<Value: PartialEq>(steps: impl Iterator<Item = (u16, Value)>) -> Vec<(u16, Value)> {
    let mut joined = Vec::<(u16, Value)>::new();
    for (to, value) in steps {
        match joined.last_mut() {
            Some((last, known)) if *known == value => *last = to,
            _ => joined.push((to, value)),
        }
    }
    joined
}
