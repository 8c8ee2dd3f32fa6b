//! Rows of figures in columns.

/// Prints a heading and rows, each column as wide as its widest entry.
pub(super) fn print(heading: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let entries = rows.iter().filter_map(|row| row.get(column));
        let widest = entries.map(String::len).max().unwrap_or_default();
        widest.max(heading[column].len())
    };
    let line = |entries: Vec<&str>| {
        let padded = entries
            .iter()
            .enumerate()
            .map(|(column, entry)| format!("{entry:<0$}", width(column)));
        let padded: Vec<String> = padded.collect();
        println!("{}", padded.join("  ").trim_end());
    };
    line(heading.to_vec());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
    println!();
}
