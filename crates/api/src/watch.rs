//! Watches, made from listings at a bounded rate.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::{self, BoxStream};
use tokio::sync::{OwnedSemaphorePermit, watch};
use tonic::Status;
use wingspar_control::operator::{OperatorReply, OperatorRequest};
use wingspar_world::{ConfigObject, ConfigVersion};

use crate::Operators;
use crate::status::{Failure, refusal};

/// Between two listings of one watch.
const LISTING_INTERVAL: Duration = Duration::from_millis(500);

/// What a watch tells.
#[derive(Debug)]
pub(crate) enum Change {
    /// Created or changed.
    Changed(ConfigVersion, ConfigObject),
    /// Name of a deleted object.
    Deleted(String),
    /// All that existed when the watch began has been told.
    Synced,
}

/// Events of a watch, as sent.
pub(crate) type Events<T> = BoxStream<'static, Result<T, Status>>;

/// A running watch of all objects under a prefix.
pub(crate) struct Watch<O> {
    operators: Arc<O>,
    prefix: &'static str,
    stopped: watch::Receiver<bool>,
    known: BTreeMap<String, ConfigVersion>,
    version: Option<ConfigVersion>,
    pending: VecDeque<Change>,
    ended: bool,
    _permit: OwnedSemaphorePermit,
}

impl<O: Operators> Watch<O> {
    /// Starts a watch with a first listing; it counts against the limit that the permit belongs to.
    pub(crate) async fn start(
        operators: Arc<O>,
        prefix: &'static str,
        stopped: watch::Receiver<bool>,
        permit: OwnedSemaphorePermit,
    ) -> Result<Self, Status> {
        let mut watch = Self {
            operators,
            prefix,
            stopped,
            known: BTreeMap::new(),
            version: None,
            pending: VecDeque::new(),
            ended: false,
            _permit: permit,
        };
        watch.refill().await?;
        Ok(watch)
    }

    /// Its events, in the form that `wrap` gives them.
    pub(crate) fn events<T: Send + 'static>(
        self,
        wrap: fn(ConfigVersion, Change) -> T,
    ) -> Events<T> {
        let step = move |mut watch: Self| async move {
            let next = watch.next().await?;
            let event = next.map(|change| wrap(watch.version.unwrap_or_default(), change));
            Some((event, watch))
        };
        stream::unfold(self, step).boxed()
    }

    async fn next(&mut self) -> Option<Result<Change, Status>> {
        if self.ended {
            return None;
        }
        loop {
            if let Some(change) = self.pending.pop_front() {
                return Some(Ok(change));
            }
            if let Err(status) = self.refill().await {
                self.ended = true;
                return Some(Err(status));
            }
        }
    }

    async fn refill(&mut self) -> Result<(), Status> {
        if self.version.is_some() {
            self.pause().await?;
        }
        let prefix = self.prefix.to_owned();
        match self
            .operators
            .execute(OperatorRequest::List { prefix })
            .await
        {
            OperatorReply::Objects { version, items } => {
                self.take_in(version, items);
                Ok(())
            }
            other => Err(refusal(other)),
        }
    }

    async fn pause(&mut self) -> Result<(), Status> {
        let stopped = self.stopped.wait_for(|stopped| *stopped);
        if tokio::time::timeout(LISTING_INTERVAL, stopped)
            .await
            .is_err()
        {
            return Ok(());
        }
        let reason = "this replica is stopping".to_owned();
        Err(Failure::Unavailable { reason }.into_status())
    }

    /// Notes what differs from the listing before. A listing that is older, as a replica that lags
    /// may give, is left out.
    fn take_in(&mut self, version: ConfigVersion, items: Vec<(ConfigVersion, ConfigObject)>) {
        let first = self.version.is_none();
        if self.version.is_some_and(|known| version <= known) {
            return;
        }
        let mut gone = std::mem::take(&mut self.known);
        for (version, object) in items {
            let key = object.store_key();
            if gone.remove(&key) != Some(version) {
                self.pending.push_back(Change::Changed(version, object));
            }
            self.known.insert(key, version);
        }
        let names = gone.keys().map(|key| key[self.prefix.len()..].to_owned());
        self.pending.extend(names.map(Change::Deleted));
        if first {
            self.pending.push_back(Change::Synced);
        }
        self.version = Some(version);
    }
}
