//! The platform's store, as PROTOCOL.md tells it.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Head, Server};
use crate::json::{Json, raw_field};

#[derive(Default)]
struct Objects {
    revision: u64,
    /// By kind and name: the revision and the raw `spec`.
    known: BTreeMap<(String, String), (u64, String)>,
    changes: Vec<(u64, String, String, String, bool)>,
}

#[derive(Default)]
struct Shared {
    objects: Mutex<Objects>,
    changed: Condvar,
}

pub struct Store {
    _server: Server,
    shared: Arc<Shared>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{revision},\"made\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, known)) = self.known.get(&key)
            && known == spec
        {
            return object(name, *revision, spec);
        }
        self.revision += 1;
        let revision = self.revision;
        self.known.insert(key, (revision, spec.to_owned()));
        self.changes.push((
            revision,
            kind.to_owned(),
            name.to_owned(),
            spec.to_owned(),
            false,
        ));
        object(name, revision, spec)
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if self
            .known
            .remove(&(kind.to_owned(), name.to_owned()))
            .is_some()
        {
            self.revision += 1;
            let revision = self.revision;
            self.changes.push((
                revision,
                kind.to_owned(),
                name.to_owned(),
                "null".to_owned(),
                true,
            ));
        }
    }
}

impl Store {
    pub fn start(address: SocketAddr) -> Result<Self> {
        let shared = Arc::new(Shared::default());
        shared.objects.lock().unwrap().revision = 1;
        let state = shared.clone();
        let server = Server::start(address, move |conn| serve(&state, conn))?;
        Ok(Self {
            _server: server,
            shared,
        })
    }

    /// Writes as the operator does.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        self.shared.objects.lock().unwrap().put(kind, name, spec);
        self.shared.changed.notify_all();
    }
}

fn serve(shared: &Shared, conn: &mut Conn) -> Result<()> {
    while let Some(head) = conn.head()? {
        let body = conn.body(&head, false)?;
        std::thread::sleep(Duration::from_millis(4));
        let (status, text) = answer(shared, &head, &body);
        let headers = [
            ("Content-Type", "application/json".to_owned()),
            ("Store-Era", "0".to_owned()),
        ];
        conn.answer(status, &headers, text.as_bytes())?;
    }
    Ok(())
}

fn answer(shared: &Shared, head: &Head, body: &[u8]) -> (u16, String) {
    let words = head
        .path()
        .trim_start_matches('/')
        .split('/')
        .collect::<Vec<_>>();
    match (head.method(), words.as_slice()) {
        ("GET", ["objects", kind]) => {
            match head.query("watch").and_then(|text| text.parse().ok()) {
                Some(since) => {
                    let wait = head
                        .query("wait_ms")
                        .and_then(|text| text.parse().ok())
                        .unwrap_or(0);
                    watch(shared, kind, since, Duration::from_millis(wait))
                }
                None => list(shared, kind, head.query("after").unwrap_or("")),
            }
        }
        ("GET", ["objects", kind, name]) => {
            let objects = shared.objects.lock().unwrap();
            let key = ((*kind).to_owned(), (*name).to_owned());
            match objects.known.get(&key) {
                Some((revision, spec)) => (200, object(name, *revision, spec)),
                None => (404, "null".to_owned()),
            }
        }
        (method, ["objects", kind, rest @ ..]) => {
            let written = write(shared, method, kind, rest, head, body);
            shared.changed.notify_all();
            written
        }
        _ => (404, "null".to_owned()),
    }
}

fn write(
    shared: &Shared,
    method: &str,
    kind: &str,
    rest: &[&str],
    head: &Head,
    body: &[u8],
) -> (u16, String) {
    let parsed = Json::parse(body).unwrap_or(Json::Null);
    let spec = raw_field(body, "spec").unwrap_or_else(|| "null".to_owned());
    let in_meta = parsed.get("meta").get("rev").number().map(|rev| rev as u64);
    let in_query = head.query("rev").and_then(|text| text.parse::<u64>().ok());
    let expected = in_query.or(in_meta);
    let mut objects = shared.objects.lock().unwrap();
    let named = parsed
        .get("meta")
        .get("name")
        .text()
        .unwrap_or("")
        .to_owned();
    let name = rest.first().map_or(named, |name| (*name).to_owned());
    let known = objects.known.get(&(kind.to_owned(), name.clone())).cloned();
    match (method, known) {
        ("POST", Some((revision, spec))) => (409, object(&name, revision, &spec)),
        ("POST", None) => (200, objects.put(kind, &name, &spec)),
        (_, None) => (404, "null".to_owned()),
        (_, Some((revision, known))) if expected.is_some_and(|expected| expected != revision) => {
            (409, object(&name, revision, &known))
        }
        ("DELETE", Some(_)) => {
            objects.remove(kind, &name);
            (200, "null".to_owned())
        }
        (_, Some(_)) => (200, objects.put(kind, &name, &spec)),
    }
}

fn list(shared: &Shared, kind: &str, after: &str) -> (u16, String) {
    let objects = shared.objects.lock().unwrap();
    let items = objects
        .known
        .iter()
        .filter(|((of, name), _)| of == kind && name.as_str() > after)
        .map(|((_, name), (revision, spec))| object(name, *revision, spec))
        .collect::<Vec<_>>();
    let text = format!(
        "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
        items.join(","),
        objects.revision
    );
    (200, text)
}

fn watch(shared: &Shared, kind: &str, since: u64, wait: Duration) -> (u16, String) {
    let until = Instant::now() + wait.min(Duration::from_secs(30));
    let mut objects = shared.objects.lock().unwrap();
    loop {
        let events = objects
            .changes
            .iter()
            .filter(|(revision, of, ..)| *revision > since && of == kind)
            .map(|(revision, _, name, spec, gone)| {
                format!(
                    "{{\"gone\":{gone},\"object\":{}}}",
                    object(name, *revision, spec)
                )
            })
            .collect::<Vec<_>>();
        let now = Instant::now();
        if !events.is_empty() || now >= until {
            let text = format!(
                "{{\"events\":[{}],\"at\":{}}}",
                events.join(","),
                objects.revision
            );
            return (200, text);
        }
        let step = (until - now).min(Duration::from_millis(500));
        objects = shared.changed.wait_timeout(objects, step).unwrap().0;
    }
}
