//! Batch shards: messages on an old lease change nothing, and results keep their positions.

use topazyard_replication::Copy;
use topazyard_storage::batches::{Batches, ITEM_LEASE, results};
use topazyard_types::{
    BatchId, BootId, Epoch, ItemNumber, ModelName, MonotonicMs, NodeId, Sequence, ShardId, Tokens,
};
use topazyard_wire::RowChange;
use topazyard_wire::message::batch::{BatchResponse, Item, Run, RunEnd};

struct Shard {
    copy: Copy,
    batches: Batches,
    batch: BatchId,
}

const A: NodeId = NodeId(11);
const B: NodeId = NodeId(13);

impl Shard {
    fn with_items(count: u32) -> Self {
        let batch = BatchId { shard: ShardId(1), number: 5 };
        let copy = Copy::default();
        let batches = Batches::from_copy(ShardId(1), &copy, BootId(3), MonotonicMs(0));
        let mut shard = Self { copy, batches, batch };
        let item = Item {
            model: "m".into(),
            body: bytes::Bytes::from_static(b"{}"),
            repeatable: false,
            cost: Tokens(10),
            routing: None,
        };
        let changes = shard.batches.submit(batch, &vec![item; count as usize]);
        shard.commit(changes);
        shard
    }

    fn commit(&mut self, changes: Vec<RowChange>) {
        let sequence = Sequence(self.copy.position().sequence.0 + 1);
        self.copy.apply(Epoch(1), sequence, changes);
    }

    fn lease(&mut self, relay: NodeId, now: MonotonicMs) -> Run {
        let models: [ModelName; 1] = ["m".into()];
        let leased = self.batches.lease(relay, 1, &models, &self.copy, now);
        leased.first().expect("no item is waiting").run
    }

    fn start(&mut self, relay: NodeId, run: Run, now: MonotonicMs) -> bool {
        let (may_start, changes) = self.batches.start(relay, run, now);
        self.commit(changes);
        may_start
    }

    fn finish(&mut self, relay: NodeId, run: Run, end: RunEnd) {
        let changes = self.batches.finish(relay, run, end, MonotonicMs(50));
        self.commit(changes);
    }
}

fn complete(text: &'static str) -> RunEnd {
    RunEnd::Complete { status: 200, body: bytes::Bytes::from_static(text.as_bytes()) }
}

#[test]
fn late_message_on_old_lease_does_not_free_running_item() {
    // A relay returned a lease and repeated the message. The repetition arrived when the same relay
    // already ran the item under a new lease (simulator: cristallo, cuts, seed 108).
    let mut shard = Shard::with_items(1);
    let old = shard.lease(A, MonotonicMs(0));
    shard.finish(A, old, RunEnd::NotRun);
    let new = shard.lease(A, MonotonicMs(10));
    assert!(shard.start(A, new, MonotonicMs(20)));
    shard.finish(A, old, RunEnd::NotRun);
    let models: [ModelName; 1] = ["m".into()];
    let second_lease = shard.batches.lease(B, 1, &models, &shard.copy, MonotonicMs(30));
    assert!(second_lease.is_empty(), "a running item was leased again");
}

#[test]
fn expired_lease_may_not_start() {
    let mut shard = Shard::with_items(1);
    let run = shard.lease(A, MonotonicMs(0));
    assert!(!shard.start(A, run, MonotonicMs(ITEM_LEASE.0)));
}

#[test]
fn only_the_lease_holder_may_start_and_start_is_idempotent() {
    let mut shard = Shard::with_items(1);
    let run = shard.lease(A, MonotonicMs(0));
    assert!(!shard.start(B, run, MonotonicMs(5)));
    assert!(shard.start(A, run, MonotonicMs(5)));
    assert!(shard.start(A, run, MonotonicMs(6)), "its first response may be lost");
}

#[test]
fn silent_run_of_unrepeatable_item_gets_a_final_result() {
    let mut shard = Shard::with_items(1);
    let run = shard.lease(A, MonotonicMs(0));
    assert!(shard.start(A, run, MonotonicMs(5)));
    let changes = shard.batches.tick(MonotonicMs(20_000));
    shard.commit(changes);
    // Its relay comes back and reports the end: too late to change the recorded result.
    let earlier = results(&shard.copy, shard.batch, 0);
    shard.finish(A, run, complete("late"));
    assert_eq!(results(&shard.copy, shard.batch, 0), earlier);
    assert_eq!(earlier.map(|listed| listed.len()), Some(1));
}

#[test]
fn ended_batch_starts_no_more_items() {
    let mut shard = Shard::with_items(3);
    let leased = shard.lease(A, MonotonicMs(0));
    let changes = shard.batches.end(shard.batch, MonotonicMs(1)).expect("the batch exists");
    shard.commit(changes);
    assert!(!shard.start(A, leased, MonotonicMs(1)));
    let listed = results(&shard.copy, shard.batch, 0).expect("the batch exists");
    assert_eq!(listed.len(), 3);
}

#[test]
fn recalled_item_never_runs_and_a_started_item_is_too_late() {
    let mut shard = Shard::with_items(2);
    let run = shard.lease(A, MonotonicMs(0));
    let other = ItemNumber(1 - run.item.0);
    assert!(shard.start(A, run, MonotonicMs(1)));
    let (response, _) = shard.batches.recall(shard.batch, run.item, MonotonicMs(1));
    assert_eq!(response, BatchResponse::TooLate { returned: false });
    let (response, changes) = shard.batches.recall(shard.batch, other, MonotonicMs(1));
    shard.commit(changes);
    assert_eq!(response, BatchResponse::Recalled);
    let models: [ModelName; 1] = ["m".into()];
    assert!(shard.batches.lease(B, 9, &models, &shard.copy, MonotonicMs(2)).is_empty());
}

#[test]
fn new_primary_rebuilds_committed_state() {
    let mut shard = Shard::with_items(3);
    let run = shard.lease(A, MonotonicMs(0));
    assert!(shard.start(A, run, MonotonicMs(1)));
    shard.finish(A, run, complete("one"));
    let rows = shard.copy.rows().clone();
    let copy = Copy::from_rows(rows);
    let successor = Batches::from_copy(ShardId(1), &copy, BootId(9), MonotonicMs(5));
    assert_eq!(successor.waiting_cost(), Tokens(20));
    assert_eq!(results(&copy, shard.batch, 0), results(&shard.copy, shard.batch, 0));
}

#[test]
fn finished_batch_is_deleted_after_its_retention_time() {
    let mut shard = Shard::with_items(2);
    for _ in 0..2 {
        let run = shard.lease(A, MonotonicMs(0));
        assert!(shard.start(A, run, MonotonicMs(1)));
        shard.finish(A, run, complete("done"));
    }
    let retention = topazyard_types::DurationMs(1_000);
    assert!(shard.batches.remove_expired(retention, MonotonicMs(1_049)).is_empty());
    let changes = shard.batches.remove_expired(retention, MonotonicMs(1_050));
    shard.commit(changes);
    assert!(shard.copy.rows().is_empty());
    assert!(!shard.batches.contains(shard.batch));
}

#[test]
fn unfinished_batch_is_never_deleted() {
    let mut shard = Shard::with_items(2);
    let run = shard.lease(A, MonotonicMs(0));
    assert!(shard.start(A, run, MonotonicMs(1)));
    shard.finish(A, run, complete("one of two"));
    let retention = topazyard_types::DurationMs(0);
    assert!(shard.batches.remove_expired(retention, MonotonicMs(9_000_000)).is_empty());
}

#[test]
fn item_that_may_have_run_ends_with_unknown_outcome() {
    // A repeatable item ran at a relay that was then cut off and was queued again. When it was
    // recalled, its result claimed that it had never run (simulator: cristallo, cuts, seed 5008).
    let batch = BatchId { shard: ShardId(1), number: 5 };
    let mut shard = Shard::with_items(0);
    let item = Item {
        model: "m".into(),
        body: bytes::Bytes::from_static(b"{}"),
        repeatable: true,
        cost: Tokens(1),
        routing: None,
    };
    let other = BatchId { number: 6, ..batch };
    for id in [batch, other] {
        let changes = shard.batches.submit(id, std::slice::from_ref(&item));
        shard.commit(changes);
    }
    for _ in 0..2 {
        let run = shard.lease(A, MonotonicMs(0));
        assert!(shard.start(A, run, MonotonicMs(1)));
    }
    let changes = shard.batches.tick(MonotonicMs(20_000));
    shard.commit(changes);
    // A new primary knows it too.
    let copy = Copy::from_rows(shard.copy.rows().clone());
    shard.batches = Batches::from_copy(ShardId(1), &copy, BootId(9), MonotonicMs(20_000));
    // The next run is handed back before it was sent.
    let run = shard.lease(B, MonotonicMs(20_001));
    assert!(shard.start(B, run, MonotonicMs(20_002)));
    shard.finish(B, run, RunEnd::NotRun);
    let now = MonotonicMs(20_010);
    let (response, changes) = shard.batches.recall(batch, ItemNumber(0), now);
    shard.commit(changes);
    assert_eq!(response, BatchResponse::TooLate { returned: true });
    let changes = shard.batches.end(other, now).expect("the batch exists");
    shard.commit(changes);
    for id in [batch, other] {
        let listed = results(&shard.copy, id, 0).expect("the batch exists");
        assert_eq!(listed[0].end, topazyard_wire::message::batch::ItemEnd::OutcomeUnknown);
    }
}
