//! The leader's record of the keys that it freed without a release, for the log.

use super::Leader;
use crate::NodeName;

/// Why the leader freed keys that their holder hadn't released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreeReason {
    /// The holder's lease has expired.
    LeaseExpired,
    /// No node has reported the keys to a new leader.
    Unreported,
}

impl FreeReason {
    /// Stable name of the reason, for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::LeaseExpired => "lease_expired",
            Self::Unreported => "unreported",
        }
    }
}

/// Keys that were freed for the same reason, since the last record was taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreedKeys {
    /// Why the keys are free.
    pub reason: FreeReason,
    /// The first of the nodes that held them; `None` if no node had reported them.
    pub holder: Option<NodeName>,
    /// Number of nodes that held them.
    pub holders: usize,
    /// Number of keys.
    pub keys: u32,
}

impl Leader {
    pub(super) fn record_freed(
        &mut self,
        reason: FreeReason,
        holder: Option<&NodeName>,
        keys: u32,
    ) {
        if keys == 0 {
            return;
        }
        let holders = usize::from(holder.is_some());
        match self.freed.iter_mut().find(|known| known.reason == reason) {
            Some(known) => {
                known.holders += holders;
                known.keys += keys;
            }
            None => self.freed.push(FreedKeys {
                reason,
                holder: holder.cloned(),
                holders,
                keys,
            }),
        }
    }

    /// The keys that were freed without a release since the last call, a record for each reason.
    pub fn take_freed(&mut self) -> Vec<FreedKeys> {
        std::mem::take(&mut self.freed)
    }
}
