//! A request that crashes its target comes again and again; the target is back each time under the id that it had.

use std::io::{Error, Result};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, Machine, TEGID, Wanted, configuration, route, send};
use crate::record::Record;

const ZONES: [&str; 4] = ["neuadd-a", "neuadd-b", "neuadd-c", "neuadd-d"];
const CONTACT: Duration = Duration::from_secs(3);
const MOST_RETRIES: usize = 3;
/// How long a target is away after a crash ("some seconds").
const AWAY: Duration = Duration::from_millis(2_500);
const PATH: &str = "/tal/deposit/4711";
const BODY: &[u8] = b"{\"deposit\":4711}";
const DEADLINE: Duration = Duration::from_millis(2_500);

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
                away: AWAY,
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
    let client = deployment.machine("stoc", ZONES[0]);
    let targets = deployment
        .machines
        .iter()
        .filter(|machine| machine.service == "tal");
    let targets = targets
        .map(|machine| machine.target.clone())
        .collect::<Vec<_>>();
    if trouble {
        targets
            .iter()
            .for_each(|target| target.set_crashes_on(Some(PATH)));
    }
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for machine in &deployment.machines {
            scope.spawn(|| others(machine, record, &is_over));
        }
        come_again(client, record);
        is_over.store(true, Ordering::SeqCst);
    });
    let mut runs = Vec::new();
    for target in &targets {
        runs.extend(
            target
                .0
                .runs
                .lock()
                .unwrap()
                .iter()
                .filter(|run| run.path == PATH)
                .cloned(),
        );
    }
    runs.sort_by_key(|run| run.arrived);
    for target in &targets {
        let crashes = target.0.crashes.load(Ordering::SeqCst);
        record.line(&format!("{} crashed {crashes} times", target.0.name));
    }
    if runs.is_empty() {
        return Err(Error::other("no target began to run the request"));
    }
    if !trouble {
        return Ok(Verdict {
            held: true,
            reason: format!("no crash in {} runs", runs.len()),
        });
    }
    let Some(third) = runs.get(2) else {
        return Ok(Verdict {
            held: true,
            reason: format!("{} crashes", runs.len()),
        });
    };
    let later = runs
        .iter()
        .filter(|run| run.arrived > third.arrived + CONTACT);
    let later = later.map(|run| run.id.as_str()).collect::<Vec<_>>();
    let reason = format!(
        "{} of the request's retries reached targets later than {} s after it had crashed the third; {MOST_RETRIES} may: {}",
        later.len(),
        CONTACT.as_secs(),
        later.join(" ")
    );
    Ok(Verdict {
        held: later.len() <= MOST_RETRIES,
        reason,
    })
}

/// The request comes each 7 s at one machine, each time with an id of its own.
fn come_again(client: &Machine, record: &Record) {
    let until = Instant::now() + Duration::from_secs(62);
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("crashing-{number}");
        record.line(&format!("{id} is sent at {}: POST {PATH}", client.name));
        let answer = send(client, "POST", PATH, &id, None, DEADLINE, BODY);
        let answer = match answer {
            Ok(answer) => format!(
                "{} {}",
                answer.status,
                String::from_utf8_lossy(&answer.body)
            ),
            Err(error) => format!("no answer: {error}"),
        };
        record.line(&format!("{id} is answered: {answer}"));
        thread::sleep(Duration::from_secs(7));
    }
}

/// The machine's other clients: each request is another one.
fn others(machine: &Machine, record: &Record, is_over: &AtomicBool) {
    let mut number = 0_u32;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("other-{}-{number}", machine.name);
        if number.is_multiple_of(2) {
            let path = format!("/tal/deposit/{}-{number}", machine.name);
            let answer = send(machine, "POST", &path, &id, None, DEADLINE, id.as_bytes());
            let lost = answer.map_or(true, |answer| answer.status == 502);
            if lost {
                record.line(&format!("{id}, another deposit, is lost with the target"));
            }
        } else {
            let path = format!("/stoc/{}-{number}", machine.name);
            let key = Some((number.wrapping_mul(7919) % 65_536) as u16);
            let _answer = send(machine, "GET", &path, &id, key, DEADLINE, b"");
        }
        thread::sleep(Duration::from_millis(60));
    }
}
