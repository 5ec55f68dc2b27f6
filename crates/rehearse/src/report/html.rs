//! A self-contained HTML page with plots.

use std::fmt::Write;

use super::plots::{self, Plot};
use super::text;
use crate::experiment::Results;

const STYLE: &str = "body{font-family:sans-serif;max-width:60em;margin:2em auto}\
pre{background:#f4f4f4;padding:1em;overflow:auto}svg{width:100%;height:auto}";

/// Formats the results of a run as a page that needs nothing else.
#[must_use]
pub fn html(results: &Results) -> String {
    let notes = results.notes.iter();
    let notes = notes.map(|note| format!("{:.1} s: {}", note.at_s, note.text));
    page(
        &results.experiment.name,
        &text::table(results),
        notes,
        &plots::all(results),
    )
}

/// A page with a table, what happened, and plots.
pub(crate) fn page(
    name: &str,
    table: &str,
    notes: impl Iterator<Item = String>,
    plots: &[Plot],
) -> String {
    let name = escape(name);
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{name}</title>\
         <style>{STYLE}</style></head><body>\n<h1>{name}</h1>\n"
    );
    // Writing to a string can't fail.
    let _ = write!(
        page,
        "<pre>{}</pre>\n<h2>Events</h2>\n<ul>\n",
        escape(table)
    );
    for note in notes {
        let _ = writeln!(page, "<li>{}</li>", escape(&note));
    }
    page.push_str("</ul>\n");
    for plot in plots {
        let _ = writeln!(page, "<h2>{}</h2>\n{}", escape(&plot.title), plot.svg);
    }
    page.push_str("</body></html>\n");
    page
}

fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}
