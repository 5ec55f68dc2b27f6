//! Work at the target that the agent doesn't wait for: requests whose callers have disconnected, and those of an
//! earlier process of the node. It takes up capacity of the target like other work.

use wingspar_platform::TargetLoad;

/// Assumed length of the target's own queue, as a share of its slots. Targets queue a few requests and don't report how
/// many; one that is sent more may never answer. Half the slots leaves room for a health check and for occasional
/// callers that disconnect, without reducing the usable slots.
const QUEUE_SHARE: f64 = 0.5;

/// The untracked work at one target.
#[derive(Debug, Default)]
pub struct UntrackedWork {
    /// Untracked requests by the target's last load report, plus those given up since.
    count: usize,
    /// The target doesn't report its load.
    reports_no_load: bool,
    /// An earlier process of the node may have left as much work as the target has slots.
    after_restart: bool,
}

impl UntrackedWork {
    /// No untracked work is known; `after_restart` is whether an earlier process of the node may have sent requests
    /// right before.
    pub fn new(after_restart: bool) -> Self {
        Self {
            after_restart,
            ..Self::default()
        }
    }

    /// Records the load that the target reported while the agent awaited `awaited` answers from it.
    pub fn told(&mut self, load: TargetLoad, awaited: usize) {
        let at_target = load.running.saturating_add(load.waiting) as usize;
        *self = Self {
            count: at_target.saturating_sub(awaited),
            reports_no_load: false,
            after_restart: false,
        };
    }

    /// Records that the target answered without its load: its untracked work can't be known and is taken as none.
    pub fn load_unknown(&mut self) {
        *self = Self {
            reports_no_load: true,
            ..Self::default()
        };
    }

    /// Resets the count, since the target's process is new and has none of that work. Work that an earlier process of
    /// the node may have sent stays assumed until the target reports its load, since to a node that has just started,
    /// every life of the target is new.
    pub fn new_life(&mut self) {
        self.count = 0;
    }

    /// Counts a request that was given up and that the target may continue to run; most targets don't, which their next
    /// load report shows.
    pub fn given_up(&mut self) {
        if !self.reports_no_load {
            self.count += 1;
        }
    }

    /// How many of the target's slots the agent may use.
    pub fn usable_slots(&self, slots: usize) -> usize {
        let count = if self.after_restart {
            slots
        } else {
            self.count
        };
        let queue = (slots as f64 * QUEUE_SHARE) as usize;
        (slots + queue).saturating_sub(count).min(slots)
    }
}
