//! A stand-in platform: it tells control which engines there are, and asks every relay whether
//! it is ready.

use clap::Parser as _;

/// A stand-in platform
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
    /// The pool all engines serve
    #[arg(long, default_value = "main")]
    pool: String,
    /// The models all engines serve
    #[arg(long, value_delimiter = ',', default_value = "m")]
    models: Vec<String>,
    /// For how long to try until all relays are ready
    #[arg(long, default_value_t = 30)]
    seconds: u64,
}

#[tokio::main]
async fn main() -> std::process::ExitCode {
    let flags = Flags::parse();
    let until = std::time::Instant::now() + std::time::Duration::from_secs(flags.seconds);
    let mut is_put = false;
    while std::time::Instant::now() < until {
        is_put = is_put || put_engines(&flags).await;
        if is_put && all_ready(&flags).await {
            println!("engines put, {} relays ready", flags.relays.len());
            return std::process::ExitCode::SUCCESS;
        }
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    eprintln!("engines put: {is_put}; not every relay became ready in time");
    std::process::ExitCode::FAILURE
}

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

async fn all_ready(flags: &Flags) -> bool {
    for relay in &flags.relays {
        if exchange(*relay, hyper::Method::GET, "/ready", String::new()).await != Some(200) {
            return false;
        }
    }
    true
}

async fn exchange(
    to: std::net::SocketAddr,
    method: hyper::Method,
    path: &str,
    body: String,
) -> Option<u16> {
    let limit = std::time::Duration::from_secs(5);
    let asked = topazyard_wire::http::outbound::exchange(to, method, path, body.into(), limit);
    asked.await.ok().map(|(status, _)| status)
}
