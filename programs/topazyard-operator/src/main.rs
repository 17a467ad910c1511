//! The operators' command line.

use clap::Parser as _;

/// Drives a topazyard fleet
#[derive(clap::Parser)]
#[command(version)]
struct Flags {
    /// HTTP addresses of control nodes, tried in turn
    #[arg(long, value_delimiter = ',', required = true)]
    control: Vec<std::net::SocketAddr>,
    #[command(subcommand)]
    what: What,
}

#[derive(clap::Subcommand)]
enum What {
    /// Specs: submit, sign off, roll out, read back
    #[command(subcommand)]
    Spec(Spec),
    /// The platform's engine list
    #[command(subcommand)]
    Engines(Engines),
    /// Storage nodes
    #[command(subcommand)]
    Storage(Storage),
    /// Everything about the fleet
    Fleet,
}

#[derive(clap::Subcommand)]
enum Spec {
    /// Submit a bundle that builds on a version
    Submit {
        /// The bundle, as JSON
        file: std::path::PathBuf,
        /// The version it builds on; 0 for the first
        #[arg(long)]
        base: u64,
    },
    /// Sign a version off
    SignOff {
        /// The version
        version: u64,
        /// Who signs
        #[arg(long)]
        by: String,
    },
    /// Put a signed version in force
    RollOut {
        /// The version
        version: u64,
    },
    /// Read a version back, or the one in force
    Read {
        /// The version
        version: Option<u64>,
    },
    /// List all versions
    List,
}

#[derive(clap::Subcommand)]
enum Engines {
    /// Replace the list
    Put {
        /// The list, as JSON
        file: std::path::PathBuf,
    },
    /// Show the list
    List,
}

#[derive(clap::Subcommand)]
enum Storage {
    /// Show nodes and shards
    List,
    /// Move everything off a node
    Empty {
        /// The node's id
        node: u64,
    },
    /// Let a node host shards again
    Add {
        /// The node's id
        node: u64,
    },
    /// Forget an emptied node
    Retire {
        /// The node's id
        node: u64,
    },
}

/// Why a command could not be sent, or what came of it.
#[derive(Debug, displaydoc::Display)]
enum OperatorError {
    /// the file {0:?} can't be read: {1}
    File(std::path::PathBuf, std::io::ErrorKind),
    /// no control node could be reached
    NoControl,
    /// the outcome is unknown: the connection broke after the command was sent
    Unknown,
    /// refused with status {0}: {1}
    Refused(u16, String),
}

impl std::error::Error for OperatorError {}

/// What is sent: method, path and body.
type Call = (hyper::Method, String, String);

fn read_file(file: &std::path::Path) -> Result<String, OperatorError> {
    std::fs::read_to_string(file)
        .map_err(|error| OperatorError::File(file.to_owned(), error.kind()))
}

fn call_for(what: &What) -> Result<Call, OperatorError> {
    use hyper::Method;
    let get = |path: &str| Ok((Method::GET, path.to_owned(), String::new()));
    let post = |path: String, body: String| Ok((Method::POST, path, body));
    match what {
        What::Spec(Spec::Submit { file, base }) => {
            let bundle = read_file(file)?;
            post("/specs".to_owned(), format!("{{\"base\":{base},\"bundle\":{bundle}}}"))
        }
        What::Spec(Spec::SignOff { version, by }) => {
            let body = serde_json::json!({ "by": by }).to_string();
            post(format!("/specs/{version}/sign-off"), body)
        }
        What::Spec(Spec::RollOut { version }) => {
            post(format!("/specs/{version}/roll-out"), String::new())
        }
        What::Spec(Spec::Read { version: None }) => get("/specs/in-force"),
        What::Spec(Spec::Read { version: Some(version) }) => get(&format!("/specs/{version}")),
        What::Spec(Spec::List) => get("/specs"),
        What::Engines(Engines::Put { file }) => {
            Ok((Method::PUT, "/engines".to_owned(), read_file(file)?))
        }
        What::Engines(Engines::List) => get("/engines"),
        What::Storage(Storage::List) => get("/storage"),
        What::Storage(Storage::Empty { node }) => {
            post(format!("/storage/{node}/empty"), String::new())
        }
        What::Storage(Storage::Add { node }) => post(format!("/storage/{node}/add"), String::new()),
        What::Storage(Storage::Retire { node }) => {
            Ok((Method::DELETE, format!("/storage/{node}"), String::new()))
        }
        What::Fleet => get("/fleet"),
    }
}

/// Sends to the first control node that takes a connection. A command whose connection broke is
/// not sent again: its outcome is unknown.
async fn send(control: &[std::net::SocketAddr], call: &Call) -> Result<String, OperatorError> {
    use topazyard_wire::http::outward::{OutwardError, exchange};
    let (method, path, body) = call;
    let limit = std::time::Duration::from_secs(10);
    for address in control {
        let asked = exchange(*address, method.clone(), path, body.clone().into(), limit);
        match asked.await {
            Ok((200, body)) => return Ok(String::from_utf8_lossy(&body).into_owned()),
            // It surely did nothing; another node may know the primary.
            Ok((503, _)) | Err(OutwardError::NotConnected) => {}
            Ok((status, body)) => {
                let text = String::from_utf8_lossy(&body).into_owned();
                return Err(OperatorError::Refused(status, text));
            }
            Err(_) if *method == hyper::Method::GET => {}
            Err(_) => return Err(OperatorError::Unknown),
        }
    }
    Err(OperatorError::NoControl)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::process::ExitCode {
    let flags = Flags::parse();
    let outcome = match call_for(&flags.what) {
        Ok(call) => send(&flags.control, &call).await,
        Err(error) => Err(error),
    };
    match outcome {
        Ok(text) => {
            let value: Option<serde_json::Value> = serde_json::from_str(&text).ok();
            let pretty = value.and_then(|value| serde_json::to_string_pretty(&value).ok());
            println!("{}", pretty.unwrap_or(text));
            std::process::ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            std::process::ExitCode::FAILURE
        }
    }
}
