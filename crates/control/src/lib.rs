//! Control group decisions without I/O: leases, assignments, hand-over, configuration.
//!
//! A [`Control`] runs on every control candidate. It is driven by [`Control::step`] with messages,
//! store answers, operator requests and the passing of time, and returns what is to be sent, asked
//! and told. All times are of the caller's monotonic clock.

mod applied;
mod assignment;
mod candidates;
mod command;
mod config_watch;
mod control;
mod counters;
mod event;
mod founding;
mod group;
mod group_object;
mod hand_over;
mod input;
mod intent;
mod leading;
mod leave;
mod member;
mod membership;
mod moves;
mod objects;
mod observed;
pub mod operator;
mod operators;
mod output;
mod placement;
mod presence;
mod publish;
mod recovery;
mod reports;
mod sessions;
mod settings;
mod snapshot;
mod state;
mod store_io;
mod table;
mod validate;
mod write_progress;
mod writes;
mod zones;

pub use command::{Assignment, Command, ConfigureChange, HandOverOrder, SessionEnd, SliceOwner};
pub use control::Control;
pub use counters::ControlCounters;
pub use event::ControlEvent;
pub use group_object::{GroupObject, Member, Origin, RecordedChange};
pub use input::{Input, StoreReply};
pub use output::{Output, StoreRequest};
pub use settings::ControlSettings;
pub use state::{
    ChangeMemory, ChangeResult, GroupSnapshot, GroupState, HandOver, MemberMemory, Session, Slice,
    SliceMap, StateViolation, TableHistory, TakeoverKind, Touched,
};
