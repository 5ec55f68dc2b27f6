//! Names of the HTTP headers of the request path (lower case).

/// Names the service, when the host does not.
pub const SERVICE: &str = "wingspar-service";
/// Identifies one request through router, agent and back end.
pub const REQUEST_ID: &str = "wingspar-request-id";
/// Remaining time for the request in milliseconds.
pub const DEADLINE_MS: &str = "wingspar-deadline-ms";
/// The key's place on the ring, 16 hexadecimal digits.
pub const KEY_HASH: &str = "wingspar-key-hash";
/// Name of the target that the router chose.
pub const TARGET: &str = "wingspar-target";
/// Fence token of the grant under which the request runs, `generation.sequence`.
pub const FENCE: &str = "wingspar-fence";
/// The grant itself: `first-last;ttl-ms=N`.
pub const GRANT: &str = "wingspar-grant";
/// Configuration version that the router routed by.
pub const CONFIG: &str = "wingspar-config";
/// Class of the request: `interactive`, `checks` or `bulk`.
pub const CLASS: &str = "wingspar-class";
/// `1` when the request may run more than once.
pub const REPEATABLE: &str = "wingspar-repeatable";
/// How the request ended: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "wingspar-outcome";
/// Why it ended so, a stable word such as `stale_fence`.
pub const REASON: &str = "wingspar-reason";
/// The caller's name for one piece of work that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Number of the attempt under one `Idempotency-Key`, from 1.
pub const IDEMPOTENCY_ATTEMPT: &str = "idempotency-attempt";
/// Prefix of the headers that only wingspar itself may set.
pub const PREFIX: &str = "wingspar-";
