//! A shard's primary with batches of routed items, and its committed copy.

#![allow(dead_code, reason = "each test file uses a part of it")]

use topazyard_replication::Copy;
use topazyard_storage::batches::{Batches, routed};
use topazyard_types::{BatchId, BootId, DurationMs, Epoch, MonotonicMs, NodeId, Sequence, Tokens};
use topazyard_wire::RowChange;
use topazyard_wire::message::batch::{
    Item, ItemResult, ItemRouting, LeasedItem, RoutedBatch, RoutedBatchTerms, Run, RunEnd,
    WaitingCeiling,
};
use topazyard_wire::routes::RoutePaths;

pub const A: NodeId = NodeId(11);
pub const B: NodeId = NodeId(13);
pub const HOST: &str = "a.example";
pub const CAPACITY_BYTES: u64 = 1 << 20;

pub fn at(ms: u64) -> MonotonicMs {
    MonotonicMs(ms)
}

pub fn item(id: &str) -> Item {
    Item {
        model: "m".into(),
        body: bytes::Bytes::from(format!("body of {id}")),
        repeatable: true,
        cost: Tokens(10),
        routing: Some(ItemRouting {
            id: id.to_owned(),
            path: "/b/3/1".to_owned(),
            headers: Vec::new(),
            prefix: Vec::new(),
        }),
    }
}

pub fn routed_batch(id: &str, items: u32) -> RoutedBatch {
    RoutedBatch {
        batch: BatchId::of_host(HOST, id),
        terms: RoutedBatchTerms {
            submitted_route: "r".into(),
            host: HOST.to_owned(),
            run_target: DurationMs(8_000),
            retention: DurationMs(40_000),
            max_attempts: 2,
        },
        items: (0..items).map(|n| item(&format!("{id}-{n}"))).collect(),
        ceilings: vec![ceiling("/b/", 100)],
        unrouted_item: None,
    }
}

/// The paths of the host's route with this prefix.
pub fn paths(prefix: &str) -> RoutePaths {
    RoutePaths { host: HOST.to_owned(), prefix: prefix.to_owned(), excluded: Vec::new() }
}

/// A ceiling on the tokens that wait on the host's route with this prefix.
pub fn ceiling(prefix: &str, tokens: u64) -> WaitingCeiling {
    WaitingCeiling { paths: paths(prefix), tokens: Tokens(tokens) }
}

pub struct Shard {
    pub copy: Copy,
    pub batches: Batches,
}

impl Shard {
    pub fn new() -> Self {
        let copy = Copy::default();
        let batches = Self::of(&copy, 3, 0);
        Self { copy, batches }
    }

    pub fn of(copy: &Copy, boot_id: u64, now_ms: u64) -> Batches {
        let shard = BatchId::of_host(HOST, "").shard;
        Batches::from_copy(shard, copy, BootId(boot_id << 40), at(now_ms))
    }

    /// Another node takes over from the committed copy; its clock has another origin.
    pub fn fail_over(&mut self, boot_id: u64, now_ms: u64) {
        self.copy = Copy::from_rows(self.copy.rows().clone());
        self.batches = Self::of(&self.copy, boot_id, now_ms);
    }

    pub fn commit(&mut self, changes: Vec<RowChange>) {
        let sequence = Sequence(self.copy.position().sequence.0 + 1);
        self.copy.apply(Epoch(1), sequence, changes);
    }

    pub fn submit(&mut self, routed: &RoutedBatch, now_ms: u64) -> bool {
        match self.batches.routed.submit(routed, CAPACITY_BYTES, at(now_ms)) {
            routed::SubmitOutcome::Accepted(changes) => {
                self.commit(changes);
                true
            }
            routed::SubmitOutcome::Unrouted(_)
            | routed::SubmitOutcome::CeilingReached
            | routed::SubmitOutcome::OverCapacity => false,
        }
    }

    /// Leases items whose paths belong to these routes.
    pub fn lease_on(
        &mut self,
        routes: &[RoutePaths],
        relay: NodeId,
        max_items: u32,
        now_ms: u64,
    ) -> Vec<LeasedItem> {
        self.batches.routed.lease(relay, max_items, routes, &self.copy, at(now_ms))
    }

    pub fn lease(&mut self, relay: NodeId, max_items: u32, now_ms: u64) -> Vec<LeasedItem> {
        self.lease_on(&[paths("/b/")], relay, max_items, now_ms)
    }

    pub fn lease_one(&mut self, relay: NodeId, now_ms: u64) -> Run {
        self.lease(relay, 1, now_ms).first().expect("no item is waiting").run
    }

    pub fn finish(&mut self, relay: NodeId, run: Run, end: RunEnd, now_ms: u64) {
        let changes = self.batches.routed.finish(relay, run, end, at(now_ms));
        self.commit(changes);
    }

    pub fn tick(&mut self, now_ms: u64) {
        let changes = self.batches.routed.tick(at(now_ms));
        self.commit(changes);
    }

    pub fn results(&self, id: &str) -> Vec<ItemResult> {
        let found = routed::results(&self.copy, BatchId::of_host(HOST, id), 0);
        found.expect("the batch exists").1
    }
}

pub fn done(text: &str) -> RunEnd {
    RunEnd::StreamComplete { text: text.to_owned() }
}
