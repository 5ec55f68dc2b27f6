//! The kit's `hollow` command alone: `cargo run --release -p wingspar-hollow --example hollow -- hollow ramp`.

use std::process::ExitCode;

fn main() -> ExitCode {
    // The first word is `hollow`, as in the rehearsal kit.
    let args = std::env::args_os().skip(2).collect();
    ExitCode::from(wingspar_hollow::run(args))
}
