//! What a control node tells of itself to whoever fetches its metrics.

use crate::external::Handle;
use crate::machine::{ControlCall, ControlHealth};
use topazyard_wire::disk::DiskState;
use topazyard_wire::message::operate::OperatorOutcome;
use topazyard_wire::metrics::{MetricSource, Writer};

/// A control node's figures at one moment.
#[derive(Debug)]
pub struct ControlFigures(pub ControlHealth);

/// Serves them, if the settings say where.
pub(crate) async fn serve(address: Option<std::net::SocketAddr>, handle: &Handle) {
    let handle = handle.clone();
    let fetch = move || fetch(handle.clone());
    topazyard_wire::metrics::serve(address, fetch).await;
}

async fn fetch(handle: Handle) -> Option<ControlFigures> {
    health(&handle).await.map(ControlFigures)
}

/// How the node fares, unless its machine has ended.
pub(crate) async fn health(handle: &Handle) -> Option<ControlHealth> {
    match handle.call(ControlCall::Health).await {
        Ok(OperatorOutcome::Done(text)) => serde_json::from_str(&text).ok(),
        _ => None,
    }
}

impl MetricSource for ControlFigures {
    fn write(&self, to: &mut Writer<'_>) -> std::fmt::Result {
        let health = &self.0;
        let serving = u64::from(health.serving);
        to.gauge("control_primary", "Whether this node serves as the primary", serving)?;
        let epoch = health.epoch.map_or(0, |epoch| epoch.0);
        to.gauge("control_epoch", "Newest epoch known, 0 before the first", epoch)?;
        let help = "Configurations acknowledged as primary, repeats among them";
        to.counter(
            "control_configurations_acknowledged",
            help,
            health.configurations_acknowledged,
        )?;
        let help = "Configurations refused as primary";
        to.counter("control_configurations_refused", help, health.configurations_refused)?;
        let help = "Orders that wait here or were passed on";
        to.gauge("control_orders_waiting", help, health.orders_waiting as u64)?;
        let disk = u64::from(health.disk == DiskState::Healthy);
        to.gauge("control_disk_healthy", "Whether the disk takes writes in time", disk)?;
        let wait_s = health.write_wait_ms.0 as f64 / 1_000.0;
        to.fraction("control_write_wait_seconds", "Age of the oldest write not yet synced", wait_s)
    }
}
