//! The agent of a target: decides whether a request may start there now.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use wingspar_ownership::Admission;
use wingspar_platform::headers;

use crate::announcements;
use crate::clock::whole_millis;
use crate::hop::{HopAnswer, HopRequest, Refusal};
use crate::key_calls::lease_left_ms;
use crate::leaving_targets::LifeDigest;
use crate::logs::Event;
use crate::metrics::OutcomeLabel;
use crate::node::Node;
use crate::occupancy::Occupancy;
use crate::quarantine;
use crate::slots::{self, Slot};
use crate::stop::StopPhase;
use crate::target_calls::run;

/// How often a request that waits for keys to arrive is checked again.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Runs a request at the target, or returns why it wasn't run, and logs and counts a refusal.
pub async fn serve(node: &Rc<Node>, hop: HopRequest) -> HopAnswer {
    let id = hop.headers.get(headers::REQUEST_ID).cloned();
    let fingerprint = hop.request.fingerprint;
    if let Some(key) = hop.key {
        node.key_load.borrow_mut().record_arrival(key);
    }
    let answer = admit(node, hop).await;
    let reason = match &answer {
        HopAnswer::Answered(_) => return answer,
        HopAnswer::Refused(refusal) => refusal.name(),
        HopAnswer::MayHaveRun(_) => "may_have_run",
        HopAnswer::TargetEnded => "target_ended",
    };
    node.metrics.count(&node.metrics.refusals, reason);
    node.log.write_request(Event::Refused {
        id: id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or(""),
        fingerprint: fingerprint.to_string(),
        reason,
        running: node.slots.running(),
        waiting: node.slots.waiting(),
        link_ms: whole_millis(node.link.expected_wait()),
        lease_left_ms: lease_left_ms(node),
        epoch: node.participant.borrow().epoch().0,
    });
    answer
}

async fn admit(node: &Rc<Node>, hop: HopRequest) -> HopAnswer {
    if let Some(limit) = hop.reported_limit {
        announcements::apply_forwarded_limit(node, limit);
    }
    if let Err(refusal) = check_or_wait(node, &hop).await {
        return HopAnswer::Refused(refusal);
    }
    if is_link_busy(node, &hop) {
        return HopAnswer::Refused(Refusal::LinkBusy);
    }
    if node.breaker.borrow().refuses(node.now()) {
        return HopAnswer::Refused(Refusal::Full);
    }
    let slot = tokio::select! {
        biased;
        slot = wait_for_slot(node, &hop) => slot,
        // It would be refused once it had a slot. Other nodes can still run it.
        () = node.stop_reaches(StopPhase::Closing) => return HopAnswer::Refused(Refusal::Leaving),
    };
    let Ok(slot) = slot else {
        return HopAnswer::Refused(Refusal::Full);
    };
    // The conditions may have changed while the request waited, so everything is checked again.
    if let Err(refusal) = check(node, &hop) {
        return HopAnswer::Refused(refusal);
    }
    if is_link_busy(node, &hop) {
        return HopAnswer::Refused(Refusal::LinkBusy);
    }
    let Some(number) = node.breaker.borrow_mut().allow_send(node.now()) else {
        return HopAnswer::Refused(Refusal::Full);
    };
    let _expected_response = hop.transfer.map(|_| node.link.expect());
    let hop = tokio::select! {
        biased;
        hop = await_body_start(hop) => hop,
        // It would start so late that it might not end before the process does.
        () = node.stop_reaches(StopPhase::Closing) => return HopAnswer::Refused(Refusal::Leaving),
    };
    let Some(hop) = hop else {
        return HopAnswer::Refused(Refusal::Late);
    };
    run(node, hop, slot, number).await
}

/// Requests the body from the caller and waits for its first part; `None` if that doesn't arrive
/// before the deadline. The caller may have disconnected while the request waited, which goes
/// unnoticed as long as its body isn't read.
async fn await_body_start(hop: HopRequest) -> Option<HopRequest> {
    let started = timeout_at(hop.deadline.timer(), hop.body.wait_for_data()).await;
    let body = started.ok()?.ok()?;
    Some(HopRequest { body, ..hop })
}

/// Waits for a slot and records how long that took.
async fn wait_for_slot(node: &Node, hop: &HopRequest) -> Result<Slot, slots::Refused> {
    let since = Instant::now();
    let slot = node.slots.acquire(hop.scheduling, hop.wait_until).await;
    let outcome = if slot.is_ok() { "started" } else { "refused" };
    node.metrics
        .waits
        .get_or_create(&OutcomeLabel { outcome })
        .observe(since.elapsed().as_secs_f64());
    slot
}

/// Whether a large response would have to wait too long for the machine's network link.
fn is_link_busy(node: &Node, hop: &HopRequest) -> bool {
    hop.transfer
        .is_some_and(|until| Instant::now() + node.link.expected_wait() > until)
}

/// Checks like [`check`] whether a request may start, but waits for keys that are about to arrive.
async fn check_or_wait(node: &Node, hop: &HopRequest) -> Result<(), Refusal> {
    loop {
        match check(node, hop) {
            Err(Refusal::Arriving) if Instant::now() < hop.wait_until.min(hop.scheduling.due) => {
                tokio::time::sleep(ARRIVAL_CHECK_INTERVAL).await;
            }
            checked => return checked,
        }
    }
}

/// Checks whether a request may start now.
fn check(node: &Node, hop: &HopRequest) -> Result<(), Refusal> {
    let now = node.now();
    if hop.deadline.has_passed() {
        return Err(Refusal::Late);
    }
    if quarantine::refuses(node, hop.request) {
        return Err(Refusal::Quarantined);
    }
    let target = node.target.borrow();
    if target.id().is_none() || target.service() != hop.service {
        return Err(Refusal::NoTarget);
    }
    let drain_grace = node.settings.bounds.drain_grace();
    if !target.may_start(now, drain_grace) || node.is_closing() {
        return Err(Refusal::Leaving);
    }
    if !node.evacuations.borrow().may_start(now, hop.key.is_some()) {
        return Err(Refusal::Evacuated);
    }
    let Some(key) = hop.key else {
        return Ok(());
    };
    match node.participant.borrow().admission(now, key) {
        Admission::Granted => Ok(()),
        Admission::Pending => Err(Refusal::Arriving),
        Admission::NotOwner => Err(Refusal::NotOwner),
    }
}

/// The current load of the target, as reported to other nodes.
pub fn occupancy(node: &Node) -> Occupancy {
    let ejection = node.breaker.borrow().ejection_time();
    Occupancy {
        running: u32::try_from(node.slots.running()).unwrap_or(u32::MAX),
        waiting: u32::try_from(node.slots.waiting()).unwrap_or(u32::MAX),
        link_ms: u32::try_from(node.link.expected_wait().as_millis()).unwrap_or(u32::MAX),
        ejected_ms: u32::try_from(ejection.as_millis()).unwrap_or(u32::MAX),
        retry_after_ms: u32::try_from(node.slots.retry_after().as_millis()).unwrap_or(u32::MAX),
        leaving: leaving_digest(node),
        ..Occupancy::default()
    }
    .with_limit(node.request_limit.borrow().requests_per_s())
}

/// Digest of the target's life if the target is leaving.
fn leaving_digest(node: &Node) -> Option<LifeDigest> {
    let target = node.target.borrow();
    let life = target.life().filter(|_| target.is_leaving())?;
    Some(LifeDigest::of(life))
}
