//! Metrics of a storage node.

use crate::machine::{StorageCall, StorageHealth, StorageMachine};
use topazyard_types::ShardId;
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

/// The values of shards, labelled by their numbers.
fn by_shard(
    values: &std::collections::BTreeMap<ShardId, u64>,
) -> impl Iterator<Item = (String, u64)> {
    values.iter().map(|(shard, value)| (shard.0.to_string(), *value))
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
        let help = "Size of the hosted copy of each shard";
        to.gauges("storage_copy_bytes", help, "shard", by_shard(&health.copy_bytes))?;
        let help = "Whole copies of each shard of which this node is the primary";
        to.gauges("storage_whole_copies", help, "shard", by_shard(&health.whole_copies))?;
        let help = "Bytes that the followers of each such shard still miss";
        let left = by_shard(&health.refill_bytes_left);
        to.gauges("storage_refill_bytes_left", help, "shard", left)?;
        let refills = &health.refills;
        to.counter("storage_refills_started", "Refills of a copy begun", refills.started)?;
        let help = "Times that a refill made no progress and was continued";
        to.counter("storage_refills_stalled", help, refills.stalled)?;
        to.counter("storage_refills_completed", "Refills completed", refills.completed)?;
        let help = "Bytes of the completed refills";
        to.counter("storage_refilled_bytes", help, refills.completed_bytes)?;
        let help = "Milliseconds that the completed refills took in all";
        to.counter("storage_refill_ms", help, refills.completed_ms)?;
        let help = "Calls that wait for a commit";
        to.gauge("storage_calls_waiting", help, health.calls_waiting as u64)?;
        let disk = u64::from(health.disk == DiskState::Healthy);
        to.gauge("storage_disk_healthy", "Whether the disk takes writes in time", disk)?;
        let wait_s = health.write_wait_ms as f64 / 1_000.0;
        to.fraction("storage_write_wait_seconds", "Age of the oldest write not yet synced", wait_s)
    }
}
