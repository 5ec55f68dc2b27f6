//! Placement decisions without I/O, and the baselines they are compared with.
//!
//! * [`initial`] spreads a new service's slices over its targets.
//! * [`Successors`] says where orphaned and drained slices go.
//! * [`Planner`] makes the elective decisions: which slices move, split or merge.
//! * [`baseline`] holds simpler ways of placing keys, and [`compare`] measures all of them.
//! * [`imbalance`] and [`churn`] are the measures used in every report.
//!
//! Everything is a plain function of its inputs: the same inputs give the same decisions. Nothing
//! here carries a decision out; the caller does, and may ignore an action that no longer fits.

pub mod baseline;
mod budget;
pub mod compare;
mod initial;
mod measure;
mod plan;
mod share;
mod state;
mod successor;

pub use budget::{ChurnBudget, ChurnRecord, ChurnSpending, move_charge, ring_share};
pub use initial::initial;
pub use measure::{churn, imbalance};
pub use plan::{PlanInput, PlanLimits, Planner};
pub use share::shares;
pub use state::{Action, HotKey, MoveReason, SliceState, TargetState};
pub use successor::Successors;
