//! The metrics of a storage node.

use topazyard_storage::metrics::StorageMetrics;
use topazyard_storage::{RefillCounts, StorageHealth};
use topazyard_types::{Epoch, NodeId, ShardId};
use topazyard_wire::disk::DiskState;

#[test]
fn metrics_include_shards_and_batches() {
    let health = StorageHealth {
        node: NodeId(4),
        serving: vec![ShardId(1)],
        hosting: vec![ShardId(0), ShardId(1)],
        disk: DiskState::Full,
        write_wait_ms: 250,
        holds: None,
        epochs: [(ShardId(0), Epoch(6)), (ShardId(1), Epoch(9))].into(),
        stopped: 1,
        batches_acknowledged: 12,
        batches_kept: 3,
        items_open: 40,
        calls_waiting: 2,
        copy_bytes: [(ShardId(0), 70), (ShardId(1), 13_000)].into(),
        whole_copies: [(ShardId(1), 2)].into(),
        refill_bytes_left: [(ShardId(1), 500)].into(),
        refills: RefillCounts {
            started: 5,
            stalled: 1,
            completed: 4,
            completed_bytes: 52_000,
            completed_ms: 900,
        },
    };
    let text = topazyard_wire::metrics::text(Some(StorageMetrics(health))).unwrap();
    for sample in [
        "storage_shards_led 1",
        "storage_shards_hosted 2",
        "storage_shards_stopped 1",
        "storage_shard_epoch{shard=\"0\"} 6",
        "storage_shard_epoch{shard=\"1\"} 9",
        "storage_batches_acknowledged_total 12",
        "storage_batches_kept 3",
        "storage_items_open 40",
        "storage_calls_waiting 2",
        "storage_copy_bytes{shard=\"1\"} 13000",
        "storage_whole_copies{shard=\"1\"} 2",
        "storage_refill_bytes_left{shard=\"1\"} 500",
        "storage_refills_started_total 5",
        "storage_refills_stalled_total 1",
        "storage_refills_completed_total 4",
        "storage_refilled_bytes_total 52000",
        "storage_refill_ms_total 900",
        "storage_disk_healthy 0",
        "storage_write_wait_seconds 0.25",
    ] {
        let sample = format!("topazyard_{sample}");
        assert!(text.lines().any(|line| line == sample), "{sample} is missing in\n{text}");
    }
}
