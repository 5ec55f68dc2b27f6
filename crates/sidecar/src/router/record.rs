//! Values that the log and the metrics report about a request.

use std::time::Duration;

use http::Request;
use tokio::time::Instant;
use wingspar_platform::headers;
use wingspar_quarantine::Fingerprint;

use crate::body::Body;
use crate::clock::whole_millis;
use crate::local_response::Reason;
use crate::logs::Event;
use crate::metrics::{RequestLabels, ServiceLabel};
use crate::node::Node;
use crate::outages::OutageCause;

/// Collects the values that the log and the metrics report about a request while it is handled.
pub struct Record {
    /// The request id that its caller sent; empty if it is missing.
    pub id: String,
    /// Name of the request's route; empty until the route is determined.
    pub route: String,
    /// Name of the request's service; empty until the service is determined.
    pub service: String,
    /// The request's key; `None` if it has none or its service isn't keyed.
    pub key: Option<u16>,
    /// Digest of the request's content, independent of its id; `None` until its body has been read.
    pub fingerprint: Option<Fingerprint>,
    /// Version of the configuration by which the request was routed; 0 if the node had none.
    pub configuration: u64,
    /// The node to which the request was sent last; empty if to none.
    pub node: String,
    /// Whether the request has no key and was sent to a node in another region.
    pub left_region: bool,
    /// Sends that reached a target.
    pub sends: u32,
    /// Whether one of these sends may have run.
    pub may_have_run: bool,
    /// Whether the request has been sent to a node that hasn't answered yet.
    pub is_sent: bool,
    /// Targets whose process ended while the request ran there.
    pub targets_ended: u32,
    /// Why the last node that didn't answer the request failed to; empty if there was none.
    pub detail: String,
    /// Name of the tenant that the request is counted for; empty if it has none.
    pub tenant: String,
    /// Time after which the caller may retry, as reported by the node or quota that refused the request; `None` if it
    /// reported none.
    pub retry_after: Option<Duration>,
    /// Why the node to which the request was sent last couldn't run it; `None` if that shows no outage.
    pub missing: Option<OutageCause>,
    /// Until when the request's caller waits; `None` until its headers have been read.
    pub caller_waits_until: Option<Instant>,
}

impl Record {
    /// The record of a request that has just arrived, of which only the id is known.
    pub fn new(request: &Request<Body>) -> Self {
        let id = request
            .headers()
            .get(headers::REQUEST_ID)
            .and_then(|id| id.to_str().ok());
        Self {
            id: id.unwrap_or("").to_owned(),
            route: String::new(),
            service: String::new(),
            key: None,
            fingerprint: None,
            configuration: 0,
            node: String::new(),
            left_region: false,
            sends: 0,
            may_have_run: false,
            is_sent: false,
            targets_ended: 0,
            detail: String::new(),
            tenant: String::new(),
            retry_after: None,
            missing: None,
            caller_waits_until: None,
        }
    }

    /// Why a request is given up that is still in progress when the process is about to exit.
    pub fn reason_at_exit(&self) -> Reason {
        if self.is_sent || self.may_have_run {
            Reason::MayHaveRun
        } else {
            Reason::Stopping
        }
    }

    /// Counts the request; logs it unless a single send within the region answered it. `reason` is why it was refused.
    pub fn finish(&self, node: &Node, arrived: Instant, reason: Option<Reason>) {
        let took = arrived.elapsed();
        let labels = RequestLabels {
            service: self.service.clone(),
            outcome: reason.map_or("answered", Reason::name),
        };
        node.metrics.requests.get_or_create(&labels).inc();
        let service = ServiceLabel {
            service: self.service.clone(),
        };
        node.metrics
            .latency
            .get_or_create(&service)
            .observe(took.as_secs_f64());
        if !self.tenant.is_empty() {
            let answered = reason.is_none();
            node.metrics
                .tenants
                .count(&self.tenant, labels.outcome, answered);
        }
        if reason.is_none() && self.sends <= 1 && !self.left_region {
            return;
        }
        node.log.write_request(Event::Request {
            id: &self.id,
            route: &self.route,
            tenant: &self.tenant,
            service: &self.service,
            key: self.key,
            fingerprint: self
                .fingerprint
                .map_or_else(String::new, |fingerprint| fingerprint.to_string()),
            configuration: self.configuration,
            checked_ms_ago: node.configuration_checked_ago().map(whole_millis),
            tried: &self.node,
            sends: self.sends,
            outcome: labels.outcome,
            took_ms: whole_millis(took),
            detail: &self.detail,
        });
    }
}
