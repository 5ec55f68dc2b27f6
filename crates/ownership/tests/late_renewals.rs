//! Renewals of earlier processes of a node that reach the leader late.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use support::{SERVICE, leadership, renewal};
use wingspar_ownership::{Epoch, Incarnation, Leader, RegisteredNodes, Table, Time, Timing};

const EPOCH: Epoch = Epoch(4);
const START: Time = Time(10_000);
const STEP: Duration = Duration::from_millis(50);

/// A leader that answers the renewals of one node's processes.
struct Deployment {
    leader: Leader,
    now: Time,
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
        Self { leader, now: START }
    }

    /// Returns whether the leader answers a renewal by the process with this number.
    fn is_answered(&mut self, process: u64) -> bool {
        self.now = self.now + STEP;
        self.leader.confirm(self.now);
        let renewal = renewal(0, process, EPOCH, self.now);
        self.leader.renewal(self.now, &renewal).is_some()
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
        assert!(deployment.is_answered(process));
    }
    for process in 1..=4 {
        assert!(!deployment.is_answered(process), "{process} has ended");
    }
    assert_eq!(deployment.current_process(), Some(Incarnation(5)));
    assert!(deployment.is_answered(5));
}

/// Guards against a node that gets no lease any more because the only renewal of an earlier process
/// that the leader has received arrived after those of the current process.
#[test]
fn a_late_first_renewal_of_an_earlier_process_does_not_displace_the_current_one() {
    let mut deployment = Deployment::elected();
    assert!(deployment.is_answered(2));
    let _ended = deployment.is_answered(1);
    assert!(deployment.is_answered(2), "the running process");
}
