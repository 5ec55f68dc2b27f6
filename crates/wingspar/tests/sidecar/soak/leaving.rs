//! Targets that say in their answers that they leave, and end a while later.

use std::time::{Duration, Instant};

use wingspar_standins::fleet::Seen;

use super::load::Answer;

/// A node sends a target nothing that was asked for this long after it has passed on the target's word.
const DRAIN: Duration = Duration::from_secs(2);

/// Moments at which processes stood still, ended or began, by machine.
#[derive(Debug, Default)]
pub struct Interruptions(Vec<(usize, Instant)>);

impl Interruptions {
    /// The process of a machine stands still, ends or goes on now.
    pub fn note(&mut self, node: usize) {
        self.0.push((node, Instant::now()));
    }

    fn any_since(&self, node: usize, since: Instant) -> bool {
        let mut later = self.0.iter().filter(|(_, at)| *at >= since);
        later.any(|(interrupted, _)| *interrupted == node)
    }
}

/// No target gets a request that was sent to a node later than its drain after that node has passed on its word. A node
/// that was interrupted since may have forgotten it.
pub fn hold(
    answers: &[Answer],
    runs: &[(String, Seen)],
    interruptions: &Interruptions,
) -> Result<(), String> {
    let told = answers
        .iter()
        .filter_map(|answer| Some((answer, answer.leaving_target()?, answer.answered_at?)));
    for (answer, (target, life), at) in told {
        let late = answers.iter().filter(|later| {
            later.node == answer.node
                && later.sent_at > at + DRAIN
                && !interruptions.any_since(answer.node, at)
        });
        for late in late {
            let ran_there = runs
                .iter()
                .any(|(_, seen)| seen.id == late.id && seen.target == target && seen.life == life);
            if ran_there {
                return Err(format!(
                    "{} ran at {target} though {} had told node {} that it leaves, {:?} before it was sent",
                    late.id,
                    answer.id,
                    answer.node,
                    late.sent_at.duration_since(at),
                ));
            }
        }
    }
    Ok(())
}
