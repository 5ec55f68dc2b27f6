//! From a request's head to service, key and terms.

use std::borrow::Cow;
use std::collections::HashMap;
use std::time::Duration;

use http::HeaderMap;
use thiserror::Error;
use wingspar_wire::headers;
use wingspar_world::{
    ConfigVersion, Configuration, KeyHash, KeySource, RequestClass, Service, ServiceKind,
    ServiceName,
};

use crate::path_template::PathTemplate;
use crate::reason::Reason;

/// Longest accepted `Idempotency-Key` in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// What the resolver needs of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestHead<'a> {
    /// Method, upper case.
    pub method: &'a str,
    /// `Host` header or `:authority`, with or without port.
    pub host: Option<&'a str>,
    /// Path without query, still percent-encoded.
    pub path: &'a str,
    /// All headers.
    pub headers: &'a HeaderMap,
}

/// A request's service, key and terms.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resolved {
    /// The service.
    pub service: ServiceName,
    /// Place of the key on the ring; `None` for unkeyed services.
    pub key: Option<KeyHash>,
    /// Class, by the service's contract.
    pub class: RequestClass,
    /// Whether running it twice harms no one.
    pub repeatable: bool,
    /// Time within which it must be answered, within the contract's bounds.
    pub deadline: Duration,
    /// Whether it carries an `Idempotency-Key`.
    pub has_idempotency_key: bool,
    /// Configuration version that it was resolved by.
    pub config: ConfigVersion,
}

/// Why a request can't be resolved. It was not run: nothing was forwarded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Rejection {
    /// Neither host nor header names a service.
    #[error(
        "no service has this host; name one in the {} header",
        headers::SERVICE
    )]
    NoService,
    /// The named service does not exist.
    #[error("there is no service {0:?}")]
    UnknownService(String),
    /// The request carries no key where the contract wants it.
    #[error("the request carries no key where its service expects one")]
    MissingKey,
    /// The key's percent-encoding is broken.
    #[error("the key is not well-formed")]
    BadKey,
    /// The key is too long.
    #[error("the key has {length} bytes, at most {limit} are accepted")]
    KeyTooLong {
        /// Its length in bytes.
        length: usize,
        /// Longest accepted length in bytes.
        limit: usize,
    },
    /// The path has a `.` or `..` segment, so its key depends on the reader.
    #[error("the path of a keyed request must not hold '.' or '..' segments")]
    DotSegment,
    /// A header that may come once comes several times.
    #[error("the header {0} may be given once only")]
    RepeatedHeader(String),
    /// A header's value is not what it must be.
    #[error("the header {name} must be {expected}")]
    BadHeader {
        /// The header.
        name: &'static str,
        /// What is accepted.
        expected: &'static str,
    },
    /// The service's contract names no usable key source.
    #[error("the contract of service {0} does not say where its key is")]
    NoKeySource(ServiceName),
}

impl Rejection {
    /// Stable word for the `wingspar-reason` header.
    pub fn reason(&self) -> Reason {
        Reason::fixed(match self {
            Self::NoService => "no_service",
            Self::UnknownService(_) => "unknown_service",
            Self::MissingKey => "missing_key",
            Self::BadKey => "bad_key",
            Self::KeyTooLong { .. } => "key_too_long",
            Self::DotSegment => "dot_segment",
            Self::RepeatedHeader(_) => "repeated_header",
            Self::BadHeader { .. } => "bad_header",
            Self::NoKeySource(_) => "no_key_source",
        })
    }

    /// HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            Self::UnknownService(_) | Self::NoService => 404,
            Self::NoKeySource(_) => 500,
            _ => 400,
        }
    }
}

/// Resolves requests by one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Resolver {
    version: ConfigVersion,
    services: HashMap<ServiceName, ServiceTerms>,
    hosts: HashMap<String, ServiceName>,
}

#[derive(Debug, Clone)]
struct ServiceTerms {
    service: Service,
    template: Option<PathTemplate>,
}

impl Resolver {
    /// Builds the resolver of a configuration. When two services claim one host, the first by name
    /// has it, so that all routers agree.
    pub fn new(configuration: &Configuration) -> Self {
        let mut resolver = Self {
            version: configuration.version,
            ..Self::default()
        };
        for (_, service) in configuration.services.values() {
            for host in &service.contract.hosts {
                let host = host.to_ascii_lowercase();
                let entry = resolver.hosts.entry(host);
                entry.or_insert_with(|| service.name.clone());
            }
            let terms = ServiceTerms::new(service);
            resolver.services.insert(service.name.clone(), terms);
        }
        resolver
    }

    /// Version of the configuration that the resolver follows.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Resolves one request.
    pub fn resolve(&self, head: &RequestHead<'_>) -> Result<Resolved, Rejection> {
        let terms = self.terms(head)?;
        let contract = &terms.service.contract;
        let key = terms.key(head)?;
        let deadline = requested_deadline(head.headers)?;
        let has_idempotency_key = check_idempotency(head.headers)?;
        Ok(Resolved {
            service: terms.service.name.clone(),
            key,
            class: contract.class(head.method, head.path),
            repeatable: contract.is_repeatable(head.method, head.path),
            deadline: contract.deadline(deadline),
            has_idempotency_key,
            config: self.version,
        })
    }

    fn terms(&self, head: &RequestHead<'_>) -> Result<&ServiceTerms, Rejection> {
        if let Some(value) = single(head.headers, headers::SERVICE)? {
            let text = String::from_utf8_lossy(value);
            let name = ServiceName::new(&text).ok();
            let terms = name.and_then(|name| self.services.get(&name));
            return terms.ok_or_else(|| Rejection::UnknownService(shortened(&text)));
        }
        let host = head.host.map(without_port).ok_or(Rejection::NoService)?;
        let name = self.hosts.get(host.as_ref()).ok_or(Rejection::NoService)?;
        Ok(&self.services[name])
    }
}

impl ServiceTerms {
    fn new(service: &Service) -> Self {
        let template = match &service.contract.key {
            Some(KeySource::PathTemplate(template)) => PathTemplate::parse(template),
            _ => None,
        };
        Self {
            service: service.clone(),
            template,
        }
    }

    fn key(&self, head: &RequestHead<'_>) -> Result<Option<KeyHash>, Rejection> {
        if self.service.kind == ServiceKind::Unkeyed {
            return Ok(None);
        }
        let key = match (&self.service.contract.key, &self.template) {
            (Some(KeySource::Header(name)), _) => {
                let value = single(head.headers, name)?;
                Cow::Borrowed(value.ok_or(Rejection::MissingKey)?)
            }
            (_, Some(template)) => template.key(head.path)?,
            _ => return Err(Rejection::NoKeySource(self.service.name.clone())),
        };
        let limit = self.service.contract.max_key_bytes;
        match key.len() {
            0 => Err(Rejection::MissingKey),
            length if length > limit => Err(Rejection::KeyTooLong { length, limit }),
            _ => Ok(Some(KeyHash::of(&key))),
        }
    }
}

/// Value of a header that may come once only.
fn single<'a>(map: &'a HeaderMap, name: &str) -> Result<Option<&'a [u8]>, Rejection> {
    let mut values = map.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(Rejection::RepeatedHeader(name.to_owned()));
    }
    Ok(first.map(|value| value.as_bytes()))
}

fn requested_deadline(map: &HeaderMap) -> Result<Option<Duration>, Rejection> {
    let value = single_number(
        map,
        headers::DEADLINE_MS,
        "a whole number of milliseconds, at least 1",
    )?;
    Ok(value.map(Duration::from_millis))
}

fn single_number(
    map: &HeaderMap,
    name: &'static str,
    expected: &'static str,
) -> Result<Option<u64>, Rejection> {
    let Some(value) = single(map, name)? else {
        return Ok(None);
    };
    let text = std::str::from_utf8(value).ok();
    let digits = text.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let number = digits.and_then(|text| text.parse::<u64>().ok());
    let number = number.filter(|&number| number >= 1);
    number
        .map(Some)
        .ok_or(Rejection::BadHeader { name, expected })
}

/// Checks the idempotency headers; true when there is an `Idempotency-Key`.
fn check_idempotency(map: &HeaderMap) -> Result<bool, Rejection> {
    let key = single(map, headers::IDEMPOTENCY_KEY)?;
    let bad_key = Rejection::BadHeader {
        name: headers::IDEMPOTENCY_KEY,
        expected: "1 to 255 bytes long",
    };
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES) {
        return Err(bad_key);
    }
    let expected = "a whole number, 1 for the first attempt";
    let attempt = single_number(map, headers::IDEMPOTENCY_ATTEMPT, expected)?;
    if attempt.is_some_and(|attempt| attempt > u64::from(u32::MAX)) {
        return Err(Rejection::BadHeader {
            name: headers::IDEMPOTENCY_ATTEMPT,
            expected,
        });
    }
    Ok(key.is_some())
}

/// Host in lower case without its port; an IPv6 literal keeps its brackets.
fn without_port(host: &str) -> Cow<'_, str> {
    let end = match host.rfind(']') {
        Some(bracket) => bracket + 1,
        None => host.find(':').unwrap_or(host.len()),
    };
    let host = &host[..end];
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}

/// At most a name's length of a caller's text, for error messages.
fn shortened(text: &str) -> String {
    text.chars().take(wingspar_world::MAX_NAME_LENGTH).collect()
}
