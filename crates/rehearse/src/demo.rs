//! The demonstration: a whole deployment, load and faults in under a minute.

use crate::experiment::Experiment;

/// The experiment that it runs.
const DEMO: &str = include_str!("../experiments/demo.toml");

/// The experiment of the demonstration.
#[must_use]
pub fn experiment() -> Experiment {
    Experiment::parse(DEMO).expect("the committed experiment can be read")
}
