//! Service quality of a real fleet during an outage or a change.

use http_body_util::BodyExt as _;

/// Sends prompts to real relays at a constant rate
#[derive(clap::Args, Clone)]
pub struct Watch {
    /// HTTP addresses of relays
    #[arg(long, value_delimiter = ',', required = true)]
    relays: Vec<std::net::SocketAddr>,
    /// Prompts per second
    #[arg(long, default_value_t = 60)]
    rate: u64,
    /// Duration of the run in seconds
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// How long each client waits for a response, in milliseconds
    #[arg(long, default_value_t = 1_500)]
    wait_ms: u64,
}

/// Sends prompts, then prints the complete responses of each half second and the longest time with
/// fewer than half of the requested rate.
pub async fn run(flags: Watch) {
    let started_at = std::time::Instant::now();
    let mut interval =
        tokio::time::interval(std::time::Duration::from_micros(1_000_000 / flags.rate));
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..flags.rate * flags.seconds {
        interval.tick().await;
        let flags = flags.clone();
        tasks.spawn(async move {
            let sent_at = std::time::Instant::now();
            let is_complete = send(&flags, number).await;
            (is_complete, started_at.elapsed(), sent_at.elapsed())
        });
    }
    let mut complete_per_half_second = vec![0_u64; flags.seconds as usize * 2 + 10];
    let mut latencies_ms = Vec::new();
    for (is_complete, ended_at, latency) in tasks.join_all().await {
        if is_complete {
            let index = (ended_at.as_millis() / 500) as usize;
            if let Some(count) = complete_per_half_second.get_mut(index) {
                *count += 1;
            }
            latencies_ms.push(latency.as_millis() as u64);
        }
    }
    latencies_ms.sort_unstable();
    complete_per_half_second.truncate(flags.seconds as usize * 2);
    let expected = flags.rate / 2;
    let below = complete_per_half_second
        .split(|count| *count * 2 >= expected)
        .map(<[u64]>::len)
        .max()
        .unwrap_or(0);
    let percentile = |percent: usize| {
        let index = (latencies_ms.len() * percent / 100).min(latencies_ms.len().saturating_sub(1));
        latencies_ms.get(index).copied().unwrap_or(0)
    };
    println!("whole returns in each half second: {complete_per_half_second:?}");
    println!(
        "whole of sent: {:.1} %, p50 {} ms, p99 {} ms, longest time below half: {} ms",
        100.0 * latencies_ms.len() as f64 / (flags.rate * flags.seconds) as f64,
        percentile(50),
        percentile(99),
        below * 500,
    );
}

/// Sends a prompt. Returns whether a complete response with status 200 arrived in time.
async fn send(flags: &Watch, number: u64) -> bool {
    let relay = flags.relays[number as usize % flags.relays.len()];
    let timeout = std::time::Duration::from_millis(flags.wait_ms + 500);
    let exchange = async {
        let connection = topazyard_wire::http::outbound::connect(relay, timeout).await.ok()?;
        let body = serde_json::json!({
            "inputs": format!("watch {number}"), "parameters": { "max_new_tokens": 32 },
        });
        let request = hyper::Request::builder()
            .method(hyper::Method::POST)
            .uri("/generate")
            .header(hyper::header::HOST, relay.to_string())
            .header("Topazyard-Model", "m")
            .header("Topazyard-Time-Remaining", flags.wait_ms)
            .body(topazyard_wire::http::full_body(body.to_string()))
            .ok()?;
        let response = connection.send(request).await.ok()?;
        let is_complete = response.status().as_u16() == 200;
        response.into_body().collect().await.ok()?;
        Some(is_complete)
    };
    tokio::time::timeout(timeout, exchange).await.ok().flatten().unwrap_or(false)
}
