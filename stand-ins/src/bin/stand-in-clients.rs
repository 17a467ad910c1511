//! Stand-in clients: send prompts, streams and batches at a constant rate and check each response.

use clap::Parser as _;
use http_body_util::BodyExt as _;
use stand_ins::tally::Tally;

/// Sends prompts or a batch to relays and checks the responses
#[derive(clap::Parser, Clone)]
struct Flags {
    /// HTTP addresses of relays
    #[arg(long, value_delimiter = ',', required = true)]
    relays: Vec<std::net::SocketAddr>,
    /// Prompts per second
    #[arg(long, default_value_t = 50)]
    rate: u64,
    /// Duration of the run in seconds; with --batch the time timeout, at least 30
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Every n-th prompt is a stream; 0 for none
    #[arg(long, default_value_t = 5)]
    stream_every: u64,
    /// How long each client waits for a response, in milliseconds
    #[arg(long, default_value_t = 5_000)]
    wait_ms: u64,
    /// New tokens that each prompt requests
    #[arg(long, default_value_t = 64)]
    new_tokens: u64,
    /// The requested model
    #[arg(long, default_value = "m")]
    model: String,
    /// Submit a batch of this many items instead, and wait for its results
    #[arg(long)]
    batch: Option<u64>,
    /// The batch's idempotency key
    #[arg(long, default_value = "stand-in")]
    key: String,
    /// Do not wait for the batch's results
    #[arg(long)]
    submit_only: bool,
}

#[tokio::main]
async fn main() -> std::process::ExitCode {
    let flags = Flags::parse();
    let succeeded = match flags.batch {
        Some(items) => submit_batch(&flags, items).await,
        None => send_prompts(flags).await,
    };
    if succeeded { std::process::ExitCode::SUCCESS } else { std::process::ExitCode::FAILURE }
}

/// Sends prompts and prints the outcome counts. Fails if any response is wrong.
async fn send_prompts(flags: Flags) -> bool {
    let mut interval =
        tokio::time::interval(std::time::Duration::from_micros(1_000_000 / flags.rate));
    let mut tasks = Vec::new();
    for number in 0..flags.rate * flags.seconds {
        interval.tick().await;
        let flags = flags.clone();
        tasks.push(tokio::spawn(async move { send_prompt(&flags, number).await }));
    }
    let mut tally = Tally::default();
    for task in tasks {
        if let Ok(outcome) = task.await {
            tally.add(outcome);
        }
    }
    let mut summary = serde_json::json!(tally);
    summary["p50_ms"] = tally.percentile_ms(50).into();
    summary["p99_ms"] = tally.percentile_ms(99).into();
    println!("{summary}");
    tally.wrong == 0
}

/// Sends one prompt and checks the response.
async fn send_prompt(flags: &Flags, number: u64) -> Tally {
    let mut tally = Tally { sent: 1, ..Tally::default() };
    let relay = flags.relays[number as usize % flags.relays.len()];
    let stream = flags.stream_every > 0 && number.is_multiple_of(flags.stream_every);
    let body = stand_ins::prompt::body(number, 8, flags.new_tokens);
    let sent_at = std::time::Instant::now();
    let timeout = std::time::Duration::from_millis(flags.wait_ms + 1_000);
    match tokio::time::timeout(timeout, send(flags, relay, stream, &body)).await {
        Ok(Some((200, Some(text)))) => {
            let digest = stand_ins::prompt::digest(body.as_bytes());
            let expected = if stream {
                let count = (flags.new_tokens as usize / 8).clamp(1, 64);
                stand_ins::prompt::events(body.as_bytes(), count).concat()
            } else {
                serde_json::json!({ "generated_text": digest }).to_string()
            };
            if text == expected {
                tally.complete += 1;
                tally.took_ms.push(sent_at.elapsed().as_millis() as u64);
            } else {
                tally.wrong += 1;
            }
        }
        Ok(Some((200, None))) => tally.interrupted += 1,
        Ok(Some((status, _))) => *tally.refused.entry(status).or_default() += 1,
        Ok(None) | Err(_) => tally.interrupted += 1,
    }
    tally
}

/// Sends a prompt to a relay. Returns the status and the body, none if it was interrupted.
async fn send(
    flags: &Flags,
    relay: std::net::SocketAddr,
    stream: bool,
    body: &str,
) -> Option<(u16, Option<String>)> {
    let timeout = std::time::Duration::from_millis(1_000);
    let connection = topazyard_wire::http::outbound::connect(relay, timeout).await.ok()?;
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

/// Sends a request about a batch. Returns the status and the JSON body of the response.
async fn exchange(
    to: std::net::SocketAddr,
    method: hyper::Method,
    path: &str,
    key: &str,
    body: String,
) -> Option<(u16, serde_json::Value)> {
    let timeout = std::time::Duration::from_secs(6);
    let exchange = async {
        let connection = topazyard_wire::http::outbound::connect(to, timeout).await.ok()?;
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
    tokio::time::timeout(timeout, exchange).await.ok().flatten()
}

/// Submits a batch, then reads its results until each item has one.
async fn submit_batch(flags: &Flags, items: u64) -> bool {
    let bodies: Vec<String> =
        (0..items).map(|item| stand_ins::prompt::body(item, 8, flags.new_tokens)).collect();
    let items_json: Vec<serde_json::Value> = bodies
        .iter()
        .filter_map(|body| serde_json::from_str::<serde_json::Value>(body).ok())
        .map(|body| serde_json::json!({ "model": flags.model, "body": body, "repeatable": false }))
        .collect();
    let batch = serde_json::json!({ "items": items_json }).to_string();
    let deadline =
        std::time::Instant::now() + std::time::Duration::from_secs(flags.seconds.max(30));
    let mut id = None;
    let mut attempt = 0;
    let mut results: Vec<serde_json::Value> = Vec::new();
    while std::time::Instant::now() < deadline {
        let relay = flags.relays[attempt % flags.relays.len()];
        attempt += 1;
        match &id {
            None => {
                let post = hyper::Method::POST;
                let response = exchange(relay, post, "/batches", &flags.key, batch.clone()).await;
                if let Some((201, accepted)) = response {
                    println!("accepted {}", accepted["batch"]);
                    id = accepted["batch"].as_str().map(str::to_owned);
                    if flags.submit_only {
                        return true;
                    }
                }
            }
            Some(id) => {
                let path = format!("/batches/{id}/returns?after={}", results.len());
                let response =
                    exchange(relay, hyper::Method::GET, &path, &flags.key, String::new()).await;
                if let Some((200, page)) = response {
                    results.extend(page["returns"].as_array().cloned().unwrap_or_default());
                }
                if results.len() as u64 >= items {
                    return check(&results, items);
                }
            }
        }
        tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    }
    eprintln!("only {} of {items} results arrived in time", results.len());
    false
}

/// Prints whether each item is listed once and whether positions are consecutive, and returns
/// whether both hold.
fn check(results: &[serde_json::Value], items: u64) -> bool {
    let in_order = results
        .iter()
        .zip(1..)
        .all(|(result, position)| result["position"].as_u64() == Some(position));
    let mut item_numbers: Vec<u64> =
        results.iter().filter_map(|result| result["item"].as_u64()).collect();
    item_numbers.sort_unstable();
    let once = item_numbers.iter().copied().eq(0..items);
    let complete = results.iter().filter(|result| result["outcome"] == "whole").count();
    println!("{{\"items\":{items},\"whole\":{complete},\"in_order\":{in_order},\"once\":{once}}}");
    in_order && once
}
