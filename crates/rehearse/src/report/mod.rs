//! Reports of runs.

mod text;

pub use text::table;

/// Self-contained HTML page.
pub fn html(results: &crate::experiment::Results) -> String {
    table(results)
}
