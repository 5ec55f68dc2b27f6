//! Reads the command line.

mod commands;
mod fields;
mod values;

use std::ffi::OsString;
use std::str::FromStr;
use std::time::Duration;

use pico_args::Arguments;
use thiserror::Error;

use crate::client::{DEFAULT_ENDPOINT, DEFAULT_LIMIT};
use crate::command::{Command, Invocation};
use crate::help;

/// What is wrong with a command line.
#[derive(Debug, Error)]
pub(crate) enum UsageError {
    /// An option lacks its value or has a wrong one.
    #[error(transparent)]
    Option(#[from] pico_args::Error),
    /// Anything else.
    #[error("{0}")]
    Other(String),
}

impl UsageError {
    fn new(message: impl Into<String>) -> Self {
        Self::Other(message.into())
    }
}

type Parsed<T> = Result<T, UsageError>;

/// Reads a command line, without the program's name.
pub(crate) fn parse(arguments: Vec<OsString>) -> Parsed<Invocation> {
    let mut reader = Reader {
        arguments: Arguments::from_vec(arguments),
    };
    if reader.flag("--help") || reader.arguments.contains("-h") {
        return reader.help();
    }
    let mut endpoints = reader.values("--endpoint")?;
    if endpoints.is_empty() {
        endpoints.push(DEFAULT_ENDPOINT);
    }
    let json = reader.flag("--json");
    let change_id = reader.value("--change-id")?;
    let limit = reader.value::<u32>("--limit")?;
    let limit = limit.map_or(DEFAULT_LIMIT, |seconds| Duration::from_secs(seconds.into()));
    let command = reader.command()?;
    let left = reader.arguments.finish();
    if let Some(first) = left.first() {
        let shown = first.to_string_lossy();
        return Err(UsageError::new(format!("unexpected argument {shown:?}")));
    }
    Ok(Invocation {
        endpoints,
        json,
        change_id,
        limit,
        command,
    })
}

struct Reader {
    arguments: Arguments,
}

impl Reader {
    fn help(mut self) -> Parsed<Invocation> {
        let mut words = Vec::new();
        while let Some(word) = self.arguments.subcommand()? {
            words.push(word);
        }
        let page = help::page(&words.join(" "));
        Ok(Invocation {
            endpoints: Vec::new(),
            json: false,
            change_id: None,
            limit: DEFAULT_LIMIT,
            command: Command::Help(page),
        })
    }

    fn flag(&mut self, name: &'static str) -> bool {
        self.arguments.contains(name)
    }

    fn value<T: FromStr>(&mut self, name: &'static str) -> Parsed<Option<T>>
    where
        T::Err: std::fmt::Display,
    {
        Ok(self.arguments.opt_value_from_str(name)?)
    }

    fn values<T: FromStr>(&mut self, name: &'static str) -> Parsed<Vec<T>>
    where
        T::Err: std::fmt::Display,
    {
        Ok(self.arguments.values_from_str(name)?)
    }

    fn required<T: FromStr>(&mut self, name: &'static str) -> Parsed<T>
    where
        T::Err: std::fmt::Display,
    {
        let value = self.value(name)?;
        value.ok_or_else(|| UsageError::new(format!("{name} is missing")))
    }

    /// The next free argument, called `what` when it is missing.
    fn free<T: FromStr>(&mut self, what: &str) -> Parsed<T>
    where
        T::Err: std::fmt::Display,
    {
        let text = self.optional_free()?;
        let text = text.ok_or_else(|| UsageError::new(format!("{what} is missing")))?;
        let parsed = text.parse();
        parsed.map_err(|error| UsageError::new(format!("{what} {text:?}: {error}")))
    }

    fn optional_free(&mut self) -> Parsed<Option<String>> {
        let text: Option<String> = self.arguments.opt_free_from_str()?;
        match text {
            Some(text) if text.starts_with('-') => {
                Err(UsageError::new(format!("unknown option {text}")))
            }
            other => Ok(other),
        }
    }
}
