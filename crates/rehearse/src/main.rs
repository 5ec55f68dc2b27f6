//! The rehearsal kit's command line.

use std::ffi::OsString;
use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<OsString> = std::env::args_os().skip(1).collect();
    wingspar_rehearse::command::run(words)
}
