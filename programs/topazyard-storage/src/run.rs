//! The program as a whole: its machine, its links and its HTTP.

use topazyard_wire::driver::{StartError, start_with_disk};
use topazyard_wire::message::membership::MemberRole;

/// Runs the program on its settings until it ends.
///
/// # Errors
/// A setting that is missing, an address that is taken, or a disk that can't be used.
pub fn run(settings: topazyard_spec::NodeSettings) -> Result<(), StartError> {
    topazyard_wire::driver::run_process(async move {
        let (start, place, disk) = start_with_disk(&settings, MemberRole::Storage).await?;
        let (tasks, _no_tasks) = tokio::sync::mpsc::channel(1);
        let make = |_| (crate::StorageMachine::new(start), Vec::new());
        let handle = topazyard_wire::driver::spawn_at(
            settings.listen_address(),
            make,
            place,
            Some(disk),
            tasks,
        )?;
        crate::metrics::serve(settings.metrics, &handle).await;
        let health = handle.clone();
        if let Some(http) = settings.http {
            let listener = topazyard_wire::http::inbound::bind(http).await?;
            tokio::spawn(topazyard_wire::http::inbound::serve(listener, move |request| {
                answer(health.clone(), request)
            }));
        }
        let ending = handle.clone();
        let follow = topazyard_wire::driver::follow_settings(settings, |told| {
            handle.notify(crate::machine::StorageCall::Seeds(told.seeds));
        });
        tokio::select! {
            biased;
            () = topazyard_wire::driver::terminated() => log_end(&ending).await,
            () = follow => {}
        }
        Ok(())
    })
}

/// How long a process that ends waits to hear how its machine stands.
const HEALTH_LIMIT: std::time::Duration = std::time::Duration::from_millis(50);

/// Logs what is under way when the process ends: the shards that others must take over, and the
/// calls whose callers are told nothing.
async fn log_end(handle: &topazyard_wire::driver::Handle<crate::StorageMachine>) {
    let health = handle.call(crate::StorageCall::Health);
    let Ok(Ok(health)) = tokio::time::timeout(HEALTH_LIMIT, health).await else {
        return spdlog::warn!("SIGTERM: the machine did not say how it stands; ends at once");
    };
    let led: Vec<String> = health.serving.iter().map(|shard| shard.0.to_string()).collect();
    spdlog::info!(
        "SIGTERM: ends at once; shards_led={} shards_hosted={} calls_given_up={} \
         items_open={} write_wait_ms={}",
        led.join(","),
        health.hosting.len(),
        health.calls_waiting,
        health.items_open,
        health.write_wait_ms,
    );
}

/// Says how this node fares, at `GET /health`.
async fn answer(
    handle: topazyard_wire::driver::Handle<crate::StorageMachine>,
    request: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<topazyard_wire::http::Body> {
    use topazyard_wire::api::{ApiError, Code};
    if request.uri().path() != "/health" {
        let error = ApiError::not_run(Code::NoSuchPath).at(request.uri().path());
        return topazyard_wire::http::error(&error);
    }
    match handle.call(crate::machine::StorageCall::Health).await {
        Ok(health) => topazyard_wire::http::json(200, &health),
        Err(_) => topazyard_wire::http::error(&ApiError::not_run(Code::NoShard)),
    }
}
