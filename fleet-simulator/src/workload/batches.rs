//! Clients with batches: they hand in, read, list, ask items back and end.

use super::Activity;
use crate::history::{BatchRead, BatchReadOutcome, BatchRecord, ListedResult, Micros};
use crate::world::{Caller, Event, InjectedBug, World};
use topazyard_relay::{RelayCall, RelayResponse};
use topazyard_types::{BatchId, DurationMs, ItemNumber, Tokens};
use topazyard_wire::message::batch::{BatchCall, BatchResponse, Item, ItemEnd};

/// What a client asked of its batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Asked {
    /// Take it.
    Submit,
    /// How does it stand?
    Read,
    /// Its returns after those already listed.
    List,
    /// An item back.
    Recall(u32),
    /// End it.
    End,
}

/// A client with a batch.
#[derive(Debug)]
pub(super) struct BatchClient {
    serial: u64,
    asked: Option<Micros>,
    /// The list being read, page by page.
    page: Vec<ListedResult>,
    lists_whole: u32,
    lasts_to: Option<Micros>,
    recalls: Option<u32>,
    turn: u64,
}

/// After how many whole lists with all returns a client is content.
const CONTENT: u32 = 3;
/// For how long after its acceptance a batch is read at the least.
const READS_FOR_US: Micros = 10_000_000;

impl World {
    pub(super) fn next_batch(&mut self) {
        let every = self.workload.settings.batch_interval_s;
        self.after(every.max(1) * 1_000_000, Event::Activity(Activity::NextBatch));
        if every > 0 && self.workload.settings.is_active {
            self.hand_in_batch();
        }
    }

    /// Somebody hands in a batch now.
    pub fn hand_in_batch(&mut self) {
        let habits = self.workload.settings.clone();
        let batch = self.history.batches.len();
        let first_work = self.history.works.len();
        let mut cost = 0;
        for _ in 0..habits.items_per_batch {
            let repeatable = self.draw(0..2) == 0;
            let work = self.new_work("m", habits.words, habits.new_tokens, repeatable, Some(batch));
            cost += self.history.works[work].cost;
        }
        // The older word stays: the id follows from the key, and a seed's history from the id.
        let key = format!("parcel {batch} of {}", self.time);
        self.history.batches.push(BatchRecord {
            id: BatchId::from_key(&key),
            first_work,
            items: habits.items_per_batch as u32,
            cost,
            sent: self.time,
            accepted: None,
            reads: Vec::new(),
            lists: Vec::new(),
            ended: None,
            recalls: Vec::new(),
        });
        let ends = self.draw(0..6) == 0;
        let lasts_to = ends.then(|| self.time + 1_000_000 + 500_000 * (first_work as u64 % 7));
        let recalls =
            (self.draw(0..5) == 0).then(|| self.draw(0..habits.items_per_batch.max(1)) as u32);
        self.workload.batches.push(BatchClient {
            serial: 0,
            asked: None,
            page: Vec::new(),
            lists_whole: 0,
            lasts_to,
            recalls,
            turn: 0,
        });
        self.after(0, Event::Activity(Activity::Batch(batch)));
    }

    /// Whether every accepted batch was listed whole.
    pub(crate) fn batches_are_done(&self) -> bool {
        let all = self.history.batches.iter().zip(&self.workload.batches);
        all.into_iter()
            .all(|(seen, client)| seen.accepted.is_none() || client.lists_whole >= CONTENT)
    }

    fn next_asked(&mut self, batch: usize) -> Asked {
        let time = self.time;
        let seen = &self.history.batches[batch];
        let client = &mut self.workload.batches[batch];
        if seen.accepted.is_none() {
            return Asked::Submit;
        }
        if let Some(item) = client.recalls.take() {
            return Asked::Recall(item);
        }
        if seen.ended.is_none() && client.lasts_to.is_some_and(|at| time >= at) {
            return Asked::End;
        }
        client.turn += 1;
        if client.turn.is_multiple_of(4) { Asked::Read } else { Asked::List }
    }

    pub(super) fn look_after_batch(&mut self, batch: usize) {
        let accepted = self.history.batches[batch].accepted;
        let reads_on = accepted.is_some_and(|at| self.time < at + READS_FOR_US);
        if self.workload.batches[batch].lists_whole >= CONTENT && !reads_on {
            return;
        }
        self.after(400_000, Event::Activity(Activity::Batch(batch)));
        let asked = self.workload.batches[batch].asked;
        if asked.is_some_and(|asked| self.time - asked < 6_000_000) {
            return;
        }
        let Some(relay) = self.draw_relay() else { return };
        let asked = self.next_asked(batch);
        let seen = &self.history.batches[batch];
        let id = seen.id;
        let limit = DurationMs(5_000);
        let request = match &asked {
            Asked::Submit => {
                let works = seen.first_work..seen.first_work + seen.items as usize;
                let items = self.history.works[works].iter().map(|work| Item {
                    model: work.model.as_str().into(),
                    body: work.body.clone(),
                    repeatable: work.repeatable,
                    cost: Tokens(work.cost),
                    routing: None,
                });
                RelayCall::SubmitBatch(id, items.collect())
            }
            Asked::Read => RelayCall::Batch(BatchCall::Read(id), limit),
            Asked::List => {
                let after = self.workload.batches[batch].page.len() as u32;
                RelayCall::Batch(BatchCall::ItemResults { batch: id, after }, limit)
            }
            Asked::Recall(item) => {
                RelayCall::Batch(BatchCall::Recall(id, ItemNumber(*item)), limit)
            }
            Asked::End => RelayCall::Batch(BatchCall::End(id), limit),
        };
        let time = self.time;
        if matches!(asked, Asked::Read | Asked::List) {
            let relay = self.nodes[relay.0].name.clone();
            let read = BatchRead { requested_at: time, relay, outcome: None };
            self.history.batches[batch].reads.push(read);
        }
        let client = &mut self.workload.batches[batch];
        client.serial += 1;
        client.asked = Some(time);
        let doing = Activity::BatchCall(batch, client.serial, asked);
        self.call_relay(relay, request, Caller::Activity(doing));
    }

    pub(super) fn batch_told(
        &mut self,
        batch: usize,
        serial: u64,
        asked: &Asked,
        value: RelayResponse,
    ) {
        if self.workload.batches[batch].serial != serial {
            return;
        }
        self.workload.batches[batch].asked = None;
        let time = self.time;
        if matches!(asked, Asked::Read | Asked::List) {
            let told = match &value {
                RelayResponse::Batch(BatchResponse::Unknown) => BatchReadOutcome::Unknown,
                RelayResponse::Batch(BatchResponse::Status(_) | BatchResponse::ItemResults(_)) => {
                    BatchReadOutcome::Given
                }
                _ => BatchReadOutcome::Refused,
            };
            if let Some(read) = self.history.batches[batch].reads.last_mut() {
                read.outcome = Some((time, told));
            }
        }
        let RelayResponse::Batch(value) = value else { return };
        let shard = self.history.batches[batch].id.shard;
        self.note_batch_told(batch, asked, value);
        self.batch_answered(shard);
    }

    fn note_batch_told(&mut self, batch: usize, asked: &Asked, value: BatchResponse) {
        let time = self.time;
        match (asked, value) {
            (Asked::Submit, BatchResponse::Accepted(_)) => {
                self.history.batches[batch].accepted.get_or_insert(time);
            }
            (Asked::List, BatchResponse::ItemResults(returns)) => self.listed(batch, &returns),
            (Asked::Recall(item), BatchResponse::Recalled) => {
                self.history.batches[batch].recalls.push((time, *item, true));
            }
            (Asked::Recall(item), BatchResponse::TooLate { .. }) => {
                self.history.batches[batch].recalls.push((time, *item, false));
            }
            (Asked::End, BatchResponse::Status(_)) => {
                self.history.batches[batch].ended.get_or_insert(time);
            }
            _ => {}
        }
    }

    /// A page of the list: an empty one ends the list, and the next is read from the start.
    fn listed(&mut self, batch: usize, returns: &[topazyard_wire::message::batch::ItemResult]) {
        let changes =
            self.injected_bug == Some(InjectedBug::ChangeListedResult) && self.draw(0..30) == 0;
        let client = &mut self.workload.batches[batch];
        for item_return in returns {
            let (text, body) = match &item_return.end {
                ItemEnd::Complete { status, body } => {
                    (format!("whole {status}"), Some(body.clone()))
                }
                ItemEnd::OutcomeUnknown => ("outcome unknown".to_owned(), None),
                ItemEnd::Recalled => ("recalled".to_owned(), None),
                ItemEnd::Ended => ("ended".to_owned(), None),
                ItemEnd::Abandoned => ("abandoned".to_owned(), None),
            };
            let item = item_return.item.0 + u32::from(changes);
            client.page.push(ListedResult { position: item_return.position, item, text, body });
        }
        if returns.is_empty() {
            let list = std::mem::take(&mut client.page);
            if list.len() as u32 >= self.history.batches[batch].items {
                client.lists_whole += 1;
            }
            let time = self.time;
            self.history.batches[batch].lists.push((time, list));
        }
    }
}
