//! The rows of batches of routed items. An item's row is deleted once the item has its result or
//! its batch has ended, so every item row stands for a waiting item.

use super::RoutedBatchRow;
use topazyard_types::ItemNumber;
use topazyard_wire::RowChange;
use topazyard_wire::message::batch::{Item, ItemResult};

const ROUTED_BATCHES: &str = "batch/";

fn item_key(number: u64, item: ItemNumber) -> String {
    format!("work/{number:016x}/{:04}", item.0)
}

fn result_key(number: u64, position: u32) -> String {
    format!("result/{number:016x}/{position:04}")
}

fn batch_key(number: u64) -> String {
    format!("{ROUTED_BATCHES}{number:016x}")
}

pub(super) fn batch(number: u64, row: &RoutedBatchRow) -> RowChange {
    RowChange::put(batch_key(number), row)
}

pub(super) fn item(number: u64, item: ItemNumber, value: &Item) -> RowChange {
    RowChange::put(item_key(number, item), value)
}

pub(super) fn delete_item(number: u64, item: ItemNumber) -> RowChange {
    RowChange::delete(item_key(number, item))
}

pub(super) fn result(number: u64, value: &ItemResult) -> RowChange {
    RowChange::put(result_key(number, value.position), value)
}

/// Deletes all rows of a batch that has ended or has all its results.
pub(super) fn delete_all(number: u64, result_count: u32) -> Vec<RowChange> {
    let results =
        (1..=result_count).map(|position| RowChange::delete(result_key(number, position)));
    results.chain([RowChange::delete(batch_key(number))]).collect()
}

pub(super) fn batches(
    copy: &topazyard_replication::Copy,
) -> impl Iterator<Item = (u64, RoutedBatchRow)> {
    copy.with_prefix(ROUTED_BATCHES).filter_map(|(key, value)| {
        let number = u64::from_str_radix(key.strip_prefix(ROUTED_BATCHES)?, 16).ok()?;
        Some((number, topazyard_wire::rows::decode(value)?))
    })
}

pub(super) fn batch_of(copy: &topazyard_replication::Copy, number: u64) -> Option<RoutedBatchRow> {
    copy.get(&batch_key(number))
}

pub(super) fn item_of(
    copy: &topazyard_replication::Copy,
    number: u64,
    item: ItemNumber,
) -> Option<Item> {
    copy.get(&item_key(number, item))
}

pub(super) fn result_of(
    copy: &topazyard_replication::Copy,
    number: u64,
    position: u32,
) -> Option<ItemResult> {
    copy.get(&result_key(number, position))
}
