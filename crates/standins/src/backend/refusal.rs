//! Why a server did not run a request.

use std::fmt;

use salvo::http::StatusCode;
use serde::{Deserialize, Serialize};

/// The reason for which a request had no effect and never will have one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// A higher fence was seen for the key.
    StaleFence,
    /// The grant is over.
    GrantExpired,
    /// The grant does not cover the key.
    NotGranted,
    /// The server takes no new work.
    Draining,
    /// The server is overloaded.
    Shed,
    /// The server is not ready yet.
    ColdStart,
    /// The caller has stopped waiting.
    Deadline,
    /// The request can't be read.
    Malformed,
}

impl RefusalReason {
    /// The status that tells the reason. What counts is the header `wingspar-outcome`.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::StaleFence | Self::GrantExpired | Self::NotGranted => StatusCode::CONFLICT,
            Self::Deadline => StatusCode::CONFLICT,
            Self::Draining | Self::Shed | Self::ColdStart => StatusCode::SERVICE_UNAVAILABLE,
            Self::Malformed => StatusCode::BAD_REQUEST,
        }
    }

    /// The stable word for headers, bodies and counters.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::StaleFence => "stale_fence",
            Self::GrantExpired => "grant_expired",
            Self::NotGranted => "not_granted",
            Self::Draining => "draining",
            Self::Shed => "shed",
            Self::ColdStart => "cold_start",
            Self::Deadline => "deadline",
            Self::Malformed => "malformed",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.word())
    }
}
