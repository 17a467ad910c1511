//! Batches of routed items: the ceiling is exact, recorded results never change, and an item is
//! abandoned only for a reason.

mod routed_shard;

use routed_shard::{A, B, CAPACITY_BYTES, HOST, Shard, at, done, paths, routed_batch};
use topazyard_replication::Copy;
use topazyard_storage::batches::{ITEM_LEASE, routed};
use topazyard_types::{BatchId, DurationMs, ItemNumber, Tokens};
use topazyard_wire::invariants::{Invariant, violations};
use topazyard_wire::message::batch::{ItemEnd, Progress, RoutedBatch, Run, RunEnd};

#[test]
fn ceiling_is_exact_and_results_free_capacity() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 6), 0));
    assert!(!shard.submit(&routed_batch("2", 5), 0), "110 of 100 tokens");
    assert!(shard.submit(&routed_batch("3", 4), 0));
    assert_eq!(shard.batches.routed.waiting_cost_on(&paths("/b/")), Tokens(100));
    let run = shard.lease_one(A, 1);
    shard.finish(A, run, done("x"), 2);
    assert!(!shard.submit(&routed_batch("2", 2), 3));
    assert!(shard.submit(&routed_batch("2", 1), 3));
}

#[test]
fn uncommitted_submission_counts_against_the_ceiling() {
    let mut shard = Shard::new();
    let taken = shard.batches.routed.submit(&routed_batch("1", 10), CAPACITY_BYTES, at(0));
    assert!(matches!(taken, routed::SubmitOutcome::Accepted(_)));
    assert!(!shard.submit(&routed_batch("2", 1), 0));
    assert!(shard.lease(A, 9, 1).is_empty(), "the submission is not committed");
}

#[test]
fn new_primary_counts_accepted_batches() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 9), 0));
    let run = shard.lease_one(A, 1);
    shard.finish(A, run, done("x"), 2);
    shard.fail_over(7, 500_000);
    assert_eq!(shard.batches.routed.waiting_cost_on(&paths("/b/")), Tokens(80));
    assert!(!shard.submit(&routed_batch("2", 3), 500_001));
    assert!(shard.submit(&routed_batch("2", 2), 500_001));
}

#[test]
fn repeated_submission_is_accepted_once() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 6), 0));
    assert!(
        shard.submit(&routed_batch("1", 6), 1),
        "a repeated batch is accepted even above the ceiling"
    );
    assert_eq!(shard.batches.routed.waiting_cost_on(&paths("/b/")), Tokens(60));
    shard.fail_over(7, 10);
    assert!(shard.submit(&routed_batch("1", 6), 11));
    assert_eq!(shard.lease(A, 50, 12).len(), 6);
}

#[test]
fn without_a_ceiling_any_batch_is_accepted() {
    let mut shard = Shard::new();
    let open = RoutedBatch { ceilings: Vec::new(), ..routed_batch("1", 100) };
    assert!(shard.submit(&open, 0));
}

#[test]
fn submission_above_capacity_is_refused() {
    let mut shard = Shard::new();
    let taken = shard.batches.routed.submit(&routed_batch("1", 6), 1_000, at(0));
    assert_eq!(taken, routed::SubmitOutcome::OverCapacity);
    assert!(!shard.batches.routed.contains(BatchId::of_host(HOST, "1")));
}

#[test]
fn results_keep_order_and_content_after_late_reports_and_failover() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 3), 0));
    let runs: Vec<Run> = shard.lease(A, 3, 1).iter().map(|leased| leased.run).collect();
    shard.finish(A, runs[2], done("third"), 2);
    shard.finish(A, runs[0], done("first"), 3);
    shard.finish(A, runs[2], done("other"), 4);
    let before = shard.results("1");
    let positions_and_ids: Vec<_> = before.iter().map(|r| (r.position, r.id.as_deref())).collect();
    assert_eq!(positions_and_ids, [(1, Some("1-2")), (2, Some("1-0"))]);
    shard.fail_over(7, 10);
    shard.finish(A, runs[2], RunEnd::Impossible, 11);
    shard.finish(A, runs[1], done("second"), 12);
    assert_eq!(shard.results("1")[..2], before);
    assert_eq!(shard.results("1").len(), 3);
}

#[test]
fn item_runs_again_after_lease_expiry_and_first_result_counts() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 1), 0));
    let old = shard.lease_one(A, 0);
    shard.tick(ITEM_LEASE.0);
    let new = shard.lease_one(B, ITEM_LEASE.0);
    shard.finish(A, old, RunEnd::Failed, ITEM_LEASE.0 + 1);
    assert!(shard.lease(A, 1, ITEM_LEASE.0 + 1).is_empty(), "it runs at the other relay");
    shard.finish(A, old, done("a"), ITEM_LEASE.0 + 2);
    shard.finish(B, new, done("b"), ITEM_LEASE.0 + 3);
    assert_eq!(shard.results("1").len(), 1);
    assert_eq!(shard.results("1")[0].end, ItemEnd::Complete { status: 200, body: "a".into() });
}

#[test]
fn reported_run_keeps_its_lease() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 1), 0));
    let run = shard.lease_one(A, 0);
    shard.batches.routed.running(A, &[run], at(ITEM_LEASE.0 - 1));
    shard.tick(ITEM_LEASE.0);
    assert!(shard.lease(B, 1, ITEM_LEASE.0).is_empty());
}

#[test]
fn item_is_abandoned_after_the_allowed_failures() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 1), 0));
    let first = shard.lease_one(A, 0);
    shard.finish(A, first, RunEnd::Failed, 1);
    // A repeated report must not count twice.
    shard.finish(A, first, RunEnd::Failed, 2);
    for end in [RunEnd::NotRun, RunEnd::Unknown, RunEnd::Interrupted(Progress::default())] {
        let run = shard.lease_one(A, 3);
        shard.finish(A, run, end, 4);
    }
    assert!(shard.results("1").is_empty());
    let second = shard.lease_one(B, 5);
    shard.finish(B, second, RunEnd::Failed, 6);
    assert_eq!(shard.results("1")[0].end, ItemEnd::Abandoned);
}

#[test]
fn impossible_item_is_abandoned_at_once() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 2), 0));
    let run = shard.lease_one(A, 0);
    shard.finish(A, run, RunEnd::Impossible, 1);
    assert_eq!(shard.results("1")[0].end, ItemEnd::Abandoned);
    assert_eq!(shard.results("1").len(), 1);
}

#[test]
fn items_are_abandoned_exactly_at_retention() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 2), 5));
    shard.tick(40_004);
    assert!(shard.results("1").is_empty());
    // A new primary counts on from the age that was last written.
    shard.fail_over(7, 100);
    shard.tick(40_099);
    assert!(shard.results("1").is_empty());
    shard.tick(40_100);
    assert_eq!(shard.results("1").len(), 2);
    assert_eq!(shard.batches.routed.waiting_cost(), Tokens(0));
}

#[test]
fn ended_batch_leases_nothing_and_keeps_its_results() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 3), 0));
    let runs: Vec<Run> = shard.lease(A, 2, 1).iter().map(|leased| leased.run).collect();
    shard.finish(A, runs[0], done("x"), 2);
    let batch = BatchId::of_host(HOST, "1");
    for now_ms in [3, 4] {
        let changes = shard.batches.end_any(batch, at(now_ms)).expect("the batch exists");
        shard.commit(changes);
    }
    assert!(shard.batches.end_any(BatchId::of_host(HOST, "2"), at(5)).is_none());
    shard.finish(A, runs[1], done("late"), 6);
    shard.tick(50_000);
    assert!(shard.lease(B, 9, 50_000).is_empty());
    assert_eq!(shard.results("1").len(), 1);
    assert_eq!(shard.batches.routed.waiting_cost(), Tokens(0));
    assert!(routed::body(&shard.copy, batch, "1-2").is_none());
    shard.fail_over(7, 10);
    assert!(shard.lease(B, 9, 11).is_empty());
    assert_eq!(routed::results(&shard.copy, batch, 0).map(|(total, _)| total), Some(3));
}

#[test]
fn earlier_due_items_go_first_and_late_items_last() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 1), 0));
    assert!(shard.submit(&routed_batch("2", 1), 2_000));
    assert!(shard.submit(&routed_batch("3", 1), 4_000));
    let order: Vec<u64> =
        shard.lease(A, 9, 8_001).iter().map(|leased| leased.run.batch.number).collect();
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn interrupted_run_resumes_from_the_furthest_progress() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 1), 0));
    let far = Progress { last_event: Some(5), text: "to five".to_owned(), pool: None };
    let near = Progress { last_event: Some(2), text: "to two".to_owned(), pool: None };
    for progress in [&far, &near] {
        let run = shard.lease_one(A, 1);
        shard.finish(A, run, RunEnd::Interrupted(progress.clone()), 2);
    }
    assert_eq!(shard.lease(B, 1, 3)[0].progress, far);
}

#[test]
fn body_is_available_until_its_item_has_a_result() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 2), 0));
    let batch = BatchId::of_host(HOST, "1");
    let body = |shard: &Shard| routed::body(&shard.copy, batch, "1-1");
    assert_eq!(body(&shard).as_deref(), Some(&b"body of 1-1"[..]));
    let leased = shard.lease(A, 2, 1);
    let run = leased.iter().find(|l| l.run.item == ItemNumber(1)).expect("the item is leased").run;
    shard.finish(A, run, done("x"), 2);
    assert!(body(&shard).is_none());
}

#[test]
fn open_batch_is_kept_and_a_deleted_batch_leaves_no_rows() {
    let mut shard = Shard::new();
    let retention = DurationMs(1_000);
    assert!(shard.submit(&routed_batch("1", 1), 0));
    let run = shard.lease_one(A, 0);
    assert!(shard.batches.routed.remove_expired(retention, at(9_000)).is_empty());
    shard.finish(A, run, done("x"), 9_001);
    let changes = shard.batches.routed.remove_expired(retention, at(9_002));
    shard.commit(changes);
    assert!(shard.copy.rows().is_empty());
    assert_eq!(shard.batches.routed.bytes(), 0);
}

#[test]
fn page_is_bounded_and_has_at_least_one_result() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 3), 0));
    let runs: Vec<Run> = shard.lease(A, 3, 1).iter().map(|leased| leased.run).collect();
    for run in runs {
        shard.finish(A, run, done(&"x".repeat(800_000)), 2);
    }
    let batch = BatchId::of_host(HOST, "1");
    for after in 0..3 {
        let (total, page) = routed::results(&shard.copy, batch, after).expect("the batch exists");
        assert_eq!((total, page.len(), page[0].position), (3, 1, after + 1));
    }
    assert_eq!(routed::results(&shard.copy, batch, 3), Some((3, Vec::new())));
}

#[test]
fn batches_and_open_items_are_counted() {
    let mut shard = Shard::new();
    let counts = |shard: &Shard| (shard.batches.routed.count(), shard.batches.routed.open_items());
    assert_eq!(counts(&shard), (0, 0));
    assert!(shard.submit(&routed_batch("1", 2), 0));
    assert!(shard.submit(&routed_batch("2", 3), 0));
    assert_eq!(counts(&shard), (2, 5));
    let run = shard.lease_one(A, 1);
    shard.finish(A, run, done("x"), 2);
    assert_eq!(counts(&shard), (2, 4));
    shard.fail_over(4, 3);
    assert_eq!(counts(&shard), (2, 4));
}

// Guards against a missing result or item being noticed by its client first.
#[test]
fn batch_without_a_result_or_item_row_violates_the_invariant() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("a", 2), 0));
    let run = shard.lease_one(A, 0);
    shard.finish(A, run, RunEnd::StreamComplete { text: "out".to_owned() }, 10);
    shard.fail_over(4, 20);
    assert_eq!(violations(Invariant::BatchIsWhole), 0);
    for (expected, prefix) in [(1, "result/"), (2, "work/")] {
        let lost: Vec<String> =
            shard.copy.with_prefix(prefix).map(|(key, _)| key.to_owned()).collect();
        assert_eq!(lost.len(), 1);
        let mut rows = shard.copy.rows().clone();
        rows.retain(|key, _| !lost.contains(key));
        Shard::of(&Copy::from_rows(rows), 5, 30);
        assert_eq!(violations(Invariant::BatchIsWhole), expected, "{prefix}");
    }
}
