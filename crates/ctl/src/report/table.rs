//! Plain tables with aligned columns.

/// A table; rows have as many cells as the head.
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

/// Spaces between columns.
const GAP: usize = 2;

impl Table {
    /// An empty table with its head.
    pub(super) fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|cell| (*cell).to_owned());
        Self {
            rows: vec![head.collect()],
        }
    }

    /// Adds a row.
    pub(super) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The table as lines.
    pub(super) fn render(&self) -> String {
        let columns = self.rows[0].len();
        let widths = (0..columns).map(|column| self.width(column));
        let widths = widths.collect::<Vec<_>>();
        let lines = self.rows.iter().map(|row| line(row, &widths));
        lines.collect()
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let padded = cells.map(|(cell, width)| format!("{cell:<width$}"));
    let joined = padded.collect::<Vec<_>>().join(&" ".repeat(GAP));
    format!("{}\n", joined.trim_end())
}
