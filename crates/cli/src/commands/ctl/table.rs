//! Prints tables in a form for human readers.

use comfy_table::{presets, Table};
use serde_json::Value;

/// Prints rows below a header. No cell is truncated.
pub fn print_rows(header: &[&str], rows: impl IntoIterator<Item = Vec<String>>) {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(header);
    for row in rows {
        table.add_row(row);
    }
    println!("{table}");
}

/// Prints an array of JSON objects, with one column for each of the given fields.
pub fn print_items(items: &Value, columns: &[&str]) {
    let items = items.as_array().map_or(&[][..], Vec::as_slice);
    let row = |item: &Value| columns.iter().map(|column| cell(&item[*column])).collect();
    print_rows(columns, items.iter().map(row));
}

/// Formats a JSON value as a cell of a table.
pub fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        Value::Array(items) => {
            let cells: Vec<String> = items.iter().map(cell).collect();
            cells.join(", ")
        }
        Value::Object(fields) => match fields.get("name") {
            Some(name) => cell(name),
            None => {
                let pairs = fields
                    .iter()
                    .map(|(key, value)| format!("{key}={}", cell(value)));
                pairs.collect::<Vec<_>>().join(" ")
            }
        },
        other => other.to_string(),
    }
}
