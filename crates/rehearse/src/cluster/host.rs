//! One machine of a rehearsal: a thread for its node and one for its back ends, each with a
//! single-threaded runtime of its own, as processes have.
//!
//! Dropping the runtimes ends everything on the machine at once, as a crash does. Blocking their
//! threads stops everything while the clocks run on, as a frozen machine does.

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

/// What a machine's threads are told.
#[derive(Debug, Clone, Copy)]
enum Command {
    Stop,
    Kill,
    Freeze(Duration),
}

/// One of a machine's threads.
#[derive(Debug)]
struct Worker {
    commands: mpsc::UnboundedSender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    /// Starts a thread that runs `serve` on a runtime of its own, and waits for its report.
    async fn start<T, F>(
        name: &str,
        serve: impl FnOnce(Inbox, Report<T>) -> F + Send + 'static,
    ) -> Result<(Self, T), HostError>
    where
        T: Send + 'static,
        F: Future<Output = ()>,
    {
        let (commands, inbox) = mpsc::unbounded_channel();
        let (report, started) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run_on_runtime(|| serve(inbox, report)))?;
        let worker = Self {
            commands,
            thread: Some(thread),
        };
        let started = started.await.map_err(|_| HostError::Ended)??;
        Ok((worker, started))
    }

    fn send(&self, command: Command) {
        // A thread that has ended needs no more commands.
        let _ = self.commands.send(command);
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.send(Command::Kill);
        if let Some(thread) = self.thread.take() {
            // A panic in there was counted and printed by the panic hook.
            let _ = thread.join();
        }
    }
}

type Inbox = mpsc::UnboundedReceiver<Command>;
type Report<T> = oneshot::Sender<Result<T, HostError>>;

/// A running machine.
#[derive(Debug)]
pub struct Host {
    addresses: Addresses,
    backends: Vec<HostedBackend>,
    workers: Vec<Worker>,
}

impl Host {
    /// Starts a machine and waits until its addresses are bound.
    ///
    /// # Errors
    /// When an address can't be bound or the node refuses its settings.
    pub async fn start(plan: HostPlan) -> Result<Self, HostError> {
        let HostPlan { settings, backends } = plan;
        let name = settings.machine.name.to_string();
        let mut workers = Vec::new();
        let mut hosted = Vec::new();
        if !backends.is_empty() {
            let serve = |inbox, report| serve_backends(backends, inbox, report);
            let (worker, started) = Worker::start(&format!("{name}-back"), serve).await?;
            workers.push(worker);
            hosted = started;
        }
        let serve = |inbox, report| serve_node(settings, inbox, report);
        let (worker, addresses) = Worker::start(&name, serve).await?;
        workers.push(worker);
        Ok(Self {
            addresses,
            backends: hosted,
            workers,
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

    /// Asks the node for a planned stop; its back ends go on.
    pub fn stop(&self) {
        self.send(Command::Stop);
    }

    /// Ends the machine as a crash would, and waits until its addresses are free.
    pub fn kill(self) {
        self.send(Command::Kill);
        drop(self);
    }

    fn send(&self, command: Command) {
        for worker in &self.workers {
            worker.send(command);
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // All are told before the first is waited for.
        self.send(Command::Kill);
    }
}

fn run_on_runtime<F: Future<Output = ()>>(serve: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    // Without a runtime the report is never made, which the waiting side takes as its end. Dropping
    // the runtime afterwards drops every task that is left.
    if let Ok(runtime) = runtime {
        runtime.block_on(serve());
    }
}

/// Carries commands out until one of them ends the thread's work.
async fn attend(inbox: &mut Inbox) -> Command {
    while let Some(command) = inbox.recv().await {
        match command {
            Command::Kill | Command::Stop => return command,
            // Blocks the whole runtime on purpose.
            Command::Freeze(duration) => std::thread::sleep(duration),
        }
    }
    Command::Kill
}

async fn serve_node(settings: Settings, mut inbox: Inbox, report: Report<Addresses>) {
    let node = match Node::start(settings).await {
        Ok(node) => node,
        Err(error) => {
            let _nobody_waits = report.send(Err(error.into()));
            return;
        }
    };
    if report.send(Ok(node.addresses().clone())).is_err() {
        return;
    }
    if matches!(attend(&mut inbox).await, Command::Kill) {
        return;
    }
    node.stop();
    tokio::select! {
        () = node.stopped() => {}
        _ = attend(&mut inbox) => {}
    }
}

async fn serve_backends(
    plans: Vec<(SocketAddr, BackendSettings)>,
    mut inbox: Inbox,
    report: Report<Vec<HostedBackend>>,
) {
    let names = plans.iter().map(|(_, settings)| settings.name.clone());
    let names = names.collect::<Vec<_>>();
    let servers = match start_backends(plans).await {
        Ok(servers) => servers,
        Err(error) => {
            let _nobody_waits = report.send(Err(error.into()));
            return;
        }
    };
    let hosted = names.into_iter().zip(&servers);
    let hosted = hosted.map(|(name, server)| HostedBackend {
        name,
        address: server.local_addr(),
        state: Arc::clone(server.backend()),
    });
    if report.send(Ok(hosted.collect())).is_err() {
        return;
    }
    while matches!(attend(&mut inbox).await, Command::Stop) {}
}

async fn start_backends(
    plans: Vec<(SocketAddr, BackendSettings)>,
) -> io::Result<Vec<BackendStandIn>> {
    let mut servers = Vec::new();
    for (address, settings) in plans {
        servers.push(BackendStandIn::start(address, settings).await?);
    }
    Ok(servers)
}
