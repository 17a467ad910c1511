//! Metrics of a storage node.

use crate::machine::{StorageCall, StorageHealth, StorageMachine};
use topazyard_wire::disk::DiskState;
use topazyard_wire::driver::Handle;
use topazyard_wire::metrics::{MetricSource, Writer};

/// A snapshot of a storage node's metrics.
#[derive(Debug)]
pub struct StorageMetrics(pub StorageHealth);

/// Serves the metrics, if the settings name an address.
pub(crate) async fn serve(address: Option<std::net::SocketAddr>, handle: &Handle<StorageMachine>) {
    let handle = handle.clone();
    let fetch = move || fetch(handle.clone());
    topazyard_wire::metrics::serve(address, fetch).await;
}

async fn fetch(handle: Handle<StorageMachine>) -> Option<StorageMetrics> {
    handle.call(StorageCall::Health).await.ok().map(StorageMetrics)
}

impl MetricSource for StorageMetrics {
    fn write(&self, to: &mut Writer<'_>) -> std::fmt::Result {
        let health = &self.0;
        let led = health.serving.len() as u64;
        to.gauge("storage_shards_led", "Shards served as their primary", led)?;
        let hosted = health.hosting.len() as u64;
        to.gauge("storage_shards_hosted", "Shards of which a copy is hosted", hosted)?;
        let help = "Shards in which nothing is answered until their record changes";
        to.gauge("storage_shards_stopped", help, health.stopped as u64)?;
        let epochs = health.epochs.iter().map(|(shard, epoch)| (shard.0.to_string(), epoch.0));
        to.gauges("storage_shard_epoch", "Epoch of each hosted shard", "shard", epochs)?;
        let help = "RoutedBatches whose acceptance was acknowledged, repeats among them";
        to.counter("storage_batches_acknowledged", help, health.batches_acknowledged)?;
        let help = "RoutedBatches that the led shards keep, finished ones among them";
        to.gauge("storage_batches_kept", help, health.batches_kept as u64)?;
        let help = "Items without a result in the batches kept";
        to.gauge("storage_items_open", help, health.items_open as u64)?;
        let help = "Calls that wait for a commit";
        to.gauge("storage_calls_waiting", help, health.calls_waiting as u64)?;
        let disk = u64::from(health.disk == DiskState::Healthy);
        to.gauge("storage_disk_healthy", "Whether the disk takes writes in time", disk)?;
        let wait_s = health.write_wait_ms as f64 / 1_000.0;
        to.fraction("storage_write_wait_seconds", "Age of the oldest write not yet synced", wait_s)
    }
}
