//! Commands that have one answer.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use wingspar_api::status::Failure;
use wingspar_world::{ConfigObject, ConfigVersion, ServiceName};

use crate::client::{Client, Versioned};
use crate::command::{Command, Source};
use crate::file::{build_object, change_object, read_object};
use crate::kind::{Kind, name_of};
use crate::report::Report;
use crate::run::Ending;

/// Between two looks at a roll-out that is waited for.
const WAIT_INTERVAL: Duration = Duration::from_millis(200);

/// A client with the one change id that all attempts of the command share.
pub(crate) struct Session {
    pub(crate) client: Client,
    pub(crate) change_id: String,
    pub(crate) limit: Duration,
}

impl Session {
    /// Carries out a command that has one answer.
    pub(crate) async fn execute(&mut self, command: Command) -> Result<Report, Ending> {
        match command {
            Command::Help(_) | Command::Watch { .. } => {
                unreachable!("help and watches are carried out before")
            }
            Command::Create { kind, source } => self.create(kind, source).await,
            Command::Update {
                kind,
                source,
                expect,
            } => self.update(kind, source, expect).await,
            Command::Delete { kind, name, expect } => self.delete(kind, &name, expect).await,
            Command::Get { kind, name } => {
                let object = self.client.get(kind, &name).await?;
                Ok(Report::object(&object))
            }
            Command::List { kind, service } => self.list(kind, service).await,
            Command::Placement { service, key } => {
                let key = key.as_ref().map(String::as_bytes);
                let placement = self.client.placement(&service, key).await?;
                Ok(Report::placement(&placement))
            }
            Command::Move {
                service,
                moved,
                to,
                durability,
            } => {
                let order =
                    self.client
                        .order_move(&self.change_id, &service, &moved, &to, durability);
                let version = order.await?;
                Ok(Report::moved(version, &self.change_id))
            }
            Command::SetDraining { target, draining } => {
                let change = self.client.set_draining(&self.change_id, &target, draining);
                let version = change.await?;
                Ok(self.written(version))
            }
            Command::Weights {
                policy,
                weights,
                paused,
            } => {
                let weights = weights.as_ref();
                let change = self
                    .client
                    .shift_weights(&self.change_id, &policy, weights, paused);
                let version = change.await?;
                Ok(self.written(version))
            }
            Command::Rollout { version, wait } => self.rollout(version, wait).await,
            Command::Group => Ok(Report::group(&self.client.group().await?)),
            Command::ForceGeneration { generation, dead } => {
                let order = self
                    .client
                    .force_generation(&self.change_id, generation, &dead);
                let version = order.await?;
                Ok(self.written(version))
            }
        }
    }

    fn written(&self, version: ConfigVersion) -> Report {
        Report::written(version, &self.change_id)
    }

    async fn create(&mut self, kind: Kind, source: Source) -> Result<Report, Ending> {
        let object = match source {
            Source::File(path) => read_object(&path, kind)?,
            Source::Fields { name, fields } => build_object(kind, &name, &fields)?,
        };
        check(&object)?;
        let version = self.client.create(&self.change_id, &object).await?;
        Ok(self.written(version))
    }

    async fn update(
        &mut self,
        kind: Kind,
        source: Source,
        expect: Option<ConfigVersion>,
    ) -> Result<Report, Ending> {
        let (object, expect) = match source {
            Source::File(path) => {
                let object = read_object(&path, kind)?;
                let name = name_of(&object).to_owned();
                let expect = self.expected(kind, &name, expect).await?;
                (object, expect)
            }
            Source::Fields { name, fields } => {
                let now = self.client.get(kind, &name).await?;
                let object = change_object(&now.object, &fields)?;
                (object, expect.unwrap_or(now.version))
            }
        };
        check(&object)?;
        let update = self.client.update(&self.change_id, &object, expect);
        let version = update.await?;
        Ok(self.written(version))
    }

    async fn delete(
        &mut self,
        kind: Kind,
        name: &str,
        expect: Option<ConfigVersion>,
    ) -> Result<Report, Ending> {
        let expect = self.expected(kind, name, expect).await?;
        let delete = self.client.delete(&self.change_id, kind, name, expect);
        let version = delete.await?;
        Ok(self.written(version))
    }

    /// The version given, or else the one that the object has now.
    async fn expected(
        &mut self,
        kind: Kind,
        name: &str,
        given: Option<ConfigVersion>,
    ) -> Result<ConfigVersion, Failure> {
        match given {
            Some(version) => Ok(version),
            None => Ok(self.client.get(kind, name).await?.version),
        }
    }

    async fn list(&mut self, kind: Kind, service: Option<ServiceName>) -> Result<Report, Ending> {
        let mut listing = self.client.list(kind).await?;
        listing.items.retain(|item| serves(item, service.as_ref()));
        Ok(Report::listing(kind, &listing))
    }

    async fn rollout(
        &mut self,
        version: Option<ConfigVersion>,
        wait: bool,
    ) -> Result<Report, Ending> {
        let deadline = Instant::now() + self.limit;
        let mut rollout = self.client.rollout(version).await?;
        while wait && !rollout.in_force {
            if Instant::now() >= deadline {
                return Err(Ending::NotInForce(Report::rollout(&rollout)));
            }
            sleep(WAIT_INTERVAL).await;
            rollout = self.client.rollout(Some(rollout.version)).await?;
        }
        Ok(Report::rollout(&rollout))
    }
}

fn check(object: &ConfigObject) -> Result<(), Failure> {
    let mistakes = object.mistakes();
    match mistakes.is_empty() {
        true => Ok(()),
        false => Err(Failure::Invalid(mistakes)),
    }
}

fn serves(item: &Versioned, service: Option<&ServiceName>) -> bool {
    match (&item.object, service) {
        (ConfigObject::Target(target), Some(service)) => &target.service == service,
        _ => true,
    }
}
