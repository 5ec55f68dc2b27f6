//! Targets in need name a limit; one of them sends an answer from before its need a second time, late.

use std::collections::HashMap;
use std::io::{Error, Result};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, Machine, TEGID, Wanted, configuration, route, send};
use crate::record::Record;

const ZONES: [&str; 4] = ["neuadd-a", "neuadd-b", "neuadd-c", "neuadd-d"];
/// Clients of the machine that sends requests.
const CLIENTS: usize = 72;
const LIMIT: f64 = 1.0;
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const KNOWN_FOR: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(2_500);

/// When a machine first passed on an answer that names a target's limit, by machine and target.
type Told = Mutex<HashMap<(String, String), Instant>>;

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Verdict> {
    let mut wanted = Vec::new();
    for zone in ZONES {
        for (service, keyed) in [("stoc", true), ("tal", false)] {
            let work = Duration::from_millis(100);
            wanted.push(Wanted {
                service,
                zone,
                keyed,
                slots: 18,
                work,
                away: Duration::from_secs(2),
            });
        }
    }
    let routes = [
        route("/stoc/", "idempotent", "stoc", 1.0, 0.3),
        route("/tal/", "non_idempotent", "tal", 1.2, 0.4),
    ];
    let configuration = configuration(&routes, &[("stoc", true), ("tal", false)]);
    let deployment = Deployment::start(&wanted, &TEGID, &configuration, record)?;
    thread::sleep(Duration::from_secs(3));
    let targets = deployment
        .machines
        .iter()
        .filter(|machine| machine.service == "tal");
    let targets = targets
        .map(|machine| machine.target.clone())
        .collect::<Vec<_>>();
    let told = Told::default();
    let (is_over, number) = (AtomicBool::new(false), AtomicUsize::new(0));
    let mut named_at = Instant::now();
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            let machine = deployment.machine("stoc", ZONES[0]);
            scope.spawn(|| client(machine, record, &told, &is_over, &number));
        }
        thread::sleep(Duration::from_secs(4));
        record.line(&format!(
            "the targets of tal are in need: each names Server-Limit {LIMIT:.1}"
        ));
        named_at = Instant::now();
        targets
            .iter()
            .for_each(|target| target.set_need(LIMIT, Duration::from_millis(600)));
        thread::sleep(Duration::from_millis(5_500));
        if trouble {
            targets[0].send_second_answer();
        }
        thread::sleep(Duration::from_secs(8));
        is_over.store(true, Ordering::SeqCst);
    });
    let told = told.into_inner().unwrap();
    let most = LIMIT * WINDOW.as_secs_f64() * 1.5 + 5.0;
    let mut worst = (0, String::new());
    for target in &targets {
        let name = &target.0.name;
        let mut arrivals = Vec::new();
        for run in target.0.runs.lock().unwrap().iter() {
            let machine = run.id.split('/').next().unwrap_or("").to_owned();
            let knew = told.get(&(machine, name.clone()));
            let is_bound = knew.is_some_and(|knew| run.arrived >= *knew + KNOWN_FOR);
            let counts = is_bound && run.arrived >= named_at + CONTACT;
            record.line_at(
                run.arrived,
                &format!(
                    "{} reached {name}{}",
                    run.id,
                    if counts { "" } else { " (isn't counted)" }
                ),
            );
            if counts {
                arrivals.push(run.arrived);
            }
        }
        arrivals.sort_unstable();
        for (index, first) in arrivals.iter().enumerate() {
            let within = arrivals[index..]
                .iter()
                .take_while(|at| **at - *first <= WINDOW)
                .count();
            if within > worst.0 {
                worst = (within, name.clone());
            }
        }
    }
    if worst.0 == 0 {
        return Err(Error::other("no target got a request that counts"));
    }
    let reason = format!(
        "{} got {} requests in {} s, {most} may reach it",
        worst.1,
        worst.0,
        WINDOW.as_secs()
    );
    Ok(Verdict {
        held: worst.0 as f64 <= most,
        reason,
    })
}

/// Sends one request after the other at a machine.
fn client(
    machine: &Machine,
    record: &Record,
    told: &Told,
    is_over: &AtomicBool,
    number: &AtomicUsize,
) {
    while !is_over.load(Ordering::SeqCst) {
        let id = format!("{}/{}", machine.name, number.fetch_add(1, Ordering::SeqCst));
        let path = format!("/tal/deposit/{id}");
        let answer = send(machine, "POST", &path, &id, None, DEADLINE, id.as_bytes());
        let text = match &answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => format!("no answer: {error}"),
        };
        record.line(&format!("{id} is answered: {text}"));
        if let Ok(answer) = &answer
            && answer.head.header("server-limit").is_some()
            && let Some(target) = answer.head.header("x-wingspar-instance-id")
        {
            let key = (machine.name.clone(), target.to_owned());
            told.lock().unwrap().entry(key).or_insert_with(Instant::now);
        }
        thread::sleep(Duration::from_millis(450));
    }
}
