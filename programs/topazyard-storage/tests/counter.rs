//! The token counter: holds never exceed the limit, and none is leaked.

use topazyard_replication::Copy;
use topazyard_storage::counter::{AddOutcome, Counter, RELAY_LEASE, Report};
use topazyard_types::{
    BootId, DurationMs, Epoch, HoldId, MonotonicMs, NodeId, Sequence, ShardId, Tokens,
};
use topazyard_wire::RowChange;
use topazyard_wire::message::counter::{Hold, HoldKind, HoldTerms};

const RELAY: NodeId = NodeId(7);
const NOW: MonotonicMs = MonotonicMs(100_000);

/// A counter with a history, so that it does not gather.
fn counter() -> Counter {
    let mut copy = Copy::default();
    copy.apply(Epoch(1), Sequence(1), vec![RowChange::delete("none")]);
    Counter::from_copy(&copy, NOW)
}

fn hold(id: u64, cost: u64, kind: HoldKind) -> Hold {
    let part = if kind == HoldKind::Live { 1_000 } else { 300 };
    let terms = HoldTerms { limit: Tokens(1_000), part: Tokens(part), expiry: DurationMs(60_000) };
    Hold {
        id: HoldId(id),
        pool: "main".into(),
        cost: Tokens(cost),
        kind,
        engines: Vec::new(),
        terms,
    }
}

fn is_added(outcome: &AddOutcome) -> bool {
    matches!(outcome, AddOutcome::Added(_))
}

#[test]
fn holds_above_the_limit_are_refused_and_repeats_count_once() {
    let mut counter = counter();
    assert!(is_added(&counter.add(RELAY, &hold(1, 600, HoldKind::Live), NOW)));
    assert!(is_added(&counter.add(RELAY, &hold(1, 600, HoldKind::Live), NOW)));
    assert_eq!(counter.add(RELAY, &hold(2, 401, HoldKind::Live), NOW), AddOutcome::Refused);
    assert!(is_added(&counter.add(RELAY, &hold(3, 400, HoldKind::Live), NOW)));
    assert_eq!(counter.held(&"main".into()), Tokens(1_000));
}

#[test]
fn cost_above_the_limit_runs_alone() {
    let mut counter = counter();
    assert!(is_added(&counter.add(RELAY, &hold(1, 5_000, HoldKind::Live), NOW)));
    assert_eq!(counter.add(RELAY, &hold(2, 1, HoldKind::Live), NOW), AddOutcome::Refused);
}

#[test]
fn items_stay_within_their_part_of_the_limit() {
    let mut counter = counter();
    assert!(is_added(&counter.add(RELAY, &hold(1, 300, HoldKind::Item), NOW)));
    assert_eq!(counter.add(RELAY, &hold(2, 1, HoldKind::Item), NOW), AddOutcome::Refused);
    assert!(is_added(&counter.add(RELAY, &hold(3, 700, HoldKind::Live), NOW)));
}

#[test]
fn holds_of_dead_relay_are_released_when_its_lease_expires() {
    let mut counter = counter();
    counter.add(RELAY, &hold(1, 900, HoldKind::Live), NOW);
    let later = NOW.plus(RELAY_LEASE);
    assert_eq!(counter.tick(MonotonicMs(later.0 - 1)).len(), 0);
    assert_eq!(counter.tick(later).len(), 1);
    assert_eq!(counter.hold_count(), 0);
}

#[test]
fn renewal_releases_unlisted_holds_but_not_newer_ones() {
    let mut counter = counter();
    for id in 1..=3 {
        counter.add(RELAY, &hold(id, 10, HoldKind::Live), NOW);
    }
    counter.renew(RELAY, HoldId(2), &[], &[HoldId(2)], NOW);
    assert_eq!(counter.hold_count(), 2, "2 is pending and 3 is newer than the list");
}

#[test]
fn counter_without_copies_gathers_holds_before_it_grants() {
    let mut counter = Counter::from_copy(&Copy::default(), NOW);
    let requested = hold(9, 10, HoldKind::Live);
    assert_eq!(counter.add(RELAY, &requested, NOW), AddOutcome::Gathering);
    counter.renew(RELAY, HoldId(1), &[hold(1, 995, HoldKind::Live)], &[], NOW);
    let later = MonotonicMs(NOW.0 + 3_600);
    counter.renew(RELAY, HoldId(1), &[hold(1, 995, HoldKind::Live)], &[], later);
    assert_eq!(counter.add(RELAY, &requested, later), AddOutcome::Refused);
}

#[test]
fn waiting_cost_is_checked_against_the_ceiling_after_a_shard_restart() {
    let mut counter = counter();
    let report = |boot_id, number, total| Report {
        shard_epoch: Epoch(1),
        boot_id: BootId(boot_id),
        number,
        total: Tokens(total),
    };
    let granted = |outcome: Option<(bool, Vec<RowChange>)>| outcome.map(|(granted, _)| granted);
    let ceiling = Tokens(500);
    let (one, two) = (ShardId(1), ShardId(2));
    let requested = counter.report(one, report(1, 1, 0), Tokens(400), ceiling, NOW);
    assert_eq!(granted(requested), None, "the waiting cost of other shards is unknown");
    for shard in ShardId::all().filter(|shard| !shard.is_counter()) {
        counter.report(shard, report(1, 2, 0), Tokens(0), ceiling, NOW);
    }
    let requested = counter.report(one, report(1, 3, 0), Tokens(400), ceiling, NOW);
    assert_eq!(granted(requested), Some(true));
    let requested = counter.report(two, report(1, 3, 0), Tokens(101), ceiling, NOW);
    assert_eq!(granted(requested), Some(false));
    // The first shard's primary restarts in the same epoch, and its report numbers start lower.
    let requested = counter.report(one, report(5, 0, 100), Tokens(0), ceiling, NOW);
    assert_eq!(granted(requested), Some(true));
    let requested = counter.report(two, report(1, 4, 0), Tokens(400), ceiling, NOW);
    assert_eq!(granted(requested), Some(true));
}

#[test]
fn no_sequence_of_calls_exceeds_the_limit() {
    bolero::check!().with_type::<Vec<(u8, u8, u16, bool)>>().with_iterations(500).for_each(
        |calls| {
            let mut counter = counter();
            for (action, id, cost, is_item) in calls {
                let kind = if *is_item { HoldKind::Item } else { HoldKind::Live };
                let requested = hold(u64::from(*id), u64::from(*cost), kind);
                if action % 3 == 0 {
                    counter.release(RELAY, requested.id);
                } else {
                    counter.add(RELAY, &requested, NOW);
                }
                assert!(counter.held(&"main".into()) <= Tokens(1_000));
            }
        },
    );
}

// Guards against two failures: a relay that is briefly cut off keeps using blocks that were granted
// to others in the meantime, and blocks of relays that are gone are never freed.
#[test]
fn blocks_outlast_an_expired_lease_until_their_expiry() {
    let mut counter = counter();
    let mut block = hold(1, 500, HoldKind::Block);
    block.terms.expiry = DurationMs(12_000);
    assert!(is_added(&counter.add(RELAY, &block, NOW)));
    assert!(is_added(&counter.add(RELAY, &hold(2, 100, HoldKind::Live), NOW)));
    assert_eq!(counter.tick(NOW.plus(RELAY_LEASE)).len(), 1, "only the live hold expires");
    assert_eq!(counter.held(&"main".into()), Tokens(500));
    assert_eq!(counter.tick(MonotonicMs(NOW.0 + 11_999)).len(), 0);
    assert_eq!(counter.tick(MonotonicMs(NOW.0 + 12_000)).len(), 1);
    assert_eq!(counter.hold_count(), 0);
}

// Guards against a block being taken back although its relay renewed it in time.
#[test]
fn renewal_restarts_the_expiry_of_a_block() {
    let mut counter = counter();
    let mut block = hold(1, 500, HoldKind::Block);
    block.terms.expiry = DurationMs(12_000);
    counter.add(RELAY, &block, NOW);
    let renewed = MonotonicMs(NOW.0 + 10_000);
    counter.renew(RELAY, HoldId(1), &[block], &[], renewed);
    assert_eq!(counter.tick(MonotonicMs(renewed.0 + 11_999)).len(), 0);
    assert_eq!(counter.tick(MonotonicMs(renewed.0 + 12_000)).len(), 1);
}

// Guards against a counter without known holds granting twice what relays still hold, and against
// serving nothing until all relays have reported.
#[test]
fn gathering_counter_grants_blocks_and_items_up_to_half_the_limit() {
    let gathering = || Counter::from_copy(&Copy::default(), NOW);
    let mut counter = gathering();
    assert!(is_added(&counter.add(RELAY, &hold(1, 500, HoldKind::Block), NOW)));
    assert_eq!(counter.add(RELAY, &hold(2, 1, HoldKind::Block), NOW), AddOutcome::Refused);
    assert_eq!(counter.add(RELAY, &hold(3, 1, HoldKind::Item), NOW), AddOutcome::Refused);
    assert_eq!(counter.add(RELAY, &hold(4, 1, HoldKind::Live), NOW), AddOutcome::Gathering);

    let mut counter = gathering();
    assert!(is_added(&counter.add(RELAY, &hold(1, 150, HoldKind::Item), NOW)));
    assert_eq!(counter.add(RELAY, &hold(2, 1, HoldKind::Item), NOW), AddOutcome::Refused);
    assert!(is_added(&counter.add(RELAY, &hold(3, 350, HoldKind::Block), NOW)));
    assert_eq!(counter.add(RELAY, &hold(4, 1, HoldKind::Block), NOW), AddOutcome::Refused);
    // Earlier holds count as soon as they are reported.
    let mut counter = gathering();
    counter.renew(NodeId(8), HoldId(9), &[hold(9, 400, HoldKind::Block)], &[], NOW);
    assert_eq!(counter.add(RELAY, &hold(1, 101, HoldKind::Block), NOW), AddOutcome::Refused);
    assert!(is_added(&counter.add(RELAY, &hold(2, 100, HoldKind::Block), NOW)));
    // After gathering the whole limit is available.
    let later = MonotonicMs(NOW.0 + 3_500);
    assert!(is_added(&counter.add(RELAY, &hold(3, 500, HoldKind::Block), later)));
}

fn request_block(counter: &mut Counter, relay: u64, id: u64, cost: u64) -> AddOutcome {
    counter.add(NodeId(relay), &hold(id, cost, HoldKind::Block), NOW)
}

fn report_used(counter: &mut Counter, relay: u64, used: u64) {
    counter.record_used(NodeId(relay), &[("main".into(), Tokens(used))]);
}

// Guards against the peaks of many relays, which seldom coincide, taking the capacity of items.
#[test]
fn blocks_of_many_relays_count_by_use_and_a_reserve() {
    let mut counter = counter();
    for relay in 1..=100 {
        assert!(is_added(&request_block(&mut counter, relay, 1, 10)), "{relay}");
    }
    assert_eq!(counter.live_tokens(), Tokens(1_000), "a new block counts in full");
    (1..=100).for_each(|relay| report_used(&mut counter, relay, 2));
    assert_eq!(counter.live_tokens(), Tokens(200));
    assert_eq!(counter.held(&"main".into()), Tokens(1_000));
    // 200 used and a reserve of 1.5 times the root of 100 squares of 8 leave 680 to items.
    let item = |id, cost| {
        let terms =
            HoldTerms { limit: Tokens(1_000), part: Tokens(900), expiry: DurationMs(60_000) };
        Hold { terms, ..hold(id, cost, HoldKind::Item) }
    };
    assert!(is_added(&counter.add(RELAY, &item(8, 680), NOW)));
    assert_eq!(counter.add(RELAY, &item(9, 1), NOW), AddOutcome::Refused);
    // Blocks have a reserve of 2.5 times that root, up to 115 % of the limit: 1,150 - 400 - 680.
    assert!(is_added(&request_block(&mut counter, 1, 2, 70)));
    assert_eq!(request_block(&mut counter, 1, 3, 2), AddOutcome::Refused);
}

// Guards against granting items tokens that the live requests of a few relays need a moment later.
#[test]
fn unused_blocks_of_few_relays_count_in_full() {
    let mut counter = counter();
    for relay in 1..=2 {
        request_block(&mut counter, relay, 1, 400);
        report_used(&mut counter, relay, 0);
    }
    assert!(is_added(&counter.add(RELAY, &hold(8, 200, HoldKind::Item), NOW)));
    assert_eq!(counter.add(RELAY, &hold(9, 1, HoldKind::Item), NOW), AddOutcome::Refused);
}

// Guards against refusing live requests while items hold the tokens above the engines' knee.
#[test]
fn blocks_may_exceed_the_limit_only_beside_items() {
    let mut counter = counter();
    assert!(is_added(&counter.add(RELAY, &hold(1, 300, HoldKind::Item), NOW)));
    assert!(is_added(&request_block(&mut counter, 1, 1, 850)));
    assert_eq!(request_block(&mut counter, 1, 2, 1), AddOutcome::Refused);
    counter.release(RELAY, HoldId(1));
    assert!(is_added(&request_block(&mut counter, 1, 3, 150)));
    assert_eq!(request_block(&mut counter, 1, 4, 1), AddOutcome::Refused);
}

#[test]
fn no_usage_report_lets_blocks_or_items_exceed_their_bounds() {
    bolero::check!().with_type::<Vec<(u8, u8, u16)>>().with_iterations(500).for_each(|calls| {
        let mut counter = counter();
        let mut items = 0;
        for (action, id, cost) in calls {
            let (relay, cost) = (u64::from(id % 5), u64::from(*cost % 400));
            match action % 4 {
                0 => report_used(&mut counter, relay, cost),
                1 => drop(counter.release(NodeId(relay), HoldId(u64::from(*id)))),
                2 => drop(request_block(&mut counter, relay, u64::from(*id), cost)),
                _ => {
                    let item = hold(1_000 + u64::from(*id), cost, HoldKind::Item);
                    let is_new = is_added(&counter.add(RELAY, &item, NOW));
                    items += u64::from(is_new);
                }
            }
            assert!(counter.live_tokens() <= Tokens(2_000));
            assert!(counter.held(&"main".into()) <= Tokens(2_300), "{items}");
        }
    });
}

// Guards against items of many relays piling up on one engine, because each relay sees only its own
// items.
#[test]
fn item_gets_the_allowed_engine_with_the_fewest_item_tokens() {
    let mut counter = counter();
    let item = |id, cost, engines: &[&str]| {
        let engines = engines.iter().map(|name| (*name).into()).collect();
        Hold { engines, ..hold(id, cost, HoldKind::Item) }
    };
    let mut assigned_engine = |relay: u64, hold: Hold| {
        assert!(is_added(&counter.add(NodeId(relay), &hold, NOW)));
        counter.engine_of(NodeId(relay), hold.id).map(|engine| engine.0)
    };
    assert_eq!(
        assigned_engine(1, item(1, 10, &["a", "b"])).as_deref(),
        Some("a"),
        "the first one on a tie"
    );
    assert_eq!(assigned_engine(2, item(1, 20, &["a", "b"])).as_deref(), Some("b"));
    assert_eq!(assigned_engine(3, item(1, 5, &["b", "a"])).as_deref(), Some("a"));
    assert_eq!(
        assigned_engine(3, item(1, 5, &["b"])).as_deref(),
        Some("a"),
        "a repeated request gets the same engine"
    );
    assert_eq!(assigned_engine(4, item(2, 1, &[])), None);
    counter.release(NodeId(2), HoldId(1));
    let last = item(7, 1, &["a", "b"]);
    assert!(is_added(&counter.add(RELAY, &last, NOW)));
    assert_eq!(counter.engine_of(RELAY, last.id), Some("b".into()));
}
