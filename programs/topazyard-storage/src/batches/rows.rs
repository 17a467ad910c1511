//! The rows of a batch shard.

use super::{BatchRow, ItemState};
use topazyard_types::ItemNumber;
use topazyard_wire::RowChange;
use topazyard_wire::message::batch::{Item, ItemResult};

/// Key prefix of batch rows; unchanged from older releases, so that their disks stay readable.
const BATCHES: &str = "parcel/";

fn item_key(number: u64, item: ItemNumber) -> String {
    format!("item/{number:016x}/{:08}", item.0)
}

fn state_key(number: u64, item: ItemNumber) -> String {
    format!("state/{number:016x}/{:08}", item.0)
}

fn result_key(number: u64, position: u32) -> String {
    format!("return/{number:016x}/{position:08}")
}

fn batch_key(number: u64) -> String {
    format!("{BATCHES}{number:016x}")
}

pub(super) fn batch(number: u64, row: &BatchRow) -> RowChange {
    RowChange::put(batch_key(number), row)
}

pub(super) fn item(number: u64, item: ItemNumber, value: &Item) -> RowChange {
    RowChange::put(item_key(number, item), value)
}

pub(super) fn state(number: u64, item: ItemNumber, value: &ItemState) -> RowChange {
    RowChange::put(state_key(number, item), value)
}

pub(super) fn item_result(number: u64, value: &ItemResult) -> RowChange {
    RowChange::put(result_key(number, value.position), value)
}

/// Whether a row belongs to the batch.
pub(crate) fn belongs_to_batch(key: &str, number: u64) -> bool {
    key.split('/').nth(1).and_then(|hex| u64::from_str_radix(hex, 16).ok()) == Some(number)
}

/// Deletes all rows of a batch.
pub(super) fn delete_all(number: u64, items: u32) -> Vec<RowChange> {
    let of_items = (0..items).map(ItemNumber).flat_map(|item| {
        let keys =
            [item_key(number, item), state_key(number, item), result_key(number, item.0 + 1)];
        keys.map(RowChange::delete)
    });
    of_items.chain([RowChange::delete(batch_key(number))]).collect()
}

pub(super) fn batches(copy: &topazyard_replication::Copy) -> impl Iterator<Item = (u64, BatchRow)> {
    copy.with_prefix(BATCHES).filter_map(|(key, value)| {
        let number = u64::from_str_radix(key.strip_prefix(BATCHES)?, 16).ok()?;
        Some((number, topazyard_wire::rows::decode(value)?))
    })
}

pub(super) fn batch_of(copy: &topazyard_replication::Copy, number: u64) -> Option<BatchRow> {
    copy.get(&batch_key(number))
}

pub(super) fn item_of(
    copy: &topazyard_replication::Copy,
    number: u64,
    item: ItemNumber,
) -> Option<Item> {
    copy.get(&item_key(number, item))
}

pub(super) fn state_of(
    copy: &topazyard_replication::Copy,
    number: u64,
    item: ItemNumber,
) -> Option<ItemState> {
    copy.get(&state_key(number, item))
}

pub(super) fn result_of(
    copy: &topazyard_replication::Copy,
    number: u64,
    position: u32,
) -> Option<ItemResult> {
    copy.get(&result_key(number, position))
}
