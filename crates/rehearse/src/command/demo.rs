//! `demo`: the live system on loopback, judged by what callers and targets have seen.

use std::fs;
use std::path::{Path, PathBuf};

use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};

use super::rehearse::{block_on, write};
use super::{CommandError, nothing_left};
use crate::demo::evidence::Evidence;
use crate::demo::{self, promises, report};

/// Plays the demonstration, or judges a recorded one.
pub(super) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let short = arguments.contains("--short");
    let html: Option<PathBuf> = arguments.opt_value_from_str("--html")?;
    let save: Option<PathBuf> = arguments.opt_value_from_str("--save")?;
    let check: Option<PathBuf> = arguments.opt_value_from_str("--check")?;
    nothing_left(arguments)?;
    let evidence = match check {
        Some(file) => read(&file)?,
        None => block_on(play(short))??,
    };
    if let Some(path) = save {
        let text = serde_json::to_string(&evidence);
        write(&path, &text.map_err(|error| failed(&error))?)?;
    }
    let violations = promises::violations(&evidence);
    print!("{}", report::table(&evidence, &violations));
    if let Some(path) = html {
        write(&path, &report::html(&evidence, &violations))?;
    }
    match violations.is_empty() && evidence.unfinished.is_none() {
        true => Ok(()),
        false => Err(CommandError::Broken),
    }
}

/// Plays until the end or until the user ends it; either way its processes end first.
async fn play(short: bool) -> Result<Evidence, CommandError> {
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| failed(&error))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| failed(&error))?;
    let ended = async {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    };
    let progress = |line: &str| println!("{line}");
    tokio::select! {
        played = demo::play(short, &progress) => played.map_err(|error| failed(&error)),
        () = ended => Err(CommandError::Failed("the demo was ended before its end".to_owned())),
    }
}

fn failed(error: &dyn std::error::Error) -> CommandError {
    CommandError::Failed(error.to_string())
}

fn read(path: &Path) -> Result<Evidence, CommandError> {
    let wrong =
        |error: &dyn std::error::Error| CommandError::Usage(format!("{}: {error}", path.display()));
    let text = fs::read_to_string(path).map_err(|error| wrong(&error))?;
    serde_json::from_str(&text).map_err(|error| wrong(&error))
}
