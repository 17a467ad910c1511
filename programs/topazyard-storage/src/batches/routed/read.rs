//! Queries, answered from the committed copy.

use super::rows;
use topazyard_replication::Copy;
use topazyard_types::{BatchId, ItemNumber};
use topazyard_wire::message::batch::{BatchStatus, ItemEnd, ItemResult};

/// The most bytes of bodies in one page of results.
const MOST_BYTES: usize = 900_000;
/// What a result weighs beside its body, in bytes.
const BESIDE_BODY: usize = 128;

/// How a batch stands.
pub fn standing(copy: &Copy, batch: BatchId) -> Option<BatchStatus> {
    let row = rows::batch_of(copy, batch.number)?;
    let waiting = if row.ended { 0 } else { row.items - row.listed };
    Some(BatchStatus {
        batch,
        items: row.items,
        returned: row.listed,
        waiting,
        running: 0,
        ended: row.ended,
    })
}

/// The number of a batch's items, and its results after a position in order: at least one if
/// there is one.
pub fn results(copy: &Copy, batch: BatchId, after: u32) -> Option<(u32, Vec<ItemResult>)> {
    let row = rows::batch_of(copy, batch.number)?;
    let mut bytes = 0;
    let mut found = Vec::new();
    for position in after.saturating_add(1)..=row.listed {
        let Some(result) = rows::result_of(copy, batch.number, position) else { break };
        bytes += BESIDE_BODY;
        if let ItemEnd::Complete { body, .. } = &result.end {
            // Line feeds and the like take two bytes where they are shown.
            bytes += body.len() + body.iter().filter(|b| **b < b' ' || **b == b'"').count() * 5;
        }
        if bytes > MOST_BYTES && !found.is_empty() {
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
