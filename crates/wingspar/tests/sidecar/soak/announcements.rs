//! Targets that name a limit on requests for a while, or say that they leave.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use wingspar_standins::fleet::TargetFaults;

use super::load::CRASHING_PATH;
use crate::deployment::Deployment;

/// Limits that are named, in requests a second; what can't be read is none.
const LIMITS: [(&str, Option<f64>); 5] = [
    ("0.3", Some(0.3)),
    ("2", Some(2.0)),
    ("4.5", Some(4.5)),
    ("-1", None),
    ("many", None),
];
/// The limit binds this long after it was first named.
const BINDS_AFTER: Duration = Duration::from_secs(3);
/// The span over which a target counts what it gets.
const SPAN: Duration = Duration::from_secs(4);

/// A limit that a machine's target named.
#[derive(Debug, Clone, Copy)]
struct Named {
    node: usize,
    requests_per_s: f64,
    from: Instant,
    until: Option<Instant>,
}

/// What targets do wrong and announce beside the other faults, and the limits that they have named.
#[derive(Default)]
pub struct Announcements {
    faults: BTreeMap<usize, TargetFaults>,
    named: Vec<Named>,
    /// Moments from which a target may get more than its node sends: its link was harmed or healed, or it began anew.
    disturbed: Vec<(usize, Instant)>,
    crashes: BTreeMap<usize, u32>,
}

impl Announcements {
    /// Changes what a machine's target does wrong.
    fn change(
        &mut self,
        deployment: &Deployment,
        node: usize,
        change: impl FnOnce(&mut TargetFaults),
    ) {
        let usual = TargetFaults {
            crashes_on: Some(CRASHING_PATH),
            ..TargetFaults::default()
        };
        let faults = self.faults.entry(node).or_insert(usual);
        change(faults);
        if let Some(target) = &deployment.nodes[node].target {
            target.set_faults(*faults);
        }
    }

    /// Has a machine's target say that it is slow after its start for so long.
    pub fn set_warmup(&mut self, deployment: &Deployment, node: usize, warmup: Duration) {
        self.change(deployment, node, |faults| faults.warmup = warmup);
    }

    /// Has a machine's target name a limit; the limit.
    pub fn begin_limit(
        &mut self,
        deployment: &Deployment,
        random: &mut ChaCha8Rng,
        node: usize,
    ) -> &'static str {
        let (text, requests_per_s) = LIMITS[random.random_range(0..LIMITS.len())];
        self.end_limit(deployment, node);
        self.change(deployment, node, |faults| faults.names_limit = Some(text));
        if let Some(requests_per_s) = requests_per_s {
            self.named.push(Named {
                node,
                requests_per_s,
                from: Instant::now(),
                until: None,
            });
        }
        text
    }

    /// Has a machine's target name no limit any more.
    pub fn end_limit(&mut self, deployment: &Deployment, node: usize) {
        self.change(deployment, node, |faults| faults.names_limit = None);
        let open = self.named.iter_mut().filter(|named| named.node == node);
        for named in open {
            named.until.get_or_insert_with(Instant::now);
        }
    }

    /// Has a machine's target say that it leaves.
    pub fn begin_leaving(&mut self, deployment: &Deployment, node: usize) {
        self.change(deployment, node, |faults| faults.says_leaving = true);
    }

    /// A machine's target that has left ends, and begins anew.
    pub fn end_leaving(&mut self, deployment: &Deployment, node: usize) {
        if let Some(target) = &deployment.nodes[node].target {
            target.begin_anew();
        }
        self.change(deployment, node, |faults| faults.says_leaving = false);
    }

    /// The link to a machine's target was harmed or healed, or the target became known anew.
    pub fn link_changed(&mut self, node: usize) {
        self.disturbed.push((node, Instant::now()));
    }

    /// Notes targets that have begun anew.
    pub fn note_crashes(&mut self, deployment: &Deployment) {
        for (node, machine) in deployment.nodes.iter().enumerate() {
            let crashes = machine.target.as_ref().map_or(0, |target| target.crashes());
            if self.crashes.insert(node, crashes).unwrap_or(0) != crashes {
                self.disturbed.push((node, Instant::now()));
            }
        }
    }

    /// No target gets more than one and a half times what its limit allows and five requests, within any span.
    pub fn limits_hold(&self, deployment: &Deployment) -> Result<(), String> {
        for named in &self.named {
            let Some(target) = &deployment.nodes[named.node].target else {
                continue;
            };
            let seen = target.seen();
            let mut at = seen.iter().map(|seen| seen.at).collect::<Vec<_>>();
            at.sort();
            let allowed = 1.5 * named.requests_per_s * SPAN.as_secs_f64() + 5.0;
            for first in at.iter().filter(|at| self.binds(named, **at)) {
                let count = at.iter().filter(|at| (*first..*first + SPAN).contains(at));
                let count = count.count();
                if count as f64 > allowed {
                    return Err(format!(
                        "the target of {} got {count} requests in {SPAN:?} from {:?} after it named {} a second",
                        named.node,
                        first.duration_since(named.from),
                        named.requests_per_s,
                    ));
                }
            }
        }
        Ok(())
    }

    /// Whether a limit binds in the span that begins at that moment.
    fn binds(&self, named: &Named, first: Instant) -> bool {
        let ends = first + SPAN;
        let is_in_force =
            named.from + BINDS_AFTER <= first && named.until.is_none_or(|until| ends <= until);
        let mut disturbed = self.disturbed.iter();
        let is_disturbed = disturbed
            .any(|(node, at)| *node == named.node && *at + BINDS_AFTER > first && *at < ends);
        is_in_force && !is_disturbed
    }
}
