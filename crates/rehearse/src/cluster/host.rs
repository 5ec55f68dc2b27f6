//! One machine of a rehearsal: a thread with a single-threaded runtime of its own, which runs a node
//! and its back ends as processes would.
//!
//! Dropping the runtime ends everything on the machine at once, as a crash does. Blocking the
//! runtime's thread stops everything on it while the clocks run on, as a frozen machine does.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use wingspar_node::{Addresses, Node, NodeError};
use wingspar_settings::Settings;
use wingspar_standins::backend::{Backend, BackendSettings, BackendStandIn};

/// What runs on a machine.
#[derive(Debug, Clone)]
pub struct HostPlan {
    /// The node.
    pub settings: Settings,
    /// Back ends with the addresses to bind.
    pub backends: Vec<(SocketAddr, BackendSettings)>,
}

/// A back end that runs, or ran, on a machine.
#[derive(Debug, Clone)]
pub struct HostedBackend {
    /// Its name, which is its target's.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// What it knows; can be read after the machine has died.
    pub state: Arc<Backend>,
}

/// Why a machine did not start.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The node can't start.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// A back end can't start, or there is no thread or runtime.
    #[error("a machine can't be set up: {0}")]
    Io(#[from] io::Error),
    /// The machine's thread ended before it said why.
    #[error("a machine ended while it started")]
    Ended,
}

enum Command {
    Stop,
    Kill,
    Freeze(Duration),
}

struct Started {
    addresses: Addresses,
    backends: Vec<HostedBackend>,
}

/// A running machine.
#[derive(Debug)]
pub struct Host {
    addresses: Addresses,
    backends: Vec<HostedBackend>,
    commands: mpsc::UnboundedSender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Starts a machine and waits until its addresses are bound.
    ///
    /// # Errors
    /// When an address can't be bound or the node refuses its settings.
    pub async fn start(plan: HostPlan) -> Result<Self, HostError> {
        let (commands, inbox) = mpsc::unbounded_channel();
        let (report, started) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name(plan.settings.machine.name.to_string())
            .spawn(move || run_machine(plan, inbox, report))?;
        let started = started.await.map_err(|_| HostError::Ended)??;
        Ok(Self {
            addresses: started.addresses,
            backends: started.backends,
            commands,
            thread: Some(thread),
        })
    }

    /// The addresses that its node has bound.
    #[must_use]
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Its back ends.
    #[must_use]
    pub fn backends(&self) -> &[HostedBackend] {
        &self.backends
    }

    /// Stops everything on the machine for a while; clocks run on.
    pub fn freeze(&self, duration: Duration) {
        self.send(Command::Freeze(duration));
    }

    /// Asks the node for a planned stop; the machine ends when that is done.
    pub fn stop(&self) {
        self.send(Command::Stop);
    }

    /// Whether the machine has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Ends the machine as a crash would, and waits until its addresses are free.
    pub fn kill(mut self) {
        self.end();
    }

    fn send(&self, command: Command) {
        // A machine that has ended needs no more commands.
        let _ = self.commands.send(command);
    }

    fn end(&mut self) {
        self.send(Command::Kill);
        if let Some(thread) = self.thread.take() {
            // A panic in there was counted and printed by the panic hook.
            let _ = thread.join();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end();
    }
}

fn run_machine(
    plan: HostPlan,
    inbox: mpsc::UnboundedReceiver<Command>,
    report: oneshot::Sender<Result<Started, HostError>>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        // Dropping the runtime afterwards drops every task that is left.
        Ok(runtime) => runtime.block_on(serve(plan, inbox, report)),
        Err(error) => {
            let _nobody_waits = report.send(Err(error.into()));
        }
    }
}

async fn serve(
    plan: HostPlan,
    mut inbox: mpsc::UnboundedReceiver<Command>,
    report: oneshot::Sender<Result<Started, HostError>>,
) {
    let (node, servers, started) = match start(plan).await {
        Ok(parts) => parts,
        Err(error) => {
            let _nobody_waits = report.send(Err(error));
            return;
        }
    };
    if report.send(Ok(started)).is_err() {
        return;
    }
    while let Some(command) = inbox.recv().await {
        match command {
            Command::Kill => return,
            // Blocks the whole runtime on purpose.
            Command::Freeze(duration) => std::thread::sleep(duration),
            Command::Stop => break,
        }
    }
    node.stop();
    tokio::select! {
        () = node.stopped() => {}
        () = killed(&mut inbox) => {}
    }
    drop(servers);
}

async fn killed(inbox: &mut mpsc::UnboundedReceiver<Command>) {
    while let Some(command) = inbox.recv().await {
        match command {
            Command::Kill => return,
            Command::Freeze(duration) => std::thread::sleep(duration),
            Command::Stop => {}
        }
    }
}

async fn start(plan: HostPlan) -> Result<(Node, Vec<BackendStandIn>, Started), HostError> {
    let mut servers = Vec::new();
    let mut backends = Vec::new();
    for (address, settings) in plan.backends {
        let name = settings.name.clone();
        let server = BackendStandIn::start(address, settings).await?;
        backends.push(HostedBackend {
            name,
            address: server.local_addr(),
            state: Arc::clone(server.backend()),
        });
        servers.push(server);
    }
    let node = Node::start(plan.settings).await?;
    let addresses = node.addresses().clone();
    let started = Started {
        addresses,
        backends,
    };
    Ok((node, servers, started))
}
