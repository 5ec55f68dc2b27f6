//! A stand-alone binary for the node. It runs on machines that belong to the applications, where a
//! process without the operators' command line uses a quarter less memory when idle.

use std::process::ExitCode;

fn main() -> ExitCode {
    wingspar_sidecar::command::main(std::env::args_os().skip(1).collect())
}
