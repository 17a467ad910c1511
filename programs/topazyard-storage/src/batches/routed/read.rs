//! Queries, answered from the committed copy.

use super::rows;
use topazyard_replication::Copy;
use topazyard_types::{BatchId, ItemNumber};
use topazyard_wire::message::batch::{BatchStatus, ItemEnd, ItemResult};

/// Maximum size of the bodies in one page of results, in bytes.
const MAX_PAGE_BYTES: usize = 900_000;
/// Size accounted for a result in a page in addition to its body, in bytes.
const OVERHEAD_BYTES: usize = 128;

/// Status of a batch.
pub fn status(copy: &Copy, batch: BatchId) -> Option<BatchStatus> {
    let row = rows::batch_of(copy, batch.number)?;
    let waiting = if row.ended { 0 } else { row.items - row.result_count };
    Some(BatchStatus {
        batch,
        items: row.items,
        returned: row.result_count,
        waiting,
        running: 0,
        ended: row.ended,
    })
}

/// The number of items of a batch, and its results after a position in order; at least one if there
/// is any.
pub fn results(copy: &Copy, batch: BatchId, after: u32) -> Option<(u32, Vec<ItemResult>)> {
    let row = rows::batch_of(copy, batch.number)?;
    let mut bytes = 0;
    let mut found = Vec::new();
    for position in after.saturating_add(1)..=row.result_count {
        let Some(result) = rows::result_of(copy, batch.number, position) else { break };
        bytes += OVERHEAD_BYTES;
        if let ItemEnd::Complete { body, .. } = &result.end {
            // Control characters and quotes are escaped in JSON and take up to six bytes.
            bytes += body.len() + body.iter().filter(|b| **b < b' ' || **b == b'"').count() * 5;
        }
        if bytes > MAX_PAGE_BYTES && !found.is_empty() {
            break;
        }
        found.push(result);
    }
    Some((row.items, found))
}

/// The body of an item that has no result yet.
pub fn body(copy: &Copy, batch: BatchId, id: &str) -> Option<bytes::Bytes> {
    let row = rows::batch_of(copy, batch.number)?;
    let items = (0..row.items).filter_map(|n| rows::item_of(copy, batch.number, ItemNumber(n)));
    let is_named = |item: &topazyard_wire::message::batch::Item| {
        item.routing.as_ref().is_some_and(|d| d.id == id)
    };
    items.into_iter().find(is_named).map(|item| item.body)
}
