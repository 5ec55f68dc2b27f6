//! Carries out the events of an experiment.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use wingspar_standins::platform::Faults;
use wingspar_world::{ServiceName, TargetName};

use super::definition::{Action, Event};
use super::results::TimedNote;
use crate::cluster::{Cluster, ClusterError};
use crate::load::{Shared, key_of};

/// An event, or the end of one that lasts.
#[derive(Debug, Clone)]
enum Step {
    Begin(Action),
    End(Action),
}

/// Plays the timeline against the deployment.
pub(super) struct Director<'a> {
    pub(super) cluster: &'a mut Cluster,
    pub(super) changes: Arc<Mutex<Shared>>,
    pub(super) start: Instant,
    pub(super) progress: &'a dyn Fn(&TimedNote),
    /// Machines that have been killed and not started again.
    pub(super) dead: BTreeSet<String>,
    pub(super) notes: Vec<TimedNote>,
}

impl Director<'_> {
    /// Carries out all events, each at its time; one that fails is noted.
    pub(super) async fn play(&mut self, events: &[Event]) {
        for (at, step) in timeline(events) {
            sleep_until(self.start + Duration::from_secs_f64(at)).await;
            let text = match self.carry_out(&step).await {
                Ok(text) => text,
                Err(error) => format!("{step:?} failed: {error}"),
            };
            self.note(text);
        }
    }

    fn note(&mut self, text: String) {
        let note = TimedNote {
            at_s: self.start.elapsed().as_secs_f64(),
            text,
        };
        (self.progress)(&note);
        self.notes.push(note);
    }

    async fn carry_out(&mut self, step: &Step) -> Result<String, ClusterError> {
        match step {
            Step::Begin(action) => self.begin(action).await,
            Step::End(action) => Ok(self.end(action)),
        }
    }

    async fn begin(&mut self, action: &Action) -> Result<String, ClusterError> {
        match action {
            Action::MoveKey { service, rank } => self.move_key(service, *rank).await,
            Action::Drain { target } => {
                self.cluster.set_draining(target, true).await?;
                Ok(format!("operator drains {target}"))
            }
            Action::Undrain { target } => {
                self.cluster.set_draining(target, false).await?;
                Ok(format!("operator takes the drain of {target} back"))
            }
            Action::KillOwner { service, rank } => {
                let owner = self.owner(service, *rank).await?.to_string();
                self.kill(&owner)?;
                Ok(format!("{owner}, owner of {}, dies", key_of(*rank)))
            }
            Action::KillLeader => {
                let leader = self.cluster.leader().await?;
                self.kill(&leader)?;
                Ok(format!("{leader}, the control group's leader, dies"))
            }
            Action::Kill { machine } => {
                self.kill(machine)?;
                Ok(format!("{machine} dies"))
            }
            Action::RestartAll => self.restart_all().await,
            Action::Stop { machine } => {
                self.cluster.host(machine)?.stop();
                Ok(format!("{machine} is asked for a planned stop"))
            }
            Action::FreezeOwner {
                service,
                rank,
                for_s,
            } => {
                let owner = self.owner(service, *rank).await?;
                self.freeze(owner.as_str(), *for_s)
            }
            Action::FreezeLeader { for_s } => {
                let leader = self.cluster.leader().await?;
                self.freeze(&leader, *for_s)
            }
            Action::StoreDown { for_s } => {
                self.cluster.set_platform_faults(Faults {
                    down: true,
                    ..Faults::default()
                });
                Ok(format!("the platform's store is down for {for_s} s"))
            }
            Action::StoreSlow { delay_ms, for_s } => {
                self.cluster.set_platform_faults(Faults {
                    delay_ms: *delay_ms,
                    ..Faults::default()
                });
                Ok(format!("the platform's store is slow for {for_s} s"))
            }
            Action::StoreLosesAnswers { every, for_s } => {
                self.cluster.set_platform_faults(Faults {
                    lose_answer_every: *every,
                    ..Faults::default()
                });
                Ok(format!("the platform's store loses answers for {for_s} s"))
            }
            Action::HotKey {
                service,
                rank,
                share,
                ..
            } => {
                self.change(|shared| shared.hot = Some((service.clone(), *rank, *share)));
                Ok(format!("{} of {service} is hot", key_of(*rank)))
            }
            Action::SlowChecks { work_ms, .. } => {
                self.change(|shared| shared.slow_checks_ms = Some(*work_ms));
                Ok(format!("checks take {work_ms} ms"))
            }
        }
    }

    fn end(&mut self, action: &Action) -> String {
        match action {
            Action::HotKey { .. } => {
                self.change(|shared| shared.hot = None);
                "no key is hot any more".to_owned()
            }
            Action::SlowChecks { .. } => {
                self.change(|shared| shared.slow_checks_ms = None);
                "checks are fast again".to_owned()
            }
            _ => {
                self.cluster.set_platform_faults(Faults::default());
                "the platform's store is well again".to_owned()
            }
        }
    }

    async fn owner(&self, service: &ServiceName, rank: usize) -> Result<TargetName, ClusterError> {
        self.cluster.owner_of(service, &key_of(rank)).await
    }

    async fn move_key(
        &mut self,
        service: &ServiceName,
        rank: usize,
    ) -> Result<String, ClusterError> {
        let key = key_of(rank);
        let owner = self.owner(service, rank).await?;
        let spec = self.cluster.spec().service(service);
        let spec = spec.ok_or_else(|| ClusterError::Unknown(format!("service {service}")))?;
        let mut others = spec.target_names().into_iter();
        let to = others.rfind(|target| target != &owner);
        let to = to.ok_or_else(|| ClusterError::Unknown("second target".to_owned()))?;
        self.cluster.move_key(service, &key, &to).await?;
        Ok(format!("operator moves {key} from {owner} to {to}"))
    }

    fn kill(&mut self, machine: &str) -> Result<(), ClusterError> {
        self.cluster.kill(machine)?;
        self.dead.insert(machine.to_owned());
        Ok(())
    }

    fn freeze(&mut self, machine: &str, for_s: f64) -> Result<String, ClusterError> {
        let host = self.cluster.host(machine)?;
        host.freeze(Duration::from_secs_f64(for_s));
        Ok(format!("{machine} freezes for {for_s} s"))
    }

    async fn restart_all(&mut self) -> Result<String, ClusterError> {
        let dead = std::mem::take(&mut self.dead);
        for machine in &dead {
            self.cluster.start_machine(machine).await?;
        }
        let names = dead.into_iter().collect::<Vec<_>>();
        Ok(format!("started again: {}", names.join(", ")))
    }

    fn change(&self, change: impl FnOnce(&mut Shared)) {
        change(&mut self.changes.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

/// All steps in order of time, in seconds from the start.
fn timeline(events: &[Event]) -> Vec<(f64, Step)> {
    let mut steps = Vec::new();
    for event in events {
        steps.push((event.at_s, Step::Begin(event.action.clone())));
        if let Some(for_s) = lasts(&event.action) {
            steps.push((event.at_s + for_s, Step::End(event.action.clone())));
        }
    }
    steps.sort_by(|left, right| left.0.total_cmp(&right.0));
    steps
}

/// How long an event lasts whose end needs a step of its own.
fn lasts(action: &Action) -> Option<f64> {
    match action {
        Action::StoreDown { for_s }
        | Action::StoreSlow { for_s, .. }
        | Action::StoreLosesAnswers { for_s, .. }
        | Action::HotKey { for_s, .. }
        | Action::SlowChecks { for_s, .. } => Some(*for_s),
        _ => None,
    }
}
