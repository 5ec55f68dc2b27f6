//! The command line as operators see it.

use std::path::PathBuf;
use std::process::{Command, Output};

fn wingspar(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wingspar"));
    command.args(arguments).output().unwrap()
}

fn example() -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let path = root.join("docs/examples/node.toml");
    path.to_str().unwrap().to_owned()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[test]
fn check_accepts_the_example() {
    let checked = wingspar(&["check", &example()]);
    assert_eq!(checked.status.code(), Some(0), "{checked:?}");
    let with_flags = wingspar(&["check", "--zone", "neuadd-b", &example()]);
    assert_eq!(with_flags.status.code(), Some(0), "{with_flags:?}");
}

#[test]
fn check_reports_every_mistake_and_ends_with_three() {
    let path = format!("{}/wrong.toml", env!("CARGO_TARGET_TMPDIR"));
    let example = std::fs::read_to_string(example()).unwrap();
    let wrong = example
        .replace("\"neuadd-a\"", "7")
        .replace("lease_ms = 1500", "lease_ms = 900")
        .replace("json = false", "jason = false");
    std::fs::write(&path, wrong).unwrap();
    let checked = wingspar(&["check", &path]);
    assert_eq!(checked.status.code(), Some(3));
    let told = text(&checked.stderr);
    for field in ["machine.zone", "timing.lease_ms", "telemetry.jason"] {
        assert!(told.contains(&format!(": {field}: given ")), "{told}");
    }
    assert!(told.ends_with(": 3 mistakes\n"), "{told}");
    let node = wingspar(&["node", "--settings", &path]);
    assert_eq!(node.status.code(), Some(3));
    assert_eq!(
        wingspar(&["check", "no-such-file.toml"]).status.code(),
        Some(3)
    );
}

#[test]
fn wrong_usage_ends_with_two() {
    let example = example();
    for arguments in [
        &[][..],
        &["serve"],
        &["node"],
        &["check"],
        &["check", &example, "more"],
        &["node", "--settings", &example, "--colour", "red"],
        &["ctl"],
    ] {
        let ended = wingspar(arguments);
        assert_eq!(ended.status.code(), Some(2), "{arguments:?}: {ended:?}");
        assert!(text(&ended.stderr).starts_with("error: "), "{ended:?}");
    }
}

#[test]
fn help_and_version_are_printed() {
    let help = text(&wingspar(&["--help"]).stdout);
    for word in [
        "--settings FILE",
        "--agent-listen",
        "Exit codes",
        "Examples",
    ] {
        assert!(help.contains(word), "{word}: {help}");
    }
    let version = text(&wingspar(&["--version"]).stdout);
    assert_eq!(version, format!("wingspar {}\n", env!("CARGO_PKG_VERSION")));
    let ctl = wingspar(&["ctl", "move", "--help"]);
    assert_eq!(ctl.status.code(), Some(0));
    assert!(text(&ctl.stdout).contains("wingspar ctl move"));
}

#[test]
fn a_request_is_explained_from_log_files() {
    let folder = std::env::temp_dir().join(format!("wingspar-explain-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("node.log");
    let line = r#"{"at_ms":1,"node":"n","event":"request","id":"x1","tried":"","sends":0,"outcome":"no_route","detail":""}"#;
    std::fs::write(&file, line).expect("a file");
    let path = file.to_str().expect("a plain path");
    let told = wingspar(&["explain", "x1", path]);
    assert!(told.status.success());
    assert!(String::from_utf8_lossy(&told.stdout).contains("Cause: no_route"));
    assert_eq!(wingspar(&["explain", "x2", path]).status.code(), Some(1));
    assert_eq!(wingspar(&["explain", "x1"]).status.code(), Some(2));
    let missing = wingspar(&["explain", "x1", "no-such-file"]);
    assert_eq!(missing.status.code(), Some(1));
    std::fs::remove_dir_all(&folder).expect("the folder goes");
}
