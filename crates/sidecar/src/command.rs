//! The command that runs a node: its arguments and exit codes.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::{RunError, run};

/// Exit code if the node couldn't start or ended because of an error.
const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line.
const EXIT_INVALID_USAGE: u8 = 2;
/// Exit code for settings that have mistakes or can't be read.
const EXIT_INVALID_SETTINGS: u8 = 3;

const HELP_TEXT: &str = "\
Runs this machine's node on the users' platform until SIGTERM or SIGINT.

Usage:
  wingspar-sidecar --settings FILE    the same as wingspar sidecar --settings FILE

Exit codes:
  0 stopped as planned                        2 wrong usage
  1 the node could not start or go on         3 settings have mistakes or can't be read
";

/// Runs a node with command-line arguments, excluding the program's name.
pub fn main(arguments: Vec<OsString>) -> ExitCode {
    let mut parser = Arguments::from_vec(arguments);
    if parser.contains(["-h", "--help"]) {
        print!("{HELP_TEXT}");
        return ExitCode::SUCCESS;
    }
    let path = match parser.value_from_str::<_, PathBuf>("--settings") {
        Ok(path) => path,
        Err(error) => return usage_error(&error.to_string()),
    };
    if let Some(extra) = parser.finish().first() {
        return usage_error(&format!("unexpected argument {extra:?}"));
    }
    match run(&path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ RunError::Settings(_)) => {
            eprintln!("error: {}: {error}", path.display());
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("error: {message}");
    eprintln!("See wingspar-sidecar --help.");
    ExitCode::from(EXIT_INVALID_USAGE)
}
