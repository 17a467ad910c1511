//! The operators' command line.

mod configuration_file;

use clap::Parser as _;

/// Operates a topazyard fleet
#[derive(clap::Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done, or nothing to do; 1 refused, or `spec diff` or \
`spec patch --dry-run` found differences; 2 invalid flag or unusable file; 3 no control node could be reached, \
or the outcome is unknown"
)]
struct Flags {
    /// HTTP addresses of control nodes, tried in order; required except for `spec check`
    #[arg(long, value_delimiter = ',')]
    control: Vec<std::net::SocketAddr>,
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Submit, sign off, roll out and read configurations
    #[command(subcommand)]
    Spec(SpecCommand),
    /// Replace or show the engine list
    #[command(subcommand)]
    Engines(EnginesCommand),
    /// Manage storage nodes
    #[command(subcommand)]
    Storage(StorageCommand),
    /// Show the state of the whole fleet
    Fleet,
}

#[derive(clap::Subcommand)]
enum SpecCommand {
    /// Check a configuration without contacting a fleet
    Check {
        /// The configuration, as JSON
        file: std::path::PathBuf,
    },
    /// Show how a configuration differs from the one in force
    Diff {
        /// The configuration, as JSON
        file: std::path::PathBuf,
    },
    /// Submit, sign off and roll out a configuration, unless it is already in force
    Apply {
        /// The configuration, as JSON
        file: std::path::PathBuf,
        /// Name of the person who signs off
        #[arg(long)]
        by: String,
    },
    /// Submit a configuration based on an existing version
    Submit {
        /// The configuration, as JSON
        file: std::path::PathBuf,
        /// The version it is based on; 0 for the first
        #[arg(long)]
        base: u64,
    },
    /// Submit an existing version with a partial change applied
    Patch {
        /// The change, as JSON: `fields` to set, and for each list the items to `upsert` and the
        /// names to `remove`
        file: std::path::PathBuf,
        /// The version it is based on
        #[arg(long)]
        base: u64,
        /// Only check the change and show the differences
        #[arg(long)]
        dry_run: bool,
    },
    /// Sign off a version
    SignOff {
        /// The version
        version: u64,
        /// Name of the person who signs off
        #[arg(long)]
        by: String,
    },
    /// Put a signed-off version in force
    RollOut {
        /// The version
        version: u64,
    },
    /// Show a version, by default the one in force
    Read {
        /// The version
        version: Option<u64>,
    },
    /// List all versions
    List,
}

#[derive(clap::Subcommand)]
enum EnginesCommand {
    /// Replace the engine list
    Put {
        /// The list, as JSON
        file: std::path::PathBuf,
    },
    /// Show the engine list
    List,
}

#[derive(clap::Subcommand)]
enum StorageCommand {
    /// Show storage nodes and shards
    List,
    /// Move all shards off a node
    Empty {
        /// The id of the node
        node: u64,
    },
    /// Allow a node to host shards again
    Add {
        /// The id of the node
        node: u64,
    },
    /// Remove an emptied node from the fleet
    Retire {
        /// The id of the node
        node: u64,
    },
}

/// Why a command failed.
#[derive(Debug, displaydoc::Display)]
enum OperatorError {
    /// can't read file {0:?}: {1}
    File(std::path::PathBuf, std::io::ErrorKind),
    /// {0:?} is invalid:\n{1}
    Faults(std::path::PathBuf, String),
    /// no control node given, use --control
    NoAddress,
    /// no control node could be reached
    NoControl,
    /// the outcome is unknown: the connection was lost after the command was sent
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

/// An HTTP request: method, path and body.
type ApiRequest = (hyper::Method, String, String);

fn read_file(file: &std::path::Path) -> Result<String, OperatorError> {
    std::fs::read_to_string(file)
        .map_err(|error| OperatorError::File(file.to_owned(), error.kind()))
}

fn request_for(command: &Command) -> Result<ApiRequest, OperatorError> {
    use hyper::Method;
    let get = |path: &str| Ok((Method::GET, path.to_owned(), String::new()));
    let post = |path: String, body: String| Ok((Method::POST, path, body));
    match command {
        Command::Spec(SpecCommand::Submit { file, base }) => {
            Ok(submit_request(&read_file(file)?, *base))
        }
        Command::Spec(SpecCommand::Patch { file, base, .. }) => {
            let patch = configuration_file::read_patch(file)?;
            let body = serde_json::json!({ "base": base, "patch": patch }).to_string();
            Ok((Method::PATCH, "/specs".to_owned(), body))
        }
        Command::Spec(SpecCommand::SignOff { version, by }) => {
            let body = serde_json::json!({ "by": by }).to_string();
            post(format!("/specs/{version}/sign-off"), body)
        }
        // Handled separately, since they take several requests or none.
        Command::Spec(
            SpecCommand::Check { .. } | SpecCommand::Diff { .. } | SpecCommand::Apply { .. },
        ) => get("/specs"),
        Command::Spec(SpecCommand::RollOut { version }) => {
            post(format!("/specs/{version}/roll-out"), String::new())
        }
        Command::Spec(SpecCommand::Read { version: None }) => get("/specs/in-force"),
        Command::Spec(SpecCommand::Read { version: Some(version) }) => {
            get(&format!("/specs/{version}"))
        }
        Command::Spec(SpecCommand::List) => get("/specs"),
        Command::Engines(EnginesCommand::Put { file }) => {
            Ok((Method::PUT, "/engines".to_owned(), read_file(file)?))
        }
        Command::Engines(EnginesCommand::List) => get("/engines"),
        Command::Storage(StorageCommand::List) => get("/storage"),
        Command::Storage(StorageCommand::Empty { node }) => {
            post(format!("/storage/{node}/empty"), String::new())
        }
        Command::Storage(StorageCommand::Add { node }) => {
            post(format!("/storage/{node}/add"), String::new())
        }
        Command::Storage(StorageCommand::Retire { node }) => {
            Ok((Method::DELETE, format!("/storage/{node}"), String::new()))
        }
        Command::Fleet => get("/fleet"),
    }
}

/// Sends a request to the first control node that accepts a connection. A command whose connection
/// was lost is not sent again, since its outcome is unknown.
async fn send(
    control: &[std::net::SocketAddr],
    request: &ApiRequest,
) -> Result<String, OperatorError> {
    use topazyard_wire::http::outbound::{OutboundError, exchange};
    let (method, path, body) = request;
    let timeout = std::time::Duration::from_secs(10);
    for address in control {
        let response = exchange(*address, method.clone(), path, body.clone().into(), timeout);
        match response.await {
            Ok((200, body)) => return Ok(String::from_utf8_lossy(&body).into_owned()),
            // The command was certainly not executed; another node may know the primary.
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

fn submit_request(configuration: &str, base: u64) -> ApiRequest {
    let body = format!("{{\"base\":{base},\"bundle\":{configuration}}}");
    (hyper::Method::POST, "/specs".to_owned(), body)
}

/// Sends a command and parses the response.
async fn request(
    control: &[std::net::SocketAddr],
    command: &Command,
) -> Result<serde_json::Value, OperatorError> {
    let text = send(control, &request_for(command)?).await?;
    Ok(serde_json::from_str(&text).unwrap_or_default())
}

/// The configuration in force, if there is one.
async fn in_force(
    control: &[std::net::SocketAddr],
) -> Result<Option<serde_json::Value>, OperatorError> {
    match request(control, &Command::Spec(SpecCommand::Read { version: None })).await {
        Ok(value) => Ok(Some(value)),
        Err(OperatorError::Refused(404, _)) => Ok(None),
        Err(error) => Err(error),
    }
}

/// The differences that a partial change would make to a version, without submitting it.
async fn dry_run_patch(
    control: &[std::net::SocketAddr],
    file: &std::path::Path,
    base: u64,
) -> Result<Vec<String>, OperatorError> {
    let patch = configuration_file::read_patch(file)?;
    let before =
        request(control, &Command::Spec(SpecCommand::Read { version: Some(base) })).await?;
    let before = configuration_file::configuration_in(&before).ok_or(OperatorError::Unknown)?;
    let after = configuration_file::patched(file, &before, &patch)?;
    Ok(configuration_file::differences(Some(&before), &after))
}

/// The text that reports the differences, and the exit code.
fn report_differences(found: &[String]) -> (String, u8) {
    match found.is_empty() {
        true => ("no difference".to_owned(), 0),
        false => (found.join("\n"), 1),
    }
}

/// Puts a configuration in force. A repeat after a lost response resumes: if the newest version has
/// the same content and is not in force yet, it is used instead of a new submission.
async fn apply(
    control: &[std::net::SocketAddr],
    file: &std::path::Path,
    by: &str,
) -> Result<String, OperatorError> {
    let target = configuration_file::read(file)?;
    let current = in_force(control).await?;
    let is_target = |response: &serde_json::Value| {
        configuration_file::configuration_in(response)
            .is_some_and(|configuration| configuration == target.configuration)
    };
    if let Some(current) = current.as_ref().filter(|current| is_target(current)) {
        return Ok(format!("nothing to do: version {} is in force", current["version"]));
    }
    let all = request(control, &Command::Spec(SpecCommand::List)).await?;
    let newest = all["specs"].as_array().and_then(|versions| versions.last()).cloned();
    let newest = newest.and_then(|version| version["version"].as_u64()).unwrap_or(0);
    let unfinished = match newest {
        0 => None,
        _ => Some(
            request(control, &Command::Spec(SpecCommand::Read { version: Some(newest) })).await?,
        ),
    };
    let resumes =
        unfinished.is_some_and(|version| is_target(&version) && version["stage"] != "rolled_out");
    let version = if resumes {
        newest
    } else {
        let text = send(control, &submit_request(&target.text, newest)).await?;
        let response: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        response["version"].as_u64().ok_or(OperatorError::Unknown)?
    };
    request(control, &Command::Spec(SpecCommand::SignOff { version, by: by.to_owned() })).await?;
    request(control, &Command::Spec(SpecCommand::RollOut { version })).await?;
    Ok(format!("version {version} is in force"))
}

async fn run(flags: &Flags) -> Result<(String, u8), OperatorError> {
    if let Command::Spec(SpecCommand::Check { file }) = &flags.command {
        let checked = configuration_file::read(file)?;
        let (pools, lanes) = (checked.configuration.pools.len(), checked.configuration.lanes.len());
        return Ok((format!("sound: {pools} pools, {lanes} lanes"), 0));
    }
    if flags.control.is_empty() {
        return Err(OperatorError::NoAddress);
    }
    match &flags.command {
        Command::Spec(SpecCommand::Diff { file }) => {
            let target = configuration_file::read(file)?;
            let current = in_force(&flags.control).await?;
            let current = current.as_ref().and_then(configuration_file::configuration_in);
            Ok(report_differences(&configuration_file::differences(
                current.as_ref(),
                &target.configuration,
            )))
        }
        Command::Spec(SpecCommand::Patch { file, base, dry_run: true }) => {
            Ok(report_differences(&dry_run_patch(&flags.control, file, *base).await?))
        }
        Command::Spec(SpecCommand::Apply { file, by }) => {
            Ok((apply(&flags.control, file, by).await?, 0))
        }
        command => {
            let text = send(&flags.control, &request_for(command)?).await?;
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
