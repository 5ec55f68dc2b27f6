//! Reports of runs: a table, an HTML page, and two runs side by side.

mod comparison;
mod html;
mod plots;
mod text;

pub use comparison::comparison;
pub use html::html;
pub(crate) use html::page;
pub(crate) use plots::{Line, Plot, plot};
pub use text::table;
