//! Requests for tokens to shard owners. Each tenant has at most one ask in flight; requests that
//! arrive meanwhile share the next one.

use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use wingspar_ownership::{NodeName, Time};
use wingspar_quota::{Ask, Decision, Message, ReturnedTokens, Shard};

use super::{TenantLimit, quota_time, returnable_token, shard_owner};
use crate::logs::Event;
use crate::node::Node;

/// Maximum time that a request waits for an owner's answer. Covers two round trips and a scheduling
/// delay of a busy process, and is an eighth of a usual latency objective, so that a request
/// admitted after that time can still meet the objective.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(90);
/// Maximum time that a request waits for a shard to get its next owner. A shard that is handed over
/// gets one within this time, and waiting is better for a caller than being refused below its
/// limit.
const NEW_OWNER_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between retries of an unanswered ask; several round trips between zones.
const RETRY_INTERVAL: Duration = Duration::from_millis(30);
/// How long no asks are sent to a silent owner. A paused process resumes before its lease ends, and an occasional ask
/// is enough to notice that.
const SILENT_OWNER_BACKOFF: Duration = Duration::from_millis(250);
/// A silence without a new failure for this long counts as ended: other routers may have got
/// answers since.
const SILENCE_EXPIRY: Duration = Duration::from_secs(1);
/// How long returned tokens wait for an ask that can carry them.
const RETURN_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of grants per tenant whose tokens wait to be returned. Tokens beyond that are
/// lost, which only causes refusals sooner.
const MAX_PENDING_RETURNS: usize = 32;
/// Maximum number of requests that one ask covers.
const MAX_TOKENS_PER_ASK: usize = u16::MAX as usize;

/// Outcome of requesting a token.
#[derive(Debug, Clone, Copy)]
pub enum TokenResult {
    /// A token was granted; with the token to return if it isn't used, or `None` if the owner
    /// doesn't need it back.
    Granted(Option<ReturnedTokens>),
    /// No token was available; the caller may retry after this delay.
    Refused(Duration),
    /// No owner answered.
    Unanswered,
}

/// The requests of a tenant that wait for tokens, and the tokens to be returned.
#[derive(Default)]
pub struct TenantQueue {
    waiting: Vec<oneshot::Sender<TokenResult>>,
    returned: Vec<ReturnedTokens>,
    /// Whether a task is requesting tokens for `waiting`.
    is_requesting: bool,
}

/// An owner that failed to answer.
pub struct SilentOwner {
    /// Name of the node; `None` if the shard had no known owner.
    owner: Option<NodeName>,
    /// When the silence was first noticed.
    since: Time,
    /// No asks are sent to the owner until this time.
    until: Time,
}

/// Gets a token for a request, from this node if it owns the shard, else from the owner.
pub async fn token(node: &Rc<Node>, subject: &TenantLimit) -> TokenResult {
    let shard = Shard::of(&subject.tenant);
    if shard_owner::owns(node, shard) {
        return local_token(node, subject, shard);
    }
    if is_silent(node, shard) {
        return TokenResult::Unanswered;
    }
    let (told, answer) = oneshot::channel();
    let starts = {
        let mut queues = node.quotas.queues.borrow_mut();
        let queue = queues.entry(subject.tenant.clone()).or_default();
        queue.waiting.push(told);
        !std::mem::replace(&mut queue.is_requesting, true)
    };
    if starts {
        spawn_local(request_tokens(node.clone(), subject.clone()));
    }
    answer.await.unwrap_or(TokenResult::Unanswered)
}

/// Takes a token of a shard owned by this node.
fn local_token(node: &Node, subject: &TenantLimit, shard: Shard) -> TokenResult {
    let wanted = 1;
    let decision = shard_owner::decide(node, shard, &ask(node, subject, wanted));
    let results = decision.map(|decision| split_decision(node, subject, &decision, wanted));
    let result = results.and_then(|results| results.first().copied());
    result.unwrap_or(TokenResult::Unanswered)
}

/// Queues a token whose request did not run for its return to the owner.
pub fn return_token(node: &Rc<Node>, subject: &TenantLimit, token: ReturnedTokens) {
    let mut queues = node.quotas.queues.borrow_mut();
    let queue = queues.entry(subject.tenant.clone()).or_default();
    let is_same = |known: &&mut ReturnedTokens| {
        known.ownership_id == token.ownership_id && known.granted_at_ms == token.granted_at_ms
    };
    if let Some(known) = queue.returned.iter_mut().find(is_same) {
        known.tokens = known.tokens.saturating_add(token.tokens);
        return;
    }
    if queue.returned.len() >= MAX_PENDING_RETURNS {
        return;
    }
    let is_first = queue.returned.is_empty();
    queue.returned.push(token);
    if is_first {
        spawn_local(return_after_delay(node.clone(), subject.clone()));
    }
}

/// Returns tokens that no ask has carried within [`RETURN_DELAY`].
async fn return_after_delay(node: Rc<Node>, subject: TenantLimit) {
    sleep(RETURN_DELAY).await;
    let mut queues = node.quotas.queues.borrow_mut();
    let Entry::Occupied(queue) = queues.entry(subject.tenant.clone()) else {
        return;
    };
    if queue.get().is_requesting || queue.get().returned.is_empty() {
        return;
    }
    let returned = queue.remove().returned;
    drop(queues);
    let shard = Shard::of(&subject.tenant);
    let ask = Ask {
        returned,
        ..ask(&node, &subject, 0)
    };
    if shard_owner::owns(&node, shard) {
        // An ask for no tokens needs no result.
        let _nothing = shard_owner::decide(&node, shard, &ask);
    } else if let Some((_, address)) = current_owner(&node, shard) {
        node.quotas.send(address, Message::Ask(ask));
    }
}

/// Asks for tokens until no request of the tenant is waiting.
async fn request_tokens(node: Rc<Node>, subject: TenantLimit) {
    loop {
        let (waiting, returned) = {
            let mut queues = node.quotas.queues.borrow_mut();
            let Some(queue) = queues.get_mut(&subject.tenant) else {
                return;
            };
            // Requests whose clients have disconnected need no token.
            queue.waiting.retain(|waiting| !waiting.is_closed());
            if queue.waiting.is_empty() {
                queue.is_requesting = false;
                if queue.returned.is_empty() {
                    queues.remove(&subject.tenant);
                }
                return;
            }
            let count = queue.waiting.len().min(MAX_TOKENS_PER_ASK);
            let waiting = queue.waiting.drain(..count).collect::<Vec<_>>();
            (waiting, std::mem::take(&mut queue.returned))
        };
        let wanted = u16::try_from(waiting.len()).unwrap_or(u16::MAX);
        let ask = Ask {
            returned,
            ..ask(&node, &subject, wanted)
        };
        let results = match answered(&node, &ask).await {
            Some(decision) => split_decision(&node, &subject, &decision, wanted),
            None => vec![TokenResult::Unanswered; waiting.len()],
        };
        for (waiting, result) in waiting.into_iter().zip(results) {
            if let Err(TokenResult::Granted(Some(unused))) = waiting.send(result) {
                return_token(&node, &subject, unused);
            }
        }
    }
}

fn ask(node: &Node, subject: &TenantLimit, wanted: u16) -> Ask {
    Ask {
        number: node.quotas.number(),
        tenant: subject.tenant.to_string(),
        wanted,
        limit: subject.limit,
        returned: Vec::new(),
    }
}

/// Splits a decision into the results of the requests that the ask covered.
fn split_decision(
    node: &Node,
    subject: &TenantLimit,
    decision: &Decision,
    wanted: u16,
) -> Vec<TokenResult> {
    let granted = decision.granted.min(wanted);
    let mut results = vec![TokenResult::Granted(returnable_token(decision)); usize::from(granted)];
    if granted < wanted {
        let retry_after = Duration::from_millis(decision.retry_after_ms.into());
        let mut refusals = node.quotas.refusals.borrow_mut();
        let (now, limit) = (quota_time(node), &subject.limit);
        let refused = refusals.refused(now, &subject.tenant, limit, retry_after, wanted - granted);
        let window = node.quotas.tolerance.window;
        results.extend(
            refused
                .into_iter()
                .map(|wait| TokenResult::Refused(wait.min(window))),
        );
    }
    results
}

/// Returns the owner's decision, or `None` if no owner answers in time. Retries the ask meanwhile.
async fn answered(node: &Rc<Node>, ask: &Ask) -> Option<Decision> {
    let shard = Shard::of(&ask.tenant);
    let asked_at = Instant::now();
    let mut until = asked_at + ANSWER_TIMEOUT;
    while Instant::now() < until {
        if let Some(decision) = shard_owner::decide(node, shard, ask) {
            return Some(decision);
        }
        let again = (Instant::now() + RETRY_INTERVAL).min(until);
        let Some((owner, address)) = current_owner(node, shard) else {
            until = asked_at + NEW_OWNER_TIMEOUT;
            let _changed = timeout_at(again, node.directory_changed.notified()).await;
            continue;
        };
        match ask_once(node, address, ask, again).await {
            Some(Some(decision)) => {
                record_answer(node, shard, &owner);
                return Some(decision);
            }
            // The receiver isn't the owner; the table will name the owner.
            Some(None) => {
                until = asked_at + NEW_OWNER_TIMEOUT;
                let _changed = timeout_at(again, node.directory_changed.notified()).await;
            }
            None => {}
        }
    }
    record_silence(node, shard);
    None
}

/// Sends an ask once and waits for the answer. Returns `None` without an answer, and `Some(None)`
/// if the receiver isn't the owner.
async fn ask_once(
    node: &Node,
    address: SocketAddr,
    ask: &Ask,
    until: Instant,
) -> Option<Option<Decision>> {
    let (told, answer) = oneshot::channel();
    let awaited = &node.quotas.awaited;
    awaited.borrow_mut().insert(ask.number, told);
    node.quotas.send(address, Message::Ask(ask.clone()));
    let answer = timeout(until - Instant::now(), answer).await;
    awaited.borrow_mut().remove(&ask.number);
    answer.ok()?.ok().map(|answer| answer.decision)
}

/// Returns the owner of a shard according to the table.
fn current_owner(node: &Node, shard: Shard) -> Option<(NodeName, SocketAddr)> {
    node.directory.borrow().quota_owner(shard).cloned()
}

/// Returns for how long the owner of a shard has not answered; zero if it isn't silent.
pub fn silent_for(node: &Node, shard: Shard) -> Duration {
    let silent = node.quotas.silent.borrow();
    let silent_owner = silent.get(&shard);
    silent_owner.map_or(Duration::ZERO, |silent_owner| {
        node.now().since(silent_owner.since)
    })
}

/// Returns whether the current owner of a shard is silent and must not be sent asks yet.
fn is_silent(node: &Node, shard: Shard) -> bool {
    let owner = current_owner(node, shard).map(|(owner, _)| owner);
    let silent = node.quotas.silent.borrow();
    let silent_owner = silent.get(&shard);
    silent_owner
        .is_some_and(|silent_owner| node.now() < silent_owner.until && silent_owner.owner == owner)
}

fn record_silence(node: &Node, shard: Shard) {
    node.metrics.count(&node.metrics.quota, "unanswered");
    let now = node.now();
    let owner = current_owner(node, shard).map(|(owner, _)| owner);
    let mut silent = node.quotas.silent.borrow_mut();
    let continues =
        |known: &&SilentOwner| known.owner == owner && now.since(known.until) < SILENCE_EXPIRY;
    let since = silent
        .get(&shard)
        .filter(continues)
        .map(|known| known.since);
    if since.is_none() {
        log_owner_state(node, shard, owner.as_deref(), "silent");
    }
    let silent_owner = SilentOwner {
        owner,
        since: since.unwrap_or(now),
        until: now + SILENT_OWNER_BACKOFF,
    };
    silent.insert(shard, silent_owner);
}

fn record_answer(node: &Node, shard: Shard, owner: &NodeName) {
    if node.quotas.silent.borrow_mut().remove(&shard).is_some() {
        log_owner_state(node, shard, Some(owner), "answers");
    }
}

fn log_owner_state(node: &Node, shard: Shard, owner: Option<&str>, state: &str) {
    node.log.write_request(Event::QuotaOwner {
        shard: shard.0,
        owner: owner.unwrap_or(""),
        state,
    });
}
