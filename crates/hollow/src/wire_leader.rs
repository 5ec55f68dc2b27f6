//! A leader and its followers behind real sockets on loopback, each on a thread of its own, while
//! one generator renews the sessions of many nodes at the shipped interval.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tokio::runtime::{Builder, Runtime};
use wingspar_control::{Control, ControlSettings, Input, Output, StoreReply};
use wingspar_transport::{Inbound, Sender, Settings, Transport};
use wingspar_wire::{Envelope, Message};
use wingspar_world::{GroupId, Incarnation, Machine, MonotonicTime, NodeId};

use crate::configuration::{control_machine, service_name};
use crate::cpu::thread_time;
use crate::platform::Platform;
use crate::ramp::Size;
use generator::Generator;

mod generator;

/// Members of the group.
const MEMBERS: usize = 3;
/// Time until sessions and grants have settled.
const WARM_UP: Duration = Duration::from_secs(6);
/// Shortest time between two ticks, as in the node's loop.
const SHORTEST_TICK: Duration = Duration::from_millis(1);

/// What one member's thread used within the measured time.
#[derive(Debug)]
struct MemberReport {
    led: bool,
    cpu: Duration,
    wall: Duration,
    renewed: u64,
    changes: u64,
    lost: u64,
    served: usize,
}

struct Member {
    control: Control,
    sender: Sender,
    inbound: Inbound,
    platform: Arc<Mutex<Platform>>,
    number: usize,
    origin: Instant,
    stop: Arc<AtomicBool>,
    measuring: Arc<AtomicBool>,
    replies: Vec<StoreReply>,
    batched: bool,
}

/// How a leader is measured.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Terms {
    /// Length of the measurement in seconds.
    pub(crate) seconds: u64,
    /// Drain interval of the datagram socket in milliseconds.
    pub(crate) drain_ms: u64,
    /// Take all messages that are there in one turn of the loop; the node takes one.
    pub(crate) batched: bool,
}

/// Runs a leader with so many nodes and prints what its thread used.
pub(crate) fn report(terms: Terms, size: Size) -> Result<(), String> {
    let nodes = size.agents;
    let Terms {
        seconds,
        drain_ms,
        batched,
    } = terms;
    let failed = |error: std::io::Error| error.to_string();
    let platform = Arc::new(Mutex::new(Platform::new(nodes, size.slices_per_target)));
    let stop = Arc::new(AtomicBool::new(false));
    let measuring = Arc::new(AtomicBool::new(false));
    let settings = Settings {
        drain_interval: Duration::from_millis(drain_ms),
        ..Settings::default()
    };
    let origin = Instant::now();
    let mut bound = Vec::new();
    for _ in 0..MEMBERS {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(failed)?;
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let transport = runtime
            .block_on(Transport::bind(address, settings.clone()))
            .map_err(failed)?;
        bound.push((runtime, transport));
    }
    let seeds: Vec<SocketAddr> = bound.iter().map(|(_, it)| it.local_address()).collect();
    let mut threads = Vec::new();
    for (number, (runtime, transport)) in bound.into_iter().enumerate() {
        let seeds = seeds.clone();
        let (platform, stop, measuring) = (platform.clone(), stop.clone(), measuring.clone());
        threads.push(thread::spawn(move || {
            let machine = Machine {
                control_address: transport.local_address(),
                ..control_machine(number)
            };
            let node = NodeId::new(machine.name.clone(), Incarnation(number as u64 + 1));
            let now = MonotonicTime::from_millis(1_000);
            let terms = ControlSettings::new(GroupId::default());
            let seed = number as u64 + 1;
            let control = Control::new(terms, node.clone(), machine, seeds, seed, now);
            let (sender, inbound) = {
                let _entered = runtime.enter();
                transport.start(node)
            };
            let member = Member {
                control,
                sender,
                inbound,
                platform,
                number,
                origin,
                stop,
                measuring,
                replies: Vec::new(),
                batched,
            };
            member.run(&runtime)
        }));
    }
    let mut generator = Generator::new(size, seeds, origin).map_err(failed)?;
    generator.run(WARM_UP);
    measuring.store(true, Ordering::SeqCst);
    generator.run(Duration::from_secs(seconds));
    measuring.store(false, Ordering::SeqCst);
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let member = thread.join().map_err(|_| "a member panicked".to_owned())?;
        print(&member, size, terms);
    }
    Ok(())
}

fn print(member: &MemberReport, size: Size, terms: Terms) {
    let (nodes, slices) = (size.agents, size.slices_per_target);
    let Terms { drain_ms, .. } = terms;
    let loops = if terms.batched { "batched" } else { "single" };
    let role = if member.led { "leader" } else { "follower" };
    let wall = member.wall.as_secs_f64().max(f64::EPSILON);
    println!(
        "{role} {loops} drain {drain_ms} ms, {nodes} nodes of {slices} slices: {:.2}% of a core, {:.0} renewals/s, {} slices served, {} changes of state, {} sessions lost",
        member.cpu.as_secs_f64() / wall * 100.0,
        member.renewed as f64 / wall,
        member.served,
        member.changes,
        member.lost
    );
}

impl Member {
    fn run(mut self, runtime: &Runtime) -> MemberReport {
        runtime.block_on(async move {
            let mut started: Option<(Duration, Instant, u64, u64)> = None;
            let mut report = MemberReport {
                led: false,
                cpu: Duration::ZERO,
                wall: Duration::ZERO,
                renewed: 0,
                changes: 0,
                lost: 0,
                served: 0,
            };
            while !self.stop.load(Ordering::Relaxed) {
                self.turn().await;
                let measuring = self.measuring.load(Ordering::Relaxed);
                let renewed = self.control.counters().renewed;
                let version = self.control.replica().map(|it| it.state().version());
                let sequence = version.map_or(0, |version| version.sequence);
                match (&started, measuring) {
                    (None, true) => {
                        started = Some((thread_time(), Instant::now(), renewed, sequence))
                    }
                    (Some((cpu, wall, before, first)), true) => {
                        report.cpu = thread_time().saturating_sub(*cpu);
                        report.wall = wall.elapsed();
                        report.renewed = renewed.saturating_sub(*before);
                        report.led = self.control.is_leader();
                        report.changes = sequence.saturating_sub(*first);
                        report.lost = self.control.counters().sessions_lost;
                    }
                    _ => {}
                }
            }
            report.served = self.served();
            report
        })
    }

    /// Slices with an owner.
    fn served(&self) -> usize {
        let state = self.control.replica().map(|replica| replica.state());
        let slices = state.and_then(|state| state.slices(&service_name()));
        slices.map_or(0, |slices| {
            slices.iter().filter(|slice| slice.owner.is_some()).count()
        })
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::from_millis(1_000) + self.origin.elapsed()
    }

    async fn turn(&mut self) {
        let wake = self.now().until(self.control.next_wake());
        let wake = tokio::time::sleep(wake.max(SHORTEST_TICK));
        tokio::select! {
            Some(envelope) = self.inbound.recv() => {
                self.on_envelope(envelope);
                while self.batched && let Ok(envelope) = self.inbound.try_recv() {
                    self.on_envelope(envelope);
                }
            }
            () = wake => {
                self.step(Input::Tick);
                self.answer_watches();
            }
        }
        while let Some(reply) = self.replies.pop() {
            self.step(Input::Store(reply));
        }
    }

    fn on_envelope(&mut self, envelope: Envelope) {
        self.step(Input::Message {
            sender: envelope.sender,
            reply_to: envelope.reply_to,
            message: envelope.message,
        });
    }

    fn step(&mut self, input: Input) {
        let now = self.now();
        let mut outputs = Vec::new();
        self.control.step(now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Send(outbound) => self.sender.send(outbound.to, outbound.message),
                Output::Store(request) => {
                    let mut platform = lock(&self.platform);
                    self.replies.extend(platform.ask(now, self.number, request));
                }
                _ => {}
            }
        }
    }

    fn answer_watches(&mut self) {
        let now = self.now();
        let answered = lock(&self.platform).answer_watches_of(now, self.number);
        self.replies.extend(answered);
    }
}

fn lock(platform: &Mutex<Platform>) -> std::sync::MutexGuard<'_, Platform> {
    platform.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sessions by the send time of the renewal under way.
type Waiting = BTreeMap<MonotonicTime, usize>;

/// Whether a message answers a renewal.
fn renewal_reply(message: Message) -> Option<wingspar_wire::RenewalReply> {
    match message {
        Message::RenewalReply(reply) => Some(reply),
        _ => None,
    }
}
