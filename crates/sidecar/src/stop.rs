//! How far a process is with stopping.

/// How far a process is with stopping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stop {
    /// It serves.
    No,
    /// It isn't ready any more, but serves whoever still comes; its keys go elsewhere.
    Leaving,
    /// It takes no new connections and ends kept ones as soon as they rest.
    Closing,
}
