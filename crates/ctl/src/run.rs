//! Runs a command.

use std::ffi::OsString;
use std::io::{self, Write};

use wingspar_api::status::Failure;

use crate::arguments::{UsageError, parse};
use crate::client::{Client, WatchEvent, mint_change_id};
use crate::command::{Command, Invocation};
use crate::exit::ExitStatus;
use crate::file::ObjectError;
use crate::kind::Kind;
use crate::report::Report;
use crate::session::Session;

/// How a command ends without success.
pub(crate) enum Ending {
    /// A call failed.
    Failed(Failure),
    /// The object given is wrong.
    Object(ObjectError),
    /// The configuration is not in force in time.
    NotInForce(Report),
    /// Output could not be written.
    Output(io::Error),
}

impl From<Failure> for Ending {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

impl From<ObjectError> for Ending {
    fn from(error: ObjectError) -> Self {
        Self::Object(error)
    }
}

impl From<io::Error> for Ending {
    fn from(error: io::Error) -> Self {
        Self::Output(error)
    }
}

/// Runs `wingspar ctl` with the arguments after `ctl`; returns the exit code.
pub fn run(arguments: Vec<OsString>) -> u8 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitStatus::Unavailable.code();
        }
    };
    let mut out = io::stdout();
    let mut err = io::stderr();
    let status = runtime.block_on(run_with(arguments, &mut out, &mut err));
    status.code()
}

/// Runs a command with the given output and error streams.
pub async fn run_with(
    arguments: Vec<OsString>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> ExitStatus {
    let invocation = match parse(arguments) {
        Ok(invocation) => invocation,
        Err(error) => return usage(&error, err),
    };
    let json = invocation.json;
    match execute(invocation, out).await {
        Ok(()) => ExitStatus::Done,
        Err(ending) => end(ending, json, out, err),
    }
}

// Writing to a closed stream must not hide how the command ended.
fn usage(error: &UsageError, err: &mut dyn Write) -> ExitStatus {
    let _ = writeln!(err, "error: {error}");
    let _ = writeln!(err, "See wingspar ctl --help.");
    ExitStatus::Usage
}

fn end(ending: Ending, json: bool, out: &mut dyn Write, err: &mut dyn Write) -> ExitStatus {
    let (status, report) = match ending {
        Ending::Failed(failure) => (ExitStatus::from(&failure), Report::failure(&failure)),
        Ending::Object(error) => (ExitStatus::Refused, Report::refusal(&error.to_string())),
        Ending::NotInForce(report) => {
            let _ = report.write(json, out);
            return ExitStatus::Unavailable;
        }
        Ending::Output(error) => return output_failed(&error, err),
    };
    let _ = match json {
        true => report.write(json, out),
        false => report.write(json, err),
    };
    status
}

/// A reader that went away, as `head` does, is no failure.
fn output_failed(error: &io::Error, err: &mut dyn Write) -> ExitStatus {
    if error.kind() == io::ErrorKind::BrokenPipe {
        return ExitStatus::Done;
    }
    let _ = writeln!(
        err,
        "error: the command was done, its output is lost: {error}"
    );
    ExitStatus::Output
}

async fn execute(invocation: Invocation, out: &mut dyn Write) -> Result<(), Ending> {
    let json = invocation.json;
    let client = || Client::new(invocation.endpoints.clone()).with_limit(invocation.limit);
    match invocation.command {
        Command::Help(page) => Ok(write!(out, "{page}")?),
        Command::Watch { kind } => watch(client(), kind, json, out).await,
        command => {
            let change_id = invocation.change_id.unwrap_or_else(mint_change_id);
            let mut session = Session {
                client: client(),
                change_id,
                limit: invocation.limit,
            };
            let report = session.execute(command).await?;
            Ok(report.write(json, out)?)
        }
    }
}

async fn watch(client: Client, kind: Kind, json: bool, out: &mut dyn Write) -> Result<(), Ending> {
    let mut watch = client.watch(kind);
    loop {
        let report = match watch.next().await? {
            WatchEvent::Changed(object) => Report::changed(&object),
            WatchEvent::Deleted(name) => Report::deleted(kind, &name),
            WatchEvent::Synced => Report::synced(),
        };
        report.write_line(json, out)?;
        out.flush()?;
    }
}
