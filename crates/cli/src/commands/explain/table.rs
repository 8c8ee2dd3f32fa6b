//! Prints tables with aligned columns.

/// Prints a heading and rows. Each column is as wide as its widest entry.
pub(super) fn print(heading: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let entries = rows.iter().filter_map(|row| row.get(column));
        let widest = entries.map(String::len).max().unwrap_or_default();
        widest.max(heading[column].len())
    };
    let print_line = |entries: Vec<&str>| {
        let padded = entries
            .iter()
            .enumerate()
            .map(|(column, entry)| format!("{entry:<0$}", width(column)));
        let padded: Vec<String> = padded.collect();
        println!("{}", padded.join("  ").trim_end());
    };
    print_line(heading.to_vec());
    for row in rows {
        print_line(row.iter().map(String::as_str).collect());
    }
    println!();
}
