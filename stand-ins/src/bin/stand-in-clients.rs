//! Stand-in clients: prompts, streams and batches at a steady rate, each return checked.

use clap::Parser as _;
use http_body_util::BodyExt as _;
use stand_ins::tally::Tally;

/// Stand-in clients
#[derive(clap::Parser, Clone)]
struct Flags {
    /// HTTP addresses of relays
    #[arg(long, value_delimiter = ',', required = true)]
    relays: Vec<std::net::SocketAddr>,
    /// Prompts a second
    #[arg(long, default_value_t = 50)]
    rate: u64,
    /// For how long
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Every n-th prompt is a stream; 0 for none
    #[arg(long, default_value_t = 5)]
    stream_every: u64,
    /// How long each client waits
    #[arg(long, default_value_t = 5_000)]
    wait_ms: u64,
    /// New tokens of each prompt
    #[arg(long, default_value_t = 64)]
    new_tokens: u64,
    /// The model asked for
    #[arg(long, default_value = "m")]
    model: String,
    /// Hand in a batch of that many items under this key instead, and wait for its returns
    #[arg(long)]
    batch: Option<u64>,
    /// The batch's idempotency key
    #[arg(long, default_value = "stand-in")]
    key: String,
    /// Do not wait for the batch's returns
    #[arg(long)]
    submit_only: bool,
}

#[tokio::main]
async fn main() -> std::process::ExitCode {
    let flags = Flags::parse();
    let is_well = match flags.batch {
        Some(items) => hand_in(&flags, items).await,
        None => send_prompts(flags).await,
    };
    if is_well { std::process::ExitCode::SUCCESS } else { std::process::ExitCode::FAILURE }
}

/// Sends prompts and prints what was seen. Wrong returns make it fail.
async fn send_prompts(flags: Flags) -> bool {
    let mut every = tokio::time::interval(std::time::Duration::from_micros(1_000_000 / flags.rate));
    let mut tasks = Vec::new();
    for number in 0..flags.rate * flags.seconds {
        every.tick().await;
        let flags = flags.clone();
        tasks.push(tokio::spawn(async move { one(&flags, number).await }));
    }
    let mut tally = Tally::default();
    for task in tasks {
        if let Ok(seen) = task.await {
            tally.add(seen);
        }
    }
    let mut shown = serde_json::json!(tally);
    shown["p50_ms"] = tally.percentile_ms(50).into();
    shown["p99_ms"] = tally.percentile_ms(99).into();
    println!("{shown}");
    tally.wrong == 0
}

async fn one(flags: &Flags, number: u64) -> Tally {
    let mut tally = Tally { sent: 1, ..Tally::default() };
    let relay = flags.relays[number as usize % flags.relays.len()];
    let stream = flags.stream_every > 0 && number.is_multiple_of(flags.stream_every);
    let body = stand_ins::prompt::body(number, 8, flags.new_tokens);
    let begun = std::time::Instant::now();
    let limit = std::time::Duration::from_millis(flags.wait_ms + 1_000);
    match tokio::time::timeout(limit, send(flags, relay, stream, &body)).await {
        Ok(Some((200, Some(text)))) => {
            let digest = stand_ins::prompt::digest(body.as_bytes());
            let expected = if stream {
                let count = (flags.new_tokens as usize / 8).clamp(1, 64);
                stand_ins::prompt::events(body.as_bytes(), count).concat()
            } else {
                serde_json::json!({ "generated_text": digest }).to_string()
            };
            if text == expected {
                tally.whole += 1;
                tally.took_ms.push(begun.elapsed().as_millis() as u64);
            } else {
                tally.wrong += 1;
            }
        }
        Ok(Some((200, None))) => tally.broken += 1,
        Ok(Some((status, _))) => *tally.refused.entry(status).or_default() += 1,
        Ok(None) | Err(_) => tally.broken += 1,
    }
    tally
}

async fn send(
    flags: &Flags,
    relay: std::net::SocketAddr,
    stream: bool,
    body: &str,
) -> Option<(u16, Option<String>)> {
    let limit = std::time::Duration::from_millis(1_000);
    let connection = topazyard_wire::http::outbound::connect(relay, limit).await.ok()?;
    let request = hyper::Request::builder()
        .method(hyper::Method::POST)
        .uri(if stream { "/generate_stream" } else { "/generate" })
        .header(hyper::header::HOST, relay.to_string())
        .header("Topazyard-Model", &flags.model)
        .header("Topazyard-Time-Remaining", flags.wait_ms)
        .header("Topazyard-Prefix", "house,checks")
        .body(topazyard_wire::http::full_body(body.to_owned()))
        .ok()?;
    let response = connection.send(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok();
    let text = body.and_then(|body| String::from_utf8(body.to_bytes().to_vec()).ok());
    Some((status, text))
}

async fn exchange(
    to: std::net::SocketAddr,
    method: hyper::Method,
    path: &str,
    key: &str,
    body: String,
) -> Option<(u16, serde_json::Value)> {
    let limit = std::time::Duration::from_secs(6);
    let work = async {
        let connection = topazyard_wire::http::outbound::connect(to, limit).await.ok()?;
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, to.to_string())
            .header("Idempotency-Key", key)
            .body(topazyard_wire::http::full_body(body))
            .ok()?;
        let response = connection.send(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, serde_json::from_slice(&body).ok()?))
    };
    tokio::time::timeout(limit, work).await.ok().flatten()
}

/// Hands in a batch, then reads its returns until each item has one.
async fn hand_in(flags: &Flags, items: u64) -> bool {
    let bodies: Vec<String> =
        (0..items).map(|item| stand_ins::prompt::body(item, 8, flags.new_tokens)).collect();
    let listed: Vec<serde_json::Value> = bodies
        .iter()
        .filter_map(|body| serde_json::from_str::<serde_json::Value>(body).ok())
        .map(|body| serde_json::json!({ "model": flags.model, "body": body, "repeatable": false }))
        .collect();
    let batch = serde_json::json!({ "items": listed }).to_string();
    let until = std::time::Instant::now() + std::time::Duration::from_secs(flags.seconds.max(30));
    let mut id = None;
    let mut turn = 0;
    let mut returns: Vec<serde_json::Value> = Vec::new();
    while std::time::Instant::now() < until {
        let relay = flags.relays[turn % flags.relays.len()];
        turn += 1;
        match &id {
            None => {
                let post = hyper::Method::POST;
                let answer = exchange(relay, post, "/batches", &flags.key, batch.clone()).await;
                if let Some((201, shown)) = answer {
                    println!("accepted {}", shown["batch"]);
                    id = shown["batch"].as_str().map(str::to_owned);
                    if flags.submit_only {
                        return true;
                    }
                }
            }
            Some(id) => {
                let path = format!("/batches/{id}/returns?after={}", returns.len());
                let answer =
                    exchange(relay, hyper::Method::GET, &path, &flags.key, String::new()).await;
                if let Some((200, shown)) = answer {
                    returns.extend(shown["returns"].as_array().cloned().unwrap_or_default());
                }
                if returns.len() as u64 >= items {
                    return check(&returns, items);
                }
            }
        }
        tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    }
    eprintln!("{} of {items} returns came in time", returns.len());
    false
}

/// Whether each item is listed once, at rising positions.
fn check(returns: &[serde_json::Value], items: u64) -> bool {
    let positions = returns.iter().zip(1..).all(|(r, at)| r["position"].as_u64() == Some(at));
    let mut listed: Vec<u64> = returns.iter().filter_map(|r| r["item"].as_u64()).collect();
    listed.sort_unstable();
    let once = listed.iter().copied().eq(0..items);
    let whole = returns.iter().filter(|r| r["outcome"] == "whole").count();
    println!("{{\"items\":{items},\"whole\":{whole},\"in_order\":{positions},\"once\":{once}}}");
    positions && once
}
