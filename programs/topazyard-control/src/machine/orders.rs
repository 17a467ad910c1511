//! The record of accepted orders, bounded by size.
//!
//! An accepted order must be acknowledged when it is sent again, however many came after it. A
//! digest is kept of each order, and the full texts of the newest. Beyond the bound the oldest
//! digests are forgotten: an order as old as these may have been accepted, and is neither
//! acknowledged nor refused.

use super::ControlMachine;
use topazyard_types::{ConfigurationVersion, Digest};
use topazyard_wire::RowChange;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::state::{
    AcceptedOrder, CONFIGURATIONS, IN_FORCE, InForceRow, ORDERS, ORDERS_FORGOTTEN, ORDERS_IN_ROW,
    OrdersRow, configuration_key, orders_key,
};

/// How many full texts are kept. Older ones can't be read or signed.
const MAX_TEXTS: usize = 64;
/// Maximum size of the digests in a process without resource limits. One takes 23 bytes at most.
const MAX_DIGEST_BYTES: u64 = 16 * 1024 * 1024;
/// The digests may use this fraction (1/n) of the memory, and of the disk.
const DIGEST_DIVISOR: u64 = 64;
/// Maximum size of the full texts in a process without resource limits. On disk one byte of text
/// takes 2.2 bytes of database pages.
const MAX_TEXT_BYTES: u64 = 64 * 1024 * 1024;
/// The full texts may use this fraction (1/n) of the memory, and of the disk.
const TEXT_DIVISOR: u64 = 8;

/// How many bytes of rows may be used to remember orders.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OrderBounds {
    digest_bytes: u64,
    text_bytes: u64,
}

impl OrderBounds {
    /// The bounds for a process with these resources.
    pub(super) fn from_resources(resources: &topazyard_spec::Resources) -> Self {
        let limits = [resources.memory_bytes, resources.disk_bytes];
        let bound = |max: u64, divisor: u64| {
            let limited = limits.iter().filter(|limit| **limit > 0).map(|limit| limit / divisor);
            limited.min().map_or(max, |limit| limit.min(max))
        };
        Self {
            digest_bytes: bound(MAX_DIGEST_BYTES, DIGEST_DIVISOR),
            text_bytes: bound(MAX_TEXT_BYTES, TEXT_DIVISOR),
        }
    }
}

/// What is known about a received order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderStatus {
    /// It was accepted.
    Accepted,
    /// It was not accepted.
    NotAccepted,
    /// It is as old as orders that were forgotten.
    Forgotten,
}

/// The error for an order whose outcome is not known.
pub(super) fn outcome_unknown() -> ApiError {
    ApiError::may_have_run(Code::OutcomeUnknown)
}

fn row_bytes(key: &str, value: &[u8]) -> u64 {
    (key.len() + value.len()) as u64
}

impl ControlMachine {
    /// What is known about an order that would create, or has created, a version.
    pub(super) fn order_status(
        &self,
        version: ConfigurationVersion,
        digest: Digest,
    ) -> OrderStatus {
        match self.remembered_digest(version) {
            Some(accepted) if accepted == digest => OrderStatus::Accepted,
            Some(_) => OrderStatus::NotAccepted,
            None if version <= self.forgotten_up_to() => OrderStatus::Forgotten,
            None => OrderStatus::NotAccepted,
        }
    }

    /// Whether an order may have created that version, as far as is known.
    pub(super) fn may_be_accepted(&self, version: ConfigurationVersion) -> bool {
        version <= self.forgotten_up_to() || self.remembered_digest(version).is_some()
    }

    fn remembered_digest(&self, version: ConfigurationVersion) -> Option<Digest> {
        let rows = self.replica.copy().rows();
        let mut up_to = rows.range(ORDERS.to_owned()..=orders_key(version));
        let row: OrdersRow = topazyard_wire::rows::decode(up_to.next_back()?.1)?;
        let order = row.orders.iter().find(|order| order.version == version);
        order.map(|order| order.digest)
    }

    fn forgotten_up_to(&self) -> ConfigurationVersion {
        let copy = self.replica.copy();
        if copy.with_prefix(ORDERS).next().is_none() {
            // Everything accepted so far was accepted by a release that kept no digests.
            return self.newest_version();
        }
        copy.get(ORDERS_FORGOTTEN).unwrap_or_default()
    }

    /// The changes that remember an order accepted now under the newest version.
    pub(super) fn remember_order(
        &self,
        version: ConfigurationVersion,
        digest: Digest,
    ) -> Vec<RowChange> {
        let last = self.replica.copy().with_prefix(ORDERS).last();
        let is_first = last.is_none();
        let last = last.and_then(|(key, value)| {
            let row: OrdersRow = topazyard_wire::rows::decode(value)?;
            (row.orders.len() < ORDERS_IN_ROW).then(|| (key.to_owned(), row))
        });
        let (key, mut row) = last.unwrap_or_else(|| (orders_key(version), OrdersRow::default()));
        row.orders.push(AcceptedOrder { version, digest });
        let change = RowChange::put(key, &row);
        let mut changes = self.forget_oldest(&change);
        changes.push(change);
        if is_first {
            changes.push(RowChange::put(ORDERS_FORGOTTEN, &self.forgotten_up_to()));
        }
        changes
    }

    /// The changes that forget the oldest digests beyond the bound. The row being written is kept.
    fn forget_oldest(&self, written: &RowChange) -> Vec<RowChange> {
        let value = written.value.as_deref().unwrap_or_default();
        let others = || {
            let rows = self.replica.copy().with_prefix(ORDERS);
            rows.filter(|(key, _)| *key != written.key)
        };
        let mut bytes = row_bytes(&written.key, value)
            + others().map(|(key, value)| row_bytes(key, value)).sum::<u64>();
        let mut changes = Vec::new();
        let mut forgotten = None;
        for (key, value) in others() {
            if bytes <= self.order_bounds.digest_bytes {
                break;
            }
            bytes -= row_bytes(key, value);
            changes.push(RowChange::delete(key));
            let row = topazyard_wire::rows::decode::<OrdersRow>(value).unwrap_or_default();
            forgotten = row.orders.last().map(|order| order.version).or(forgotten);
        }
        changes.extend(forgotten.map(|version| RowChange::put(ORDERS_FORGOTTEN, &version)));
        changes
    }

    /// The changes that drop the oldest full texts beyond the bounds. The text being written and
    /// that of the version in force are kept.
    pub(super) fn drop_old_texts(
        &self,
        written: &RowChange,
        in_force: ConfigurationVersion,
    ) -> Vec<RowChange> {
        let value = written.value.as_deref().unwrap_or_default();
        let kept = [written.key.clone(), configuration_key(in_force)];
        let others = || {
            let rows = self.replica.copy().with_prefix(CONFIGURATIONS);
            rows.filter(|(key, _)| *key != written.key)
        };
        let mut count = 1 + others().count();
        let mut bytes = row_bytes(&written.key, value)
            + others().map(|(key, value)| row_bytes(key, value)).sum::<u64>();
        let newest = others().last().map(|(key, _)| key);
        let mut changes = Vec::new();
        for (key, value) in others() {
            if count <= MAX_TEXTS && bytes <= self.order_bounds.text_bytes {
                break;
            }
            // The newest text is kept, since the next version number follows from it.
            let is_newest = newest == Some(key) && key > written.key.as_str();
            if is_newest || kept.iter().any(|kept| kept == key) {
                continue;
            }
            count -= 1;
            bytes -= row_bytes(key, value);
            changes.push(RowChange::delete(key));
        }
        changes
    }

    /// The version in force, or 0 before the first.
    pub(super) fn version_in_force(&self) -> ConfigurationVersion {
        let row: Option<InForceRow> = self.replica.copy().get(IN_FORCE);
        row.map(|row| row.version).unwrap_or_default()
    }
}
