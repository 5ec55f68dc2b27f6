//! A short table for people.

use std::fmt::Write;

use crate::experiment::{KindResult, Results};

/// Broken promises printed in full.
const PRINTED: usize = 10;

/// Formats the results of a run.
#[must_use]
pub fn table(results: &Results) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = write_table(&mut text, results);
    text
}

fn write_table(text: &mut String, results: &Results) -> std::fmt::Result {
    writeln!(text)?;
    writeln!(
        text,
        "{:<10} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9}",
        "requests", "all", "ran", "not run", "unknown", "p50 ms", "p99 ms", "max ms"
    )?;
    for (kind, result) in &results.kinds {
        write_kind(text, &format!("{kind:?}").to_lowercase(), result)?;
    }
    write_kind(text, "total", &results.total)?;
    writeln!(text)?;
    writeln!(
        text,
        "{:<14} {:>9} {:>9} {:>7} {:>12} {:>12} {:>12}",
        "service", "effects", "imbalance", "churn", "unavail. max", "unavail. p99", "mean per key"
    )?;
    for service in &results.services {
        let effects: u64 = service.effects.values().sum();
        let imbalance = service.imbalance;
        let name = service.service.as_str();
        write!(text, "{name:<14} {effects:>9} {imbalance:>9.2}")?;
        match service.keyed {
            true => writeln!(
                text,
                " {:>6.1}% {:>9.0} ms {:>9.0} ms {:>9.0} ms",
                service.churn * 100.0,
                service.unavailable_max_ms,
                service.unavailable_p99_ms,
                service.unavailable_mean_ms,
            )?,
            false => writeln!(text, " {:>7} {:>12} {:>12} {:>12}", "-", "-", "-", "-")?,
        }
    }
    writeln!(text)?;
    for (reason, count) in &results.reasons {
        writeln!(text, "not answered: {count:>6} {reason}")?;
    }
    writeln!(text, "broken invariants: {}", results.broken.len())?;
    for broken in results.broken.iter().take(PRINTED) {
        writeln!(text, "  {broken}")?;
    }
    Ok(())
}

fn write_kind(text: &mut String, name: &str, kind: &KindResult) -> std::fmt::Result {
    writeln!(
        text,
        "{name:<10} {:>8} {:>8} {:>8} {:>8} {:>9.2} {:>9.2} {:>9.2}",
        kind.requests, kind.ran, kind.not_run, kind.unknown, kind.p50_ms, kind.p99_ms, kind.max_ms
    )
}
