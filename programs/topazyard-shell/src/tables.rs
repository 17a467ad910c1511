//! The tables of the fleet state: where each is fetched from, and how rows are printed.

/// Name of each table, the HTTP path to fetch, and the JSON pointer to its rows in the response.
pub const TABLES: [(&str, &str, &str); 8] = [
    ("control", "/fleet", "/control"),
    ("members", "/fleet", "/members"),
    ("relays", "/fleet", "/relays"),
    ("engines", "/fleet", "/engines"),
    ("weights", "/fleet", "/weights"),
    ("nodes", "/storage", "/nodes"),
    ("shards", "/storage", "/shards"),
    ("specs", "/specs", "/specs"),
];

/// The rows of a table in a response.
pub fn rows(response: &serde_json::Value, pointer: &str) -> Vec<serde_json::Value> {
    match response.pointer(pointer) {
        Some(serde_json::Value::Array(rows)) => rows.clone(),
        Some(row @ serde_json::Value::Object(_)) => vec![row.clone()],
        _ => Vec::new(),
    }
}

fn cell(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => "-".to_owned(),
        serde_json::Value::String(text) => text.clone(),
        serde_json::Value::Array(values) => values.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// Formats rows as lines with aligned columns, below a line with the column names.
pub fn lines(names: &[String], rows: &[Vec<serde_json::Value>]) -> Vec<String> {
    if rows.is_empty() {
        return vec!["(no rows)".to_owned()];
    }
    let mut table: Vec<Vec<String>> = vec![names.to_vec()];
    table.extend(rows.iter().map(|row| row.iter().map(cell).collect()));
    let widths: Vec<usize> = (0..names.len())
        .map(|column| table.iter().map(|row| row[column].len()).max().unwrap_or(0))
        .collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    table.iter().map(line).collect()
}

/// Formats rows that are objects, with the keys of the first as columns.
pub fn lines_of_objects(rows: &[serde_json::Value]) -> Vec<String> {
    let first = rows.first().and_then(|row| row.as_object());
    let names: Vec<String> = first.map(|row| row.keys().cloned().collect()).unwrap_or_default();
    let value = |row: &serde_json::Value, name: &String| row.get(name).cloned().unwrap_or_default();
    let rows: Vec<Vec<serde_json::Value>> =
        rows.iter().map(|row| names.iter().map(|name| value(row, name)).collect()).collect();
    lines(&names, &rows)
}

#[cfg(test)]
mod tests {
    #[test]
    fn columns_are_aligned_and_null_is_shown() {
        let rows = [
            serde_json::json!({"name": "a", "address": "1"}),
            serde_json::json!({"name": "long", "address": null}),
        ];
        assert_eq!(
            super::lines_of_objects(&rows),
            ["address  name", "1        a", "-        long"]
        );
    }
}
