//! A table and a page about a demonstration.

use std::fmt::{self, Write};

use super::evidence::{Answer, Evidence, Step};
use super::promises::{NOT_RUN, SERVED, Violation};
use crate::experiment::{Request, Unavailable};
use crate::report::{Line, Plot, page, plot};

/// Broken promises printed in full.
const PRINTED: usize = 10;
/// Parts of the key space whose service is told apart; requests without a key are one more.
const KEY_BUCKETS: usize = 64;
/// Keys that there are.
const KEY_SPACE: usize = 1 << 16;
const OVER_QUOTA: u16 = 429;
const MICROSECONDS: f64 = 1e6;
const MICROSECONDS_A_MILLISECOND: f64 = 1e3;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Served,
    Refused,
    Unknown,
}

impl Ending {
    /// All of them, with their names.
    const ALL: [(Self, &str); 3] = [
        (Self::Served, "served"),
        (Self::Refused, "refused"),
        (Self::Unknown, "unknown"),
    ];

    /// What the caller learned. Statuses that tell neither that it ran nor that it didn't are unknown.
    fn of(answer: &Answer) -> Self {
        match answer.status {
            Some(SERVED) => Self::Served,
            Some(status) if NOT_RUN.contains(&status) => Self::Refused,
            Some(_) | None => Self::Unknown,
        }
    }
}

/// Formats a row for each step, and the broken promises.
#[must_use]
pub fn table(evidence: &Evidence, violations: &[Violation]) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = write_table(&mut text, evidence, violations);
    text
}

fn write_table(text: &mut String, evidence: &Evidence, violations: &[Violation]) -> fmt::Result {
    writeln!(text)?;
    writeln!(
        text,
        "{:<52} {:>16} {:>8} {:>8} {:>8}  promises",
        "step", "longest unserved", "served", "refused", "unknown"
    )?;
    for step in &evidence.steps {
        let answers = answers_of(evidence, step);
        let [served, refused, unknown] = Ending::ALL.map(|(ending, _)| count(&answers, ending));
        let unserved = longest_unserved_us(&answers) as f64 / MICROSECONDS_A_MILLISECOND;
        let broken = violations
            .iter()
            .any(|violation| contains(step, violation.at_us));
        let verdict = if broken { "BROKEN" } else { "kept" };
        let name = &step.name;
        writeln!(
            text,
            "{name:<52} {unserved:>13.0} ms {served:>8} {refused:>8} {unknown:>8}  {verdict}"
        )?;
    }
    writeln!(text, "\nbroken promises: {}", violations.len())?;
    for violation in violations.iter().take(PRINTED) {
        let at = violation.at_us as f64 / MICROSECONDS;
        let (promise, detail) = (violation.promise, &violation.detail);
        writeln!(text, "  {at:.1} s: {promise}: {detail}")?;
    }
    if let Some(what) = &evidence.unfinished {
        writeln!(text, "the last step didn't come to its end: {what}")?;
    }
    Ok(())
}

fn contains(step: &Step, at_us: u64) -> bool {
    (step.from_us..step.until_us).contains(&at_us)
}

/// Requests that were sent during a step.
fn answers_of<'a>(evidence: &'a Evidence, step: &Step) -> Vec<&'a Answer> {
    let answers = evidence.answers.iter();
    answers
        .filter(|answer| contains(step, answer.sent_us))
        .collect()
}

fn count(answers: &[&Answer], ending: Ending) -> usize {
    let answers = answers.iter();
    answers
        .filter(|answer| Ending::of(answer) == ending)
        .count()
}

/// The longest time during which a part of the key space, or the service without keys, wasn't served. A request beyond
/// its tenant's quota tells nothing about that.
fn longest_unserved_us(answers: &[&Answer]) -> u64 {
    let asked = answers
        .iter()
        .filter(|answer| answer.status != Some(OVER_QUOTA));
    let requests = asked.map(|answer| Request {
        bucket: answer.key.map_or(KEY_BUCKETS, |key| {
            usize::from(key) * KEY_BUCKETS / KEY_SPACE
        }),
        due_us: answer.sent_us,
        end_us: answer.end_us,
        served: Ending::of(answer) == Ending::Served,
    });
    Unavailable::of_requests(requests).longest_us()
}

/// Formats a demonstration as a page that needs nothing else.
#[must_use]
pub fn html(evidence: &Evidence, violations: &[Violation]) -> String {
    let notes = evidence.steps.iter().map(|step| {
        let at = step.from_us as f64 / MICROSECONDS;
        format!("{at:.1} s: {}", step.name)
    });
    let plots = [outcomes(evidence), latencies(evidence)];
    page("demo", &table(evidence, violations), notes, &plots)
}

/// The requests of each second, by when they were sent.
fn by_second(evidence: &Evidence) -> Vec<Vec<&Answer>> {
    let mut seconds = Vec::new();
    for answer in &evidence.answers {
        let second = (answer.sent_us as f64 / MICROSECONDS) as usize;
        if seconds.len() <= second {
            seconds.resize_with(second + 1, Vec::new);
        }
        seconds[second].push(answer);
    }
    seconds
}

fn outcomes(evidence: &Evidence) -> Plot {
    let seconds = by_second(evidence);
    let line = |(ending, name): (Ending, &str)| Line {
        name: name.to_owned(),
        points: points(&seconds, |answers| count(answers, ending) as f64),
    };
    plot("Requests a second by outcome", &Ending::ALL.map(line))
}

fn latencies(evidence: &Evidence) -> Plot {
    let seconds = by_second(evidence);
    let line = |name: &str, part: f64| Line {
        name: name.to_owned(),
        points: points(&seconds, |answers| latency_ms(answers, part)),
    };
    let lines = [line("p50", 0.5), line("p99", 0.99)];
    plot("Latency of served requests, ms", &lines)
}

fn points(seconds: &[Vec<&Answer>], value: impl Fn(&[&Answer]) -> f64) -> Vec<(f64, f64)> {
    let seconds = seconds.iter().enumerate();
    seconds
        .map(|(second, answers)| (second as f64, value(answers)))
        .collect()
}

/// The latency that a part of the served requests doesn't exceed.
fn latency_ms(answers: &[&Answer], part: f64) -> f64 {
    let served = answers
        .iter()
        .filter(|answer| Ending::of(answer) == Ending::Served);
    let mut latencies = served
        .map(|answer| answer.end_us.saturating_sub(answer.sent_us))
        .collect::<Vec<_>>();
    latencies.sort_unstable();
    let place = (latencies.len() as f64 * part) as usize;
    let found = latencies.get(place.min(latencies.len().saturating_sub(1)));
    found.map_or(0.0, |latency| *latency as f64 / MICROSECONDS_A_MILLISECOND)
}
