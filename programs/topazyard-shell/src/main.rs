//! A shell for queries on the fleet's state.

use clap::Parser as _;
use std::io::Write as _;

/// Asks control nodes about the fleet and shows tables
#[derive(clap::Parser)]
#[command(version)]
struct Flags {
    /// HTTP addresses of control nodes, tried in turn
    #[arg(long, value_delimiter = ',', required = true)]
    control: Vec<std::net::SocketAddr>,
    /// One query to answer, instead of reading queries from standard input
    #[arg(long, short = 'c')]
    query: Option<String>,
}

/// Why a query has no answer.
#[derive(Debug, displaydoc::Display)]
enum ShellError {
    /// there is no table {0:?}; tables are: control, members, relays, engines, weights, nodes, shards, specs
    NoTable(String),
    /// no control node could be reached
    NoControl,
}

impl std::error::Error for ShellError {}

/// Where a table is found: the path to ask and the way into its answer.
fn table(name: &str) -> Result<(&'static str, &'static str), ShellError> {
    Ok(match name {
        "control" => ("/fleet", "/control"),
        "members" => ("/fleet", "/members"),
        "relays" => ("/fleet", "/relays"),
        "engines" => ("/fleet", "/engines"),
        "weights" => ("/fleet", "/weights"),
        "nodes" => ("/storage", "/nodes"),
        "shards" => ("/storage", "/shards"),
        "specs" => ("/specs", "/specs"),
        other => return Err(ShellError::NoTable(other.to_owned())),
    })
}

async fn ask(
    control: &[std::net::SocketAddr],
    path: &str,
) -> Result<serde_json::Value, ShellError> {
    let limit = std::time::Duration::from_secs(5);
    for address in control {
        let empty = String::new().into();
        let get = hyper::Method::GET;
        let asked = topazyard_wire::http::outward::exchange(*address, get, path, empty, limit);
        if let Ok((200, body)) = asked.await
            && let Ok(value) = serde_json::from_slice(&body)
        {
            return Ok(value);
        }
    }
    Err(ShellError::NoControl)
}

fn cell(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => "-".to_owned(),
        serde_json::Value::String(text) => text.clone(),
        serde_json::Value::Array(values) => values.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// Lines of a table with aligned columns.
fn lines(value: &serde_json::Value) -> Vec<String> {
    let rows: Vec<&serde_json::Map<String, serde_json::Value>> = match value {
        serde_json::Value::Array(rows) => rows.iter().filter_map(|row| row.as_object()).collect(),
        serde_json::Value::Object(row) => vec![row],
        _ => Vec::new(),
    };
    let Some(first) = rows.first() else { return vec!["(no rows)".to_owned()] };
    let names: Vec<&String> = first.keys().collect();
    let mut table: Vec<Vec<String>> = vec![names.iter().map(|name| (*name).clone()).collect()];
    for row in &rows {
        table.push(names.iter().map(|name| row.get(*name).map_or("-".into(), cell)).collect());
    }
    let widths: Vec<usize> = (0..names.len())
        .map(|column| table.iter().map(|row| row[column].len()).max().unwrap_or(0))
        .collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    table.iter().map(line).collect()
}

async fn answer(control: &[std::net::SocketAddr], query: &str) -> Result<Vec<String>, ShellError> {
    let (path, way) = table(query)?;
    let value = ask(control, path).await?;
    Ok(lines(value.pointer(way).unwrap_or(&serde_json::Value::Null)))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::process::ExitCode {
    let flags = Flags::parse();
    if let Some(query) = &flags.query {
        return match answer(&flags.control, query.trim()).await {
            Ok(lines) => {
                lines.iter().for_each(|line| println!("{line}"));
                std::process::ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{error}");
                std::process::ExitCode::FAILURE
            }
        };
    }
    let mut line = String::new();
    loop {
        print!("topazyard> ");
        let _ = std::io::stdout().flush();
        line.clear();
        if !matches!(std::io::stdin().read_line(&mut line), Ok(1..)) || line.trim() == "quit" {
            return std::process::ExitCode::SUCCESS;
        }
        if line.trim().is_empty() {
            continue;
        }
        match answer(&flags.control, line.trim()).await {
            Ok(lines) => lines.iter().for_each(|line| println!("{line}")),
            Err(error) => println!("{error}"),
        }
    }
}
