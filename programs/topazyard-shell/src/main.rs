//! A shell that queries the state of a fleet.

mod sql;
mod tables;

use clap::Parser as _;
use std::io::Write as _;

/// Queries the state of a fleet and prints tables
#[derive(clap::Parser)]
#[command(version)]
struct Flags {
    /// HTTP addresses of control nodes, tried in order
    #[arg(long, value_delimiter = ',', required = true)]
    control: Vec<std::net::SocketAddr>,
    /// A single query, instead of queries from standard input: the name of a table or a SELECT
    /// statement
    #[arg(long, short = 'c')]
    query: Option<String>,
}

/// Why a query failed.
#[derive(Debug, displaydoc::Display)]
enum ShellError {
    /// unknown table {0:?}; tables are: control, members, relays, engines, weights, nodes, shards, specs
    UnknownTable(String),
    /// no control node could be reached
    NoControl,
    /// query failed: {0}
    Query(String),
    /// only queries are supported; use topazyard-operator for commands
    NotAQuery,
}

impl std::error::Error for ShellError {}

/// Fetches a path from the first control node that responds.
async fn fetch(
    control: &[std::net::SocketAddr],
    path: &str,
) -> Result<serde_json::Value, ShellError> {
    let timeout = std::time::Duration::from_secs(5);
    for address in control {
        let empty = bytes::Bytes::new();
        let get = hyper::Method::GET;
        let response =
            topazyard_wire::http::outbound::exchange(*address, get, path, empty, timeout);
        if let Ok((200, body)) = response.await
            && let Ok(value) = serde_json::from_slice(&body)
        {
            return Ok(value);
        }
    }
    Err(ShellError::NoControl)
}

/// Runs a query: the name of a table returns all of its rows, a SELECT the selected ones.
async fn run_query(
    control: &[std::net::SocketAddr],
    query: &str,
) -> Result<Vec<String>, ShellError> {
    if query.split_whitespace().nth(1).is_none() {
        let named = tables::TABLES.iter().find(|(name, ..)| *name == query);
        let (_, path, pointer) = named.ok_or_else(|| ShellError::UnknownTable(query.to_owned()))?;
        return Ok(tables::lines_of_objects(&tables::rows(&fetch(control, path).await?, pointer)));
    }
    let mut responses = std::collections::BTreeMap::new();
    let mut all = Vec::new();
    for (name, path, pointer) in tables::TABLES {
        if !responses.contains_key(path) {
            responses.insert(path, fetch(control, path).await?);
        }
        all.push((name, tables::rows(&responses[path], pointer)));
    }
    sql::select(query, &all)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::process::ExitCode {
    let flags = Flags::parse();
    if let Some(query) = &flags.query {
        return match run_query(&flags.control, query.trim()).await {
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
        match run_query(&flags.control, line.trim()).await {
            Ok(lines) => lines.iter().for_each(|line| println!("{line}")),
            Err(error) => println!("{error}"),
        }
    }
}
