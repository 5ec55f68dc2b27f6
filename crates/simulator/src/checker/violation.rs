//! The ways in which a run can break a promise.

use thiserror::Error;
use wingspar_wire::StateVersion;
use wingspar_world::{ConfigVersion, Fence, KeyHash, MonotonicTime, NodeId, TargetName};

use crate::backend::{RequestId, WorkId};

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Violation {
    /// Two agents could serve one key at one instant.
    #[error(
        "key {key}: {first} (fence {first_fence}) and {second} (fence {second_fence}) both own it"
    )]
    TwoOwners {
        /// The key.
        key: KeyHash,
        /// The agent that owned it.
        first: NodeId,
        /// Its fence.
        first_fence: Fence,
        /// The agent that owns it too.
        second: NodeId,
        /// Its fence.
        second_fence: Fence,
    },
    /// An agent owns a key under a fence that does not outrank the owner before.
    #[error("key {key}: fence {fence} of {agent} does not outrank {highest}")]
    FenceDidNotRise {
        /// The key.
        key: KeyHash,
        /// The new owner's agent.
        agent: NodeId,
        /// Its fence.
        fence: Fence,
        /// Highest fence seen before.
        highest: Fence,
    },
    /// A back end started work of an owner after a newer owner had started some.
    #[error(
        "key {key}: {target} started {request:?} under fence {fence} after fence {highest} was in use"
    )]
    StaleStart {
        /// The key.
        key: KeyHash,
        /// The back end.
        target: TargetName,
        /// What it started.
        request: RequestId,
        /// Fence of the work.
        fence: Fence,
        /// Fence that had been in use.
        highest: Fence,
    },
    /// A caller was told "not run" of a request that ran.
    #[error("{request:?} was declared not run, but {target} ran it")]
    NotRunButRan {
        /// The request.
        request: RequestId,
        /// The back end that ran it.
        target: TargetName,
    },
    /// A caller got "ran" of a request that no back end ran.
    #[error("{request:?} was declared run, but no journal holds it")]
    RanWithoutRun {
        /// The request.
        request: RequestId,
    },
    /// Work that must not be repeated ran again.
    #[error("{request:?} (work {work:?}) ran a second time, at {target}; it must not be repeated")]
    Repeated {
        /// The request that ran.
        request: RequestId,
        /// Its idempotency key.
        work: Option<WorkId>,
        /// Where it ran.
        target: TargetName,
    },
    /// A caller got the answer of another request, or a part of one.
    #[error("{request:?} was answered with what belongs to {answered:?} (whole: {whole})")]
    WrongAnswer {
        /// The request.
        request: RequestId,
        /// The request whose answer came.
        answered: RequestId,
        /// Whether all of it came.
        whole: bool,
    },
    /// A node went back to an older configuration.
    #[error("{node} went back from {from} to {to}")]
    ConfigurationReverted {
        /// The node.
        node: NodeId,
        /// What it had applied.
        from: ConfigVersion,
        /// What it has now.
        to: ConfigVersion,
    },
    /// An acknowledged change of the configuration is gone.
    #[error("{object}: {version} was acknowledged, but the store holds {stored}")]
    ConfigurationLost {
        /// Store key of the object.
        object: String,
        /// Acknowledged version.
        version: ConfigVersion,
        /// Version that the store holds.
        stored: ConfigVersion,
    },
    /// A change took effect more than once, or after the operator was told that nothing changed.
    #[error("change {change_id} took effect {effects} times, but the operator was told: {told}")]
    ChangeMisreported {
        /// The change.
        change_id: String,
        /// How often it stands in the history.
        effects: usize,
        /// What the operator was told.
        told: String,
    },
    /// An acknowledged assignment is missing at a leader.
    #[error("{leader} leads at {version:?}, but {acknowledged:?} was acknowledged")]
    AssignmentLost {
        /// The leader.
        leader: NodeId,
        /// Its version of the state.
        version: StateVersion,
        /// Version that was acknowledged before it began to lead.
        acknowledged: StateVersion,
    },
    /// A request started under an older configuration than the one in force.
    #[error("{agent} started {request:?} under {used} although {in_force} was in force")]
    OldConfigurationUsed {
        /// The agent.
        agent: NodeId,
        /// The request.
        request: RequestId,
        /// Configuration that it used.
        used: ConfigVersion,
        /// Configuration in force.
        in_force: ConfigVersion,
    },
    /// A draining target got new work.
    #[error("{target} was drained at {drained_at:?} but got {request:?} at {started_at:?}")]
    WorkAfterDrain {
        /// The target.
        target: TargetName,
        /// The request.
        request: RequestId,
        /// When the drain was acknowledged.
        drained_at: MonotonicTime,
        /// When the work started.
        started_at: MonotonicTime,
    },
    /// A planned stop ended while requests were in flight.
    #[error("{node} stopped as planned with {in_flight} requests in flight")]
    PlannedStopCut {
        /// The node.
        node: NodeId,
        /// Requests that were cut off.
        in_flight: usize,
    },
    /// A state machine says that it is broken.
    #[error("{node} breaks an invariant of its own: {what}")]
    Machine {
        /// The process.
        node: NodeId,
        /// Which invariant.
        what: String,
    },
    /// A process asks to be called at once, again and again.
    #[error("{node} spins: after a tick it wants the next one at once")]
    Spins {
        /// The process.
        node: NodeId,
    },
    /// A key was unserved for too long.
    #[error("key {key} was unserved for {unserved_ms} ms (bound {bound_ms} ms)")]
    Unserved {
        /// The key.
        key: KeyHash,
        /// For how long, in milliseconds.
        unserved_ms: u64,
        /// The bound, in milliseconds.
        bound_ms: u64,
    },
    /// Long after all faults were mended something still does not work.
    #[error("not settled after all faults were mended: {what}")]
    NotSettled {
        /// What does not work.
        what: String,
    },
}
