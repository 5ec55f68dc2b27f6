//! Stable words that tell why a request was given up, refused or rejected.

use std::borrow::Cow;
use std::fmt;

/// Value of the `wingspar-reason` header: lower-case words joined by `_`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Reason(Cow<'static, str>);

/// Longest reason relayed from an agent, in bytes.
const MAX_RELAYED_BYTES: usize = 64;

impl Reason {
    /// The router has no slice table or configuration yet.
    pub const NOT_READY: Self = Self(Cow::Borrowed("not_ready"));
    /// Nobody serves the key's slice.
    pub const UNSERVED: Self = Self(Cow::Borrowed("unserved"));
    /// The slice is being handed over and the wait for it is over.
    pub const HANDING_OVER: Self = Self(Cow::Borrowed("handing_over"));
    /// The agent does not own the slice.
    pub const NOT_OWNER: Self = Self(Cow::Borrowed("not_owner"));
    /// Too many requests wait for a hand-over already.
    pub const WAITING_ROOM_FULL: Self = Self(Cow::Borrowed("waiting_room_full"));
    /// No target of the service may get work.
    pub const NO_TARGET: Self = Self(Cow::Borrowed("no_target"));
    /// Every target sheds load.
    pub const OVERLOADED: Self = Self(Cow::Borrowed("overloaded"));
    /// The limit of the request's class is reached.
    pub const CLASS_LIMIT: Self = Self(Cow::Borrowed("class_limit"));
    /// The router's own limit on requests in flight is reached.
    pub const ROUTER_LIMIT: Self = Self(Cow::Borrowed("router_limit"));
    /// The deadline passed.
    pub const DEADLINE: Self = Self(Cow::Borrowed("deadline"));
    /// The agent could not be connected to.
    pub const UNREACHABLE: Self = Self(Cow::Borrowed("unreachable"));
    /// The connection ended before the answer came.
    pub const CONNECTION_LOST: Self = Self(Cow::Borrowed("connection_lost"));
    /// What answered did not say how the request ended.
    pub const BAD_ANSWER: Self = Self(Cow::Borrowed("bad_answer"));
    /// The caller's own request body ended early.
    pub const BODY_CUT_SHORT: Self = Self(Cow::Borrowed("body_cut_short"));
    /// The router is stopping.
    pub const STOPPING: Self = Self(Cow::Borrowed("stopping"));

    /// Takes over an agent's word; anything that is no such word becomes `refused`.
    pub fn relayed(text: &str) -> Self {
        let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'_';
        let valid = !text.is_empty() && text.len() <= MAX_RELAYED_BYTES;
        if valid && text.bytes().all(allowed) {
            Self(Cow::Owned(text.to_owned()))
        } else {
            Self(Cow::Borrowed("refused"))
        }
    }

    /// The word.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// One sentence for people.
    pub fn detail(&self) -> &'static str {
        match self.as_str() {
            "not_ready" => "the router has no slice table yet",
            "unserved" => "nobody serves this key at the moment",
            "handing_over" => "the key is being handed over to another server",
            "not_owner" | "not_yet_owner" | "not_granted" | "stale_fence" => {
                "the key has just moved"
            }
            "waiting_room_full" => "too many requests wait for moving keys",
            "no_target" => "no server of the service takes work",
            "overloaded" | "shed" => "the servers have no room for more work",
            "class_limit" => "too many requests of this class are in flight",
            "router_limit" => "the router handles as many requests as it may",
            "deadline" | "deadline_passed" => "the deadline has passed",
            "unreachable" => "the server's agent can't be reached",
            "connection_lost" => "the connection to the server's agent was lost",
            "bad_answer" => "the server's answer does not tell how the request ended",
            "body_cut_short" => "the request's body ended early",
            "draining" | "leaving" => "the server is leaving",
            "grant_expired" => "the server's right to this key had run out",
            "cold_start" => "the server is starting",
            "malformed" | "bad_request" => "the server can't read the request",
            "in_progress" => "the same request is running now",
            "no_lease" => "the server's lease has run out",
            "back_end_down" => "the server does not answer",
            "previous_owner_lost" => "an earlier attempt may have run on a server that was lost",
            "earlier_unknown" => "an earlier attempt may have run",
            _ => "the request was refused",
        }
    }

    pub(crate) const fn fixed(word: &'static str) -> Self {
        Self(Cow::Borrowed(word))
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
