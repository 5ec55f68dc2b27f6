//! Proofs of the checker: with one mechanism taken away in the harness, the run that passes with
//! it breaks the promise that the mechanism keeps.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use wingspar_simulator::backend::{RequestId, Work, WorkId};
use wingspar_simulator::checker::{CallerOutcome, Violation};
use wingspar_simulator::interference::Interference;
use wingspar_simulator::network::MachineIndex;
use wingspar_simulator::platform::Platform;
use wingspar_simulator::process::Arrival;
use wingspar_simulator::request::{CallerRequest, ForwardResult};
use wingspar_simulator::{Preset, Scenario, Simulation};
use wingspar_store::model::ObjectStore;
use wingspar_wire::{Availability, GrantEntry, GrantState, Message, RenewalVerdict};
use wingspar_world::{ConfigVersion, Fence, Incarnation, MonotonicTime, NodeId};

/// Seeds that a proof tries; the first broken promise must be the expected one.
const SEEDS: std::ops::Range<u64> = 0..12;
/// Seeds that must be clean while the mechanism is there.
const CLEAN_SEEDS: std::ops::Range<u64> = 0..4;

/// Plays seeds with a mechanism taken away until one breaks a promise, and tells which.
fn first_violation<I: Interference + 'static>(preset: Preset, bend: impl Fn() -> I) -> Violation {
    for seed in SEEDS {
        let scenario = Scenario::of(preset, seed);
        let simulation = Simulation::with_interference(scenario, Box::new(bend()));
        if let Some(failure) = simulation.run().failure {
            return failure.violation;
        }
    }
    panic!("no seed of {preset} noticed that the mechanism is missing");
}

/// The same seeds keep every promise while the mechanism is there.
fn assert_clean(preset: Preset) {
    for seed in CLEAN_SEEDS {
        let report = Simulation::new(Scenario::of(preset, seed)).run();
        assert!(report.failure.is_none(), "{report}");
    }
}

struct LongerLeases;

impl Interference for LongerLeases {
    fn message(&mut self, _now: MonotonicTime, _to: MachineIndex, message: &mut Message) -> bool {
        if let Message::RenewalReply(reply) = message
            && let RenewalVerdict::Renewed { lease_ms, .. } = &mut reply.verdict
        {
            *lease_ms = 4_000;
        }
        true
    }
}

#[test]
fn agents_that_keep_their_lease_for_too_long_make_two_owners() {
    assert_clean(Preset::Drift);
    let violation = first_violation(Preset::Drift, || LongerLeases);
    assert!(
        matches!(violation, Violation::TwoOwners { .. }),
        "{violation}"
    );
}

#[test]
fn a_clock_beyond_the_drift_bound_makes_two_owners() {
    let violation = first_violation(Preset::DriftBeyondBound, || NoChange);
    assert!(
        matches!(violation, Violation::TwoOwners { .. }),
        "{violation}"
    );
}

struct NoChange;

impl Interference for NoChange {}

/// Agents never lose what they once held: what a list lacks is added from the lists before.
#[derive(Default)]
struct OldGrants {
    held: BTreeMap<NodeId, Vec<GrantEntry>>,
}

impl Interference for OldGrants {
    fn message(&mut self, _now: MonotonicTime, _to: MachineIndex, message: &mut Message) -> bool {
        if let Message::Grants(list) = message {
            let held = self.held.entry(list.node.clone()).or_default();
            for old in held.iter() {
                let overlaps = |entry: &GrantEntry| {
                    let same_service = entry.grant.service == old.grant.service;
                    same_service && entry.grant.range.overlaps(&old.grant.range)
                };
                if !list.entries.iter().any(overlaps) {
                    list.entries.push(old.clone());
                }
            }
            list.entries.sort_by(|one, other| {
                let place = |entry: &GrantEntry| (entry.grant.service.clone(), entry.grant.range);
                place(one).cmp(&place(other))
            });
            let is_held = |entry: &&GrantEntry| matches!(entry.state, GrantState::Hold { .. });
            let now_held = list.entries.iter().filter(is_held);
            for entry in now_held {
                held.retain(|old| !old.grant.range.overlaps(&entry.grant.range));
                held.push(entry.clone());
            }
        }
        true
    }
}

#[test]
fn an_old_grant_list_in_a_current_session_makes_two_owners() {
    assert_clean(Preset::Calm);
    let violation = first_violation(Preset::Calm, OldGrants::default);
    assert!(
        matches!(violation, Violation::TwoOwners { .. }),
        "{violation}"
    );
}

struct OneFence;

impl Interference for OneFence {
    fn message(&mut self, _now: MonotonicTime, _to: MachineIndex, message: &mut Message) -> bool {
        if let Message::Grants(list) = message {
            for entry in &mut list.entries {
                entry.grant.fence = Fence::default();
            }
        }
        true
    }
}

#[test]
fn fences_that_do_not_rise_are_noticed() {
    let violation = first_violation(Preset::OwnerLoss, || OneFence);
    assert!(
        matches!(violation, Violation::FenceDidNotRise { .. }),
        "{violation}"
    );
}

struct GrantsWithoutEnd;

impl Interference for GrantsWithoutEnd {
    fn work(&mut self, work: &mut Work) {
        if let Some(grant) = &mut work.grant {
            grant.until = MonotonicTime::MAX;
        }
    }
}

#[test]
fn a_thawed_back_end_that_ignores_the_end_of_a_grant_starts_stale_work() {
    assert_clean(Preset::FrozenOwner);
    let violation = first_violation(Preset::FrozenOwner, || GrantsWithoutEnd);
    assert!(
        matches!(violation, Violation::StaleStart { .. }),
        "{violation}"
    );
}

struct UnknownMeansNotRun;

impl Interference for UnknownMeansNotRun {
    fn told(&mut self, _request: &CallerRequest, outcome: CallerOutcome) -> CallerOutcome {
        match outcome {
            CallerOutcome::Unknown => CallerOutcome::NotRun,
            other => other,
        }
    }
}

#[test]
fn an_unknown_outcome_told_as_not_run_is_noticed() {
    let violation = first_violation(Preset::FrozenOwner, || UnknownMeansNotRun);
    assert!(
        matches!(violation, Violation::NotRunButRan { .. }),
        "{violation}"
    );
}

/// Answers go to the request before.
#[derive(Default)]
struct CrossedAnswers {
    before: Option<RequestId>,
    cuts: bool,
}

impl Interference for CrossedAnswers {
    fn arrival(&mut self, _now: MonotonicTime, _at: MachineIndex, arrival: &mut Arrival) {
        if let Arrival::Result {
            result: ForwardResult::Answered(body),
            ..
        } = arrival
        {
            let own = body.request;
            body.whole = !self.cuts;
            body.request = self.before.unwrap_or(own);
            self.before = (!self.cuts).then_some(own);
        }
    }
}

#[test]
fn crossed_and_cut_answers_are_noticed() {
    let crossed = first_violation(Preset::Calm, CrossedAnswers::default);
    assert!(
        matches!(crossed, Violation::WrongAnswer { whole: true, .. }),
        "{crossed}"
    );
    let cut = first_violation(Preset::Calm, || CrossedAnswers {
        before: None,
        cuts: true,
    });
    assert!(
        matches!(cut, Violation::WrongAnswer { whole: false, .. }),
        "{cut}"
    );
}

struct EveryAttemptIsTheFirst;

impl Interference for EveryAttemptIsTheFirst {
    fn arrival(&mut self, _now: MonotonicTime, _at: MachineIndex, arrival: &mut Arrival) {
        if let Arrival::Forwarded(forwarded) = arrival
            && forwarded.request.work.is_some()
        {
            forwarded.request.attempt = Some(1);
        }
    }
}

#[test]
fn repeats_that_are_not_marked_run_twice_after_a_takeover() {
    assert_clean(Preset::Restarts);
    let violation = first_violation(Preset::Restarts, || EveryAttemptIsTheFirst);
    assert!(
        matches!(violation, Violation::Repeated { .. }),
        "{violation}"
    );
}

/// Agents get no name to remember the work by.
#[derive(Default)]
struct ForgottenRequests {
    names: BTreeMap<RequestId, WorkId>,
}

impl Interference for ForgottenRequests {
    fn arrival(&mut self, _now: MonotonicTime, _at: MachineIndex, arrival: &mut Arrival) {
        if let Arrival::Forwarded(forwarded) = arrival {
            let name = forwarded.request.work.take();
            self.names
                .extend(name.map(|name| (forwarded.request.id, name)));
        }
    }

    fn work(&mut self, work: &mut Work) {
        work.work = self.names.get(&work.request).copied();
    }
}

#[test]
fn an_agent_that_remembers_nothing_runs_work_twice() {
    let violation = first_violation(Preset::RegionCut, ForgottenRequests::default);
    assert!(
        matches!(violation, Violation::Repeated { .. }),
        "{violation}"
    );
}

struct SwallowedDrains;

impl Interference for SwallowedDrains {
    fn message(&mut self, _now: MonotonicTime, _to: MachineIndex, message: &mut Message) -> bool {
        match message {
            Message::Configuration(configuration) => {
                for (_, target) in configuration.targets.values_mut() {
                    target.draining = false;
                }
            }
            Message::Table(update) => {
                for target in &mut update.targets {
                    target.availability = Availability::Serving;
                }
            }
            _ => {}
        }
        true
    }
}

#[test]
fn a_drain_that_does_not_reach_agents_and_routers_is_noticed() {
    let violation = first_violation(Preset::Calm, || SwallowedDrains);
    assert!(
        matches!(violation, Violation::WorkAfterDrain { .. }),
        "{violation}"
    );
}

struct StopsAtOnce;

impl Interference for StopsAtOnce {
    fn waits_to_stop(&mut self) -> bool {
        false
    }
}

#[test]
fn a_planned_stop_that_does_not_wait_cuts_requests() {
    assert_clean(Preset::PlannedStops);
    let violation = first_violation(Preset::PlannedStops, || StopsAtOnce);
    assert!(
        matches!(violation, Violation::PlannedStopCut { .. }),
        "{violation}"
    );
}

/// A restarted process goes by the name of the one before.
#[derive(Default)]
struct KeptIdentity {
    names: BTreeMap<MachineIndex, Incarnation>,
}

impl Interference for KeptIdentity {
    fn incarnation(&mut self, machine: MachineIndex, drawn: Incarnation) -> Incarnation {
        *self.names.entry(machine).or_insert(drawn)
    }
}

#[test]
fn a_restarted_process_that_keeps_its_name_goes_back() {
    let violation = first_violation(Preset::Restarts, KeptIdentity::default);
    let expected = matches!(
        violation,
        Violation::ConfigurationReverted { .. } | Violation::AssignmentLost { .. }
    );
    assert!(expected, "{violation}");
}

/// The store goes back to what it held before the operators began.
#[derive(Default)]
struct StoreRollsBack {
    kept: Option<ObjectStore>,
    is_done: bool,
}

impl Interference for StoreRollsBack {
    fn store(&mut self, now: MonotonicTime, platform: &mut Platform) {
        if self.kept.is_none() && now >= MonotonicTime::from_millis(10_000) {
            self.kept = Some(platform.store().clone());
        }
        if !self.is_done && now >= MonotonicTime::from_millis(22_500) {
            self.is_done = true;
            platform.replace_store(self.kept.clone().unwrap_or_default());
        }
    }
}

#[test]
fn a_store_that_rolls_back_loses_acknowledged_configuration() {
    let violation = first_violation(Preset::Calm, StoreRollsBack::default);
    assert!(
        matches!(violation, Violation::ConfigurationLost { .. }),
        "{violation}"
    );
}

/// One node claims the newest configuration and never gets it.
#[derive(Default)]
struct ClaimedConfiguration {
    newest: Rc<RefCell<ConfigVersion>>,
}

/// The machine whose node claims; it owns keys from the start.
const CLAIMING: MachineIndex = 0;

impl Interference for ClaimedConfiguration {
    fn message(&mut self, now: MonotonicTime, to: MachineIndex, message: &mut Message) -> bool {
        let is_late = now >= MonotonicTime::from_millis(8_000);
        match message {
            Message::Configuration(configuration) => {
                let mut newest = self.newest.borrow_mut();
                *newest = configuration.version.max(*newest);
                !(is_late && to == CLAIMING)
            }
            Message::Renewal(renewal) => {
                if is_late && renewal.machine.name.as_str() == "back-0" {
                    renewal.config = *self.newest.borrow();
                }
                true
            }
            _ => true,
        }
    }
}

#[test]
fn a_configuration_that_is_not_in_force_where_claimed_is_noticed() {
    let violation = first_violation(Preset::Calm, ClaimedConfiguration::default);
    assert!(
        matches!(violation, Violation::OldConfigurationUsed { .. }),
        "{violation}"
    );
}

struct NoMoreGrants;

impl Interference for NoMoreGrants {
    fn message(&mut self, now: MonotonicTime, _to: MachineIndex, message: &mut Message) -> bool {
        let is_late = now >= MonotonicTime::from_millis(8_000);
        !(is_late && matches!(message, Message::Grants(_)))
    }
}

#[test]
fn keys_that_nobody_takes_over_are_noticed() {
    assert_clean(Preset::OwnerLoss);
    let violation = first_violation(Preset::OwnerLoss, || NoMoreGrants);
    assert!(
        matches!(violation, Violation::Unserved { .. }),
        "{violation}"
    );
}
