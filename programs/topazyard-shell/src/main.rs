//! A shell for queries on the fleet's state.

mod sql;
mod tables;

use clap::Parser as _;
use std::io::Write as _;

/// Asks control nodes about the fleet and shows tables
#[derive(clap::Parser)]
#[command(version)]
struct Flags {
    /// HTTP addresses of control nodes, tried in turn
    #[arg(long, value_delimiter = ',', required = true)]
    control: Vec<std::net::SocketAddr>,
    /// One query to answer, instead of reading queries from standard input: the name of a table, or
    /// a SELECT
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
    /// the query can't be answered: {0}
    Query(String),
    /// only queries are taken here; topazyard-operator sends commands
    NoQuery,
}

impl std::error::Error for ShellError {}

async fn ask(
    control: &[std::net::SocketAddr],
    path: &str,
) -> Result<serde_json::Value, ShellError> {
    let limit = std::time::Duration::from_secs(5);
    for address in control {
        let empty = bytes::Bytes::new();
        let get = hyper::Method::GET;
        let asked = topazyard_wire::http::outbound::exchange(*address, get, path, empty, limit);
        if let Ok((200, body)) = asked.await
            && let Ok(value) = serde_json::from_slice(&body)
        {
            return Ok(value);
        }
    }
    Err(ShellError::NoControl)
}

/// Answers the name of a table with all of it, and a SELECT with what it chooses.
async fn answer(control: &[std::net::SocketAddr], query: &str) -> Result<Vec<String>, ShellError> {
    if query.split_whitespace().nth(1).is_none() {
        let named = tables::TABLES.iter().find(|(name, ..)| *name == query);
        let (_, path, way) = named.ok_or_else(|| ShellError::NoTable(query.to_owned()))?;
        return Ok(tables::lines_of_objects(&tables::rows(&ask(control, path).await?, way)));
    }
    let mut answers = std::collections::BTreeMap::new();
    let mut all = Vec::new();
    for (name, path, way) in tables::TABLES {
        if !answers.contains_key(path) {
            answers.insert(path, ask(control, path).await?);
        }
        all.push((name, tables::rows(&answers[path], way)));
    }
    sql::select(query, &all)
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
