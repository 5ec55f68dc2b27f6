//! The processes of a deployment: started, stopped, killed and lost.

use std::process::Command;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::machine::{log_file, logs};

impl Deployment {
    /// Starts a machine's process.
    pub fn start_process(&mut self, node: usize) {
        let machine = &mut self.nodes[node];
        let process = Command::new(env!("CARGO_BIN_EXE_wingspar"))
            .args(["sidecar", "--settings"])
            .arg(&machine.settings)
            .stdout(match &machine.log {
                Some(path) => log_file(path),
                None => logs(),
            })
            .spawn()
            .expect("it starts");
        machine.process = Some(process);
        // From now on it isn't the system's first start.
        let text = std::fs::read_to_string(&machine.settings).expect("settings");
        let later = text.replace("first_start = true", "first_start = false");
        if later != text {
            std::thread::sleep(Duration::from_millis(300));
            std::fs::write(&machine.settings, later).expect("settings");
        }
    }

    /// Kills a machine's process.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut process) = self.nodes[node].process.take() {
            process.kill().expect("it is ours");
            process.wait().expect("it ends");
        }
    }

    /// Takes a machine away with its process and its target.
    pub async fn lose(&mut self, node: usize) {
        self.kill(node);
        if let Some(sending) = self.nodes[node].sending.take() {
            sending.abort();
        }
        if let Some(target) = self.nodes[node].target.take() {
            target.shutdown().await;
        }
    }

    /// Asks a machine's process to stop.
    pub fn terminate(&self, node: usize) {
        self.signal(node, "-TERM");
    }

    /// Sends a signal to a machine's process.
    pub fn signal(&self, node: usize, signal: &str) {
        let process = self.nodes[node].process.as_ref().expect("a process");
        let id = process.id().to_string();
        let told = Command::new("kill")
            .args([signal, &id])
            .status()
            .expect("kill");
        assert!(told.success());
    }

    /// Waits for a machine's process to end; whether it did so as planned.
    pub async fn exited_well(&mut self, node: usize) -> bool {
        let mut process = self.nodes[node].process.take().expect("a process");
        for _ in 0..400 {
            if let Some(status) = process.try_wait().expect("a status") {
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let _killed = process.kill();
        false
    }
}
