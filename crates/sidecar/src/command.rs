//! The command that runs a node, with its arguments and exit codes.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::{RunError, run};

/// The node could not start or go on.
const FAILED: u8 = 1;
/// The command line is wrong.
const WRONG_USAGE: u8 = 2;
/// The settings are wrong.
const WRONG_SETTINGS: u8 = 3;

const HELP: &str = "\
Runs this machine's node on the users' platform until SIGTERM or SIGINT.

Usage:
  wingspar-sidecar --settings FILE    the same as wingspar sidecar --settings FILE

Exit codes:
  0 stopped as planned                        2 wrong usage
  1 the node could not start or go on         3 settings have mistakes or can't be read
";

/// Runs a node with the arguments of a command line, without the program's name.
pub fn main(words: Vec<OsString>) -> ExitCode {
    let mut arguments = Arguments::from_vec(words);
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let path = match arguments.value_from_str::<_, PathBuf>("--settings") {
        Ok(path) => path,
        Err(error) => return wrong_usage(&error.to_string()),
    };
    if let Some(word) = arguments.finish().first() {
        return wrong_usage(&format!("unexpected argument {word:?}"));
    }
    match run(&path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ RunError::Settings(_)) => {
            eprintln!("error: {}: {error}", path.display());
            ExitCode::from(WRONG_SETTINGS)
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(FAILED)
        }
    }
}

fn wrong_usage(message: &str) -> ExitCode {
    eprintln!("error: {message}");
    eprintln!("See wingspar-sidecar --help.");
    ExitCode::from(WRONG_USAGE)
}
