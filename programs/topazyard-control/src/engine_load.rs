//! Reads the load of engines from their `/metrics`, in the published text-generation format. No
//! other module depends on that format.

use crate::tuner::EngineLoad;

const REQUEST_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(800);

/// The number of requests queued inside an engine, from its metrics.
///
/// ```
/// let text = "# TYPE tgi_queue_size gauge\ntgi_queue_size 3\n";
/// assert_eq!(topazyard_control::engine_load::parse_queued(text), Some(3));
/// ```
pub fn parse_queued(metrics: &str) -> Option<u64> {
    let value = metrics.lines().find_map(|line| line.strip_prefix("tgi_queue_size "))?;
    let value: f64 = value.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value as u64)
}

/// Fetches the load of engines. Engines that don't respond in time are left out.
pub async fn fetch(engines: &[topazyard_spec::Engine]) -> Vec<EngineLoad> {
    let mut requests = tokio::task::JoinSet::new();
    for engine in engines {
        let (name, address) = (engine.name.clone(), engine.address);
        requests.spawn(async move {
            let get = hyper::Method::GET;
            let empty = bytes::Bytes::new();
            let response = topazyard_wire::http::outbound::exchange(
                address,
                get,
                "/metrics",
                empty,
                REQUEST_TIMEOUT,
            );
            let (_, body) = response.await.ok()?;
            let queued = parse_queued(std::str::from_utf8(&body).ok()?)?;
            Some(EngineLoad { engine: name, queued })
        });
    }
    requests.join_all().await.into_iter().flatten().collect()
}
