//! Service of a real fleet while something happens to it.

use http_body_util::BodyExt as _;

/// Sends prompts to real relays at a steady rate
#[derive(clap::Args, Clone)]
pub struct Watch {
    /// HTTP addresses of relays
    #[arg(long, value_delimiter = ',', required = true)]
    relays: Vec<std::net::SocketAddr>,
    /// Prompts a second
    #[arg(long, default_value_t = 60)]
    rate: u64,
    /// For how long
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// How long each client waits
    #[arg(long, default_value_t = 1_500)]
    wait_ms: u64,
}

/// Sends, then shows whole returns for each half second and how long service was below half.
pub async fn run(flags: Watch) {
    let begun = std::time::Instant::now();
    let mut every = tokio::time::interval(std::time::Duration::from_micros(1_000_000 / flags.rate));
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..flags.rate * flags.seconds {
        every.tick().await;
        let flags = flags.clone();
        tasks.spawn(async move {
            let sent = std::time::Instant::now();
            let is_whole = send(&flags, number).await;
            (is_whole, begun.elapsed(), sent.elapsed())
        });
    }
    let mut halves = vec![0_u64; flags.seconds as usize * 2 + 10];
    let mut took_ms = Vec::new();
    for (is_whole, ended, took) in tasks.join_all().await {
        if is_whole {
            let half = (ended.as_millis() / 500) as usize;
            if let Some(count) = halves.get_mut(half) {
                *count += 1;
            }
            took_ms.push(took.as_millis() as u64);
        }
    }
    took_ms.sort_unstable();
    halves.truncate(flags.seconds as usize * 2);
    let usual = flags.rate / 2;
    let below = halves.split(|count| *count * 2 >= usual).map(<[u64]>::len).max().unwrap_or(0);
    let share = |percent: usize| {
        let at = (took_ms.len() * percent / 100).min(took_ms.len().saturating_sub(1));
        took_ms.get(at).copied().unwrap_or(0)
    };
    println!("whole returns in each half second: {halves:?}");
    println!(
        "whole of sent: {:.1} %, p50 {} ms, p99 {} ms, longest time below half: {} ms",
        100.0 * took_ms.len() as f64 / (flags.rate * flags.seconds) as f64,
        share(50),
        share(99),
        below * 500,
    );
}

async fn send(flags: &Watch, number: u64) -> bool {
    let relay = flags.relays[number as usize % flags.relays.len()];
    let limit = std::time::Duration::from_millis(flags.wait_ms + 500);
    let work = async {
        let connection = topazyard_wire::http::outbound::connect(relay, limit).await.ok()?;
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
        let is_whole = response.status().as_u16() == 200;
        response.into_body().collect().await.ok()?;
        Some(is_whole)
    };
    tokio::time::timeout(limit, work).await.ok().flatten().unwrap_or(false)
}
