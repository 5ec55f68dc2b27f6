//! Renewals of earlier processes of a node that reach the leader late.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use support::{SERVICE, leadership, renewal};
use wingspar_ownership::{Epoch, Incarnation, Leader, RegisteredNodes, Table, Time, Timing};

const EPOCH: Epoch = Epoch(4);
const START: Time = Time(10_000);
const STEP: Duration = Duration::from_millis(50);

/// A leader, and the processes of one node that renew with it.
struct Deployment {
    leader: Leader,
    now: Time,
    /// The last assignment that each process has applied.
    applied: BTreeMap<u64, u64>,
}

impl Deployment {
    fn elected() -> Self {
        let mut leader = Leader::new(
            &leadership(EPOCH.0),
            Timing::default(),
            START,
            START,
            &RegisteredNodes::default(),
            Table::default(),
        );
        leader.set_keyed_services(&BTreeSet::from([SERVICE.to_owned()]));
        Self {
            leader,
            now: START,
            applied: BTreeMap::new(),
        }
    }

    /// Returns whether a renewal by the process with this number gets a lease. A process that is
    /// not running doesn't receive the answer.
    fn is_leased(&mut self, process: u64, is_running: bool) -> bool {
        self.now = self.now + STEP;
        self.leader.confirm(self.now);
        let mut renewal = renewal(0, process, EPOCH, self.now);
        renewal.applied = self.applied.get(&process).copied().unwrap_or_default();
        let Some(reply) = self.leader.renewal(self.now, &renewal) else {
            return false;
        };
        if is_running {
            self.applied.insert(process, reply.assignment);
        }
        reply.lease_ms > 0
    }

    fn current_process(&self) -> Option<Incarnation> {
        let mut members = self.leader.members().values();
        members.next().map(|member| member.life)
    }
}

/// Guards against a node that gets no lease any more because a late renewal of its last process but
/// one counted as one of a new process.
#[test]
fn a_late_renewal_of_any_earlier_process_does_not_displace_the_current_one() {
    let mut deployment = Deployment::elected();
    for process in 1..=5 {
        assert!(deployment.is_leased(process, true));
    }
    for process in [1, 2, 3, 4, 4, 4] {
        assert!(!deployment.is_leased(process, false), "{process} has ended");
    }
    assert_eq!(deployment.current_process(), Some(Incarnation(5)));
    assert!(deployment.is_leased(5, true));
}

/// Guards against a node that gets no lease any more because the only renewal of an earlier process
/// that the leader has received arrived after those of the current process.
#[test]
fn a_late_first_renewal_of_an_earlier_process_does_not_displace_the_current_one_for_long() {
    let mut deployment = Deployment::elected();
    assert!(deployment.is_leased(2, true));
    let _late = deployment.is_leased(1, false);
    assert!(!deployment.is_leased(2, true), "it may have ended");
    assert!(deployment.is_leased(2, true), "it is running");
    assert_eq!(deployment.current_process(), Some(Incarnation(2)));
    assert!(!deployment.is_leased(1, false), "it has ended");
    assert!(deployment.is_leased(2, true));
}
