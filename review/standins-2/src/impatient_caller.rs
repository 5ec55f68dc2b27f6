//! A request crashes its target after its caller has left, each time that it comes.

use std::io::{Error, Result, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, HOST, Machine, TEGID, Wanted, configuration, route, send};
use crate::http::request_head;
use crate::record::Record;

const ZONES: [&str; 4] = ["neuadd-a", "neuadd-b", "neuadd-c", "neuadd-d"];
const CONTACT: Duration = Duration::from_secs(3);
const MOST_RETRIES: usize = 3;
/// How long a target is away after a crash ("some seconds").
const AWAY: Duration = Duration::from_millis(2_500);
const PATH: &str = "/tal/deposit/4711";
const BODY: &[u8] = b"{\"deposit\":4711}";
const DEADLINE: Duration = Duration::from_millis(2_500);
/// The caller leaves after half of the request's objective.
const LEAVES_AFTER: Duration = Duration::from_millis(200);
/// How long the request takes until it crashes its target: the longest work of its kind.
const CRASHES_AFTER: Duration = Duration::from_millis(880);

/// Clients with other deposits at each machine: some 30 requests run at any time, as many as the site has at `tal` (154
/// deposits a second of 120 ms and 540 calls a second of 22 ms).
const CLIENTS: usize = 6;

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
    let of = |service: &'static str| {
        let machines = deployment.machines.iter();
        machines.filter(move |machine| machine.service == service)
    };
    let targets = of("tal").map(|machine| &machine.target).collect::<Vec<_>>();
    for target in &targets {
        target.set_new_ids();
        target.set_crashes_after(CRASHES_AFTER);
        if trouble {
            target.set_crashes_on(Some(PATH));
        }
    }
    // For comparison, outside the case: the caller stays.
    let stays = std::env::var("STAYS").is_ok_and(|value| value == "1");
    let clients = of("stoc").collect::<Vec<_>>();
    let is_over = AtomicBool::new(false);
    let lost = AtomicUsize::new(0);
    thread::scope(|scope| {
        for machine in &deployment.machines {
            for client in 0..CLIENTS {
                let (is_over, lost) = (&is_over, &lost);
                scope.spawn(move || others(machine, client, record, is_over, lost));
            }
        }
        come_again(&clients, record, trouble && !stays);
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
                "no crash in {} runs; {lost} other deposits were lost",
                runs.len()
            ),
        });
    }
    let Some(third) = runs.get(2) else {
        return Ok(Verdict {
            held: true,
            reason: format!("{} crashes; {lost} other deposits were lost", runs.len()),
        });
    };
    let later = runs
        .iter()
        .filter(|run| run.arrived > third.arrived + CRASHES_AFTER + CONTACT);
    let later = later.map(|run| run.id.as_str()).collect::<Vec<_>>();
    let reason = format!(
        "{} of the request's retries reached targets later than {} s after it had crashed the third; {MOST_RETRIES} may: {}; {lost} other deposits were lost",
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
fn come_again(clients: &[&Machine], record: &Record, leaves: bool) {
    let until = Instant::now() + Duration::from_secs(62);
    let mut number = 0;
    while Instant::now() < until {
        let machine = clients[number % clients.len()];
        number += 1;
        let id = format!("crashing-{number}");
        record.line(&format!("{id} is sent at {}: POST {PATH}", machine.name));
        let ended = if leaves {
            match send_and_leave(machine, &id) {
                Ok(()) => format!(
                    "{id}: its caller left after {} ms",
                    LEAVES_AFTER.as_millis()
                ),
                Err(error) => format!("{id} wasn't sent: {error}"),
            }
        } else {
            match send(machine, "POST", PATH, &id, None, DEADLINE, BODY) {
                Ok(answer) => format!("{id} is answered: {}", answer.status),
                Err(error) => format!("{id} is not answered: {error}"),
            }
        };
        record.line(&ended);
        thread::sleep(Duration::from_secs(7));
    }
}

/// Sends the request and closes the connection before it is answered.
fn send_and_leave(machine: &Machine, id: &str) -> Result<()> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Wingspar-Request-Id", id.to_owned()),
        ("X-Wingspar-Deadline-Ms", DEADLINE.as_millis().to_string()),
    ];
    let address = machine.outbound();
    let head = request_head(address, "POST", PATH, &headers, BODY.len());
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(&[head.as_bytes(), BODY].concat())?;
    thread::sleep(LEAVES_AFTER);
    Ok(())
}

/// A client of the machine: each of its deposits is another one.
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
        let path = format!("/tal/deposit/{}-{client}-{number}", machine.name);
        let answer = send(machine, "POST", &path, &id, None, DEADLINE, id.as_bytes());
        let status = answer.map_or(0, |answer| answer.status);
        if !matches!(status, 200 | 429 | 503) {
            record.line(&format!("{id}, another deposit, is answered: {status}"));
            lost.fetch_add(1, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(60));
    }
}
