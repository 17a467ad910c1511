//! Runs the storage node: its machine, its links and its HTTP endpoint.

use topazyard_wire::driver::{StartError, start_with_disk};
use topazyard_wire::http::inbound::{self, ServerOptions};
use topazyard_wire::http::server_limits::Callers;
use topazyard_wire::message::membership::MemberRole;

/// Runs the program with the given settings until it terminates.
///
/// # Errors
/// A setting is missing, an address is in use, or the disk can't be used.
pub fn run(settings: topazyard_spec::NodeSettings) -> Result<(), StartError> {
    let resources = settings.resources.clone();
    topazyard_wire::driver::run_process(&resources, async move {
        let (start, place, disk) = start_with_disk(&settings, MemberRole::Storage).await?;
        let (tasks, _no_tasks) = tokio::sync::mpsc::channel(1);
        let new_machine = |_| (crate::StorageMachine::new(start), Vec::new());
        let handle = topazyard_wire::driver::spawn_at(
            settings.listen_address(),
            new_machine,
            place,
            Some(disk),
            tasks,
        )?;
        crate::metrics::serve(settings.metrics, &handle).await;
        let health_handle = handle.clone();
        if let Some(http) = settings.http {
            let listener = inbound::bind(http).await?;
            let respond = move |request| handle_request(health_handle.clone(), request);
            let options = ServerOptions::of(Callers::Probes);
            tokio::spawn(inbound::serve_with(listener, respond, options));
        }
        let shutdown_handle = handle.clone();
        let settings_updates = topazyard_wire::driver::follow_settings(settings, |settings| {
            handle.notify(crate::machine::StorageCall::Seeds(settings.seeds));
        });
        tokio::select! {
            biased;
            () = topazyard_wire::driver::terminated() => log_shutdown(&shutdown_handle).await,
            () = settings_updates => {}
        }
        Ok(())
    })
}

/// How long a terminating process waits for its machine's health.
const HEALTH_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(50);

/// Logs the state at shutdown: the shards that other nodes must take over, and the calls that are
/// left without a response.
async fn log_shutdown(handle: &topazyard_wire::driver::Handle<crate::StorageMachine>) {
    let health = handle.call(crate::StorageCall::Health);
    let Ok(Ok(health)) = tokio::time::timeout(HEALTH_TIMEOUT, health).await else {
        return spdlog::warn!(
            "SIGTERM: shutting down at once; the machine did not report its health in time"
        );
    };
    let shards_led: Vec<String> = health.serving.iter().map(|shard| shard.0.to_string()).collect();
    spdlog::info!(
        "SIGTERM: shutting down at once; shards_led={} shards_hosted={} calls_given_up={} \
         items_open={} write_wait_ms={}",
        shards_led.join(","),
        health.hosting.len(),
        health.calls_waiting,
        health.items_open,
        health.write_wait_ms,
    );
}

/// Serves this node's health at `GET /health`.
async fn handle_request(
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
