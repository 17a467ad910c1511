//! SQL queries on the tables, run by an in-memory SQL engine.

use crate::ShellError;
use gluesql_core::prelude::{Glue, Payload};

/// Runs a SELECT on tables that were just fetched.
pub fn select(
    query: &str,
    tables: &[(&str, Vec<serde_json::Value>)],
) -> Result<Vec<String>, ShellError> {
    let query_error = |error: gluesql_core::prelude::Error| ShellError::Query(error.to_string());
    let mut glue = Glue::new(gluesql_memory_storage::MemoryStorage::default());
    for (name, rows) in tables {
        glue.execute(format!("CREATE TABLE {name}")).map_err(query_error)?;
        for row in rows {
            let row = row.to_string().replace('\'', "''");
            glue.execute(format!("INSERT INTO {name} VALUES ('{row}')")).map_err(query_error)?;
        }
    }
    let mut output = Vec::new();
    for payload in glue.execute(query).map_err(query_error)? {
        match payload {
            Payload::Select { labels, rows } => {
                let rows: Vec<Vec<serde_json::Value>> =
                    rows.into_iter().map(|row| row.into_iter().map(json).collect()).collect();
                output.extend(crate::tables::lines(&labels, &rows));
            }
            Payload::SelectMap(rows) => {
                let rows: Vec<serde_json::Value> = rows
                    .into_iter()
                    .map(|row| row.into_iter().map(|(name, value)| (name, json(value))).collect())
                    .collect();
                output.extend(crate::tables::lines_of_objects(&rows));
            }
            _ => return Err(ShellError::NotAQuery),
        }
    }
    Ok(output)
}

fn json(value: gluesql_core::prelude::Value) -> serde_json::Value {
    serde_json::Value::try_from(value).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::select;
    use crate::ShellError;

    fn tables() -> Vec<(&'static str, Vec<serde_json::Value>)> {
        let node = |zone: &str, shards: u64| serde_json::json!({"zone": zone, "shards": shards, "stage": "it's active"});
        vec![("nodes", vec![node("north", 4), node("south", 3), node("north", 2)])]
    }

    #[test]
    fn rows_are_filtered_grouped_and_ordered() {
        let query = "SELECT zone, SUM(shards) AS held FROM nodes GROUP BY zone ORDER BY zone";
        let lines = select(query, &tables());
        assert_eq!(
            lines.ok(),
            Some(vec!["zone   held".into(), "north  6".into(), "south  3".into()])
        );
        let none = select("SELECT zone FROM nodes WHERE shards > 9", &tables());
        assert_eq!(none.ok(), Some(vec!["(no rows)".to_owned()]));
    }

    #[test]
    fn invalid_queries_and_commands_are_refused() {
        assert!(matches!(select("SELECT FRM", &tables()), Err(ShellError::Query(_))));
        assert!(matches!(select("DELETE FROM nodes", &tables()), Err(ShellError::NotAQuery)));
        assert!(matches!(select("SELECT * FROM nowhere", &tables()), Err(ShellError::Query(_))));
    }

    #[test]
    fn arbitrary_queries_are_answered_or_refused() {
        let tables = tables();
        bolero::check!().with_type::<Vec<u8>>().with_iterations(300).for_each(|bytes| {
            let query = format!("SELECT {}", String::from_utf8_lossy(bytes));
            if let Ok(lines) = select(&query, &tables) {
                assert!(lines.len() <= 1_000);
            }
        });
    }
}
