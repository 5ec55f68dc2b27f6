//! Two runs side by side.

use std::fmt::Write;

use crate::experiment::Results;

/// One figure by which runs are compared.
struct Figure {
    name: String,
    value: f64,
}

/// Formats the figures of two runs with their ratio. A figure that only one run has is left out.
#[must_use]
pub fn comparison(first: &Results, second: &Results) -> String {
    let mut text = String::new();
    let names = (&first.experiment.name, &second.experiment.name);
    let _ = writeln!(
        text,
        "{:<34} {:>12} {:>12} {:>8}",
        "", names.0, names.1, "ratio"
    );
    let others = figures(second);
    for figure in figures(first) {
        let Some(other) = others.iter().find(|other| other.name == figure.name) else {
            continue;
        };
        let ratio = match figure.value {
            0.0 => "-".to_owned(),
            value => format!("{:.2}", other.value / value),
        };
        let (name, before, after) = (figure.name, figure.value, other.value);
        let _ = writeln!(text, "{name:<34} {before:>12.2} {after:>12.2} {ratio:>8}");
    }
    text
}

fn figures(results: &Results) -> Vec<Figure> {
    let mut figures = Vec::new();
    let mut add = |name: String, value: f64| figures.push(Figure { name, value });
    for (kind, result) in &results.kinds {
        let kind = format!("{kind:?}").to_lowercase();
        add(format!("{kind}: requests"), result.requests as f64);
        add(format!("{kind}: ran"), result.ran as f64);
        add(format!("{kind}: not run"), result.not_run as f64);
        add(format!("{kind}: unknown"), result.unknown as f64);
        add(format!("{kind}: p50 ms"), result.p50_ms);
        add(format!("{kind}: p99 ms"), result.p99_ms);
    }
    for service in &results.services {
        let name = &service.service;
        add(format!("{name}: imbalance"), service.imbalance);
        if service.keyed {
            add(format!("{name}: churn"), service.churn);
            add(
                format!("{name}: unavailable max ms"),
                service.unavailable_max_ms,
            );
            add(
                format!("{name}: unavailable p99 ms"),
                service.unavailable_p99_ms,
            );
            add(
                format!("{name}: unavailable mean ms"),
                service.unavailable_mean_ms,
            );
        }
    }
    add("broken invariants".to_owned(), results.broken.len() as f64);
    figures
}
