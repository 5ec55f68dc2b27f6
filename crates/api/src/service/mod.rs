//! The gRPC services, answered by way of [`Operators`].

mod group;
mod placements;
mod policies;
mod services;
mod targets;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Semaphore, watch};
use tonic::{Response, Status};
use wingspar_control::operator::{OperatorReply, OperatorRequest};
use wingspar_world::{ConfigObject, ConfigVersion};

use crate::Operators;
use crate::convert::{Mistakes, change_id, delete_request, expected_version, object_key};
use crate::status::{Failure, invalid, refusal};
use crate::v1;
use crate::watch::Watch;

/// Longest wait for the answer to one request.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// Watches that may run at once.
const MAX_WATCHES: usize = 64;

const SERVICES: &str = "services/";
const TARGETS: &str = "targets/";
const POLICIES: &str = "policies/";

/// All gRPC services over one [`Operators`].
pub(crate) struct OperatorService<O> {
    operators: Arc<O>,
    stopped: watch::Receiver<bool>,
    watches: Arc<Semaphore>,
}

impl<O> Clone for OperatorService<O> {
    fn clone(&self) -> Self {
        Self {
            operators: Arc::clone(&self.operators),
            stopped: self.stopped.clone(),
            watches: Arc::clone(&self.watches),
        }
    }
}

/// Objects of one kind with their versions.
struct Listing {
    version: ConfigVersion,
    items: Vec<(ConfigVersion, ConfigObject)>,
}

impl<O: Operators> OperatorService<O> {
    /// Answers by `operators`; watches end when `stopped` becomes true.
    pub(crate) fn new(operators: O, stopped: watch::Receiver<bool>) -> Self {
        Self {
            operators: Arc::new(operators),
            stopped,
            watches: Arc::new(Semaphore::new(MAX_WATCHES)),
        }
    }

    /// Asks for a reading; without an answer in time it is unavailable.
    async fn read(&self, request: OperatorRequest) -> Result<OperatorReply, Status> {
        let answer = self.operators.execute(request);
        let answered = tokio::time::timeout(ANSWER_LIMIT, answer).await;
        answered.map_err(|_| {
            let reason = "no answer in time".to_owned();
            Failure::Unavailable { reason }.into_status()
        })
    }

    /// Asks for a change; without an answer in time its outcome is unknown.
    async fn change(&self, request: OperatorRequest) -> Result<OperatorReply, Status> {
        let answer = self.operators.execute(request);
        let answered = tokio::time::timeout(ANSWER_LIMIT, answer).await;
        answered.map_err(|_| {
            let reason = "no answer in time; repeat it with the same change id".to_owned();
            Failure::Unknown { reason }.into_status()
        })
    }

    /// Asks for a change of the configuration.
    async fn write(
        &self,
        request: Result<OperatorRequest, Vec<String>>,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        match self.change(request.map_err(invalid)?).await? {
            OperatorReply::Written { version } => {
                let version = version.0;
                Ok(Response::new(v1::ChangeReply { version }))
            }
            other => Err(refusal(other)),
        }
    }

    async fn delete(
        &self,
        prefix: &str,
        message: &v1::DeleteRequest,
    ) -> Result<Response<v1::ChangeReply>, Status> {
        self.write(delete_request(prefix, message)).await
    }

    async fn get(
        &self,
        prefix: &str,
        message: v1::GetRequest,
    ) -> Result<(ConfigVersion, ConfigObject), Status> {
        let mut mistakes = Mistakes::default();
        let key = object_key(&mut mistakes, prefix, &message.name);
        let key = mistakes.finish(Some(key)).map_err(invalid)?;
        match self.read(OperatorRequest::Get { key }).await? {
            OperatorReply::Objects { mut items, .. } => {
                items.pop().ok_or_else(|| refusal(OperatorReply::NotFound))
            }
            other => Err(refusal(other)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Status> {
        let prefix = prefix.to_owned();
        match self.read(OperatorRequest::List { prefix }).await? {
            OperatorReply::Objects { version, items } => Ok(Listing { version, items }),
            other => Err(refusal(other)),
        }
    }

    /// Starts a watch; a replica that can't serve it refuses the call at once.
    async fn watch(&self, prefix: &'static str) -> Result<Watch<O>, Status> {
        let Ok(permit) = Arc::clone(&self.watches).try_acquire_owned() else {
            let reason = format!("{MAX_WATCHES} watches run already");
            return Err(Failure::Unavailable { reason }.into_status());
        };
        let operators = Arc::clone(&self.operators);
        Watch::start(operators, prefix, self.stopped.clone(), permit).await
    }
}

/// Version that an object to create must have: it must not exist.
const ABSENT: ConfigVersion = ConfigVersion(0);

/// A creation; `object` is the object or its mistakes.
fn create(
    id: &str,
    object: Result<ConfigObject, Vec<String>>,
) -> Result<OperatorRequest, Vec<String>> {
    let mut mistakes = Mistakes::default();
    let id = change_id(&mut mistakes, id);
    put(mistakes, id, object, ABSENT)
}

/// A replacement; `object` is the object or its mistakes.
fn update(
    id: &str,
    version: u64,
    object: Result<ConfigObject, Vec<String>>,
) -> Result<OperatorRequest, Vec<String>> {
    let mut mistakes = Mistakes::default();
    let id = change_id(&mut mistakes, id);
    let expect = expected_version(&mut mistakes, version);
    put(mistakes, id, object, expect)
}

fn put(
    mut mistakes: Mistakes,
    change_id: String,
    object: Result<ConfigObject, Vec<String>>,
    expect: ConfigVersion,
) -> Result<OperatorRequest, Vec<String>> {
    let object = match object {
        Ok(object) => {
            mistakes.extend(object.mistakes());
            Some(object)
        }
        Err(lines) => {
            mistakes.extend(lines);
            None
        }
    };
    mistakes.finish(object.map(|object| OperatorRequest::Put {
        change_id,
        object,
        expect: Some(expect),
    }))
}

/// The status for an object of another kind than its key says.
fn wrong_kind(object: &ConfigObject) -> Status {
    let reason = format!("{} is of another kind", object.store_key());
    Failure::Unavailable { reason }.into_status()
}
