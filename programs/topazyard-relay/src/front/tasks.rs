//! Tasks that the state machine starts: item runs, connection probes and health checks.

use super::Handle;
use super::engine::std_duration;
use crate::machine::{EngineOutcome, RelayCall, RelayResponse, RelayTask, Target};
use topazyard_wire::message::batch::{Run, RunEnd};

/// Maximum size of an item's result.
const MAX_RESULT_BYTES: usize = 4 * 1024 * 1024;

/// Starts tasks as the machine requests them, until it ends.
pub async fn run(
    handle: Handle,
    mut tasks: tokio::sync::mpsc::Receiver<RelayTask>,
    adapter: Option<super::routed::SharedAdapter>,
    client_limits: tokio::sync::watch::Sender<topazyard_spec::ClientLimits>,
) {
    let (abort, abort_signal) = tokio::sync::watch::channel(false);
    while let Some(task) = tasks.recv().await {
        let handle = handle.clone();
        match task {
            RelayTask::RunItem { run, target, body } => {
                tokio::spawn(async move {
                    let end = run_item(&handle, run, &target, body).await;
                    handle.notify(RelayCall::ItemEnded(run, end));
                });
            }
            RelayTask::RunRoutedItem(run) => {
                let adapter = adapter.clone();
                let abort_signal = abort_signal.clone();
                tokio::spawn(async move {
                    let (end, engine_outcome) = match &adapter {
                        Some(adapter) => {
                            super::items::run_routed_item(&handle, &run, &**adapter, abort_signal)
                                .await
                        }
                        None => (RunEnd::NotRun, EngineOutcome::NotSent),
                    };
                    handle.notify(RelayCall::RoutedItemEnded(run.run, end, engine_outcome));
                });
            }
            RelayTask::LimitClients(limits) => drop(client_limits.send_replace(limits)),
            RelayTask::AbortRoutedRuns => drop(abort.send_replace(true)),
            RelayTask::ProbeConnection(target) => {
                tokio::spawn(async move {
                    let is_reachable = super::connections::probe(&target).await;
                    handle.notify(RelayCall::ConnectionProbed(target.engine, is_reachable));
                });
            }
            RelayTask::CheckHealth(target) => {
                tokio::spawn(async move {
                    let is_healthy = super::engine::is_healthy(target.address).await;
                    handle.notify(RelayCall::HealthChecked(target.engine, is_healthy));
                });
            }
        }
    }
}

async fn run_item(handle: &Handle, run: Run, target: &Target, body: bytes::Bytes) -> RunEnd {
    let timeout = super::engine::CONNECT_TIMEOUT;
    let Ok(connection) = super::engine::connect(target.address, timeout).await else {
        return RunEnd::NotRun;
    };
    let Ok(request) = super::engine::request(target.address, "/generate", body) else {
        return RunEnd::NotRun;
    };
    match handle.call(RelayCall::DispatchItem(run, target.engine.clone())).await {
        Ok(RelayResponse::SendBefore(send_before)) if handle.clock().now() < send_before => {}
        _ => return RunEnd::NotRun,
    }
    let exchange = async {
        let response = connection.send(request).await.ok()?;
        if !super::engine::is_delimited(response.headers()) {
            return None;
        }
        let status = response.status().as_u16();
        let body = response.into_body();
        let body =
            topazyard_wire::http::body::collect_response(body, MAX_RESULT_BYTES).await.ok()?;
        Some(RunEnd::Complete { status, body })
    };
    let outcome =
        tokio::time::timeout(std_duration(crate::machine::items::RUN_TIMEOUT), exchange).await;
    outcome.ok().flatten().unwrap_or(RunEnd::Unknown)
}
