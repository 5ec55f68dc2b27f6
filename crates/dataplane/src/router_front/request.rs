//! The caller's request head, cleaned, and the head that goes to an agent.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, Version};
use reqwest::Url;
use salvo::Request;
use wingspar_routing::{Forward, RequestHead, Resolved};
use wingspar_wire::headers;
use wingspar_world::RequestClass;

use crate::forward::{self, ForwardError, remove_hop_by_hop};

/// Headers of ours that a caller may send.
const FROM_CALLER: [&str; 2] = [headers::SERVICE, headers::DEADLINE_MS];

/// Longest request id taken over from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// A caller's request without its body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) host: Option<String>,
    pub(crate) headers: HeaderMap,
    pub(crate) id: String,
}

/// Stands in for an agent's address until one is chosen.
const NO_AGENT: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 1));

impl CallerRequest {
    /// Takes the head out of a request and removes what callers may not send.
    pub(crate) fn take(request: &mut Request, mint: impl FnOnce() -> String) -> Self {
        let mut map = std::mem::take(request.headers_mut());
        let given = map.get(headers::REQUEST_ID).and_then(|id| id.to_str().ok());
        let given = given.filter(|id| is_request_id(id)).map(str::to_owned);
        remove_prefixed(&mut map, headers::PREFIX, &FROM_CALLER);
        remove_hop_by_hop(&mut map);
        let uri = request.uri().clone();
        let authority = uri
            .authority()
            .map(|authority| authority.as_str().to_owned());
        let by_header = || map.get(HOST)?.to_str().ok().map(str::to_owned);
        // HTTP/2 carries the host in the URI; in HTTP/1.1 it is there only for proxies.
        let host = match request.version() {
            Version::HTTP_2 => authority.or_else(by_header),
            _ => by_header().or(authority),
        };
        Self {
            method: request.method().clone(),
            uri,
            host,
            headers: map,
            id: given.unwrap_or_else(mint),
        }
    }

    /// What the resolver looks at.
    pub(crate) fn head(&self) -> RequestHead<'_> {
        RequestHead {
            method: self.method.as_str(),
            host: self.host.as_deref(),
            path: self.uri.path(),
            headers: &self.headers,
        }
    }

    /// The URL to forward to, without an agent's address yet.
    pub(crate) fn url(&self) -> Result<Url, ForwardError> {
        if self.method == Method::CONNECT {
            return Err(ForwardError::Target(self.uri.to_string()));
        }
        forward::url(NO_AGENT, &self.uri)
    }

    /// Headers towards an agent.
    pub(crate) fn headers_for(&self, resolved: &Resolved, forward: &Forward) -> HeaderMap {
        let mut map = self.headers.clone();
        // The client sets it from the body that it really sends.
        map.remove(CONTENT_LENGTH);
        if let Some(host) = &self.host {
            insert_text(&mut map, HOST.as_str(), host);
        }
        insert_text(&mut map, headers::SERVICE, resolved.service.as_str());
        insert_text(&mut map, headers::TARGET, forward.target.as_str());
        insert_text(&mut map, headers::CLASS, class_word(resolved.class));
        insert_text(&mut map, headers::REQUEST_ID, &self.id);
        insert_number(&mut map, headers::CONFIG, resolved.config.0);
        let remaining = whole_millis(forward.remaining);
        insert_number(&mut map, headers::DEADLINE_MS, remaining);
        if let Some(key) = resolved.key {
            insert_text(&mut map, headers::KEY_HASH, &key.to_string());
        }
        if let Some(fence) = forward.fence {
            insert_text(&mut map, headers::FENCE, &fence.to_string());
        }
        if resolved.repeatable {
            insert_text(&mut map, headers::REPEATABLE, "1");
        }
        map
    }
}

/// The same URL at an agent's address.
pub(crate) fn at_agent(url: &Url, agent: SocketAddr) -> Url {
    let mut url = url.clone();
    // Neither fails for a URL of scheme `http`.
    let _ = url.set_ip_host(agent.ip());
    let _ = url.set_port(Some(agent.port()));
    url
}

/// Removes the headers that begin with `prefix`, but those in `kept`.
pub(crate) fn remove_prefixed(map: &mut HeaderMap, prefix: &str, kept: &[&str]) {
    let is_removed = |name: &HeaderName| {
        let name = name.as_str();
        name.starts_with(prefix) && !kept.contains(&name)
    };
    let names: Vec<HeaderName> = map
        .keys()
        .filter(|name| is_removed(name))
        .cloned()
        .collect();
    for name in names {
        map.remove(name);
    }
}

/// Sets a header; text that no header can hold is left out.
pub(crate) fn insert_text(map: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        map.insert(HeaderName::from_static(name), value);
    }
}

/// Whether a caller's text may serve as a request id: short and safe in headers and logs.
fn is_request_id(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    (1..=MAX_REQUEST_ID_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

fn insert_number(map: &mut HeaderMap, name: &'static str, number: u64) {
    map.insert(HeaderName::from_static(name), HeaderValue::from(number));
}

fn class_word(class: RequestClass) -> &'static str {
    match class {
        RequestClass::Interactive => "interactive",
        RequestClass::Checks => "checks",
        RequestClass::Bulk => "bulk",
    }
}

/// Milliseconds, rounded down but at least 1: the agent must not work longer than the caller waits.
fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis())
        .unwrap_or(u64::MAX)
        .max(1)
}
