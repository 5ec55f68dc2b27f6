//! Tenants with quotas: what versions of the configuration allow them, and whether that bound holds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::load::Answer;
use crate::deployment::Deployment;
use crate::quota_bound::{Terms, most_in_a_window, spans};

/// A tenant whose quota stays, and its credential.
pub const METERED: &str = "metered";
/// A tenant whose quota versions change, and its credential.
pub const VARIED: &str = "varied";
/// The quota of the first tenant, and the larger one of the second.
const FULL: Terms = Terms {
    rate: 12.0,
    burst: 6.0,
};
/// The smaller one of the second.
const LOWERED: Terms = Terms {
    rate: 4.0,
    burst: 3.0,
};
/// How long each of the checks sends that need no fault under way.
const AT_REST: Duration = Duration::from_millis(2_400);
/// Time between two requests far above the smaller quota: fourteen times as many.
const STORM_PAUSE: Duration = Duration::from_millis(18);
/// Time between two requests at half of the larger quota.
const USUAL_PAUSE: Duration = Duration::from_millis(160);
/// One in so many requests below the limit may be refused while nothing is wrong: on a busy machine an owner that runs
/// may miss the time for its answer.
const FEW: usize = 10;

/// The two tenants in a version of the configuration.
pub fn tenants(lowered: bool) -> [Value; 2] {
    let tenant = |name: &str, terms: Terms| json!({"name": name, "api_keys": [name], "rate_per_s": terms.rate, "burst": terms.burst});
    let varied = if lowered { LOWERED } else { FULL };
    [tenant(METERED, FULL), tenant(VARIED, varied)]
}

/// No window has more requests of a tenant than its quota, with what the operator tolerates, allows; where versions
/// change the quota, than the largest does.
pub fn hold(deployment: &Deployment, answers: &[Answer]) -> Result<(), String> {
    for tenant in [METERED, VARIED] {
        within(deployment, &sent_by(tenant, answers), tenant, FULL)?;
    }
    Ok(())
}

fn within(
    deployment: &Deployment,
    sent: &BTreeMap<&str, Instant>,
    tenant: &str,
    terms: Terms,
) -> Result<(), String> {
    let most = most(deployment, sent);
    if most as f64 > terms.most() {
        return Err(format!(
            "{most} requests of {tenant} ran within a window, {} are allowed",
            terms.most()
        ));
    }
    Ok(())
}

fn most(deployment: &Deployment, sent: &BTreeMap<&str, Instant>) -> usize {
    let runs = deployment.all_seen();
    most_in_a_window(&spans(sent, runs.iter()), None)
}

/// The most requests of each tenant that ran within a window, and what is allowed.
pub fn summary(deployment: &Deployment, answers: &[Answer]) -> String {
    let [metered, varied] =
        [METERED, VARIED].map(|tenant| most(deployment, &sent_by(tenant, answers)));
    format!(
        "in a window {METERED} {metered}, {VARIED} {varied} of {:.0}",
        FULL.most()
    )
}

/// When each request of a tenant was sent.
fn sent_by<'a>(tenant: &str, answers: &'a [Answer]) -> BTreeMap<&'a str, Instant> {
    let of_tenant = answers.iter().filter(|answer| answer.credential == tenant);
    let sent = of_tenant.map(|answer| (answer.id.as_str(), answer.sent_at));
    sent.collect()
}

/// With no fault under way, and the smaller quota in force for long enough, that one binds, and few requests below a
/// quota are refused.
pub async fn hold_at_rest(deployment: &Deployment, seed: u64) -> Result<(), String> {
    let storm = send(deployment, &format!("storm-{seed}"), VARIED, STORM_PAUSE).await;
    let sent = storm.iter().map(|(id, at, _)| (id.as_str(), *at));
    within(deployment, &sent.collect(), VARIED, LOWERED)?;
    let usual = send(deployment, &format!("usual-{seed}"), METERED, USUAL_PAUSE).await;
    let refused = usual.iter().filter(|(_, _, status)| *status == Some(429));
    let refused = refused.count();
    if refused * FEW > usual.len() {
        let all = usual.len();
        return Err(format!("{refused} of {all} below the quota were refused"));
    }
    let storm_refused = storm.iter().filter(|(_, _, status)| *status == Some(429));
    if storm_refused.count() == 0 {
        return Err("nothing above the quota was refused".to_owned());
    }
    Ok(())
}

/// Requests of a tenant at a steady pace: their ids, times and statuses.
async fn send(
    deployment: &Deployment,
    name: &str,
    credential: &str,
    pause: Duration,
) -> Vec<(String, Instant, Option<u16>)> {
    let mut running = Vec::new();
    let until = Instant::now() + AT_REST;
    while Instant::now() < until {
        let number = running.len();
        let id = format!("{name}-{number}");
        let node = number % deployment.nodes.len();
        let path = format!("/orders/{id}");
        let request = deployment.request_as(node, &path, &id, Some(credential));
        running.push(tokio::spawn(async move {
            let at = Instant::now();
            let sent = request.timeout(Duration::from_secs(3)).send().await;
            (id, at, sent.ok().map(|answer| answer.status().as_u16()))
        }));
        if number.is_multiple_of(10) {
            deployment.try_heartbeats().await;
        }
        tokio::time::sleep(pause).await;
    }
    let mut answers = Vec::new();
    for request in running {
        answers.push(request.await.expect("a request's task doesn't panic"));
    }
    answers
}
