//! Detects that the target has ended while requests were running there.
//!
//! A broken connection can be a failure of that connection alone. The target has ended if it refuses new connections,
//! or if its next life reports.

use std::rc::Rc;

use http::HeaderValue;
use wingspar_platform::headers;
use wingspar_quarantine::{CallerRequest, EndEvidence, RunId, Suspect};

use crate::clock::whole_millis;
use crate::hop::HopRequest;
use crate::logs::{Event, SuspectLine};
use crate::node::Node;
use crate::{quarantine, target_calls};

/// A request in flight at the target. If this is dropped before the request's end is recorded, the request counts as
/// cancelled.
pub struct Run {
    node: Rc<Node>,
    id: RunId,
    request: CallerRequest,
}

impl Run {
    /// Records that a request is being sent to the target.
    pub fn begin(node: &Rc<Node>, hop: &HopRequest) -> Self {
        let request_id = hop.headers.get(headers::REQUEST_ID);
        let request_id = request_id.and_then(|id: &HeaderValue| id.to_str().ok());
        let now = node.clock.uptime();
        let mut runs = node.runs.borrow_mut();
        let id = runs.start(now, hop.request, request_id.unwrap_or(""));
        Self {
            node: node.clone(),
            id,
            request: hop.request,
        }
    }

    /// The target has begun to respond, or goes on with its response.
    pub fn responding(&self) {
        let now = self.node.clock.uptime();
        self.node.runs.borrow_mut().responding(now, self.id);
    }

    /// The whole response has been received. A successful one clears the request of suspicion.
    pub fn ended(self, is_success: bool) {
        if is_success {
            quarantine::good_end(&self.node, self.request);
        }
        self.answered();
    }

    /// The target responded, possibly to report that it didn't run the request.
    pub fn answered(self) {
        let now = self.node.clock.uptime();
        self.node.runs.borrow_mut().answered(now, self.id);
    }

    /// The request never reached the target.
    pub fn not_sent(self) {
        self.node.runs.borrow_mut().not_sent(self.id);
    }

    /// The connection ended before the whole response was received.
    pub fn connection_broke(&self) {
        let now = self.node.clock.uptime();
        self.node.runs.borrow_mut().connection_broke(now, self.id);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let now = self.node.clock.uptime();
        self.node.runs.borrow_mut().given_up(now, self.id);
    }
}

/// Checks after a failed connection whether the target has ended.
pub async fn check_ended(node: &Rc<Node>) -> bool {
    if !node.target_connections.refuses_connections().await {
        return false;
    }
    // Any connection opened from now on is one to the target's next life.
    node.target_connections.close_idle();
    target_calls::mark_target_unreachable(node);
    let life = node.target.borrow().life().unwrap_or_default().to_owned();
    ended(node, &life, EndEvidence::RefusesConnections);
    true
}

/// Records that the target has ended; the requests in flight become suspects. `life` is the last one that is known to
/// have run.
pub fn ended(node: &Node, life: &str, evidence: EndEvidence) {
    let now = node.clock.uptime();
    let termination = node.runs.borrow_mut().target_ended(now, life, evidence);
    let Some(termination) = termination.filter(|termination| !termination.suspects.is_empty())
    else {
        return;
    };
    node.metrics.target_ends.inc();
    let suspects = termination.suspects;
    let requests = suspects
        .iter()
        .map(|suspect| suspect.request)
        .collect::<Vec<_>>();
    let changes = node
        .quarantine
        .borrow_mut()
        .target_ended(now, termination.end, &requests);
    node.log.write(Event::TargetEnded {
        target: life,
        evidence: match evidence {
            EndEvidence::RefusesConnections => "refuses_connections",
            EndEvidence::NextIncarnation => "next_life",
        },
        suspects: suspects
            .iter()
            .map(|suspect| suspect_line(node, suspect))
            .collect(),
    });
    quarantine::log_changes(node, changes, "target");
    node.control_wakeup.notify_one();
}

fn suspect_line(node: &Node, suspect: &Suspect) -> SuspectLine {
    SuspectLine {
        id: suspect.request_id.clone(),
        fingerprint: suspect.request.fingerprint.to_string(),
        ran_ms: whole_millis(suspect.ran_for),
        ends: node.quarantine.borrow().ends(suspect.request.fingerprint),
    }
}
