//! `run`, `compare` and `bench`.

use std::fs;
use std::future::Future;
use std::path::PathBuf;

use pico_args::Arguments;
use wingspar_telemetry::log::{Level, setup};

use super::{CommandError, nothing_left};
use crate::experiment::{self, Experiment, Results, TimedNote};
use crate::{bench, panics, report};

/// Runs an experiment from a file.
pub(super) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let verbose = arguments.contains("--verbose");
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    let html: Option<PathBuf> = arguments.opt_value_from_str("--html")?;
    let seed: Option<u64> = arguments.opt_value_from_str("--seed")?;
    let file: PathBuf = arguments.free_from_str()?;
    nothing_left(arguments)?;
    let experiment = Experiment::load(&file);
    let mut experiment = experiment.map_err(|error| CommandError::Usage(error.to_string()))?;
    experiment.seed = seed.unwrap_or(experiment.seed);
    let results = rehearse(&experiment, verbose)?;
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&results);
        let text = text.map_err(|error| CommandError::Failed(error.to_string()))?;
        write(&path, &text)?;
    }
    if let Some(path) = html {
        write(&path, &report::html(&results))?;
    }
    verdict(&results)
}

/// Shows the figures of two runs side by side.
pub(super) fn compare(mut arguments: Arguments) -> Result<(), CommandError> {
    let first: PathBuf = arguments.free_from_str()?;
    let second: PathBuf = arguments.free_from_str()?;
    nothing_left(arguments)?;
    print!("{}", report::comparison(&read(&first)?, &read(&second)?));
    Ok(())
}

fn read(path: &PathBuf) -> Result<Results, CommandError> {
    let wrong = |error: String| CommandError::Usage(format!("{}: {error}", path.display()));
    let text = fs::read_to_string(path).map_err(|error| wrong(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| wrong(error.to_string()))
}

pub(super) fn write(path: &PathBuf, text: &str) -> Result<(), CommandError> {
    let failed = |error| CommandError::Failed(format!("{}: {error}", path.display()));
    fs::write(path, text).map_err(failed)
}

/// Measures ratios against their bounds.
pub(super) fn bench(arguments: Arguments) -> Result<(), CommandError> {
    nothing_left(arguments)?;
    prepare(false)?;
    let rows = block_on(bench::run(&|row| println!("{row}")))?;
    let rows = rows.map_err(|error| CommandError::Failed(error.to_string()))?;
    match rows.iter().all(bench::Row::holds) {
        true => Ok(()),
        false => Err(CommandError::Broken),
    }
}

/// Sets up the log, and counts panics from now on.
fn prepare(verbose: bool) -> Result<(), CommandError> {
    let level = if verbose {
        Level::Info
    } else {
        Level::Critical
    };
    setup(level, false).map_err(|error| CommandError::Failed(error.to_string()))?;
    panics::watch();
    Ok(())
}

fn rehearse(experiment: &Experiment, verbose: bool) -> Result<Results, CommandError> {
    let level = if verbose {
        Level::Info
    } else {
        Level::Critical
    };
    setup(level, false).map_err(|error| CommandError::Failed(error.to_string()))?;
    panics::watch();
    println!("{}: {} s of load", experiment.name, experiment.duration_s);
    let progress = |note: &TimedNote| println!("{:>6.1} s  {}", note.at_s, note.text);
    let results = block_on(experiment::run(experiment, &progress))?;
    results.map_err(|error| CommandError::Failed(error.to_string()))
}

/// Runs a future on a single-threaded runtime.
pub(super) fn block_on<T>(future: impl Future<Output = T>) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| CommandError::Failed(error.to_string()))?;
    Ok(runtime.block_on(future))
}

fn verdict(results: &Results) -> Result<(), CommandError> {
    print!("{}", report::table(results));
    match results.broken.is_empty() {
        true => Ok(()),
        false => Err(CommandError::Broken),
    }
}
