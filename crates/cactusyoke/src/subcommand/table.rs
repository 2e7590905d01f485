use std::fmt::{self, Display, Formatter};

/// Table with columns aligned by spaces, for reading; scripts use `--json`.
#[derive(Debug)]
pub(super) struct Table {
  rows: Vec<Vec<String>>,
}

impl Table {
  /// Table with a header row.
  pub(super) fn new(header: &[&str]) -> Self {
    let header = header.iter().map(ToString::to_string).collect();
    Self { rows: vec![header] }
  }

  /// Adds a row with as many cells as the header.
  pub(super) fn row(&mut self, cells: Vec<String>) {
    self.rows.push(cells);
  }
}

impl Display for Table {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    let mut widths = Vec::new();
    for row in &self.rows {
      widths.resize(widths.len().max(row.len()), 0);
      for (width, cell) in widths.iter_mut().zip(row) {
        *width = cell.chars().count().max(*width);
      }
    }
    for row in &self.rows {
      let cells = row.iter().zip(&widths);
      let line = cells
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect::<Vec<_>>()
        .join("  ");
      writeln!(f, "{}", line.trim_end())?;
    }
    Ok(())
  }
}
