//! The tables of fleet state: where each is found, and how rows are shown.

/// All tables, with the path to ask and the way into its answer.
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

/// A table's rows within the answer that holds them.
pub fn rows(answer: &serde_json::Value, way: &str) -> Vec<serde_json::Value> {
    match answer.pointer(way) {
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

/// Lines with aligned columns, the names first.
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

/// Lines of rows that are objects, with the columns of the first.
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
    fn columns_line_up_and_missing_values_show() {
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
