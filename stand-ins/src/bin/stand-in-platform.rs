//! A stand-in platform: sends the engine list to control and waits until every relay is ready.

use clap::Parser as _;

/// Sends an engine list to control and waits until all relays are ready
#[derive(clap::Parser)]
struct Flags {
    /// HTTP addresses of control nodes
    #[arg(long, value_delimiter = ',')]
    control: Vec<std::net::SocketAddr>,
    /// HTTP addresses of relays
    #[arg(long, value_delimiter = ',')]
    relays: Vec<std::net::SocketAddr>,
    /// Engines as NAME=IP:PORT=STATE
    #[arg(long, value_delimiter = ',')]
    engines: Vec<String>,
    /// The pool of all engines
    #[arg(long, default_value = "main")]
    pool: String,
    /// The models that all engines serve
    #[arg(long, value_delimiter = ',', default_value = "m")]
    models: Vec<String>,
    /// Time limit until all relays are ready, in seconds
    #[arg(long, default_value_t = 30)]
    seconds: u64,
}

#[tokio::main]
async fn main() -> std::process::ExitCode {
    let flags = Flags::parse();
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(flags.seconds);
    let mut list_sent = false;
    while std::time::Instant::now() < deadline {
        list_sent = list_sent || put_engines(&flags).await;
        if list_sent && all_ready(&flags).await {
            println!("engines put, {} relays ready", flags.relays.len());
            return std::process::ExitCode::SUCCESS;
        }
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    eprintln!("timed out: engine list sent: {list_sent}; not all relays are ready");
    std::process::ExitCode::FAILURE
}

/// Sends the engine list to the first control node that accepts it.
async fn put_engines(flags: &Flags) -> bool {
    let engines: Vec<serde_json::Value> = flags
        .engines
        .iter()
        .map(|engine| {
            let mut parts = engine.split('=');
            serde_json::json!({
                "name": parts.next(),
                "address": parts.next(),
                "state": parts.next().unwrap_or("ready"),
                "pool": flags.pool,
                "models": flags.models,
            })
        })
        .collect();
    let list = serde_json::json!({ "engines": engines }).to_string();
    for control in &flags.control {
        if exchange(*control, hyper::Method::PUT, "/engines", list.clone()).await == Some(200) {
            return true;
        }
    }
    false
}

/// Whether every relay reports ready.
async fn all_ready(flags: &Flags) -> bool {
    for relay in &flags.relays {
        if exchange(*relay, hyper::Method::GET, "/ready", String::new()).await != Some(200) {
            return false;
        }
    }
    true
}

/// Sends a request and returns the status of the response.
async fn exchange(
    to: std::net::SocketAddr,
    method: hyper::Method,
    path: &str,
    body: String,
) -> Option<u16> {
    let timeout = std::time::Duration::from_secs(5);
    let response = topazyard_wire::http::outbound::exchange(to, method, path, body.into(), timeout);
    response.await.ok().map(|(status, _)| status)
}
