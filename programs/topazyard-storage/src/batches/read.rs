//! Queries, answered from the committed copy.

use super::{ItemState, rows};
use topazyard_types::{BatchId, ItemNumber};
use topazyard_wire::message::batch::{BatchStatus, ItemResult};

/// Maximum size of the result bodies in one response, in bytes.
const MAX_RESULT_BYTES: usize = 4 * 1024 * 1024;

/// Cost of all items in a copy without a final result.
pub fn waiting_cost(copy: &topazyard_replication::Copy) -> topazyard_types::Tokens {
    let items = rows::batches(copy)
        .flat_map(|(number, row)| (0..row.items).map(move |item| (number, ItemNumber(item))));
    let unfinished = items.filter(|(number, item)| {
        let state = rows::state_of(copy, *number, *item);
        state.is_some_and(|state| !matches!(state, ItemState::Finished { .. }))
    });
    unfinished.filter_map(|(number, item)| Some(rows::item_of(copy, number, item)?.cost)).sum()
}

/// Status of a batch.
pub fn status(copy: &topazyard_replication::Copy, batch: BatchId) -> Option<BatchStatus> {
    let Some(row) = rows::batch_of(copy, batch.number) else {
        return super::routed::status(copy, batch);
    };
    let states = (0..row.items).filter_map(|n| rows::state_of(copy, batch.number, ItemNumber(n)));
    let (mut waiting, mut running) = (0, 0);
    for state in states {
        match state {
            ItemState::Waiting { .. } => waiting += 1,
            ItemState::Started { .. } => running += 1,
            ItemState::Finished { .. } => {}
        }
    }
    Some(BatchStatus {
        batch,
        items: row.items,
        returned: row.finished,
        waiting,
        running,
        ended: row.ended,
    })
}

/// A batch's results after a position, in order; at least one if there is any.
pub fn results(
    copy: &topazyard_replication::Copy,
    batch: BatchId,
    after: u32,
) -> Option<Vec<ItemResult>> {
    use topazyard_wire::message::batch::ItemEnd;
    let row = rows::batch_of(copy, batch.number)?;
    let mut bytes = 0;
    let mut found = Vec::new();
    for position in after.saturating_add(1)..=row.finished {
        let Some(item_result) = rows::result_of(copy, batch.number, position) else { break };
        if let ItemEnd::Complete { body, .. } = &item_result.end {
            bytes += body.len();
        }
        if bytes > MAX_RESULT_BYTES && !found.is_empty() {
            break;
        }
        found.push(item_result);
    }
    Some(found)
}
