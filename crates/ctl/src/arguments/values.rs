//! Values with a form of their own.

use std::collections::BTreeMap;

use wingspar_world::{
    ConfigVersion, Incarnation, KeyHash, NodeId, QuietWindow, RegionName, SliceRange,
};

use super::{Parsed, UsageError};

/// Minutes of an hour.
const MINUTES: u16 = 60;
/// Hours of a day.
const HOURS: u16 = 24;

/// Reads `REGION=WEIGHT` items.
pub(super) fn weights(items: &[String]) -> Parsed<BTreeMap<RegionName, f64>> {
    let mut weights = BTreeMap::new();
    for item in items {
        let (region, weight) = weight(item).ok_or_else(|| {
            let allowed = "REGION=WEIGHT with a weight of 0 or more";
            UsageError::new(format!("{item:?}: {allowed}"))
        })?;
        if weights.insert(region, weight).is_some() {
            return Err(UsageError::new(format!(
                "{item:?}: the region is given twice"
            )));
        }
    }
    Ok(weights)
}

fn weight(text: &str) -> Option<(RegionName, f64)> {
    let (region, weight) = text.split_once('=')?;
    let weight = weight.parse::<f64>().ok()?;
    let valid = weight.is_finite() && weight >= 0.0;
    valid.then_some((region.parse().ok()?, weight))
}

/// Reads a version, with or without the leading `v` that tables show.
pub(super) fn version(text: &str) -> Parsed<ConfigVersion> {
    let number = text.strip_prefix('v').unwrap_or(text);
    let number = number.parse();
    let version = number.map(ConfigVersion);
    version.map_err(|_| UsageError::new(format!("VERSION {text:?}: a whole number")))
}

/// Reads `MACHINE#INCARNATION` as tables show it.
pub(super) fn node(text: &str) -> Parsed<NodeId> {
    let parts = text.split_once('#');
    let parts = parts.and_then(|(machine, incarnation)| {
        let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
        Some(NodeId::new(machine.parse().ok()?, Incarnation(incarnation)))
    });
    parts.ok_or_else(|| UsageError::new(format!("{text:?}: MACHINE#INCARNATION")))
}

/// Reads `HH:MM-HH:MM`.
pub(super) fn quiet_window(text: &str) -> Parsed<QuietWindow> {
    let window = text.split_once('-').and_then(|(from, to)| {
        Some(QuietWindow {
            from_minute: minute(from)?,
            to_minute: minute(to)?,
        })
    });
    window.ok_or_else(|| UsageError::new(format!("--quiet {text:?}: HH:MM-HH:MM in UTC")))
}

fn minute(text: &str) -> Option<u16> {
    let (hour, minute) = text.split_once(':')?;
    let hour = hour.parse::<u16>().ok().filter(|hour| *hour < HOURS)?;
    let minute = minute.parse::<u16>().ok();
    let minute = minute.filter(|minute| *minute < MINUTES)?;
    Some(hour * MINUTES + minute)
}

/// Reads `FIRST-LAST`, two hashes.
pub(super) fn range(text: &str) -> Parsed<SliceRange> {
    let ends = text.split_once('-');
    let ends = ends.and_then(|(first, last)| Some((KeyHash::parse(first)?, KeyHash::parse(last)?)));
    let range = ends.and_then(|(first, last)| SliceRange::new(first, last));
    range.ok_or_else(|| {
        let allowed = "FIRST-LAST, each of 16 hexadecimal digits, FIRST not above LAST";
        UsageError::new(format!("--range {text:?}: {allowed}"))
    })
}
