//! Experiments: a deployment, its traffic and a timeline of events, from a TOML file.

mod definition;
mod director;
mod measure;
mod results;
mod run;
mod sampler;
mod unavailable;

pub(crate) use unavailable::{Request, Unavailable};

pub use definition::{Action, DefinitionError, Event, Experiment};
pub use results::{KindResult, OwnerChange, Results, SecondResult, ServiceResult, TimedNote};
pub use run::{RunError, run};
