//! Enforcement of tenant quotas on a node: a request takes a token before its body is read.
//!
//! [`admit`] decides on a request. It decides at once if a refusal is cached or this node owns the
//! tenant's shard. Otherwise it asks the owner ([`token_requests`]), and while no owner answers it
//! uses the node's own share ([`local_fallback`]). [`shard_owner`] is the owner's side.

mod local_fallback;
mod shard_owner;
mod token_requests;

pub use shard_owner::{handle_message, log_shard_changes, usage};

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use token_requests::{SilentOwner, TenantQueue, TokenResult};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use wingspar_ownership::{Datagram, Incarnation};
use wingspar_quota::{
    Answer, Decision, FallbackLimiter, KnownNodes, Limit, Message, Owner, RefusalCache,
    ReturnedTokens, Shard, Tolerance,
};
use wingspar_routes::Configuration;

use crate::internal;
use crate::node::Node;
use crate::settings::Bounds;
use crate::tenants::RequestTenant;

/// The request is refused because its tenant's quota is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverQuota {
    /// Delay after which the quota is likely to admit the request.
    pub retry_after: Duration,
    /// What refused the request.
    pub refused_by: RefusedBy,
}

/// What refused a request because of its tenant's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusedBy {
    /// The owner of the tenant's shard, which had no token left.
    Owner,
    /// A cached refusal by the owner.
    CachedRefusal,
    /// This node, which got no answer of an owner and had used up its own share.
    Fallback,
}

impl RefusedBy {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Owner => "refused",
            Self::CachedRefusal => "refused_again",
            Self::Fallback => "refused_alone",
        }
    }
}

/// A node's state for enforcing tenant quotas.
pub struct Quotas {
    tolerance: Tolerance,
    life: Incarnation,
    /// Whether any configuration applied so far had a tenant with a quota.
    in_use: Cell<bool>,
    owner: RefCell<Owner>,
    fallback: RefCell<FallbackLimiter>,
    refusals: RefCell<RefusalCache>,
    /// Socket for sending datagrams; unset until the node listens for other nodes.
    socket: OnceCell<Rc<UdpSocket>>,
    next_number: Cell<u64>,
    /// Asks awaiting an answer, by number.
    awaited: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    /// Requests waiting for tokens, by tenant.
    queues: RefCell<HashMap<Rc<str>, TenantQueue>>,
    /// Owners that recently failed to answer, by shard.
    silent: RefCell<HashMap<Shard, SilentOwner>>,
    /// Shards owned by the node when changes were last logged.
    shards: RefCell<Vec<Shard>>,
    /// All nodes known so far, which share the fallback budget.
    known_nodes: RefCell<KnownNodes>,
}

impl Quotas {
    /// Creates the state of a process that started at `started_at`.
    pub fn new(life: Incarnation, started_at: Duration, bounds: &Bounds) -> Self {
        let tolerance = Tolerance {
            window: Duration::from_secs_f64(bounds.quota_window_s),
            over: bounds.quota_over,
            slack: bounds.quota_slack,
        };
        Self {
            tolerance,
            life,
            in_use: Cell::new(false),
            owner: RefCell::new(Owner::new(tolerance)),
            fallback: RefCell::new(FallbackLimiter::new(started_at, tolerance)),
            refusals: RefCell::default(),
            socket: OnceCell::new(),
            // Incarnations are drawn at random, so the numbers of two processes don't collide.
            next_number: Cell::new(life.0),
            awaited: RefCell::default(),
            queues: RefCell::default(),
            silent: RefCell::default(),
            shards: RefCell::default(),
            known_nodes: RefCell::default(),
        }
    }

    /// Sets the socket for sending datagrams.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // A process has one such socket, which never changes.
        let _first = self.socket.set(socket);
    }

    /// Applies a configuration. Once any configuration had quotas, shards keep their owners even if
    /// later ones have none, so that owners need not be assigned again.
    pub fn configured(&self, configuration: &Configuration) {
        let mut tenants = configuration.tenants.iter();
        let has_quotas = tenants.any(|tenant| tenant.quota.is_some());
        self.in_use.set(self.in_use.get() || has_quotas);
    }

    /// Adds nodes named in the leader's table.
    pub fn add_nodes<'a>(&self, nodes: impl IntoIterator<Item = &'a str>) {
        self.known_nodes.borrow_mut().add(nodes);
    }

    /// Returns whether shards need owners.
    pub fn are_in_use(&self) -> bool {
        self.in_use.get()
    }

    fn number(&self) -> u64 {
        let number = self.next_number.get().wrapping_add(1);
        self.next_number.set(number);
        number
    }

    /// Sends a message. A message that can't be sent is treated like one lost on the network.
    fn send(&self, to: SocketAddr, message: Message) {
        if let Some(socket) = self.socket.get() {
            let bytes = internal::encode(&Datagram::Quota(message));
            // The router retries, and falls back to local admission in the end.
            let _sent = socket.try_send_to(&bytes, to);
        }
    }
}

/// Returns the node's clock as a duration, as the quota types take it.
fn quota_time(node: &Node) -> Duration {
    Duration::from_millis(node.now().0)
}

/// Who admitted a request.
#[derive(Debug, Clone, Copy)]
enum TokenSource {
    /// The owner of its tenant's shard; with the token to return if the request doesn't run, or
    /// `None` if the owner doesn't need it back.
    Owner(Option<ReturnedTokens>),
    /// This node, without an owner, at this time.
    Fallback(Duration),
}

/// A request's tenant and the limit that applies to it.
#[derive(Debug, Clone)]
struct TenantLimit {
    tenant: Rc<str>,
    limit: Limit,
}

/// A token of a tenant's quota. Dropping the permit returns the token unless the request was sent
/// to a target.
pub struct Permit {
    /// `None` if no quota applies to the request.
    token: Option<Token>,
    spent: Cell<bool>,
}

struct Token {
    node: Rc<Node>,
    subject: TenantLimit,
    source: TokenSource,
}

impl Permit {
    /// Marks the request as sent to a target: its token is used, whatever the outcome, unless
    /// [`Permit::not_run`] follows.
    pub fn mark_sent(&self) {
        self.spent.set(true);
    }

    /// Records that the last send certainly did not run the request.
    pub fn not_run(&self) {
        self.spent.set(false);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(token) = self.token.take().filter(|_| !self.spent.get()) else {
            return;
        };
        match token.source {
            TokenSource::Owner(Some(returned)) => {
                token
                    .node
                    .metrics
                    .count(&token.node.metrics.quota, "returned");
                token_requests::return_token(&token.node, &token.subject, returned);
            }
            TokenSource::Owner(None) => {}
            TokenSource::Fallback(admitted_at) => {
                let mut fallback = token.node.quotas.fallback.borrow_mut();
                fallback.cancel(&token.subject.tenant, admitted_at);
            }
        }
    }
}

/// Takes a token for a request, or returns a permit without a token if the request has no tenant
/// with a quota.
pub async fn admit(node: &Rc<Node>, tenant: Option<&RequestTenant>) -> Result<Permit, OverQuota> {
    let limited = tenant.and_then(|tenant| Some((tenant, tenant.quota?)));
    let Some((tenant, quota)) = limited else {
        let (token, spent) = (None, Cell::new(false));
        return Ok(Permit { token, spent });
    };
    let subject = TenantLimit {
        tenant: tenant.name.clone(),
        limit: Limit {
            version: node.configuration_version(),
            rate_per_s: quota.rate_per_s,
            burst: quota.burst,
        },
    };
    let decided = decide(node, &subject).await;
    let metric = match &decided {
        Ok(TokenSource::Owner(_)) => "granted",
        Ok(TokenSource::Fallback(_)) => "admitted_alone",
        Err(over) => over.refused_by.name(),
    };
    node.metrics.count(&node.metrics.quota, metric);
    let source = decided?;
    let token = Token {
        node: node.clone(),
        subject,
        source,
    };
    Ok(Permit {
        token: Some(token),
        spent: Cell::new(false),
    })
}

async fn decide(node: &Rc<Node>, subject: &TenantLimit) -> Result<TokenSource, OverQuota> {
    let quotas = &node.quotas;
    let window = quotas.tolerance.window;
    let refused = quotas.refusals.borrow_mut().refuses(
        quota_time(node),
        &subject.tenant,
        &subject.limit,
        window,
    );
    if let Some(retry_after) = refused {
        return Err(OverQuota {
            retry_after,
            refused_by: RefusedBy::CachedRefusal,
        });
    }
    match token_requests::token(node, subject).await {
        TokenResult::Granted(returned) => Ok(TokenSource::Owner(returned)),
        TokenResult::Refused(retry_after) => Err(OverQuota {
            retry_after,
            refused_by: RefusedBy::Owner,
        }),
        TokenResult::Unanswered => local_fallback::admit(node, subject),
    }
}

/// Returns the token of a decision in the form in which it is returned, or `None` if it need not be
/// returned.
fn returnable_token(decision: &Decision) -> Option<ReturnedTokens> {
    decision.scarce.then_some(ReturnedTokens {
        ownership_id: decision.ownership_id,
        granted_at_ms: decision.decided_at_ms,
        tokens: 1,
    })
}
