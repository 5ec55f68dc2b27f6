//! The wingspar process and command line.

mod explain;

use std::ffi::OsString;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use pico_args::Arguments;
use wingspar_settings::{Mistake, OVERRIDE_FLAGS, Overrides, Settings, check_with};

/// The node could not start or go on.
const FAILED: u8 = 1;
/// The command line is wrong.
const WRONG_USAGE: u8 = 2;
/// The settings are wrong.
const WRONG_SETTINGS: u8 = 3;

const HELP: &str = "\
Routes requests to servers that own their keys exclusively.

Usage:
  wingspar node --settings FILE [FLAGS]  run this machine's node until SIGTERM or SIGINT
  wingspar sidecar --settings FILE       run this machine's node on the users' platform until SIGTERM
  wingspar check FILE [FLAGS]            check settings; report every mistake
  wingspar explain ID FILE...            tell from nodes' logs what became of a request
  wingspar ctl COMMAND                   operators' commands; see wingspar ctl --help
  wingspar --version
  wingspar --help

Exit codes of node, sidecar and check:
  0 stopped as planned, or settings are valid    2 wrong usage
  1 the node could not start or go on            3 settings have mistakes or can't be read

Examples:
  wingspar check node.toml
  wingspar node --settings node.toml
  wingspar node --settings node.toml --zone neuadd-b --control-address 10.0.0.7:7400
  wingspar ctl --endpoint 10.0.0.1:7401 group

Flags that replace settings:
";

fn main() -> ExitCode {
    let mut words = std::env::args_os().skip(1).collect::<Vec<_>>();
    let command = if words.is_empty() {
        OsString::new()
    } else {
        words.remove(0)
    };
    match command.to_str() {
        Some("node") => node(words),
        Some("sidecar") => wingspar_sidecar::command::main(words),
        Some("check") => check(words),
        Some("explain") => explain::run(&words)
            .unwrap_or_else(|| usage("explain: an id and a file of log lines are needed")),
        Some("ctl") => ExitCode::from(wingspar_ctl::run(words)),
        Some("--version" | "-V") => {
            println!("wingspar {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Some("--help" | "-h" | "help") => help(),
        Some("") => usage("a command is missing"),
        _ => usage(&format!("unknown command {command:?}")),
    }
}

fn help() -> ExitCode {
    print!("{HELP}");
    for flag in OVERRIDE_FLAGS {
        println!("  {:<20} {}", flag.flag, flag.help);
    }
    ExitCode::SUCCESS
}

fn usage(message: &str) -> ExitCode {
    eprintln!("error: {message}");
    eprintln!("See wingspar --help.");
    ExitCode::from(WRONG_USAGE)
}

fn node(words: Vec<OsString>) -> ExitCode {
    let mut arguments = Arguments::from_vec(words);
    if arguments.contains(["-h", "--help"]) {
        return help();
    }
    let path = match arguments.value_from_str::<_, PathBuf>("--settings") {
        Ok(path) => path,
        Err(error) => return usage(&error.to_string()),
    };
    match read_settings(arguments, path) {
        Ok(settings) => run(settings),
        Err(code) => code,
    }
}

fn run(settings: Settings) -> ExitCode {
    match wingspar_node::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(FAILED)
        }
    }
}

fn check(words: Vec<OsString>) -> ExitCode {
    let mut arguments = Arguments::from_vec(words);
    if arguments.contains(["-h", "--help"]) {
        return help();
    }
    // Flags take their values first, so that what is left over is the file.
    let overrides = match read_overrides(&mut arguments) {
        Ok(overrides) => overrides,
        Err(error) => return usage(&error.to_string()),
    };
    let path = match arguments.free_from_str::<PathBuf>() {
        Ok(path) => path,
        Err(_) => return usage("check: FILE is missing"),
    };
    if let Err(code) = nothing_left(arguments) {
        return code;
    }
    match load(&path, &overrides) {
        Ok(_) => {
            println!("{}: valid", path.display());
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn read_settings(mut arguments: Arguments, path: PathBuf) -> Result<Settings, ExitCode> {
    let overrides = read_overrides(&mut arguments);
    let overrides = overrides.map_err(|error| usage(&error.to_string()))?;
    nothing_left(arguments)?;
    load(&path, &overrides)
}

fn read_overrides(arguments: &mut Arguments) -> Result<Overrides, pico_args::Error> {
    let mut overrides = Overrides::default();
    for flag in OVERRIDE_FLAGS {
        if let Some(value) = arguments.opt_value_from_str::<_, String>(flag.flag)? {
            overrides.set(flag, value);
        }
    }
    Ok(overrides)
}

fn nothing_left(arguments: Arguments) -> Result<(), ExitCode> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(word) => Err(usage(&format!("unexpected argument {word:?}"))),
    }
}

fn load(path: &Path, overrides: &Overrides) -> Result<Settings, ExitCode> {
    let text = fs::read_to_string(path).map_err(|error| {
        eprintln!("error: {}: {error}", path.display());
        ExitCode::from(WRONG_SETTINGS)
    })?;
    check_with(&text, overrides).map_err(|mistakes| report(path, &mistakes))
}

fn report(path: &Path, mistakes: &[Mistake]) -> ExitCode {
    for mistake in mistakes {
        eprintln!("{mistake}");
    }
    eprintln!("{}: {} mistakes", path.display(), mistakes.len());
    ExitCode::from(WRONG_SETTINGS)
}
