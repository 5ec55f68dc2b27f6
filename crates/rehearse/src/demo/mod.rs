//! The demonstration: `wingspar sidecar` processes on loopback, a steady load, one disturbance after the other.

mod build;
mod deployment;
pub mod evidence;
mod load;
mod machine;
pub mod promises;
pub mod report;
mod steps;

use std::path::PathBuf;
use std::time::Instant;

use deployment::Deployment;
use evidence::Evidence;
use load::Load;

/// The demonstration can't be played to its end.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The program `wingspar` isn't there.
    #[error("{} is missing: build it with cargo build --bin wingspar", .0.display())]
    NoProgram(PathBuf),
    /// The program `wingspar` can't be built.
    #[error("cargo can't build wingspar: {0}")]
    Build(String),
    /// A file, a socket or a process can't be had.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The client of the callers can't be built.
    #[error("{0}")]
    Client(#[from] reqwest::Error),
    /// What a step waits for didn't come about.
    #[error("not in time: {0}")]
    NotInTime(String),
}

/// Plays the demonstration and returns what callers and targets have seen; `progress` is told each line.
///
/// All processes that it starts have ended when the future is done or dropped.
///
/// # Errors
/// When the deployment can't be started, or a process of it can't be started again.
pub async fn play(short: bool, progress: &dyn Fn(&str)) -> Result<Evidence, DemoError> {
    let program = build::program(progress)?;
    let mut deployment = Deployment::start(&program).await?;
    for machine in &deployment.machines {
        progress(&format!("        {machine}"));
    }
    let began_at = Instant::now();
    let load = Load::start(began_at, deployment.entrances());
    let mut play = steps::Play::new(began_at, &mut deployment, &load, progress);
    let played = if short {
        play.run_short().await
    } else {
        play.run_all().await
    };
    let (steps, emptied) = play.record();
    let answers = load.finish().await;
    let runs = deployment.runs(began_at);
    let unfinished = match played {
        Ok(()) => None,
        Err(DemoError::NotInTime(what)) => Some(what),
        Err(error) => return Err(error),
    };
    Ok(Evidence {
        answers,
        runs,
        emptied,
        quotas: vec![deployment::guest_quota()],
        steps,
        unfinished,
    })
}
