//! The node's own program: arguments and exit codes.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wingspar-sidecar"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

#[test]
fn wrong_usage_ends_with_two() {
    for arguments in [&[][..], &["--settings"], &["--settings", "a.toml", "more"]] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?} says nothing");
    }
}

#[test]
fn settings_that_cannot_be_read_end_with_three() {
    let output = run(&["--settings", "no-such-file.toml"]);
    assert_eq!(output.status.code(), Some(3));
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(told.contains("no-such-file.toml"), "{told}");
}

#[test]
fn help_is_no_error() {
    assert_eq!(run(&["--help"]).status.code(), Some(0));
}
