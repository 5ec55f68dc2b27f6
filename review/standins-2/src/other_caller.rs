//! A request of one caller crashes its targets, while another caller's with the same path and body is served.

use std::io::{Error, Result};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{
    Deployment, KASSAVERKKO, Machine, Wanted, configuration, route, send_as, with_tenants,
};
use crate::record::Record;

const ZONES: [&str; 3] = ["fi-south-a", "fi-south-b", "fi-south-c"];
const CONTACT: Duration = Duration::from_secs(3);
const MOST_RETRIES: usize = 3;
const AWAY: Duration = Duration::from_millis(2_500);
const PATH: &str = "/raportti/statement/7";
const DEADLINE: Duration = Duration::from_secs(6);
/// Clients of the other caller at each machine.
const CLIENTS: usize = 3;
/// The caller whose request crashes targets, and the one whose request doesn't: the services on their machines, and their
/// tenants with their credentials.
const CRASHING: &str = "kauppias";
const CRASHING_TENANT: (&str, &str) = ("kioski", "key-of-kioski");
const OTHER: &str = "selvitys";
const OTHER_TENANT: (&str, &str) = ("kahvila", "key-of-kahvila");

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Verdict> {
    let mut wanted = Vec::new();
    for zone in ZONES {
        for service in [CRASHING, OTHER, "raportti"] {
            let work = Duration::from_millis(640);
            wanted.push(Wanted {
                service,
                zone,
                keyed: false,
                slots: 6,
                work,
                away: AWAY,
            });
        }
    }
    let routes = [route("/raportti/", "idempotent", "raportti", 6.0, 2.5)];
    let services = [(CRASHING, false), (OTHER, false), ("raportti", false)];
    let configuration = configuration(&routes, &services);
    let configuration = with_tenants(&configuration, &[CRASHING_TENANT, OTHER_TENANT]);
    let deployment = Deployment::start(&wanted, &KASSAVERKKO, &configuration, record)?;
    thread::sleep(Duration::from_secs(3));
    let targets = deployment
        .machines
        .iter()
        .filter(|machine| machine.service == "raportti");
    let targets = targets
        .map(|machine| machine.target.clone())
        .collect::<Vec<_>>();
    for target in &targets {
        target.set_new_ids();
        target.set_crashes_for(CRASHING, CRASHING_TENANT.0);
        if trouble {
            target.set_crashes_on(Some(PATH));
        }
    }
    let is_over = AtomicBool::new(false);
    let lost = AtomicUsize::new(0);
    let callers = deployment
        .machines
        .iter()
        .filter(|machine| machine.service == CRASHING);
    let callers = callers.collect::<Vec<_>>();
    thread::scope(|scope| {
        for machine in deployment
            .machines
            .iter()
            .filter(|machine| machine.service == OTHER)
        {
            for client in 0..CLIENTS {
                let (is_over, lost) = (&is_over, &lost);
                scope.spawn(move || others(machine, client, record, is_over, lost));
            }
        }
        thread::sleep(Duration::from_secs(3));
        come_again(&callers, record);
        is_over.store(true, Ordering::SeqCst);
    });
    let mut runs = Vec::new();
    for target in &targets {
        let target_runs = target.0.runs.lock().unwrap();
        runs.extend(
            target_runs
                .iter()
                .filter(|run| run.caller == CRASHING)
                .cloned(),
        );
        let crashes = target.0.crashes.load(Ordering::SeqCst);
        record.line(&format!("{} crashed {crashes} times", target.0.name));
    }
    runs.sort_by_key(|run| run.arrived);
    let lost = lost.load(Ordering::SeqCst);
    record.line(&format!("{lost} requests of {OTHER} were lost"));
    if runs.is_empty() {
        return Err(Error::other("no target began to run the request"));
    }
    if !trouble {
        return Ok(Verdict {
            held: true,
            reason: format!(
                "no crash in {} runs; {lost} requests of {OTHER} were lost",
                runs.len()
            ),
        });
    }
    let Some(third) = runs.get(2) else {
        return Ok(Verdict {
            held: true,
            reason: format!("{} crashes", runs.len()),
        });
    };
    let mut later = runs
        .iter()
        .filter(|run| run.arrived > third.arrived + CONTACT)
        .map(|run| run.id.as_str())
        .collect::<Vec<_>>();
    later.dedup();
    let reason = format!(
        "{} of the request's retries reached targets later than {} s after it had crashed the third; {MOST_RETRIES} may: {}; {lost} requests of {OTHER} were lost",
        later.len(),
        CONTACT.as_secs(),
        later.join(" ")
    );
    Ok(Verdict {
        held: later.len() <= MOST_RETRIES,
        reason,
    })
}

/// The request comes each 7 s, at one machine of its caller after the other, each time with an id of its own.
fn come_again(callers: &[&Machine], record: &Record) {
    let until = Instant::now() + Duration::from_secs(62);
    let mut number = 0;
    while Instant::now() < until {
        let machine = callers[number % callers.len()];
        number += 1;
        let id = format!("crashing-{number}");
        record.line(&format!("{id} is sent at {}: GET {PATH}", machine.name));
        let answer = match send_as(machine, CRASHING_TENANT.1, PATH, &id, DEADLINE) {
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

/// A client of the other caller, whose same request is served. One that a target ran and that fails is lost.
fn others(
    machine: &Machine,
    client: usize,
    record: &Record,
    is_over: &AtomicBool,
    lost: &AtomicUsize,
) {
    let mut number = 0_u32;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("other-{}-{client}-{number}", machine.name);
        let answer = send_as(machine, OTHER_TENANT.1, PATH, &id, DEADLINE);
        let answer = answer.map_or(0, |answer| answer.status);
        if answer != 200 {
            record.line(&format!("{id} is answered: {answer}"));
            if !matches!(answer, 429 | 503) {
                lost.fetch_add(1, Ordering::SeqCst);
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
}
