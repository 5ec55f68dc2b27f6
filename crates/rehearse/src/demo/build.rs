//! The program `wingspar` beside this one.

use std::env;
use std::path::{Path, PathBuf};
use std::process::Command;

use super::DemoError;

/// Set by cargo for what it runs: cargo's own path.
const CARGO: &str = "CARGO";
/// Set by cargo for what it runs: the folder of the package.
const PACKAGE: &str = "CARGO_MANIFEST_DIR";

/// The program; where cargo runs the demonstration, it brings the program up to date first.
pub(super) fn program(progress: &dyn Fn(&str)) -> Result<PathBuf, DemoError> {
    let own = env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    if let (Some(cargo), Some(package)) = (env::var_os(CARGO), env::var_os(PACKAGE)) {
        progress("cargo brings the program wingspar up to date");
        let mut build = Command::new(cargo);
        // Of the whole workspace, as cargo has built this program: with the features of one package alone, cargo would
        // compile what both share again.
        build
            .args(["build", "--workspace", "--bin", "wingspar"])
            .arg("--manifest-path")
            .arg(Path::new(&package).join("Cargo.toml"));
        if let Some(target) = folder.parent() {
            build.arg("--target-dir").arg(target);
        }
        if folder.ends_with("release") {
            build.arg("--release");
        }
        let status = build.status()?;
        if !status.success() {
            return Err(DemoError::Build(status.to_string()));
        }
    }
    let program = folder.join("wingspar");
    if program.exists() {
        Ok(program)
    } else {
        Err(DemoError::NoProgram(program))
    }
}
