//! Batch shards: a word on an old lease touches nothing, and returns stay where they are.

use topazyard_replication::Copy;
use topazyard_storage::batches::{Batches, LEASE, returns};
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
        let batches = Batches::taken_over(ShardId(1), &copy, BootId(3), MonotonicMs(0));
        let mut shard = Self { copy, batches, batch };
        let item = Item {
            model: "m".into(),
            body: bytes::Bytes::from_static(b"{}"),
            repeatable: false,
            cost: Tokens(10),
            routing: None,
        };
        let changes = shard.batches.submit(batch, &vec![item; count as usize]);
        shard.keep(changes);
        shard
    }

    fn keep(&mut self, changes: Vec<RowChange>) {
        let sequence = Sequence(self.copy.position().sequence.0 + 1);
        self.copy.apply(Epoch(1), sequence, changes);
    }

    fn lease(&mut self, relay: NodeId, now: MonotonicMs) -> Run {
        let models: [ModelName; 1] = ["m".into()];
        let leased = self.batches.lease(relay, 1, &models, &self.copy, now);
        leased.first().expect("an item waits").run
    }

    fn start(&mut self, relay: NodeId, run: Run, now: MonotonicMs) -> bool {
        let (may_start, changes) = self.batches.start(relay, run, now);
        self.keep(changes);
        may_start
    }

    fn finish(&mut self, relay: NodeId, run: Run, end: RunEnd) {
        let changes = self.batches.finish(relay, run, end, MonotonicMs(50));
        self.keep(changes);
    }
}

fn whole(text: &'static str) -> RunEnd {
    RunEnd::Complete { status: 200, body: bytes::Bytes::from_static(text.as_bytes()) }
}

#[test]
fn a_late_word_on_an_old_lease_does_not_free_a_running_item() {
    // Seen as cristallo, cuts, seed 108: the relay handed a lease back, its word was sent again,
    // and the second one arrived when the same relay already ran the item under a new lease.
    let mut shard = Shard::with_items(1);
    let old = shard.lease(A, MonotonicMs(0));
    shard.finish(A, old, RunEnd::NotRun);
    let new = shard.lease(A, MonotonicMs(10));
    assert!(shard.start(A, new, MonotonicMs(20)));
    shard.finish(A, old, RunEnd::NotRun);
    let models: [ModelName; 1] = ["m".into()];
    let again = shard.batches.lease(B, 1, &models, &shard.copy, MonotonicMs(30));
    assert!(again.is_empty(), "a running item was leased again");
}

#[test]
fn a_lapsed_lease_may_not_start() {
    let mut shard = Shard::with_items(1);
    let run = shard.lease(A, MonotonicMs(0));
    assert!(!shard.start(A, run, MonotonicMs(LEASE.0)));
}

#[test]
fn only_the_relay_that_holds_the_lease_may_start_and_may_ask_twice() {
    let mut shard = Shard::with_items(1);
    let run = shard.lease(A, MonotonicMs(0));
    assert!(!shard.start(B, run, MonotonicMs(5)));
    assert!(shard.start(A, run, MonotonicMs(5)));
    assert!(shard.start(A, run, MonotonicMs(6)), "its first answer may be lost");
}

#[test]
fn an_unrepeatable_run_that_nobody_speaks_of_gets_a_final_return() {
    let mut shard = Shard::with_items(1);
    let run = shard.lease(A, MonotonicMs(0));
    assert!(shard.start(A, run, MonotonicMs(5)));
    let changes = shard.batches.tick(MonotonicMs(20_000));
    shard.keep(changes);
    // Its relay comes back and tells the end: too late to change what was listed.
    let before = returns(&shard.copy, shard.batch, 0);
    shard.finish(A, run, whole("late"));
    assert_eq!(returns(&shard.copy, shard.batch, 0), before);
    assert_eq!(before.map(|listed| listed.len()), Some(1));
}

#[test]
fn an_ended_batch_starts_nothing_more() {
    let mut shard = Shard::with_items(3);
    let leased = shard.lease(A, MonotonicMs(0));
    let changes = shard.batches.end(shard.batch, MonotonicMs(1)).expect("it is known");
    shard.keep(changes);
    assert!(!shard.start(A, leased, MonotonicMs(1)));
    let listed = returns(&shard.copy, shard.batch, 0).expect("it is known");
    assert_eq!(listed.len(), 3);
}

#[test]
fn a_recalled_item_never_runs_and_a_started_one_says_so() {
    let mut shard = Shard::with_items(2);
    let run = shard.lease(A, MonotonicMs(0));
    let other = ItemNumber(1 - run.item.0);
    assert!(shard.start(A, run, MonotonicMs(1)));
    let (answer, _) = shard.batches.recall(shard.batch, run.item, MonotonicMs(1));
    assert_eq!(answer, BatchResponse::TooLate { returned: false });
    let (answer, changes) = shard.batches.recall(shard.batch, other, MonotonicMs(1));
    shard.keep(changes);
    assert_eq!(answer, BatchResponse::Recalled);
    let models: [ModelName; 1] = ["m".into()];
    assert!(shard.batches.lease(B, 9, &models, &shard.copy, MonotonicMs(2)).is_empty());
}

#[test]
fn a_successor_knows_what_its_predecessor_committed() {
    let mut shard = Shard::with_items(3);
    let run = shard.lease(A, MonotonicMs(0));
    assert!(shard.start(A, run, MonotonicMs(1)));
    shard.finish(A, run, whole("one"));
    let rows = shard.copy.rows().clone();
    let copy = Copy::from_rows(rows);
    let successor = Batches::taken_over(ShardId(1), &copy, BootId(9), MonotonicMs(5));
    assert_eq!(successor.waiting(), Tokens(20));
    assert_eq!(returns(&copy, shard.batch, 0), returns(&shard.copy, shard.batch, 0));
}

#[test]
fn a_finished_batch_is_kept_as_long_as_the_spec_says_and_leaves_no_row() {
    let mut shard = Shard::with_items(2);
    for _ in 0..2 {
        let run = shard.lease(A, MonotonicMs(0));
        assert!(shard.start(A, run, MonotonicMs(1)));
        shard.finish(A, run, whole("done"));
    }
    let keep = topazyard_types::DurationMs(1_000);
    assert!(shard.batches.let_go(keep, MonotonicMs(1_049)).is_empty());
    let changes = shard.batches.let_go(keep, MonotonicMs(1_050));
    shard.keep(changes);
    assert!(shard.copy.rows().is_empty());
    assert!(!shard.batches.contains(shard.batch));
}

#[test]
fn an_unfinished_batch_is_kept_for_ever() {
    let mut shard = Shard::with_items(2);
    let run = shard.lease(A, MonotonicMs(0));
    assert!(shard.start(A, run, MonotonicMs(1)));
    shard.finish(A, run, whole("one of two"));
    let keep = topazyard_types::DurationMs(0);
    assert!(shard.batches.let_go(keep, MonotonicMs(9_000_000)).is_empty());
}

#[test]
fn an_item_that_may_have_run_is_never_said_not_to_have() {
    // Seen as cristallo, cuts, seed 5008: a repeatable item ran at a relay that was then cut off,
    // waited for its next run, was asked back, and was listed as one that never ran.
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
        shard.keep(changes);
    }
    for _ in 0..2 {
        let run = shard.lease(A, MonotonicMs(0));
        assert!(shard.start(A, run, MonotonicMs(1)));
    }
    let changes = shard.batches.tick(MonotonicMs(20_000));
    shard.keep(changes);
    // A successor knows it too.
    let copy = Copy::from_rows(shard.copy.rows().clone());
    shard.batches = Batches::taken_over(ShardId(1), &copy, BootId(9), MonotonicMs(20_000));
    // Its next run is handed back before it was sent.
    let run = shard.lease(B, MonotonicMs(20_001));
    assert!(shard.start(B, run, MonotonicMs(20_002)));
    shard.finish(B, run, RunEnd::NotRun);
    let now = MonotonicMs(20_010);
    let (answer, changes) = shard.batches.recall(batch, ItemNumber(0), now);
    shard.keep(changes);
    assert_eq!(answer, BatchResponse::TooLate { returned: true });
    let changes = shard.batches.end(other, now).expect("it is known");
    shard.keep(changes);
    for id in [batch, other] {
        let listed = returns(&shard.copy, id, 0).expect("it is known");
        assert_eq!(listed[0].end, topazyard_wire::message::batch::ItemEnd::OutcomeUnknown);
    }
}
