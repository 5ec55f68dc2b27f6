//! Sends a request: chooses a node, sends the request there, and decides by the answer whether to retry or give up.

use std::rc::Rc;
use std::time::Duration;

use http::Response;
use tokio::time::{Instant, timeout};
use wingspar_ownership::NodeName;
use wingspar_routes::Repeatability;

use super::Routed;
use super::outstanding::{Outstanding, record_reachability};
use super::record::Record;
use super::retry_after::record_answer;
use super::timing::short_wait_until;
use super::tried_nodes::TriedNodes;
use crate::agent;
use crate::body::Body;
use crate::clock::whole_millis;
use crate::directory::Destination;
use crate::hop::{self, HopAnswer, HopRequest, Refusal};
use crate::local_response::Reason;
use crate::logs::Event;
use crate::metrics::RelationLabel;
use crate::network_paths::Relation;
use crate::node::Node;
use crate::outages::OutageCause;
use crate::quarantine;
use crate::selection::{SelectionCriteria, ZONE_PREFERENCE, ZONE_PREFERENCE_LARGE};
use crate::slots::Scheduling;
use crate::spill_over::SpillChange;

/// Pause before a key's owner is looked up again, unless the directory changes sooner.
const OWNER_LOOKUP_PAUSE: Duration = Duration::from_millis(40);
/// A request isn't sent again with less time left than this share of its objective. With a smaller share, most retries
/// are answered too late; with a larger one, requests are given up that would be answered in time.
const MIN_TIME_LEFT_SHARE: f64 = 0.3;
/// A deadline that is this near counts as passed.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(2);
/// A request is given up once this many targets have crashed or stopped while it ran there. The first end may be
/// another request's fault; after a second one, a request that crashes its targets would take down one more with each
/// send.
const MAX_TARGET_ENDS: u32 = 2;
/// Most nodes to which a request is sent while none has sent it to its target.
const MAX_REFUSALS: usize = 4;

/// What to do after a node's answer other than a response.
enum NextStep {
    /// Send the request to another node; for a key to its owner, which may be the same node.
    Retry,
    /// Send the request to the nodes again that were full, and wait there: no other node can run it.
    RetryFullNodes,
    /// Give the request up for this reason.
    GiveUp(Reason),
}

/// Sends a request until it is answered or given up; an error is the reason for giving up.
pub async fn send(
    node: &Rc<Node>,
    routed: &mut Routed<'_>,
    record: &mut Record,
) -> Result<Response<Body>, Reason> {
    let mut tried = TriedNodes::default();
    loop {
        if !node.may_send_before_exit(routed.times.deadline) {
            return Err(reason_unless_run(routed, record, Reason::Stopping));
        }
        if quarantine::refuses(node, routed.request) {
            return Err(quarantined_reason(routed, record));
        }
        let Some(destination) = choose(node, routed, &tried.nodes) else {
            wait_or_give_up(node, routed, record).await?;
            tried.nodes.clear();
            continue;
        };
        if !node.selection.allow_send(node.now(), &destination.node) {
            // Waiting at a node that is merely full is better than sending to one whose target rejects requests.
            if tried.retry_full_nodes(destination.node) {
                tried.refusals = MAX_REFUSALS;
                continue;
            }
            return Err(all_ejected_reason(routed, record));
        }
        record.node = destination.node.to_string();
        record.left_region |= routed.key.is_none() && destination.relation == Relation::OtherRegion;
        let wait = wait_at_next_node(node, routed, tried.refusals);
        let until = limit_wait_to_stop(node, routed, wait.until(routed));
        record.is_sent = true;
        let answer = send_to(node, routed, &destination, until, record).await;
        record.is_sent = false;
        let next = match answer {
            HopAnswer::Answered(response) => {
                record.sends += 1;
                return Ok(response);
            }
            HopAnswer::Refused(Refusal::Rejected) => after_rejection(node, routed, record),
            HopAnswer::Refused(refusal) => {
                tried.refused(&destination.node, refusal, record);
                exempt_from_quota(routed, record);
                refused(node, routed, record, &destination, refusal, wait).await
            }
            HopAnswer::MayHaveRun(detail) => {
                record.sends += 1;
                record.may_have_run = true;
                record.detail = detail;
                after_lost_send(node, routed, record)
            }
            HopAnswer::TargetEnded => after_target_end(node, routed, record, &destination),
        };
        match next {
            NextStep::Retry => {}
            NextStep::RetryFullNodes if tried.retry_full_nodes(destination.node.clone()) => {
                continue;
            }
            NextStep::RetryFullNodes => return Err(Reason::NoTarget),
            NextStep::GiveUp(reason) => return Err(reason),
        }
        if routed.key.is_none() {
            tried.nodes.push(destination.node);
        }
    }
}

/// Called when no node is left to try: waits for the directory to change, or gives up with an error.
async fn wait_or_give_up(node: &Node, routed: &Routed<'_>, record: &Record) -> Result<(), Reason> {
    if record.sends > 0 {
        return Err(given_up(routed, record));
    }
    if is_excluded_by_region(node, routed) {
        return Err(Reason::RegionNotAllowed);
    }
    wait_for_directory(node, routed).await
}

/// Decides whether to retry after the target has rejected a send.
fn after_rejection(node: &Node, routed: &Routed<'_>, record: &mut Record) -> NextStep {
    record.sends += 1;
    record.detail = "rejected by the target".to_owned();
    exempt_from_quota(routed, record);
    let reason = reason_unless_run(routed, record, Reason::Full);
    after_send(node, routed, record, reason)
}

/// Decides whether to retry after the target ended while the request ran there.
fn after_target_end(
    node: &Node,
    routed: &Routed<'_>,
    record: &mut Record,
    destination: &Destination,
) -> NextStep {
    record.sends += 1;
    record.may_have_run = true;
    record.targets_ended += 1;
    record.detail = "the target ended".to_owned();
    node.selection.avoid(node.now(), &destination.node);
    if record.targets_ended < MAX_TARGET_ENDS {
        after_lost_send(node, routed, record)
    } else {
        NextStep::GiveUp(given_up(routed, record))
    }
}

/// The reason for giving up when the nodes of all targets that could run the request report that these reject requests.
fn all_ejected_reason(routed: &Routed<'_>, record: &mut Record) -> Reason {
    record.missing = Some(OutageCause::Rejected);
    reason_unless_run(routed, record, Reason::Full)
}

/// Returns `not_run`, unless an earlier send may have run: then that reason would be wrong.
fn reason_unless_run(routed: &Routed<'_>, record: &Record, not_run: Reason) -> Reason {
    if record.may_have_run {
        given_up(routed, record)
    } else {
        not_run
    }
}

/// Called after a send that certainly didn't run: unless an earlier one may have run, the request doesn't count against
/// its quota.
fn exempt_from_quota(routed: &Routed<'_>, record: &Record) {
    if !record.may_have_run {
        routed.permit.not_run();
    }
}

/// The reason for giving up a request that is quarantined since targets ended repeatedly while it ran.
fn quarantined_reason(routed: &Routed<'_>, record: &Record) -> Reason {
    reason_unless_run(routed, record, Reason::Quarantined)
}

/// Decides whether to retry after the answer to a send was lost.
fn after_lost_send(node: &Node, routed: &Routed<'_>, record: &Record) -> NextStep {
    let reason = given_up(routed, record);
    if routed.route.repeatability == Repeatability::AtMostOnce {
        NextStep::GiveUp(reason)
    } else {
        after_send(node, routed, record, reason)
    }
}

/// The reason for giving up a request, by whether it may have run and whether its deadline has passed.
fn given_up(routed: &Routed<'_>, record: &Record) -> Reason {
    let over = routed.times.deadline.left() <= DEADLINE_TOLERANCE;
    match (record.may_have_run, over) {
        (false, true) => Reason::NotSentInTime,
        (false, false) => Reason::NoTarget,
        (true, true) => Reason::NoAnswerInTime,
        (true, false) => Reason::MayHaveRun,
    }
}

/// Whether only targets in regions where the request isn't allowed could run it.
fn is_excluded_by_region(node: &Node, routed: &Routed<'_>) -> bool {
    let directory = node.directory.borrow();
    routed.allowed_regions.exclude_all_targets(
        &node.settings,
        &directory,
        routed.service,
        routed.key,
    )
}

/// Chooses the node to try next: the owner for a request with a key, else by [`Selection::choose`] among nodes that
/// aren't in `tried`. Targets that leave are chosen last. `None` if there is no node.
///
/// [`Selection::choose`]: crate::selection::Selection::choose
fn choose(node: &Node, routed: &Routed<'_>, tried: &[NodeName]) -> Option<Destination> {
    let directory = node.directory.borrow().clone();
    if let Some(key) = routed.key {
        let owner = directory.owner(routed.service, key);
        return owner
            .filter(|owner| routed.allowed_regions.allows(&node.settings, owner))
            .filter(|owner| !node.leaving_targets.is_closed(node.now(), owner))
            .cloned();
    }
    let destinations =
        routed
            .allowed_regions
            .destinations(&node.settings, &directory, routed.service);
    let zone_preference = match routed.route.repeatability {
        Repeatability::Download => ZONE_PREFERENCE_LARGE,
        _ => ZONE_PREFERENCE,
    };
    let objective = routed
        .route
        .objective
        .unwrap_or(routed.times.deadline.left());
    let criteria = SelectionCriteria {
        node: &node.name,
        service: routed.service,
        zone_preference,
        objective,
        large: routed.times.transfer.is_some(),
    };
    let now = node.now();
    let choose_without = |mut excluded: Vec<NodeName>| {
        excluded.extend_from_slice(tried);
        node.selection
            .choose(now, criteria, &destinations, &excluded)
    };
    let leaving = &node.leaving_targets;
    let chosen = choose_without(leaving.among(&destinations))
        .or_else(|| choose_without(leaving.closed_among(now, &destinations)))?;
    log_spill_over(node, routed.service, chosen);
    Some(chosen.clone())
}

/// Logs when requests of a service begin or cease to spill over to other regions.
fn log_spill_over(node: &Node, service: &str, chosen: &Destination) {
    let mut spill_over = node.spill_over.borrow_mut();
    match spill_over.chosen(node.now(), service, chosen.relation) {
        SpillChange::None => {}
        SpillChange::Begun => node.log.write(Event::SpillOverBegun {
            service,
            tried: &chosen.node,
        }),
        SpillChange::Ended { requests, lasted } => node.log.write(Event::SpillOverEnded {
            service,
            requests,
            lasted_ms: whole_millis(lasted),
        }),
    }
}

/// How long a request may wait for a slot at the node that is tried next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// A short time, since other nodes could run it too.
    Short,
    /// Until its deadline, since no other node is tried afterwards. The node refuses it sooner if no answer in time can
    /// be expected.
    UntilDeadline,
}

impl Wait {
    fn until(self, routed: &Routed<'_>) -> Instant {
        match self {
            Self::Short => short_wait_until(routed.route, routed.times.wait_until),
            Self::UntilDeadline => routed.times.deadline.timer(),
        }
    }
}

/// Shortens the time for which a request may wait at the next node so that a planned stop of this node doesn't cut it off.
fn limit_wait_to_stop(node: &Node, routed: &Routed<'_>, until: Instant) -> Instant {
    node.stop_schedule.get().map_or(until, |schedule| {
        schedule.limit_wait(routed.times.deadline, until)
    })
}

/// How long a request may wait at the node that is tried next, after `refusals` nodes have refused it.
fn wait_at_next_node(node: &Node, routed: &Routed<'_>, refusals: usize) -> Wait {
    let directory = node.directory.borrow();
    let allowed = routed
        .allowed_regions
        .destinations(&node.settings, &directory, routed.service);
    let others = allowed.len();
    let last = refusals + 1 >= MAX_REFUSALS.min(others);
    if routed.key.is_some() || last || Instant::now() >= routed.times.wait_until {
        Wait::UntilDeadline
    } else {
        Wait::Short
    }
}

/// Waits for the directory to change, for [`OWNER_LOOKUP_PAUSE`] at most; an error if the request may wait no longer.
async fn wait_for_directory(node: &Node, routed: &Routed<'_>) -> Result<(), Reason> {
    if Instant::now() >= routed.times.wait_until {
        return Err(if routed.key.is_some() {
            Reason::NoOwner
        } else {
            Reason::NoTarget
        });
    }
    let _changed = timeout(OWNER_LOOKUP_PAUSE, node.directory_changed.notified()).await;
    Ok(())
}

/// Sends the request to one node and records what its answer shows about the node and the network path.
async fn send_to(
    node: &Rc<Node>,
    routed: &Routed<'_>,
    destination: &Destination,
    until: Instant,
    record: &mut Record,
) -> HopAnswer {
    let is_local = destination.node == node.name;
    let request = HopRequest {
        method: routed.method.clone(),
        path: routed.path.clone(),
        headers: routed.headers.clone(),
        body: if is_local {
            routed.body.body()
        } else {
            node.link.pace(routed.body.body())
        },
        service: routed.service.to_owned(),
        deadline: routed.times.deadline,
        wait_until: until,
        // An answer that stays on this machine doesn't use its link.
        transfer: routed.times.transfer.filter(|_| !is_local),
        scheduling: Scheduling {
            tenant: routed.tenant,
            priority: routed.route.priority,
            due: routed.times.due,
            deadline: routed.times.deadline.timer(),
            objective: routed.times.objective,
        },
        key: routed.key,
        request: routed.request,
        reported_limit: node.selection.reported_limit(node.now(), destination),
    };
    routed.permit.mark_sent();
    let outstanding = Outstanding::begin(node, &destination.node);
    let (answer, occupancy) = if is_local {
        let answer = agent::serve(node, request).await;
        (answer, Some(agent::occupancy(node)))
    } else {
        let relation = RelationLabel {
            relation: destination.relation.name(),
        };
        node.metrics.hops.get_or_create(&relation).inc();
        let bytes = node.metrics.hop_bytes.get_or_create(&relation).clone();
        hop::send(node, destination.address, request, &bytes).await
    };
    if let Some(occupancy) = occupancy {
        let now = node.now();
        node.selection
            .reported(now, routed.service, destination, occupancy);
        if let Some(life) = occupancy.leaving {
            node.leaving_targets.told(now, &destination.node, life);
        }
        if matches!(answer, HopAnswer::Refused(Refusal::Full)) {
            record.retry_after = occupancy.retry_after();
        }
    }
    record_answer(node, record, &destination.node, &answer, occupancy);
    let network_time = occupancy.and_then(|occupancy| outstanding.network_time(occupancy));
    if !is_local {
        record_reachability(node, destination, network_time, &answer);
    }
    outstanding.end(&answer, network_time.unwrap_or_default());
    answer
}

/// Decides whether to retry after a node refused the request, which therefore hasn't run.
async fn refused(
    node: &Node,
    routed: &Routed<'_>,
    record: &mut Record,
    destination: &Destination,
    refusal: Refusal,
    wait: Wait,
) -> NextStep {
    record.detail = refusal.name().to_owned();
    if refusal == Refusal::Quarantined {
        return NextStep::GiveUp(quarantined_reason(routed, record));
    }
    if matches!(
        refusal,
        Refusal::Unreachable | Refusal::Leaving | Refusal::Evacuated | Refusal::NoTarget
    ) {
        node.selection.avoid(node.now(), &destination.node);
    }
    if !routed.body.is_available() {
        return NextStep::GiveUp(given_up(routed, record));
    }
    let reason = match refusal {
        Refusal::Full | Refusal::LinkBusy => Reason::Full,
        Refusal::Late => Reason::NotSentInTime,
        Refusal::NotOwner | Refusal::Arriving => Reason::NoOwner,
        _ => Reason::NoTarget,
    };
    let reason = reason_unless_run(routed, record, reason);
    if routed.key.is_none() {
        return match wait {
            Wait::Short => NextStep::Retry,
            Wait::UntilDeadline if reason == Reason::NoTarget => NextStep::RetryFullNodes,
            Wait::UntilDeadline => NextStep::GiveUp(reason),
        };
    }
    if Instant::now() >= routed.times.wait_until {
        return NextStep::GiveUp(reason);
    }
    if refusal == Refusal::Full {
        return NextStep::GiveUp(reason);
    }
    let _changed = timeout(OWNER_LOOKUP_PAUSE, node.directory_changed.notified()).await;
    NextStep::Retry
}

/// Decides whether to retry after a send that reached a target, by the attempts so far, the time left and the retry
/// budget. `reason` is the one for giving up.
fn after_send(node: &Node, routed: &Routed<'_>, record: &Record, reason: Reason) -> NextStep {
    let left = routed.times.deadline.left();
    let has_time = left
        > routed
            .route
            .objective
            .unwrap_or_default()
            .mul_f64(MIN_TIME_LEFT_SHARE);
    if record.sends >= routed.route.max_attempts || !routed.body.is_available() || !has_time {
        return NextStep::GiveUp(reason);
    }
    let nodes = node.directory.borrow().nodes();
    if !node
        .retry_budget
        .borrow_mut()
        .spend(node.now(), routed.service, nodes)
    {
        return NextStep::GiveUp(reason);
    }
    node.metrics.repeats.inc();
    NextStep::Retry
}
