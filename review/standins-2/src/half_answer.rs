//! A request crashes its target midway through its answer, a long one, each time that it comes.

use std::io::{Error, Result};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, Machine, TEGID, Wanted, configuration, route, send};
use crate::record::Record;
use crate::target::Framing;

const ZONES: [&str; 4] = ["neuadd-a", "neuadd-b", "neuadd-c", "neuadd-d"];
const CONTACT: Duration = Duration::from_secs(3);
const MOST_RETRIES: usize = 3;
/// The longest time from the request's arrival at a target to the crash: the work, half of the pieces, and some more.
const CRASHES_WITHIN: Duration = Duration::from_millis(300);
/// How long a target is away after a crash ("some seconds").
const AWAY: Duration = Duration::from_millis(2_500);
const LONG: &str = "/ffeiliau/";
const PATH: &str = "/ffeiliau/sheet-7";
const DEADLINE: Duration = Duration::from_secs(2);

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Verdict> {
    let mut wanted = Vec::new();
    for zone in ZONES {
        for service in ["stoc", "ffeiliau"] {
            let work = Duration::from_millis(72);
            wanted.push(Wanted {
                service,
                zone,
                keyed: false,
                slots: 18,
                work,
                away: AWAY,
            });
        }
    }
    let routes = [route(LONG, "download", "ffeiliau", 2.0, 0.3)];
    let configuration = configuration(&routes, &[("stoc", false), ("ffeiliau", false)]);
    let deployment = Deployment::start(&wanted, &TEGID, &configuration, record)?;
    thread::sleep(Duration::from_secs(3));
    let targets = deployment
        .machines
        .iter()
        .filter(|machine| machine.service == "ffeiliau");
    let targets = targets
        .map(|machine| machine.target.clone())
        .collect::<Vec<_>>();
    // For comparison, outside the case: answers with a declared length, or that end with their connection.
    let framing = match std::env::var("FRAMING").as_deref() {
        Ok("length") => Framing::Length,
        Ok("close") => Framing::Close,
        _ => Framing::Chunks,
    };
    for target in &targets {
        target.set_new_ids();
        target.set_long_answers(LONG, framing);
        if trouble {
            target.set_crashes_on(Some(PATH));
        }
    }
    let is_over = AtomicBool::new(false);
    let lost = AtomicUsize::new(0);
    let clients = deployment
        .machines
        .iter()
        .filter(|machine| machine.service == "stoc")
        .collect::<Vec<_>>();
    thread::scope(|scope| {
        for machine in &clients {
            for client in 0..3 {
                let (is_over, lost) = (&is_over, &lost);
                scope.spawn(move || others(machine, client, record, is_over, lost));
            }
        }
        come_again(&clients, record);
        is_over.store(true, Ordering::SeqCst);
    });
    let mut runs = Vec::new();
    for target in &targets {
        let known = target.0.runs.lock().unwrap();
        runs.extend(known.iter().filter(|run| run.path == PATH).cloned());
        let crashes = target.0.crashes.load(Ordering::SeqCst);
        record.line(&format!("{} crashed {crashes} times", target.0.name));
    }
    runs.sort_by_key(|run| run.arrived);
    let lost = lost.load(Ordering::SeqCst);
    if runs.is_empty() {
        return Err(Error::other("no target began to run the request"));
    }
    if !trouble {
        return Ok(Verdict {
            held: true,
            reason: format!(
                "no crash in {} runs; {lost} other downloads were lost",
                runs.len()
            ),
        });
    }
    let Some(third) = runs.get(2) else {
        return Ok(Verdict {
            held: true,
            reason: format!("{} crashes; {lost} other downloads were lost", runs.len()),
        });
    };
    let later = runs
        .iter()
        .filter(|run| run.arrived > third.arrived + CRASHES_WITHIN + CONTACT);
    let later = later.map(|run| run.id.as_str()).collect::<Vec<_>>();
    let reason = format!(
        "{} of the request's retries reached targets later than {} s after it had crashed the third; {MOST_RETRIES} may: {}; {lost} other downloads were lost",
        later.len(),
        CONTACT.as_secs(),
        later.join(" ")
    );
    Ok(Verdict {
        held: later.len() <= MOST_RETRIES,
        reason,
    })
}

/// The request comes each 7 s, at one machine after the other, each time with an id of its own.
fn come_again(clients: &[&Machine], record: &Record) {
    let until = Instant::now() + Duration::from_secs(62);
    let mut number = 0;
    while Instant::now() < until {
        let machine = clients[number % clients.len()];
        number += 1;
        let id = format!("crashing-{number}");
        record.line(&format!("{id} is sent at {}: GET {PATH}", machine.name));
        let answer = match send(machine, "GET", PATH, &id, None, DEADLINE, b"") {
            Ok(answer) => format!("{}, {} bytes", answer.status, answer.body.len()),
            Err(error) => format!("no whole answer: {error}"),
        };
        record.line(&format!("{id} is answered: {answer}"));
        thread::sleep(Duration::from_secs(7));
    }
}

/// A client of other downloads; one that gets no whole answer is lost.
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
        let path = format!("/ffeiliau/other-{}-{client}-{number}", machine.name);
        let answer = match send(machine, "GET", &path, &id, None, DEADLINE, b"") {
            Ok(answer) if answer.status == 200 => None,
            Ok(answer) => Some((answer.status, answer.status.to_string())),
            Err(error) => Some((0, format!("no whole answer: {error}"))),
        };
        if let Some((status, text)) = answer {
            record.line(&format!("{id}, another download, is answered: {text}"));
            if !matches!(status, 429 | 503) {
                lost.fetch_add(1, Ordering::SeqCst);
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
}
