//! Many uploads share a machine's link while a target drains: the target gets some of them after `drain_s`.

use std::collections::BTreeMap;
use std::io::{Error, Result};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, TEGID_GROWN, Wanted, configuration, route, send};
use crate::record::Record;

const ZONES: [&str; 4] = ["neuadd-a", "neuadd-b", "neuadd-c", "neuadd-d"];
const UPLOADS: usize = 36;
const BYTES: usize = 250_000;
/// How much longer than `drain_s` the target serves after the acknowledgement ("somewhat longer").
const LONGER: Duration = Duration::from_millis(3_000);
const DEADLINE: Duration = Duration::from_secs(10);

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Verdict> {
    let mut wanted = Vec::new();
    for zone in ZONES {
        for (service, keyed) in [("stoc", true), ("tal", false)] {
            let work = Duration::from_millis(600);
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
        route("/tal/", "non_idempotent", "tal", 10.0, 1.5),
    ];
    let configuration = configuration(&routes, &[("stoc", true), ("tal", false)]);
    let deployment = Deployment::start(&wanted, &TEGID_GROWN, &configuration, record)?;
    thread::sleep(Duration::from_secs(4));
    let client = deployment.machine("stoc", ZONES[0]);
    let leaving = deployment.machine("tal", ZONES[1]);
    let mut acknowledged = None;
    let answers = Mutex::new(BTreeMap::new());
    let answers = &answers;
    thread::scope(|scope| {
        for number in 0..UPLOADS {
            scope.spawn(move || {
                let id = format!("upload-{number}");
                let path = format!("/tal/document/{number}");
                let body = vec![b'a' + (number % 26) as u8; BYTES];
                record.line(&format!(
                    "{id} is sent at {}: POST {path}, {BYTES} bytes",
                    client.name
                ));
                let answer = send(client, "POST", &path, &id, None, DEADLINE, &body);
                let answer = match answer {
                    Ok(answer) => format!("{}", answer.status),
                    Err(error) => format!("no answer: {error}"),
                };
                record.line(&format!("{id} is answered: {answer}"));
                answers.lock().unwrap().insert(id, answer);
            });
        }
        thread::sleep(Duration::from_millis(300));
        if trouble {
            acknowledged = leaving.target.drain();
            record.line(&format!(
                "{} says that it drains, acknowledged",
                leaving.target.0.name
            ));
            thread::sleep(Duration::from_secs_f64(TEGID_GROWN.drain_s) + LONGER);
            leaving.target.deregister();
            leaving.target.end();
            record.line(&format!(
                "{} has deregistered and ends",
                leaving.target.0.name
            ));
        }
    });
    let runs = leaving.target.0.runs.lock().unwrap().clone();
    for run in &runs {
        record.line_at(
            run.arrived,
            &format!("{} reached {}", run.id, leaving.target.0.name),
        );
    }
    if !trouble {
        return Ok(Verdict {
            held: true,
            reason: format!("no target drained; {} runs", runs.len()),
        });
    }
    let acknowledged = acknowledged.ok_or_else(|| Error::other("no acknowledgement"))?;
    let latest = acknowledged + Duration::from_secs_f64(TEGID_GROWN.drain_s);
    let late = runs
        .iter()
        .filter(|run| run.arrived > latest)
        .collect::<Vec<_>>();
    let names = late
        .iter()
        .map(|run| {
            let after: Instant = run.arrived;
            format!(
                "{} after {:.2} s",
                run.id,
                (after - acknowledged).as_secs_f64()
            )
        })
        .collect::<Vec<_>>();
    let answers = answers.lock().unwrap();
    let is_lost = |id: &str| answers.get(id).is_none_or(|answer| answer != "200");
    let lost = late.iter().filter(|run| is_lost(&run.id));
    let lost = lost.map(|run| run.id.as_str()).collect::<Vec<_>>();
    let reason = format!(
        "{} requests reached the target later than {} s after the acknowledgement: {}; lost of these as it ended: {}",
        late.len(),
        TEGID_GROWN.drain_s,
        names.join(", "),
        if lost.is_empty() {
            "none".to_owned()
        } else {
            lost.join(", ")
        }
    );
    Ok(Verdict {
        held: late.is_empty(),
        reason,
    })
}
