//! The operators' command line.

mod bundle_file;

use clap::Parser as _;

/// Drives a topazyard fleet
#[derive(clap::Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done, or nothing to do; 1 refused, or `spec diff` or \
`spec patch --dry-run` found differences; 2 a wrong flag or a file that can't be used; 3 no control node could be reached, \
or the outcome is unknown"
)]
struct Flags {
    /// HTTP addresses of control nodes, tried in turn; all but `spec check` need one
    #[arg(long, value_delimiter = ',')]
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
    /// Check a bundle without a fleet
    Check {
        /// The bundle, as JSON
        file: std::path::PathBuf,
    },
    /// Show in what a bundle differs from the one in force
    Diff {
        /// The bundle, as JSON
        file: std::path::PathBuf,
    },
    /// Submit, sign off and roll out a bundle, unless it is in force already
    Apply {
        /// The bundle, as JSON
        file: std::path::PathBuf,
        /// Who signs
        #[arg(long)]
        by: String,
    },
    /// Submit a bundle that builds on a version
    Submit {
        /// The bundle, as JSON
        file: std::path::PathBuf,
        /// The version it builds on; 0 for the first
        #[arg(long)]
        base: u64,
    },
    /// Submit what a partial change makes of a version
    Patch {
        /// The change, as JSON: `fields` to set, and by list items to `upsert` and names to `remove`
        file: std::path::PathBuf,
        /// The version it builds on
        #[arg(long)]
        base: u64,
        /// Only check it, and show what it would change
        #[arg(long)]
        dry_run: bool,
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
    /// {0:?} has faults:\n{1}
    Faults(std::path::PathBuf, String),
    /// no control node was named: --control
    NoAddress,
    /// no control node could be reached
    NoControl,
    /// the outcome is unknown: the connection broke after the command was sent
    Unknown,
    /// refused with status {0}: {1}
    Refused(u16, String),
}

impl std::error::Error for OperatorError {}

impl OperatorError {
    fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(..) => 1,
            Self::File(..) | Self::Faults(..) | Self::NoAddress => 2,
            Self::NoControl | Self::Unknown => 3,
        }
    }
}

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
        What::Spec(Spec::Submit { file, base }) => Ok(submit(&read_file(file)?, *base)),
        What::Spec(Spec::Patch { file, base, .. }) => {
            let patch = bundle_file::read_patch(file)?;
            let body = serde_json::json!({ "base": base, "patch": patch }).to_string();
            Ok((Method::PATCH, "/specs".to_owned(), body))
        }
        What::Spec(Spec::SignOff { version, by }) => {
            let body = serde_json::json!({ "by": by }).to_string();
            post(format!("/specs/{version}/sign-off"), body)
        }
        // Worked on before, since they take several calls or none.
        What::Spec(Spec::Check { .. } | Spec::Diff { .. } | Spec::Apply { .. }) => get("/specs"),
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
    use topazyard_wire::http::outbound::{OutboundError, exchange};
    let (method, path, body) = call;
    let limit = std::time::Duration::from_secs(10);
    for address in control {
        let asked = exchange(*address, method.clone(), path, body.clone().into(), limit);
        match asked.await {
            Ok((200, body)) => return Ok(String::from_utf8_lossy(&body).into_owned()),
            // It surely did nothing; another node may know the primary.
            Ok((503, _)) | Err(OutboundError::NotConnected) => {}
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

fn submit(bundle: &str, base: u64) -> Call {
    let body = format!("{{\"base\":{base},\"bundle\":{bundle}}}");
    (hyper::Method::POST, "/specs".to_owned(), body)
}

/// Sends a command and reads its return.
async fn ask(
    control: &[std::net::SocketAddr],
    what: &What,
) -> Result<serde_json::Value, OperatorError> {
    let text = send(control, &call_for(what)?).await?;
    Ok(serde_json::from_str(&text).unwrap_or_default())
}

/// The spec in force, if there is one yet.
async fn in_force(
    control: &[std::net::SocketAddr],
) -> Result<Option<serde_json::Value>, OperatorError> {
    match ask(control, &What::Spec(Spec::Read { version: None })).await {
        Ok(value) => Ok(Some(value)),
        Err(OperatorError::Refused(404, _)) => Ok(None),
        Err(error) => Err(error),
    }
}

/// What a partial change would change of a version, without submitting it.
async fn try_patch(
    control: &[std::net::SocketAddr],
    file: &std::path::Path,
    base: u64,
) -> Result<Vec<String>, OperatorError> {
    let patch = bundle_file::read_patch(file)?;
    let before = ask(control, &What::Spec(Spec::Read { version: Some(base) })).await?;
    let before = bundle_file::shown(&before).ok_or(OperatorError::Unknown)?;
    let after = bundle_file::patched(file, &before, &patch)?;
    Ok(bundle_file::differences(Some(&before), &after))
}

/// The text for what was found to differ, and its exit code.
fn differing(found: &[String]) -> (String, u8) {
    match found.is_empty() {
        true => ("no difference".to_owned(), 0),
        false => (found.join("\n"), 1),
    }
}

/// Brings a bundle in force. Said again after a lost answer it goes on where it stood: a version
/// that was submitted last, holds the same and is not in force yet is taken up.
async fn apply(
    control: &[std::net::SocketAddr],
    file: &std::path::Path,
    by: &str,
) -> Result<String, OperatorError> {
    let wanted = bundle_file::read(file)?;
    let present = in_force(control).await?;
    let is_wanted = |answer: &serde_json::Value| {
        bundle_file::shown(answer).is_some_and(|bundle| bundle == wanted.bundle)
    };
    if let Some(present) = present.as_ref().filter(|present| is_wanted(present)) {
        return Ok(format!("nothing to do: version {} is in force", present["version"]));
    }
    let all = ask(control, &What::Spec(Spec::List)).await?;
    let newest = all["specs"].as_array().and_then(|specs| specs.last()).cloned();
    let newest = newest.and_then(|spec| spec["version"].as_u64()).unwrap_or(0);
    let begun = match newest {
        0 => None,
        _ => Some(ask(control, &What::Spec(Spec::Read { version: Some(newest) })).await?),
    };
    let goes_on = begun.is_some_and(|spec| is_wanted(&spec) && spec["stage"] != "rolled_out");
    let version = if goes_on {
        newest
    } else {
        let text = send(control, &submit(&wanted.text, newest)).await?;
        let told: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        told["version"].as_u64().ok_or(OperatorError::Unknown)?
    };
    ask(control, &What::Spec(Spec::SignOff { version, by: by.to_owned() })).await?;
    ask(control, &What::Spec(Spec::RollOut { version })).await?;
    Ok(format!("version {version} is in force"))
}

async fn run(flags: &Flags) -> Result<(String, u8), OperatorError> {
    if let What::Spec(Spec::Check { file }) = &flags.what {
        let checked = bundle_file::read(file)?;
        let (pools, lanes) = (checked.bundle.pools.len(), checked.bundle.lanes.len());
        return Ok((format!("sound: {pools} pools, {lanes} lanes"), 0));
    }
    if flags.control.is_empty() {
        return Err(OperatorError::NoAddress);
    }
    match &flags.what {
        What::Spec(Spec::Diff { file }) => {
            let wanted = bundle_file::read(file)?;
            let present = in_force(&flags.control).await?;
            let present = present.as_ref().and_then(bundle_file::shown);
            Ok(differing(&bundle_file::differences(present.as_ref(), &wanted.bundle)))
        }
        What::Spec(Spec::Patch { file, base, dry_run: true }) => {
            Ok(differing(&try_patch(&flags.control, file, *base).await?))
        }
        What::Spec(Spec::Apply { file, by }) => Ok((apply(&flags.control, file, by).await?, 0)),
        what => {
            let text = send(&flags.control, &call_for(what)?).await?;
            let value: Option<serde_json::Value> = serde_json::from_str(&text).ok();
            let pretty = value.and_then(|value| serde_json::to_string_pretty(&value).ok());
            Ok((pretty.unwrap_or(text), 0))
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::process::ExitCode {
    match run(&Flags::parse()).await {
        Ok((text, code)) => {
            println!("{text}");
            std::process::ExitCode::from(code)
        }
        Err(error) => {
            eprintln!("{error}");
            std::process::ExitCode::from(error.exit_code())
        }
    }
}
