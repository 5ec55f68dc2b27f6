//! Fingerprints identify requests of one tenant with the same content, independent of the request id.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Separates two parts of the content in the hash, so that moving a character from one part to the
/// next changes it.
const SEPARATOR: [u8; 1] = [0xff];

/// The parts of a request that identify it when it is sent again. Its id, its deadline, the node
/// that received it and the service on that node's machine may differ.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request was sent to.
    pub host: &'a str,
    /// Path including the query string.
    pub path: &'a str,
    /// Body, or its first part if the body is too large to buffer.
    pub body: &'a [u8],
    /// Length of the whole body in bytes; `None` if unknown.
    pub body_length: Option<u64>,
}

/// 64-bit hash of a request's content, or of its content and tenant. Requests that differ in these have different
/// fingerprints except for hash collisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hash = Xxh3::new();
        for part in [content.method, content.host, content.path] {
            hash.update(part.as_bytes());
            hash.update(&SEPARATOR);
        }
        if let Some(length) = content.body_length {
            hash.update(&length.to_le_bytes());
        }
        hash.update(&SEPARATOR);
        hash.update(content.body);
        Self(hash.digest())
    }
}

impl Fingerprint {
    /// Returns the fingerprint of a request with this content and tenant; it is that of the content if there is no tenant.
    /// A tenant is authenticated, so a request can't change it when it is sent again. Requests of other tenants with the
    /// same content are others: they may be served where this one isn't, and must not be refused for it.
    #[must_use]
    pub fn of_tenant(self, tenant: Option<&[u8]>) -> Self {
        let Some(tenant) = tenant else {
            return self;
        };
        let mut hash = Xxh3::new();
        hash.update(&self.0.to_le_bytes());
        hash.update(tenant);
        Self(hash.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
