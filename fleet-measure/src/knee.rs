//! The knee of an engine's p99: where it begins to climb sharply as tokens in flight rise.

/// Ramps tokens in flight against one engine
#[derive(clap::Args)]
pub struct Knee {
    /// The engine's HTTP address
    #[arg(long)]
    engine: std::net::SocketAddr,
    /// New tokens of each prompt
    #[arg(long, default_value_t = 256)]
    new_tokens: u64,
    /// Prompts sent at each step and prompt in flight
    #[arg(long, default_value_t = 6)]
    rounds: u64,
    /// The most prompts in flight
    #[arg(long, default_value_t = 128)]
    most: u64,
}

/// How much the p99 may rise over its value at rest before the knee is said to be passed.
const KNEE_FACTOR: f64 = 2.0;

/// Steps up until the p99 has passed the knee, and says what 80 and 85 % of it are.
pub async fn run(flags: Knee) {
    println!("| in flight | tokens in flight | p50 ms | p99 ms |");
    println!("|---|---|---|---|");
    let mut at_rest = None;
    let mut knee = 0;
    let mut in_flight = 1;
    while in_flight <= flags.most {
        let took = step(&flags, in_flight).await;
        let share = |percent: usize| took[(took.len() * percent / 100).min(took.len() - 1)];
        if took.is_empty() {
            eprintln!("the engine at {} does not answer", flags.engine);
            return;
        }
        let tokens = in_flight * (flags.new_tokens + 2);
        println!("| {in_flight} | {tokens} | {} | {} |", share(50), share(99));
        let first = *at_rest.get_or_insert(share(99).max(1));
        if share(99) as f64 <= first as f64 * KNEE_FACTOR {
            knee = tokens;
        }
        in_flight = (in_flight * 3).div_ceil(2);
    }
    println!();
    println!("knee: {knee} tokens; 80 %: {}; 85 %: {}", knee * 80 / 100, knee * 85 / 100);
}

async fn step(flags: &Knee, in_flight: u64) -> Vec<u64> {
    let mut tasks = tokio::task::JoinSet::new();
    for lane in 0..in_flight {
        let (engine, rounds, new_tokens) = (flags.engine, flags.rounds, flags.new_tokens);
        tasks.spawn(async move {
            let mut took = Vec::new();
            for round in 0..rounds {
                let body = serde_json::json!({
                    "inputs": format!("{lane} {round}"),
                    "parameters": { "max_new_tokens": new_tokens },
                });
                let begun = std::time::Instant::now();
                let limit = std::time::Duration::from_secs(60);
                let post = hyper::Method::POST;
                let body = body.to_string().into();
                let answer = topazyard_wire::http::outbound::exchange(
                    engine,
                    post,
                    "/generate",
                    body,
                    limit,
                );
                if matches!(answer.await, Ok((200, _))) {
                    took.push(begun.elapsed().as_millis() as u64);
                }
            }
            took
        });
    }
    let mut took: Vec<u64> = tasks.join_all().await.into_iter().flatten().collect();
    took.sort_unstable();
    took
}
