//! The counter's rows, which are replicated to its backups.

use super::Report;
use topazyard_types::{HoldId, NodeId, ShardId};
use topazyard_wire::RowChange;
use topazyard_wire::message::counter::Hold;

const HOLDS: &str = "hold/";
const REPORTS: &str = "report/";

fn hold_key(relay: NodeId, id: HoldId) -> String {
    format!("{HOLDS}{:020}/{:020}", relay.0, id.0)
}

pub(super) fn hold(relay: NodeId, hold: &Hold) -> RowChange {
    RowChange::put(hold_key(relay, hold.id), &(relay, hold))
}

pub(super) fn delete_hold(relay: NodeId, id: HoldId) -> RowChange {
    RowChange::delete(hold_key(relay, id))
}

pub(super) fn report(shard: ShardId, report: &Report) -> RowChange {
    RowChange::put(format!("{REPORTS}{:05}", shard.0), &(shard, report))
}

pub(super) fn holds(copy: &topazyard_replication::Copy) -> impl Iterator<Item = (NodeId, Hold)> {
    copy.with_prefix(HOLDS).filter_map(|(_, value)| topazyard_wire::rows::decode(value))
}

pub(super) fn reports(
    copy: &topazyard_replication::Copy,
) -> impl Iterator<Item = (ShardId, Report)> {
    copy.with_prefix(REPORTS).filter_map(|(_, value)| topazyard_wire::rows::decode(value))
}
