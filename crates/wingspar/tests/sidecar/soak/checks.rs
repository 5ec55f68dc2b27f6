//! The promises, checked from what callers and targets have seen.

use std::collections::BTreeMap;

use wingspar_standins::fleet::Seen;

use super::announcements::Announcements;
use super::credentials::{Credentials, LISTED};
use super::faults::Faults;
use super::holders::Holders;
use super::leaving::{self, Interruptions};
use super::load::{Answer, Kind};
use super::quotas;
use crate::deployment::Deployment;

/// Targets answer with their name under this word.
const BODY_START: &str = "{\"ran_at\":";

/// Everything that was seen in a run.
pub struct Promises<'a> {
    deployment: &'a Deployment,
    answers: &'a [Answer],
    /// Target's id and what it ran, in the order of time.
    runs: Vec<(String, Seen)>,
    credentials: &'a Credentials,
    announcements: &'a Announcements,
    interruptions: &'a Interruptions,
    holders: &'a Holders,
    log: &'a [String],
}

impl<'a> Promises<'a> {
    /// What callers and targets have seen in a run with these faults.
    pub fn new(deployment: &'a Deployment, answers: &'a [Answer], faults: &'a Faults) -> Self {
        let targets = deployment
            .nodes
            .iter()
            .filter_map(|node| node.target.as_ref());
        let mut runs = targets
            .flat_map(|target| {
                let seen = target.seen().into_iter();
                seen.map(|seen| (target.id(), seen))
            })
            .collect::<Vec<_>>();
        runs.sort_by_key(|(_, seen)| seen.at);
        Self {
            deployment,
            answers,
            runs,
            credentials: faults.credentials(),
            announcements: faults.announcements(),
            interruptions: faults.interruptions(),
            holders: faults.holders(),
            log: faults.log(),
        }
    }

    /// What was counted.
    pub fn summary(&self) -> String {
        let with = |status| {
            let answers = self.answers.iter();
            answers
                .filter(|answer| answer.status == Some(status))
                .count()
        };
        let none = self.answers.iter().filter(|answer| answer.status.is_none());
        format!(
            "{} requests, {} runs, 200: {}, 401: {}, 429: {}, 502: {}, 503: {}, 504: {}, no answer: {}; {}; {} faults",
            self.answers.len(),
            self.runs.len(),
            with(200),
            with(401),
            with(429),
            with(502),
            with(503),
            with(504),
            none.count(),
            quotas::summary(self.deployment, self.answers),
            self.log.len(),
        )
    }

    /// The first promise that broke, with the faults of the run.
    pub fn check(&self) -> Result<(), String> {
        let checks = [
            self.at_most_once(),
            self.not_run_is_true(),
            self.own_whole_answer(),
            self.one_owner(),
            self.holders.check(self.deployment),
            self.innocents_are_run(),
            self.tenant_is_told(),
            self.who_is_listed_is_not_turned_away(),
            quotas::hold(self.deployment, self.answers),
            self.announcements.limits_hold(self.deployment),
            leaving::hold(self.answers, &self.runs, self.interruptions),
        ];
        for check in checks {
            check.map_err(|problem| format!("{problem}\n  {}", self.log.join("\n  ")))?;
        }
        Ok(())
    }

    /// No request is refused for what another did.
    fn innocents_are_run(&self) -> Result<(), String> {
        let mut innocents = self.answers.iter();
        let refused = innocents.find(|answer| {
            answer.kind != Kind::Crashing && answer.body.as_deref() == Some("quarantined")
        });
        match refused {
            Some(answer) => Err(format!(
                "{} was refused, and no target ended under it",
                answer.id
            )),
            None => Ok(()),
        }
    }

    /// A target is told one tenant, which holds or has held the credential that the client sent.
    fn tenant_is_told(&self) -> Result<(), String> {
        for answer in self.answers {
            let runs = self.runs.iter().filter(|(_, seen)| seen.id == answer.id);
            for (_, seen) in runs {
                let held = |tenant: &str| {
                    let credentials = self.credentials;
                    credentials.was_held_by(answer.credential, tenant, seen.at)
                };
                let right = matches!(seen.tenants.as_slice(), [tenant] if held(tenant));
                if !right || seen.credential {
                    return Err(format!("with {} a target saw {seen:?}", answer.credential));
                }
            }
        }
        Ok(())
    }

    /// Who sends a credential that every version lists is never refused.
    fn who_is_listed_is_not_turned_away(&self) -> Result<(), String> {
        let mut listed = self
            .answers
            .iter()
            .filter(|answer| LISTED.contains(&answer.credential));
        match listed.find(|answer| answer.status == Some(401)) {
            Some(answer) => Err(format!("{} was refused for its credential", answer.id)),
            None => Ok(()),
        }
    }

    fn runs_of(&self, id: &str) -> usize {
        self.runs.iter().filter(|(_, seen)| seen.id == id).count()
    }

    fn at_most_once(&self) -> Result<(), String> {
        let once = self
            .answers
            .iter()
            .filter(|answer| answer.kind == Kind::Once);
        for answer in once {
            let runs = self.runs_of(&answer.id);
            if runs > 1 {
                return Err(format!("{} ran {runs} times", answer.id));
            }
        }
        Ok(())
    }

    fn not_run_is_true(&self) -> Result<(), String> {
        let told = self.answers.iter().filter(|answer| {
            answer.kind == Kind::Once && matches!(answer.status, Some(503 | 429 | 421 | 408))
        });
        for answer in told {
            if self.runs_of(&answer.id) > 0 {
                return Err(format!("{} was told 'not run' and ran", answer.id));
            }
        }
        Ok(())
    }

    fn own_whole_answer(&self) -> Result<(), String> {
        let whole = self
            .answers
            .iter()
            .filter(|answer| answer.status == Some(200));
        for answer in whole {
            let own = answer.signed && answer.answered_id.as_ref() == Some(&answer.id);
            let body = answer.body.as_ref();
            if !own || body.is_some_and(|body| !body.starts_with(BODY_START)) {
                return Err(format!("not its own answer: {answer:?}"));
            }
            if self.runs_of(&answer.id) == 0 {
                return Err(format!("{} was answered and never ran", answer.id));
            }
        }
        Ok(())
    }

    /// Work on a key begins under fences that never fall, and one fence is one target's.
    fn one_owner(&self) -> Result<(), String> {
        let mut newest = BTreeMap::<u16, (u64, &str)>::new();
        for (target, seen) in &self.runs {
            let (Some(key), Some(fence)) = (seen.key, seen.fence) else {
                continue;
            };
            if let Some((known, owner)) = newest.get(&key)
                && (fence < *known || fence == *known && owner != target)
            {
                return Err(format!(
                    "{} began on key {key} at {target} under {fence}, after {owner} had it under {known}",
                    seen.id
                ));
            }
            newest.insert(key, (fence, target));
        }
        Ok(())
    }
}
