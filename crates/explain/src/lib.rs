//! What became of one request, told from the log lines of several nodes.
//!
//! [`Line`]s are read from what the nodes write; [`Story`] picks those about a request, and what the same nodes
//! wrote shortly before; [`Cause`] names why the request wasn't answered as usual.

mod cause;
mod line;
mod story;

pub use cause::Cause;
pub use line::Line;
pub use story::Story;
