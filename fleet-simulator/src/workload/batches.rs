//! Clients with batches: they submit, read and list them, recall items and end batches.

use super::Activity;
use crate::history::{BatchRead, BatchReadOutcome, BatchRecord, ListedResult, Micros};
use crate::world::{Caller, Event, InjectedBug, World};
use topazyard_relay::{RelayCall, RelayResponse};
use topazyard_types::{BatchId, DurationMs, ItemNumber, Tokens};
use topazyard_wire::message::batch::{BatchCall, BatchResponse, Item, ItemEnd};

/// A client's request about its batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchRequest {
    /// Submit the batch.
    Submit,
    /// Read the status of the batch.
    Read,
    /// List the results after those already listed.
    List,
    /// Recall an item.
    Recall(u32),
    /// End the batch.
    End,
}

/// A client that submitted a batch.
#[derive(Debug)]
pub(super) struct BatchClient {
    serial: u64,
    requested_at: Option<Micros>,
    /// The list being read, page by page.
    page: Vec<ListedResult>,
    complete_lists: u32,
    end_at: Option<Micros>,
    recall: Option<u32>,
    polls: u64,
}

/// The number of complete lists with all results after which a client stops.
const REQUIRED_COMPLETE_LISTS: u32 = 3;
/// The minimum time for which a batch is read after it was accepted.
const MIN_READ_PERIOD_US: Micros = 10_000_000;

impl World {
    pub(super) fn next_batch(&mut self) {
        let interval_s = self.workload.settings.batch_interval_s;
        self.schedule_after(interval_s.max(1) * 1_000_000, Event::Activity(Activity::NextBatch));
        if interval_s > 0 && self.workload.settings.is_active {
            self.submit_batch();
        }
    }

    /// Submits a batch of a new client.
    pub fn submit_batch(&mut self) {
        let settings = self.workload.settings.clone();
        let batch = self.history.batches.len();
        let first_work = self.history.works.len();
        let mut cost = 0;
        for _ in 0..settings.items_per_batch {
            let repeatable = self.draw(0..2) == 0;
            let work =
                self.new_work("m", settings.words, settings.new_tokens, repeatable, Some(batch));
            cost += self.history.works[work].cost;
        }
        // The word "parcel" stays: the batch id is derived from this key, so another key would
        // change the history of every seed.
        let key = format!("parcel {batch} of {}", self.time);
        self.history.batches.push(BatchRecord {
            id: BatchId::from_key(&key),
            first_work,
            items: settings.items_per_batch as u32,
            cost,
            sent: self.time,
            accepted: None,
            reads: Vec::new(),
            lists: Vec::new(),
            ended: None,
            recalls: Vec::new(),
        });
        let will_end = self.draw(0..6) == 0;
        let end_at = will_end.then(|| self.time + 1_000_000 + 500_000 * (first_work as u64 % 7));
        let recall =
            (self.draw(0..5) == 0).then(|| self.draw(0..settings.items_per_batch.max(1)) as u32);
        self.workload.batches.push(BatchClient {
            serial: 0,
            requested_at: None,
            page: Vec::new(),
            complete_lists: 0,
            end_at,
            recall,
            polls: 0,
        });
        self.schedule_after(0, Event::Activity(Activity::ContinueBatch(batch)));
    }

    /// Whether every accepted batch was listed completely as often as required.
    pub(crate) fn batches_are_done(&self) -> bool {
        let all = self.history.batches.iter().zip(&self.workload.batches);
        all.into_iter().all(|(record, client)| {
            record.accepted.is_none() || client.complete_lists >= REQUIRED_COMPLETE_LISTS
        })
    }

    fn next_request(&mut self, batch: usize) -> BatchRequest {
        let time = self.time;
        let record = &self.history.batches[batch];
        let client = &mut self.workload.batches[batch];
        if record.accepted.is_none() {
            return BatchRequest::Submit;
        }
        if let Some(item) = client.recall.take() {
            return BatchRequest::Recall(item);
        }
        if record.ended.is_none() && client.end_at.is_some_and(|at| time >= at) {
            return BatchRequest::End;
        }
        client.polls += 1;
        if client.polls.is_multiple_of(4) { BatchRequest::Read } else { BatchRequest::List }
    }

    pub(super) fn continue_batch(&mut self, batch: usize) {
        let accepted = self.history.batches[batch].accepted;
        let keeps_reading = accepted.is_some_and(|at| self.time < at + MIN_READ_PERIOD_US);
        if self.workload.batches[batch].complete_lists >= REQUIRED_COMPLETE_LISTS && !keeps_reading
        {
            return;
        }
        self.schedule_after(400_000, Event::Activity(Activity::ContinueBatch(batch)));
        let requested_at = self.workload.batches[batch].requested_at;
        if requested_at.is_some_and(|at| self.time - at < 6_000_000) {
            return;
        }
        let Some(relay) = self.draw_relay() else { return };
        let batch_request = self.next_request(batch);
        let record = &self.history.batches[batch];
        let id = record.id;
        let timeout = DurationMs(5_000);
        let request = match &batch_request {
            BatchRequest::Submit => {
                let works = record.first_work..record.first_work + record.items as usize;
                let items = self.history.works[works].iter().map(|work| Item {
                    model: work.model.as_str().into(),
                    body: work.body.clone(),
                    repeatable: work.repeatable,
                    cost: Tokens(work.cost),
                    routing: None,
                });
                RelayCall::SubmitBatch(id, items.collect())
            }
            BatchRequest::Read => RelayCall::Batch(BatchCall::Read(id), timeout),
            BatchRequest::List => {
                let after = self.workload.batches[batch].page.len() as u32;
                RelayCall::Batch(BatchCall::ItemResults { batch: id, after }, timeout)
            }
            BatchRequest::Recall(item) => {
                RelayCall::Batch(BatchCall::Recall(id, ItemNumber(*item)), timeout)
            }
            BatchRequest::End => RelayCall::Batch(BatchCall::End(id), timeout),
        };
        let time = self.time;
        if matches!(batch_request, BatchRequest::Read | BatchRequest::List) {
            let relay = self.nodes[relay.0].name.clone();
            let read = BatchRead { requested_at: time, relay, outcome: None };
            self.history.batches[batch].reads.push(read);
        }
        let client = &mut self.workload.batches[batch];
        client.serial += 1;
        client.requested_at = Some(time);
        let activity = Activity::BatchCallDone(batch, client.serial, batch_request);
        self.call_relay(relay, request, Caller::Activity(activity));
    }

    pub(super) fn batch_response(
        &mut self,
        batch: usize,
        serial: u64,
        batch_request: &BatchRequest,
        value: RelayResponse,
    ) {
        if self.workload.batches[batch].serial != serial {
            return;
        }
        self.workload.batches[batch].requested_at = None;
        let time = self.time;
        if matches!(batch_request, BatchRequest::Read | BatchRequest::List) {
            let outcome = match &value {
                RelayResponse::Batch(BatchResponse::Unknown) => BatchReadOutcome::Unknown,
                RelayResponse::Batch(BatchResponse::Status(_) | BatchResponse::ItemResults(_)) => {
                    BatchReadOutcome::Given
                }
                _ => BatchReadOutcome::Refused,
            };
            if let Some(read) = self.history.batches[batch].reads.last_mut() {
                read.outcome = Some((time, outcome));
            }
        }
        let RelayResponse::Batch(value) = value else { return };
        let shard = self.history.batches[batch].id.shard;
        self.record_batch_response(batch, batch_request, value);
        self.count_batch_response(shard);
    }

    fn record_batch_response(
        &mut self,
        batch: usize,
        batch_request: &BatchRequest,
        value: BatchResponse,
    ) {
        let time = self.time;
        match (batch_request, value) {
            (BatchRequest::Submit, BatchResponse::Accepted(_)) => {
                self.history.batches[batch].accepted.get_or_insert(time);
            }
            (BatchRequest::List, BatchResponse::ItemResults(results)) => {
                self.record_list_page(batch, &results)
            }
            (BatchRequest::Recall(item), BatchResponse::Recalled) => {
                self.history.batches[batch].recalls.push((time, *item, true));
            }
            (BatchRequest::Recall(item), BatchResponse::TooLate { .. }) => {
                self.history.batches[batch].recalls.push((time, *item, false));
            }
            (BatchRequest::End, BatchResponse::Status(_)) => {
                self.history.batches[batch].ended.get_or_insert(time);
            }
            _ => {}
        }
    }

    /// Records a page of the list. An empty page ends the list, and the next list is read from the
    /// start.
    fn record_list_page(
        &mut self,
        batch: usize,
        results: &[topazyard_wire::message::batch::ItemResult],
    ) {
        let shifts_items =
            self.injected_bug == Some(InjectedBug::ChangeListedResult) && self.draw(0..30) == 0;
        let client = &mut self.workload.batches[batch];
        for result in results {
            let (text, body) = match &result.end {
                ItemEnd::Complete { status, body } => {
                    (format!("whole {status}"), Some(body.clone()))
                }
                ItemEnd::OutcomeUnknown => ("outcome unknown".to_owned(), None),
                ItemEnd::Recalled => ("recalled".to_owned(), None),
                ItemEnd::Ended => ("ended".to_owned(), None),
                ItemEnd::Abandoned => ("abandoned".to_owned(), None),
            };
            let item = result.item.0 + u32::from(shifts_items);
            client.page.push(ListedResult { position: result.position, item, text, body });
        }
        if results.is_empty() {
            let list = std::mem::take(&mut client.page);
            if list.len() as u32 >= self.history.batches[batch].items {
                client.complete_lists += 1;
            }
            let time = self.time;
            self.history.batches[batch].lists.push((time, list));
        }
    }
}
