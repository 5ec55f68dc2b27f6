//! How often a leader may announce a changed table to its members.

use std::time::Duration;

/// Up to this number of members, each fetches a changed table from the leader itself. Beyond it,
/// one member in [`MEMBERS_PER_RELAY`] does, and the others fetch it from those relays.
pub const MAX_DIRECT_FETCHES: usize = 128;
/// Number of members that fetch a changed table from one relay, including the relay itself.
const MEMBERS_PER_RELAY: usize = 24;
/// Least time between two notices for each fetch that a notice causes at the leader. Answering a
/// fetch takes about 0.15 ms of a core, so notices cost at most a tenth of a core.
const NOTICE_GAP_PER_FETCH: Duration = Duration::from_millis(2);
/// Least time between two notices for each member that a notice is sent to. Sending its datagram
/// takes about 10 microseconds.
const NOTICE_GAP_PER_MEMBER: Duration = Duration::from_micros(100);

/// Least time between two notices to this number of members.
pub(crate) fn notice_gap(members: usize) -> Duration {
    let fetches = if members <= MAX_DIRECT_FETCHES {
        members
    } else {
        members.div_ceil(MEMBERS_PER_RELAY)
    };
    let times = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    NOTICE_GAP_PER_FETCH * times(fetches) + NOTICE_GAP_PER_MEMBER * times(members)
}
