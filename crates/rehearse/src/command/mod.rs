//! Reads the command line and runs what it says.

mod demo;
mod help;
mod rehearse;
mod simulate;
mod standins;

use std::ffi::OsString;
use std::process::ExitCode;

use pico_args::Arguments;

/// Something failed, or a promise was broken.
const FAILED: u8 = 1;
/// The command line or a file is wrong.
const WRONG_USAGE: u8 = 2;

/// How a command ends when it does not succeed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// The command line or a file is wrong.
    #[error("{0}")]
    Usage(String),
    /// Something failed.
    #[error("{0}")]
    Failed(String),
    /// A promise or a bound was broken; everything about it is printed already.
    #[error("broken")]
    Broken,
}

impl From<pico_args::Error> for CommandError {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

/// Runs the command that the words name.
#[must_use]
pub fn run(words: Vec<OsString>) -> ExitCode {
    match dispatch(Arguments::from_vec(words)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Broken) => ExitCode::from(FAILED),
        Err(CommandError::Failed(message)) => {
            eprintln!("error: {message}");
            ExitCode::from(FAILED)
        }
        Err(CommandError::Usage(message)) => {
            eprintln!("error: {message}");
            eprintln!("See wingspar-rehearse --help.");
            ExitCode::from(WRONG_USAGE)
        }
    }
}

fn dispatch(mut arguments: Arguments) -> Result<(), CommandError> {
    if arguments.contains(["-h", "--help"]) {
        print!("{}", help::HELP);
        return Ok(());
    }
    match arguments.subcommand()?.as_deref() {
        Some("demo") => demo::run(arguments),
        Some("run") => rehearse::run(arguments),
        Some("compare") => rehearse::compare(arguments),
        Some("bench") => rehearse::bench(arguments),
        Some("soak") => simulate::soak(arguments),
        Some("replay") => simulate::replay(arguments),
        Some("placement") => simulate::placement(arguments),
        Some("platform") => standins::platform(arguments),
        Some("backend") => standins::backend(arguments),
        Some(other) => Err(CommandError::Usage(format!("unknown command {other:?}"))),
        None => Err(CommandError::Usage("a command is missing".to_owned())),
    }
}

/// Refuses words that nobody asked for.
fn nothing_left(arguments: Arguments) -> Result<(), CommandError> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(word) => Err(CommandError::Usage(format!("unexpected argument {word:?}"))),
    }
}
