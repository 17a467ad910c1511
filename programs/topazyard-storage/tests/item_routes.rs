//! Accepted batches while the configuration changes: which items are leased follows from their host
//! and paths, whatever the routes are named.

mod routed_shard;

use routed_shard::{A, B, CAPACITY_BYTES, Shard, at, ceiling, done, item, paths, routed_batch};
use topazyard_replication::Copy;
use topazyard_storage::batches::routed::SubmitOutcome;
use topazyard_types::{ItemNumber, Tokens};
use topazyard_wire::message::batch::{
    Item, ItemRouting, LeasedItem, Progress, RoutedBatch, RunEnd, WaitingCeiling,
};
use topazyard_wire::routes::RoutePaths;

/// An item with this path.
fn item_at(id: &str, path: &str) -> Item {
    let item = item(id);
    let routing = item.routing.expect("a routed item");
    Item { routing: Some(ItemRouting { path: path.to_owned(), ..routing }), ..item }
}

/// The caller's id of a leased item.
fn id(leased: &LeasedItem) -> &str {
    leased.item.routing.as_ref().map_or("", |routing| &routing.id)
}

/// The callers' ids of leased items.
fn ids(leased: &[LeasedItem]) -> Vec<&str> {
    leased.iter().map(id).collect()
}

// Guards against accepted items that never run because their route has another name (LOST).
#[test]
fn items_of_a_renamed_route_are_leased() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 2), 0));
    // A relay names the paths of a route alone, so that another name of it changes nothing.
    assert_eq!(shard.lease_on(&[paths("/b/")], A, 9, 1).len(), 2);
}

// Guards against items that are leased by a route that has their route's name and other paths.
#[test]
fn items_are_leased_only_on_their_paths() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 2), 0));
    let other_host = RoutePaths { host: "b.example".to_owned(), ..paths("/b/") };
    for routes in [vec![], vec![paths("/c/")], vec![paths("/b/3/1/")], vec![other_host]] {
        assert_eq!(shard.lease_on(&routes, A, 9, 1), [], "{routes:?}");
    }
    assert_eq!(shard.lease_on(&[paths("/c/"), paths("/b/3/")], A, 9, 2).len(), 2);
}

// Guards against items that are leased by a shorter prefix than the longest that begins their path.
#[test]
fn items_below_a_longer_prefix_are_left_to_its_route() {
    let mut shard = Shard::new();
    let items = vec![item_at("x", "/b/1"), item_at("y", "/b/3/1"), item_at("z", "/b/3/2")];
    assert!(shard.submit(&RoutedBatch { items, ..routed_batch("1", 0) }, 0));
    let outer = RoutePaths { excluded: vec!["/b/3/".to_owned()], ..paths("/b/") };
    assert_eq!(ids(&shard.lease_on(std::slice::from_ref(&outer), A, 9, 1)), ["x"]);
    assert_eq!(shard.lease_on(&[outer], A, 9, 2), []);
    assert_eq!(ids(&shard.lease_on(&[paths("/b/3/")], A, 9, 3)), ["y", "z"]);
}

// Guards against accepted items that no longer run once their route was gone and is back.
#[test]
fn items_wait_while_their_route_is_gone_and_are_leased_when_it_is_back() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 2), 0));
    assert_eq!(shard.lease_on(&[], A, 9, 1), []);
    shard.tick(20_000);
    assert_eq!(shard.results("1"), [], "they wait");
    shard.fail_over(7, 100);
    assert_eq!(shard.lease_on(&[paths("/b/")], A, 9, 101).len(), 2);
}

// Guards against a renamed route that takes its ceiling once more (QUOTA).
#[test]
fn waiting_items_count_against_the_ceiling_of_their_route_under_any_name() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 9), 0));
    let mut second = routed_batch("2", 2);
    second.terms.submitted_route = "renamed".into();
    assert!(!shard.submit(&second, 1), "110 of 100 tokens");
}

// Guards against a batch that is refused for what waits on another route, which had its route's
// name before.
#[test]
fn waiting_items_of_other_paths_leave_the_ceiling_free() {
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 9), 0));
    let items = vec![item_at("x", "/c/1"), item_at("y", "/c/2")];
    let ceilings = vec![ceiling("/c/", 100)];
    assert!(shard.submit(&RoutedBatch { items, ceilings, ..routed_batch("2", 0) }, 1));
}

// Guards against a batch that passes the ceiling of a route because others of its items take
// another route.
#[test]
fn each_route_of_a_batch_has_its_own_ceiling() {
    let mut shard = Shard::new();
    let outer = WaitingCeiling {
        paths: RoutePaths { excluded: vec!["/b/3/".to_owned()], ..paths("/b/") },
        tokens: Tokens(20),
    };
    let batch = |id: &str, outer_items: u32, inner_items: u32| {
        let outer_items = (0..outer_items).map(|n| item_at(&format!("{id}-o{n}"), "/b/1"));
        let inner_items = (0..inner_items).map(|n| item_at(&format!("{id}-i{n}"), "/b/3/1"));
        let ceilings = vec![outer.clone(), ceiling("/b/3/", 30)];
        let items = outer_items.chain(inner_items).collect();
        RoutedBatch { items, ceilings, ..routed_batch(id, 0) }
    };
    assert!(shard.submit(&batch("1", 1, 3), 0));
    assert!(!shard.submit(&batch("2", 1, 1), 1), "40 of 30 tokens below /b/3/");
    assert!(!shard.submit(&batch("3", 2, 0), 2), "30 of 20 tokens elsewhere below /b/");
    assert!(shard.submit(&batch("4", 1, 0), 3));
    shard.fail_over(7, 4);
    assert!(!shard.submit(&batch("5", 1, 0), 5), "a new primary counts the same");
}

// Guards against accepting a batch that can't run, and against refusing one that was accepted
// before a configuration took an item's path.
#[test]
fn batch_with_an_unrouted_item_is_accepted_only_if_it_is_known() {
    let unrouted = |id| RoutedBatch { unrouted_item: Some(ItemNumber(1)), ..routed_batch(id, 2) };
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 2), 0));
    assert!(shard.submit(&unrouted("1"), 1));
    let refused = shard.batches.routed.submit(&unrouted("2"), CAPACITY_BYTES, at(2));
    assert_eq!(refused, SubmitOutcome::Unrouted(ItemNumber(1)));
    assert_eq!(shard.lease_on(&[paths("/b/")], A, 9, 3).len(), 2);
}

// Guards against an item that never gets further in the pool that its route moved to, because the
// output of its former pool is kept for the next run.
#[test]
fn progress_in_the_pool_of_the_last_run_replaces_that_of_another() {
    let progress = |pool: &str, last_event| Progress {
        last_event: Some(last_event),
        text: format!("to {last_event} in {pool}"),
        pool: Some(pool.into()),
    };
    let mut shard = Shard::new();
    assert!(shard.submit(&routed_batch("1", 1), 0));
    let former = shard.lease_one(A, 1);
    shard.finish(A, former, RunEnd::Interrupted(progress("main", 7)), 2);
    let run = shard.lease_one(B, 3);
    shard.finish(B, run, RunEnd::Interrupted(progress("other", 2)), 4);
    // A late report of a run without a lease changes nothing.
    shard.finish(A, former, RunEnd::Interrupted(progress("main", 9)), 5);
    assert_eq!(shard.lease_on(&[paths("/b/")], A, 1, 6)[0].progress, progress("other", 2));
}

/// The rows of a batch of one item as frame version 7 wrote them: key and value in hex.
const FORMER_ROWS: [(&str, &str); 2] = [
    ("batch/0000000000000001", "017209612e6578616d706c65c03ec0b8020201000000"),
    ("work/0000000000000001/0000", "016d0670726f6d7074010a01026535062f622f332f310101780179010709"),
];

fn from_hex(hex: &str) -> bytes::Bytes {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("a hex digit");
    (0..hex.len()).step_by(2).map(byte).collect()
}

// Guards against losing batches that were accepted before an update of the software.
#[test]
fn batch_written_by_the_former_release_is_leased_by_host_and_path() {
    let mut shard = Shard::new();
    let rows = FORMER_ROWS.map(|(key, value)| (key.to_owned(), from_hex(value)));
    shard.copy = Copy::from_rows(rows.into());
    shard.fail_over(7, 100);
    let leased = shard.lease_on(&[paths("/b/")], A, 9, 101);
    assert_eq!(ids(&leased), ["e5"]);
    assert_eq!(leased[0].host.as_deref(), Some("a.example"));
    shard.finish(B, leased[0].run, done("out"), 102);
    assert_eq!(shard.results("1").len(), 1);
}
