//! Aligned text tables, for the text output of commands.

/// Rows of text under a heading.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The heading comes first; rows may differ in length.
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a heading.
    pub fn new(heading: &[&str]) -> Self {
        Self {
            rows: vec![heading.iter().map(ToString::to_string).collect()],
        }
    }

    /// Appends a row.
    pub fn add_row(&mut self, cells: &[&dyn ToString]) {
        self.rows
            .push(cells.iter().map(|c| c.to_string()).collect());
    }

    /// Renders the table: left-aligned columns two spaces apart, without trailing spaces.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns)
            .map(|c| {
                self.rows
                    .iter()
                    .filter_map(|r| r.get(c))
                    .map(String::len)
                    .max()
            })
            .map(Option::unwrap_or_default)
            .collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(c, w)| format!("{c:w$}"));
            let line: Vec<String> = cells.collect();
            text.push_str(line.join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}
