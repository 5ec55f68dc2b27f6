//! A child process that ends with the test, also when the test panics.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program; its output goes to `<directory>/<name>.log`.
    pub fn start(name: &str, program: &Path, words: &[String], directory: &Path) -> Self {
        let log = directory.join(format!("{name}.log"));
        let output = File::options()
            .append(true)
            .create(true)
            .open(&log)
            .unwrap();
        let child = Command::new(program)
            .args(words)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn();
        let child = child.unwrap_or_else(|error| panic!("{}: {error}", program.display()));
        Self {
            name: name.to_owned(),
            child,
            log,
        }
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill_process(Pid::from_raw(id).unwrap(), signal).unwrap();
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Fails with the process's output when it has ended by itself.
    pub fn assert_alive(&mut self) {
        if let Some(status) = self.ended() {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            panic!("{} ended ({status}):\n{log}", self.name);
        }
    }

    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The program `wingspar`, which cargo puts beside the directory of the tests.
pub fn wingspar() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let profile = test.parent().and_then(Path::parent).unwrap();
    let program = profile.join("wingspar");
    assert!(
        program.exists(),
        "{} is missing: build the workspace's binaries first",
        program.display()
    );
    program
}

/// The program `wingspar-rehearse`.
pub fn rehearse() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_wingspar-rehearse"))
}
