//! The node by itself: on machines that belong to the applications, a process without the operators' command line needs a
//! quarter less memory when it rests.

use std::process::ExitCode;

fn main() -> ExitCode {
    wingspar_sidecar::command::main(std::env::args_os().skip(1).collect())
}
