//! Reports of runs: a table, an HTML page, and two runs side by side.

mod comparison;
mod html;
mod plots;
mod text;

pub use comparison::comparison;
pub use html::html;
pub use text::table;
