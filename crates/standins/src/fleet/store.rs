//! The platform's metadata store.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use salvo::http::Method;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::timeout;

use super::answer;
use crate::net::{ConnectionSettings, RunningServer, query_value};

/// Objects on one page of a listing.
const PAGE: usize = 50;

/// What the store does wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Every call gets 503.
    pub unavailable: bool,
    /// Every call gets 429.
    pub throttled: bool,
    /// Calls are taken and never answered.
    pub silent: bool,
    /// Listings and watches are taken and never answered.
    pub hides_kinds: bool,
    /// Watches from a revision below this one get 410.
    pub history_from: u64,
}

/// A write whose answer is lost and that the store executes late.
#[derive(Debug)]
struct HeldWrite {
    method: Method,
    kind: String,
    name: String,
    /// The call, once it has arrived.
    arrived: Option<WriteCall>,
}

/// A writing call.
#[derive(Debug)]
struct WriteCall {
    method: Method,
    kind: String,
    name: String,
    /// The revision that the object must have; `None` for any.
    expected: Option<u64>,
    spec: Value,
}

/// All that the store holds at a moment.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    changes: Vec<(u64, String, String, bool)>,
}

#[derive(Debug, Default)]
struct Objects {
    /// How often it has come back from a copy.
    era: u64,
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    /// Revision, kind, name, whether it is gone.
    changes: Vec<(u64, String, String, bool)>,
    calls: u64,
}

#[derive(Debug)]
struct Shared {
    objects: Mutex<Objects>,
    faults: Mutex<StoreFaults>,
    held: Mutex<Vec<HeldWrite>>,
    changed: watch::Sender<u64>,
}

/// A running store.
#[derive(Debug)]
pub struct FleetStore {
    server: RunningServer,
    shared: Arc<Shared>,
}

impl FleetStore {
    /// Starts an empty store.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start(address: SocketAddr) -> Result<Self> {
        let shared = Arc::new(Shared {
            objects: Mutex::default(),
            faults: Mutex::default(),
            held: Mutex::default(),
            changed: watch::Sender::new(0),
        });
        let handler = StoreHandler(Arc::clone(&shared));
        let router = Router::with_path("{**rest}").goal(handler);
        let server = RunningServer::start(address, ConnectionSettings::default(), router).await?;
        Ok(Self { server, shared })
    }

    /// Where it listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Replaces what it does wrong.
    pub fn set_faults(&self, faults: StoreFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Loses the answer to the next write of this method to an object, and executes that write only
    /// in [`Self::execute_held`].
    pub fn hold_next(&self, method: Method, kind: &str, name: &str) {
        lock(&self.shared.held).push(HeldWrite {
            method,
            kind: kind.to_owned(),
            name: name.to_owned(),
            arrived: None,
        });
    }

    /// Number of held writes that have arrived.
    #[must_use]
    pub fn held(&self) -> usize {
        let held = lock(&self.shared.held);
        held.iter().filter(|write| write.arrived.is_some()).count()
    }

    /// Executes the held writes that have arrived, if their conditions still hold.
    pub fn execute_held(&self) {
        let held = std::mem::take(&mut *lock(&self.shared.held));
        for call in held.into_iter().filter_map(|write| write.arrived) {
            let _unsent = self.shared.execute(&call);
        }
    }

    /// Writes an object as the operator does.
    pub fn write(&self, kind: &str, name: &str, spec: Value) {
        self.shared.put(kind, name, spec);
    }

    /// Removes an object as the operator does; whether it was there.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        self.shared.remove(kind, name)
    }

    /// What an object holds.
    #[must_use]
    pub fn read(&self, kind: &str, name: &str) -> Option<Value> {
        let objects = lock(&self.shared.objects);
        let key = (kind.to_owned(), name.to_owned());
        objects.objects.get(&key).map(|(_, spec)| spec.clone())
    }

    /// A copy of all that it holds.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let objects = lock(&self.shared.objects);
        StoreCopy {
            revision: objects.revision,
            objects: objects.objects.clone(),
            changes: objects.changes.clone(),
        }
    }

    /// Comes back from a copy: what was written since is lost, and its revisions are given out again.
    pub fn come_back(&self, copy: StoreCopy) {
        let mut objects = lock(&self.shared.objects);
        objects.era += 1;
        objects.revision = copy.revision;
        objects.objects = copy.objects;
        objects.changes = copy.changes;
        drop(objects);
        // Watches that wait are cut.
        self.shared.changed.send_replace(copy.revision);
    }

    /// Revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        lock(&self.shared.objects).revision
    }

    /// Calls answered or swallowed so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        lock(&self.shared.objects).calls
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn object(name: &str, revision: u64, spec: &Value) -> Value {
    json!({
        "meta": {"name": name, "rev": revision, "made": 1, "finalizers": [], "deleting": false},
        "spec": spec,
        "status": null,
    })
}

impl Shared {
    fn put(&self, kind: &str, name: &str, spec: Value) -> Value {
        let mut objects = lock(&self.objects);
        objects.revision += 1;
        let revision = objects.revision;
        let stored = object(name, revision, &spec);
        let key = (kind.to_owned(), name.to_owned());
        objects.objects.insert(key, (revision, spec));
        objects
            .changes
            .push((revision, kind.to_owned(), name.to_owned(), false));
        drop(objects);
        self.changed.send_replace(revision);
        stored
    }

    fn remove(&self, kind: &str, name: &str) -> bool {
        let mut objects = lock(&self.objects);
        let key = (kind.to_owned(), name.to_owned());
        if objects.objects.remove(&key).is_none() {
            return false;
        }
        objects.revision += 1;
        let revision = objects.revision;
        objects
            .changes
            .push((revision, kind.to_owned(), name.to_owned(), true));
        drop(objects);
        self.changed.send_replace(revision);
        true
    }

    /// Keeps a call that is to be executed late. Returns the call if it is to be executed now.
    fn hold(&self, call: WriteCall) -> Option<WriteCall> {
        let mut held = lock(&self.held);
        let matching = held.iter_mut().find(|write| {
            write.arrived.is_none()
                && (&write.method, &write.kind, &write.name)
                    == (&call.method, &call.kind, &call.name)
        });
        match matching {
            Some(write) => {
                write.arrived = Some(call);
                None
            }
            None => Some(call),
        }
    }

    /// Executes a write. Returns the status and body of the answer.
    fn execute(&self, call: &WriteCall) -> (u16, Value) {
        let known = self.get(&call.kind, &call.name);
        if call.method == Method::POST {
            return match known {
                Some((_, known)) => (409, known),
                None => (200, self.put(&call.kind, &call.name, call.spec.clone())),
            };
        }
        let Some((revision, known)) = known else {
            return (404, Value::Null);
        };
        if call.expected.is_some_and(|expected| expected != revision) {
            return (409, known);
        }
        if call.method == Method::DELETE {
            self.remove(&call.kind, &call.name);
            return (200, Value::Null);
        }
        (200, self.put(&call.kind, &call.name, call.spec.clone()))
    }

    fn get(&self, kind: &str, name: &str) -> Option<(u64, Value)> {
        let objects = lock(&self.objects);
        let key = (kind.to_owned(), name.to_owned());
        let (revision, spec) = objects.objects.get(&key)?;
        Some((*revision, object(name, *revision, spec)))
    }

    fn list(&self, kind: &str, after: &str) -> Value {
        let objects = lock(&self.objects);
        let of_kind = objects
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after)
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect::<Vec<_>>();
        let more = of_kind.len() > PAGE;
        let items = of_kind.into_iter().take(PAGE).collect::<Vec<_>>();
        json!({"items": items, "more": more, "at": objects.revision})
    }

    fn events(&self, kind: &str, since: u64) -> (Vec<Value>, u64) {
        let objects = lock(&self.objects);
        let events = objects
            .changes
            .iter()
            .filter(|(revision, of, _, _)| *revision > since && of == kind)
            .map(|(revision, of, name, gone)| {
                let key = (of.clone(), name.clone());
                let spec = objects
                    .objects
                    .get(&key)
                    .map_or(Value::Null, |(_, spec)| spec.clone());
                json!({"gone": gone, "object": object(name, *revision, &spec)})
            })
            .collect();
        (events, objects.revision)
    }

    /// What has changed since a revision, or nothing within a time; no answer if the store comes back from a copy.
    async fn watch(&self, kind: &str, since: u64, wait: Duration) -> Value {
        let mut changed = self.changed.subscribe();
        let era = lock(&self.objects).era;
        let events = async {
            loop {
                if lock(&self.objects).era != era {
                    std::future::pending::<()>().await;
                }
                let (events, at) = self.events(kind, since);
                if !events.is_empty() {
                    return json!({"events": events, "at": at});
                }
                if changed.changed().await.is_err() {
                    return json!({"events": [], "at": at});
                }
            }
        };
        match timeout(wait, events).await {
            Ok(answer) => answer,
            Err(_) => json!({"events": [], "at": self.events(kind, since).1}),
        }
    }
}

struct StoreHandler(Arc<Shared>);

#[async_trait]
impl Handler for StoreHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let shared = &self.0;
        lock(&shared.objects).calls += 1;
        let faults = *lock(&shared.faults);
        if faults.silent {
            std::future::pending::<()>().await;
        }
        if faults.unavailable {
            return answer(response, 503, &Value::Null);
        }
        if faults.throttled {
            return answer(response, 429, &Value::Null);
        }
        let path = request.uri().path().to_owned();
        let words = path.trim_start_matches('/').split('/').collect::<Vec<_>>();
        let method = request.method().clone();
        let era = lock(&shared.objects).era;
        let _header = response.add_header("store-era", era, true);
        let body = match request.payload().await {
            Ok(bytes) => serde_json::from_slice::<Value>(bytes).unwrap_or(Value::Null),
            Err(_) => Value::Null,
        };
        match words.as_slice() {
            ["objects", _] if method == Method::GET && faults.hides_kinds => {
                std::future::pending::<()>().await;
            }
            ["objects", kind] if method == Method::GET => {
                self.read_kind(kind, faults, request, response).await
            }
            ["objects", kind, name] if method == Method::GET => match shared.get(kind, name) {
                Some((_, known)) => answer(response, 200, &known),
                None => answer(response, 404, &Value::Null),
            },
            ["objects", kind] if method == Method::POST => {
                let name = body["meta"]["name"].as_str().unwrap_or_default().to_owned();
                let call = write_call(method, kind, &name, request, &body);
                self.write(call, response).await;
            }
            ["objects", kind, name] => {
                let call = write_call(method, kind, name, request, &body);
                self.write(call, response).await;
            }
            _ => answer(response, 404, &Value::Null),
        }
    }
}

/// The call in a request. The expected revision stands in the query or in the object's `meta`.
fn write_call(
    method: Method,
    kind: &str,
    name: &str,
    request: &Request,
    body: &Value,
) -> WriteCall {
    let in_query = query_value::<u64>(request, "rev").ok().flatten();
    WriteCall {
        method,
        kind: kind.to_owned(),
        name: name.to_owned(),
        expected: in_query.or_else(|| body["meta"]["rev"].as_u64()),
        spec: body["spec"].clone(),
    }
}

impl StoreHandler {
    async fn write(&self, call: WriteCall, response: &mut Response) {
        let Some(call) = self.0.hold(call) else {
            return std::future::pending().await;
        };
        let (status, body) = self.0.execute(&call);
        answer(response, status, &body);
    }

    async fn read_kind(
        &self,
        kind: &str,
        faults: StoreFaults,
        request: &Request,
        response: &mut Response,
    ) {
        let since = query_value::<u64>(request, "watch").ok().flatten();
        let Some(since) = since else {
            let after = query_value::<String>(request, "after")
                .ok()
                .flatten()
                .unwrap_or_default();
            return answer(response, 200, &self.0.list(kind, &after));
        };
        let is_unknown = since > lock(&self.0.objects).revision;
        if since < faults.history_from || is_unknown {
            return answer(response, 410, &Value::Null);
        }
        let wait = query_value::<u64>(request, "wait_ms")
            .ok()
            .flatten()
            .unwrap_or(0);
        let changes = self.0.watch(kind, since, Duration::from_millis(wait)).await;
        answer(response, 200, &changes);
    }
}
