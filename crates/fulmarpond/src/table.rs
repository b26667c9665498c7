//! Text tables with aligned columns.

use std::fmt;

/// A table with a header. Columns that contain only numbers and `-` are right-aligned.
#[derive(Debug, Clone)]
pub(crate) struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub(crate) fn new<const N: usize>(header: [&str; N]) -> Self {
        Self {
            header: header.map(str::to_owned).to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub(crate) fn add_row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(Vec::from(cells));
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns: Vec<(usize, bool)> = (0..self.header.len())
            .map(|column| {
                let cells = || self.rows.iter().filter_map(|row| row.get(column));
                let width = cells()
                    .chain([&self.header[column]])
                    .map(|cell| cell.chars().count())
                    .max()
                    .unwrap_or(0);
                let is_right_aligned = cells().any(|cell| is_number(cell))
                    && cells().all(|cell| cell == "-" || is_number(cell));
                (width, is_right_aligned)
            })
            .collect();
        for row in std::iter::once(&self.header).chain(&self.rows) {
            let line: Vec<String> = row
                .iter()
                .zip(&columns)
                .map(|(cell, &(width, is_right_aligned))| {
                    if is_right_aligned {
                        format!("{cell:>width$}")
                    } else {
                        format!("{cell:<width$}")
                    }
                })
                .collect();
            writeln!(f, "{}", line.join("  ").trim_end())?;
        }
        Ok(())
    }
}

fn is_number(cell: &str) -> bool {
    cell.trim_end_matches('%').trim().parse::<f64>().is_ok()
}
