//! Finds the knee of an engine's p99 latency: the number of tokens in flight beyond which the p99
//! rises sharply.

/// Increases the tokens in flight on one engine step by step
#[derive(clap::Args)]
pub struct Knee {
    /// HTTP address of the engine
    #[arg(long)]
    engine: std::net::SocketAddr,
    /// New tokens that each prompt requests
    #[arg(long, default_value_t = 256)]
    new_tokens: u64,
    /// Prompts that each client sends in each step
    #[arg(long, default_value_t = 6)]
    rounds: u64,
    /// Maximum number of clients, each with one prompt in flight
    #[arg(long = "most", value_name = "MOST", default_value_t = 128)]
    max_in_flight: u64,
}

/// Factor over the p99 of a single prompt in flight beyond which the knee counts as passed.
const KNEE_FACTOR: f64 = 2.0;

/// Prints latencies for rising numbers of prompts in flight, the knee, and 80 and 85 % of it.
pub async fn run(flags: Knee) {
    println!("| in flight | tokens in flight | p50 ms | p99 ms |");
    println!("|---|---|---|---|");
    let mut unloaded_p99 = None;
    let mut knee = 0;
    let mut in_flight = 1;
    while in_flight <= flags.max_in_flight {
        let latencies_ms = step(&flags, in_flight).await;
        let percentile = |percent: usize| {
            latencies_ms[(latencies_ms.len() * percent / 100).min(latencies_ms.len() - 1)]
        };
        if latencies_ms.is_empty() {
            eprintln!("no successful response from the engine at {}", flags.engine);
            return;
        }
        let tokens = in_flight * (flags.new_tokens + 2);
        println!("| {in_flight} | {tokens} | {} | {} |", percentile(50), percentile(99));
        let unloaded = *unloaded_p99.get_or_insert(percentile(99).max(1));
        if percentile(99) as f64 <= unloaded as f64 * KNEE_FACTOR {
            knee = tokens;
        }
        in_flight = (in_flight * 3).div_ceil(2);
    }
    println!();
    println!("knee: {knee} tokens; 80 %: {}; 85 %: {}", knee * 80 / 100, knee * 85 / 100);
}

/// Runs one step with the given number of clients. Returns the sorted latencies of all successful
/// prompts.
async fn step(flags: &Knee, in_flight: u64) -> Vec<u64> {
    let mut tasks = tokio::task::JoinSet::new();
    for client in 0..in_flight {
        let (engine, rounds, new_tokens) = (flags.engine, flags.rounds, flags.new_tokens);
        tasks.spawn(async move {
            let mut latencies_ms = Vec::new();
            for round in 0..rounds {
                let body = serde_json::json!({
                    "inputs": format!("{client} {round}"),
                    "parameters": { "max_new_tokens": new_tokens },
                });
                let sent_at = std::time::Instant::now();
                let timeout = std::time::Duration::from_secs(60);
                let post = hyper::Method::POST;
                let body = body.to_string().into();
                let response = topazyard_wire::http::outbound::exchange(
                    engine,
                    post,
                    "/generate",
                    body,
                    timeout,
                );
                if matches!(response.await, Ok((200, _))) {
                    latencies_ms.push(sent_at.elapsed().as_millis() as u64);
                }
            }
            latencies_ms
        });
    }
    let mut latencies_ms: Vec<u64> = tasks.join_all().await.into_iter().flatten().collect();
    latencies_ms.sort_unstable();
    latencies_ms
}
