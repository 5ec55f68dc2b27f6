//! The client of the platform's object API over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use reqwest::redirect::Policy;
use serde_json::Value;
use thiserror::Error;
use tokio::time::Instant;

use crate::change::Change;
use crate::http_exchange;
use crate::object::{Listing, MachineList, Object, Revision, Version, WatchBatch};
use crate::operation::{Operation, Reply};
use crate::outcome::{Answer, ReadError, WriteOutcome};
use crate::resolve::{Resolver, Step};

/// Pause before an unavailable store is asked again, at first. It doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause before an unavailable store is asked again.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Where the store is and how long the client waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpStoreSettings {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Longest time to make a connection.
    pub connect_timeout: Duration,
    /// Longest time for a whole exchange; a watch may take its wait longer.
    pub request_timeout: Duration,
}

impl HttpStoreSettings {
    /// Settings with the usual time-outs: 1 s to connect, 5 s for an exchange.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connect_timeout: Duration::from_secs(1),
            request_timeout: Duration::from_secs(5),
        }
    }
}

/// The HTTP library could not be set up.
#[derive(Debug, Error)]
#[error("can't set up the store's client: {cause}")]
pub struct SetupError {
    cause: String,
}

/// A client of the platform's object API. Clones share their connections.
#[derive(Debug, Clone)]
pub struct HttpStore {
    client: Client,
    base: String,
    settings: HttpStoreSettings,
}

impl HttpStore {
    /// A client that connects when it is first used.
    ///
    /// Proxies, redirects and the library's own retries are off: each call is one request to one
    /// place, so that its outcome can be told.
    ///
    /// # Errors
    /// When the HTTP library can't be set up.
    pub fn new(settings: HttpStoreSettings) -> Result<Self, SetupError> {
        let client = Client::builder()
            .no_proxy()
            .redirect(Policy::none())
            .retry(reqwest::retry::never())
            .tcp_nodelay(true)
            .connect_timeout(settings.connect_timeout)
            .build()
            .map_err(|error| SetupError {
                cause: error.to_string(),
            })?;
        let base = format!("http://{}", settings.address);
        Ok(Self {
            client,
            base,
            settings,
        })
    }

    /// Reads all objects whose keys start with `prefix`.
    ///
    /// # Errors
    /// When the store can't be read, or the prefix breaks a rule.
    pub async fn list(&self, prefix: &str) -> Result<Listing, ReadError> {
        match self
            .read(Operation::List {
                prefix: prefix.to_owned(),
            })
            .await?
        {
            Reply::Listing(listing) => Ok(listing),
            other => Err(unfitting(&other)),
        }
    }

    /// Reads one object; `None` when there is none.
    ///
    /// # Errors
    /// When the store can't be read, or the key breaks a rule.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        match self
            .read(Operation::Get {
                key: key.to_owned(),
            })
            .await?
        {
            Reply::Object(object) => Ok(object),
            other => Err(unfitting(&other)),
        }
    }

    /// Creates (`expect` 0) or replaces one object.
    pub async fn put(&self, key: &str, value: Value, expect: Version) -> WriteOutcome {
        let operation = Operation::Put {
            key: key.to_owned(),
            value,
            expect,
        };
        self.execute(&operation).await.into_write_outcome()
    }

    /// Deletes one object of version `expect`.
    ///
    /// After [`WriteOutcome::Unknown`], read the history: if the first change after `expect` is a
    /// deletion, the object of that version was deleted, by this call or by one to the same end.
    pub async fn delete(&self, key: &str, expect: Version) -> WriteOutcome {
        let operation = Operation::Delete {
            key: key.to_owned(),
            expect,
        };
        self.execute(&operation).await.into_write_outcome()
    }

    /// Reads the changes after a revision; with none, the store holds the answer for up to `wait`.
    ///
    /// # Errors
    /// [`ReadError::HistoryLost`] when the reader must list again; otherwise as for other reads.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, ReadError> {
        let operation = Operation::Watch {
            prefix: prefix.to_owned(),
            after,
        };
        match self
            .execute_waiting(&operation, wait)
            .await
            .into_read_reply()?
        {
            Reply::Changes(batch) => Ok(batch),
            other => Err(unfitting(&other)),
        }
    }

    /// Reads the list of machines, which lags.
    ///
    /// # Errors
    /// When the store can't be read.
    pub async fn machines(&self) -> Result<MachineList, ReadError> {
        match self.read(Operation::Machines).await? {
            Reply::Machines(list) => Ok(list),
            other => Err(unfitting(&other)),
        }
    }

    /// Sends one operation and tells how the exchange ended. A watch does not wait.
    pub async fn execute(&self, operation: &Operation) -> Answer {
        self.execute_waiting(operation, Duration::ZERO).await
    }

    /// Sends one operation and tells how the exchange ended. A watch without events is held by the
    /// store for up to `wait`; other operations don't wait.
    pub async fn execute_waiting(&self, operation: &Operation, wait: Duration) -> Answer {
        // A key that breaks the rules could name another object once it stands in a URL.
        if let Err(invalid) = operation.check() {
            return Answer::Reply(Reply::Invalid(invalid));
        }
        let request = http_exchange::request(&self.client, &self.base, operation, wait)
            .timeout(self.settings.request_timeout + wait);
        match request.send().await {
            Ok(response) => http_exchange::read(operation, response).await,
            Err(error) => http_exchange::failed(&error),
        }
    }

    /// Writes a change; if its answer is lost, reads back until the outcome is proved or `patience`
    /// is over.
    pub async fn put_with_change_id(&self, change: Change, patience: Duration) -> WriteOutcome {
        self.drive(Resolver::new(change), patience).await
    }

    /// Finds out what became of a change that was sent before, until the outcome is proved or
    /// `patience` is over. If the change has not happened yet, it is sent again.
    pub async fn resolve(&self, change: Change, patience: Duration) -> WriteOutcome {
        self.drive(Resolver::in_doubt(change), patience).await
    }

    async fn drive(&self, mut resolver: Resolver, patience: Duration) -> WriteOutcome {
        let give_up_at = Instant::now() + patience;
        let mut pause = FIRST_PAUSE;
        let mut operation = resolver.operation();
        loop {
            let answer = self.execute(&operation).await;
            operation = match resolver.on_answer(answer) {
                Step::Done(outcome) => return outcome,
                Step::Send(next) => next,
                Step::SendLater(next) => {
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                    next
                }
            };
            if Instant::now() >= give_up_at {
                return resolver.give_up();
            }
        }
    }

    async fn read(&self, operation: Operation) -> Result<Reply, ReadError> {
        self.execute(&operation).await.into_read_reply()
    }
}

fn unfitting(reply: &Reply) -> ReadError {
    ReadError::Unavailable {
        cause: format!("reply {reply:?} does not fit the request"),
    }
}
