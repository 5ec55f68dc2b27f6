//! Ratios measured within one run, with bounds beyond which the build has become worse.

mod configurations;
mod hops;
mod overload;

use std::fmt;

use crate::cluster::ClusterError;
use crate::experiment::RunError;

/// Why a bench could not be run.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// The deployment failed.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// An experiment failed.
    #[error(transparent)]
    Run(#[from] RunError),
    /// The HTTP client can't be built.
    #[error("HTTP client: {0}")]
    Client(#[from] reqwest::Error),
}

/// The side of a bound on which a figure must stay.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Bound {
    /// At most this.
    AtMost(f64),
    /// At least this.
    AtLeast(f64),
    /// Told, not bound.
    None,
}

/// One figure with its bound.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// What was measured.
    pub name: &'static str,
    /// The figure.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// The bound.
    pub bound: Bound,
}

impl Row {
    /// Whether the figure stays within its bound.
    #[must_use]
    pub fn holds(&self) -> bool {
        match self.bound {
            Bound::AtMost(limit) => self.value <= limit,
            Bound::AtLeast(limit) => self.value >= limit,
            Bound::None => true,
        }
    }
}

impl fmt::Display for Row {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bound = match self.bound {
            Bound::AtMost(limit) => format!("at most {limit}"),
            Bound::AtLeast(limit) => format!("at least {limit}"),
            Bound::None => "-".to_owned(),
        };
        let verdict = if self.holds() { "" } else { "  BROKEN" };
        let (name, value, unit) = (self.name, self.value, self.unit);
        write!(
            formatter,
            "{name:<52} {value:>10.2} {unit:<6} {bound:<16}{verdict}"
        )
    }
}

/// Runs all benches; `progress` is told each row as it is measured.
///
/// # Errors
/// When a deployment can't be started. Broken bounds are results.
pub async fn run(progress: &dyn Fn(&Row)) -> Result<Vec<Row>, BenchError> {
    let mut rows = Vec::new();
    for row in configurations::measure() {
        progress(&row);
        rows.push(row);
    }
    for row in hops::measure().await? {
        progress(&row);
        rows.push(row);
    }
    for row in overload::measure().await? {
        progress(&row);
        rows.push(row);
    }
    Ok(rows)
}
