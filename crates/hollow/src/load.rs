//! Requests at agents, so that renewals carry loads; the requests themselves are not measured.

use std::time::Duration;

use wingspar_agent::{Admission, Admit, Finish};
use wingspar_world::{KeyHash, RequestClass};

use crate::cluster::{Cluster, Event, LOAD_INTERVAL};

/// Requests in a burst.
const BURST: u64 = 8;
/// One request in so many is for the agent's hot key.
const HOT_EVERY: u64 = 8;
/// How long a request may take.
const DEADLINE: Duration = Duration::from_secs(1);
/// Spreads keys within a slice.
const STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

impl Cluster {
    /// Runs a burst of requests at an agent, over its slices in turn.
    pub(crate) fn load(&mut self, index: usize) {
        let now = self.now;
        let number = self.loads;
        self.loads += 1;
        let Some(agent) = self.hosts[index].agent.as_mut() else {
            return;
        };
        let grants = agent.served(now);
        for step in 0..BURST {
            if grants.is_empty() {
                break;
            }
            let is_hot = step % HOT_EVERY == 0;
            let place = number.wrapping_mul(BURST) + step;
            let chosen = if is_hot {
                0
            } else {
                place as usize % grants.len()
            };
            let grant = &grants[chosen];
            let first = grant.range.first.0;
            let inside = place.wrapping_mul(STRIDE) % grant.range.span().max(1);
            let key = KeyHash(if is_hot { first } else { first + inside });
            let admission = Admission {
                request_id: String::new(),
                service: grant.service.clone(),
                target: grant.target.clone(),
                key: Some(key),
                router_config: agent.config_version(),
                class: RequestClass::Interactive,
                deadline: now + DEADLINE,
                repeatable: true,
                idempotency: None,
            };
            if let Admit::Run(ticket) = agent.admit(now, admission) {
                let finish = match agent.start(now, ticket) {
                    Ok(_) => Finish::Ran {
                        status: 200,
                        content_type: None,
                        body: None,
                    },
                    Err(_) => Finish::Cancelled,
                };
                agent.finish(now, ticket, finish);
            }
        }
        self.enqueue(LOAD_INTERVAL, Event::Load(index));
    }
}
