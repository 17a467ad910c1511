//! What engines say of their own load, in the published text-generation `/metrics` form. Nothing
//! else here knows it.

use crate::tuner::EngineLoad;

const LIMIT: std::time::Duration = std::time::Duration::from_millis(800);

/// The requests that wait inside an engine, by its metrics.
///
/// ```
/// let text = "# TYPE tgi_queue_size gauge\ntgi_queue_size 3\n";
/// assert_eq!(topazyard_control::engine_load::queued(text), Some(3));
/// ```
pub fn queued(metrics: &str) -> Option<u64> {
    let value = metrics.lines().find_map(|line| line.strip_prefix("tgi_queue_size "))?;
    let value: f64 = value.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value as u64)
}

/// Asks engines for their load; those that don't answer in time are left out.
pub async fn ask(engines: &[topazyard_spec::Engine]) -> Vec<EngineLoad> {
    let mut asked = tokio::task::JoinSet::new();
    for engine in engines {
        let (name, address) = (engine.name.clone(), engine.address);
        asked.spawn(async move {
            let get = hyper::Method::GET;
            let empty = bytes::Bytes::new();
            let answer =
                topazyard_wire::http::outbound::exchange(address, get, "/metrics", empty, LIMIT);
            let (_, body) = answer.await.ok()?;
            let queued = queued(std::str::from_utf8(&body).ok()?)?;
            Some(EngineLoad { engine: name, queued })
        });
    }
    asked.join_all().await.into_iter().flatten().collect()
}
