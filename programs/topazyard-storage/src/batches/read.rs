//! Queries, answered from the committed copy.

use super::{ItemState, rows};
use topazyard_types::{BatchId, ItemNumber};
use topazyard_wire::message::batch::{BatchStatus, ItemResult};

/// The most bytes of returns in one answer.
const MOST_BYTES: usize = 4 * 1024 * 1024;

/// The cost of all items in a copy that have no final return.
pub fn waiting_cost(copy: &topazyard_replication::Copy) -> topazyard_types::Tokens {
    let items = rows::batches(copy)
        .flat_map(|(number, row)| (0..row.items).map(move |item| (number, ItemNumber(item))));
    let unreturned = items.filter(|(number, item)| {
        let state = rows::state_of(copy, *number, *item);
        state.is_some_and(|state| !matches!(state, ItemState::Returned { .. }))
    });
    unreturned.filter_map(|(number, item)| Some(rows::item_of(copy, number, item)?.cost)).sum()
}

/// How a batch stands.
pub fn standing(copy: &topazyard_replication::Copy, batch: BatchId) -> Option<BatchStatus> {
    let Some(row) = rows::batch_of(copy, batch.number) else {
        return super::routed::standing(copy, batch);
    };
    let states = (0..row.items).filter_map(|n| rows::state_of(copy, batch.number, ItemNumber(n)));
    let (mut waiting, mut running) = (0, 0);
    for state in states {
        match state {
            ItemState::Waiting { .. } => waiting += 1,
            ItemState::Started { .. } => running += 1,
            ItemState::Returned { .. } => {}
        }
    }
    Some(BatchStatus {
        batch,
        items: row.items,
        returned: row.returned,
        waiting,
        running,
        ended: row.ended,
    })
}

/// A batch's returns after a position, in order; at least one if there is one.
pub fn returns(
    copy: &topazyard_replication::Copy,
    batch: BatchId,
    after: u32,
) -> Option<Vec<ItemResult>> {
    use topazyard_wire::message::batch::ItemEnd;
    let row = rows::batch_of(copy, batch.number)?;
    let mut bytes = 0;
    let mut found = Vec::new();
    for position in after.saturating_add(1)..=row.returned {
        let Some(item_return) = rows::return_of(copy, batch.number, position) else { break };
        if let ItemEnd::Complete { body, .. } = &item_return.end {
            bytes += body.len();
        }
        if bytes > MOST_BYTES && !found.is_empty() {
            break;
        }
        found.push(item_return);
    }
    Some(found)
}
