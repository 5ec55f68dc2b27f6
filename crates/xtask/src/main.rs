//! Maintenance tasks: `cargo run -p xtask -- generate`.

use std::process::ExitCode;

const USAGE: &str = "\
Usage: cargo run -p xtask -- TASK

Tasks:
  generate    write the operator API's code from its schema into crates/api/src/generated
";

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let task = arguments.subcommand().ok().flatten();
    if task.as_deref() != Some("generate") || !arguments.finish().is_empty() {
        eprint!("{USAGE}");
        return ExitCode::from(2);
    }
    let folder = xtask::api_folder().join("src/generated");
    match xtask::generate(&folder) {
        Ok(()) => {
            println!("wrote {}", xtask::GENERATED);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
