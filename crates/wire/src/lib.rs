//! Messages between wingspar processes, their CBOR codec, and the names of HTTP headers.
//!
//! Every message may be lost, delayed, duplicated or reordered: receivers compare versions,
//! sessions and fences, and senders repeat until they see the effect. [`Message::channel`] tells
//! which transport a message travels by.
//!
//! ```
//! use wingspar_wire::{Channel, Message, Pull, StateVersion};
//!
//! let message = Message::Pull(Pull::Table { have: StateVersion::default() });
//! assert_eq!(message.channel(), Channel::Datagram);
//! ```

mod codec;
mod handover;
pub mod headers;
mod message;
mod renewal;
mod replication;
mod state;

pub use codec::{
    CodecError, Envelope, FrameCodec, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, decode, encode,
};
pub use handover::{Released, Remember, RememberReply, RememberedOutcome, RememberedRequest};
pub use message::{Channel, Message, Outbound};
pub use renewal::{HotKey, Pull, Renewal, RenewalReply, RenewalVerdict, SliceLoad, TargetLoad};
pub use replication::{Presence, PresenceRole, Replication};
pub use state::{
    Availability, GrantEntry, GrantList, GrantState, SessionId, SliceEntry, SliceStatus,
    StateVersion, TableUpdate, Takeover, TargetEntry,
};
