//! The rows of a parcel shard.

use super::{ItemState, ParcelRow};
use topazyard_types::ItemNumber;
use topazyard_wire::RowChange;
use topazyard_wire::message::parcel::{Item, ItemReturn};

const PARCELS: &str = "parcel/";

fn item_key(number: u64, item: ItemNumber) -> String {
    format!("item/{number:016x}/{:08}", item.0)
}

fn state_key(number: u64, item: ItemNumber) -> String {
    format!("state/{number:016x}/{:08}", item.0)
}

fn return_key(number: u64, position: u32) -> String {
    format!("return/{number:016x}/{position:08}")
}

fn parcel_key(number: u64) -> String {
    format!("{PARCELS}{number:016x}")
}

pub(super) fn parcel(number: u64, row: &ParcelRow) -> RowChange {
    RowChange::put(parcel_key(number), row)
}

pub(super) fn item(number: u64, item: ItemNumber, value: &Item) -> RowChange {
    RowChange::put(item_key(number, item), value)
}

pub(super) fn state(number: u64, item: ItemNumber, value: &ItemState) -> RowChange {
    RowChange::put(state_key(number, item), value)
}

pub(super) fn item_return(number: u64, value: &ItemReturn) -> RowChange {
    RowChange::put(return_key(number, value.position), value)
}

/// Whether a row is of that parcel.
pub(crate) fn is_of(key: &str, number: u64) -> bool {
    key.split('/').nth(1).and_then(|hex| u64::from_str_radix(hex, 16).ok()) == Some(number)
}

/// Takes every row of a parcel away.
pub(super) fn all_gone(number: u64, items: u32) -> Vec<RowChange> {
    let of_items = (0..items).map(ItemNumber).flat_map(|item| {
        let keys =
            [item_key(number, item), state_key(number, item), return_key(number, item.0 + 1)];
        keys.map(RowChange::gone)
    });
    of_items.chain([RowChange::gone(parcel_key(number))]).collect()
}

pub(super) fn parcels(
    copy: &topazyard_replication::Copy,
) -> impl Iterator<Item = (u64, ParcelRow)> {
    copy.with_prefix(PARCELS).filter_map(|(key, value)| {
        let number = u64::from_str_radix(key.strip_prefix(PARCELS)?, 16).ok()?;
        Some((number, topazyard_wire::rows::decode(value)?))
    })
}

pub(super) fn parcel_of(copy: &topazyard_replication::Copy, number: u64) -> Option<ParcelRow> {
    copy.get(&parcel_key(number))
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

pub(super) fn return_of(
    copy: &topazyard_replication::Copy,
    number: u64,
    position: u32,
) -> Option<ItemReturn> {
    copy.get(&return_key(number, position))
}
