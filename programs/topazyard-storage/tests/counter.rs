//! The counter: never above its limit, and nothing leaks.

use topazyard_replication::Copy;
use topazyard_storage::counter::{Checked, Counter, LEASE, Report};
use topazyard_types::{
    BootId, DurationMs, Epoch, HoldId, MonotonicMs, NodeId, Sequence, ShardId, Tokens,
};
use topazyard_wire::RowChange;
use topazyard_wire::message::counter::{Hold, HoldKind, HoldTerms};

const RELAY: NodeId = NodeId(7);
const NOW: MonotonicMs = MonotonicMs(100_000);

/// A counter with a history, so that it need not gather.
fn counter() -> Counter {
    let mut copy = Copy::default();
    copy.apply(Epoch(1), Sequence(1), vec![RowChange::delete("none")]);
    Counter::taken_over(&copy, NOW)
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

fn is_added(checked: &Checked) -> bool {
    matches!(checked, Checked::Added(_))
}

#[test]
fn what_does_not_fit_is_refused_and_the_same_hold_counts_once() {
    let mut counter = counter();
    assert!(is_added(&counter.add(RELAY, &hold(1, 600, HoldKind::Live), NOW)));
    assert!(is_added(&counter.add(RELAY, &hold(1, 600, HoldKind::Live), NOW)));
    assert_eq!(counter.add(RELAY, &hold(2, 401, HoldKind::Live), NOW), Checked::Refused);
    assert!(is_added(&counter.add(RELAY, &hold(3, 400, HoldKind::Live), NOW)));
    assert_eq!(counter.held(&"main".into()), Tokens(1_000));
}

#[test]
fn a_cost_above_the_limit_runs_alone() {
    let mut counter = counter();
    assert!(is_added(&counter.add(RELAY, &hold(1, 5_000, HoldKind::Live), NOW)));
    assert_eq!(counter.add(RELAY, &hold(2, 1, HoldKind::Live), NOW), Checked::Refused);
}

#[test]
fn items_keep_to_what_the_weights_leave_them() {
    let mut counter = counter();
    assert!(is_added(&counter.add(RELAY, &hold(1, 300, HoldKind::Item), NOW)));
    assert_eq!(counter.add(RELAY, &hold(2, 1, HoldKind::Item), NOW), Checked::Refused);
    assert!(is_added(&counter.add(RELAY, &hold(3, 700, HoldKind::Live), NOW)));
}

#[test]
fn a_dead_relays_holds_are_freed_when_its_lease_lapses() {
    let mut counter = counter();
    counter.add(RELAY, &hold(1, 900, HoldKind::Live), NOW);
    let later = NOW.plus(LEASE);
    assert_eq!(counter.tick(MonotonicMs(later.0 - 1)).len(), 0);
    assert_eq!(counter.tick(later).len(), 1);
    assert_eq!(counter.holds(), 0);
}

#[test]
fn a_renewal_drops_what_it_does_not_list_but_not_what_came_after_it() {
    let mut counter = counter();
    for id in 1..=3 {
        counter.add(RELAY, &hold(id, 10, HoldKind::Live), NOW);
    }
    counter.renew(RELAY, HoldId(2), &[], &[HoldId(2)], NOW);
    assert_eq!(counter.holds(), 2, "2 is asked for and 3 is newer than the list");
}

#[test]
fn a_counter_that_lost_both_copies_gathers_before_it_grants() {
    let mut counter = Counter::taken_over(&Copy::default(), NOW);
    let asked = hold(9, 10, HoldKind::Live);
    assert_eq!(counter.add(RELAY, &asked, NOW), Checked::Gathering);
    counter.renew(RELAY, HoldId(1), &[hold(1, 995, HoldKind::Live)], &[], NOW);
    let later = MonotonicMs(NOW.0 + 3_600);
    counter.renew(RELAY, HoldId(1), &[hold(1, 995, HoldKind::Live)], &[], later);
    assert_eq!(counter.add(RELAY, &asked, later), Checked::Refused);
}

#[test]
fn waiting_work_is_checked_against_its_ceiling_and_a_restarted_shard_is_heard() {
    let mut counter = counter();
    let told = |boot_id, number, total| Report {
        shard_epoch: Epoch(1),
        boot_id: BootId(boot_id),
        number,
        total: Tokens(total),
    };
    let granted = |outcome: Option<(bool, Vec<RowChange>)>| outcome.map(|(granted, _)| granted);
    let ceiling = Tokens(500);
    let (one, two) = (ShardId(1), ShardId(2));
    let asked = counter.report(one, told(1, 1, 0), Tokens(400), ceiling, NOW);
    assert_eq!(granted(asked), None, "nobody knows what waits in the others");
    for shard in ShardId::all().filter(|shard| !shard.is_counter()) {
        counter.report(shard, told(1, 2, 0), Tokens(0), ceiling, NOW);
    }
    let asked = counter.report(one, told(1, 3, 0), Tokens(400), ceiling, NOW);
    assert_eq!(granted(asked), Some(true));
    let asked = counter.report(two, told(1, 3, 0), Tokens(101), ceiling, NOW);
    assert_eq!(granted(asked), Some(false));
    // The first shard's primary restarts in the same epoch and numbers anew from below.
    let asked = counter.report(one, told(5, 0, 100), Tokens(0), ceiling, NOW);
    assert_eq!(granted(asked), Some(true));
    let asked = counter.report(two, told(1, 4, 0), Tokens(400), ceiling, NOW);
    assert_eq!(granted(asked), Some(true));
}

#[test]
fn no_sequence_of_calls_goes_above_the_limit() {
    bolero::check!().with_type::<Vec<(u8, u8, u16, bool)>>().with_iterations(500).for_each(
        |calls| {
            let mut counter = counter();
            for (what, id, cost, is_item) in calls {
                let kind = if *is_item { HoldKind::Item } else { HoldKind::Live };
                let asked = hold(u64::from(*id), u64::from(*cost), kind);
                if what % 3 == 0 {
                    counter.release(RELAY, asked.id);
                } else {
                    counter.add(RELAY, &asked, NOW);
                }
                assert!(counter.held(&"main".into()) <= Tokens(1_000));
            }
        },
    );
}

// Else a relay that is cut off from the counter for a moment goes on with blocks that others were
// given meanwhile; or blocks of relays that are gone are never free again.
#[test]
fn blocks_stand_past_a_lapsed_lease_until_their_expiry() {
    let mut counter = counter();
    let mut block = hold(1, 500, HoldKind::Block);
    block.terms.expiry = DurationMs(12_000);
    assert!(is_added(&counter.add(RELAY, &block, NOW)));
    assert!(is_added(&counter.add(RELAY, &hold(2, 100, HoldKind::Live), NOW)));
    assert_eq!(counter.tick(NOW.plus(LEASE)).len(), 1, "only the live hold lapses");
    assert_eq!(counter.held(&"main".into()), Tokens(500));
    assert_eq!(counter.tick(MonotonicMs(NOW.0 + 11_999)).len(), 0);
    assert_eq!(counter.tick(MonotonicMs(NOW.0 + 12_000)).len(), 1);
    assert_eq!(counter.holds(), 0);
}

// Else a block that its relay renews in time would be taken back all the same.
#[test]
fn a_renewed_block_stands_from_its_renewal_on() {
    let mut counter = counter();
    let mut block = hold(1, 500, HoldKind::Block);
    block.terms.expiry = DurationMs(12_000);
    counter.add(RELAY, &block, NOW);
    let renewed = MonotonicMs(NOW.0 + 10_000);
    counter.renew(RELAY, HoldId(1), &[block], &[], renewed);
    assert_eq!(counter.tick(MonotonicMs(renewed.0 + 11_999)).len(), 0);
    assert_eq!(counter.tick(MonotonicMs(renewed.0 + 12_000)).len(), 1);
}

// Else a counter that knows of no hold yet grants twice what relays still have; or nothing is
// served until all have told it.
#[test]
fn while_it_gathers_blocks_and_items_are_granted_only_within_half() {
    let gathering = || Counter::taken_over(&Copy::default(), NOW);
    let mut counter = gathering();
    assert!(is_added(&counter.add(RELAY, &hold(1, 500, HoldKind::Block), NOW)));
    assert_eq!(counter.add(RELAY, &hold(2, 1, HoldKind::Block), NOW), Checked::Refused);
    assert_eq!(counter.add(RELAY, &hold(3, 1, HoldKind::Item), NOW), Checked::Refused);
    assert_eq!(counter.add(RELAY, &hold(4, 1, HoldKind::Live), NOW), Checked::Gathering);

    let mut counter = gathering();
    assert!(is_added(&counter.add(RELAY, &hold(1, 150, HoldKind::Item), NOW)));
    assert_eq!(counter.add(RELAY, &hold(2, 1, HoldKind::Item), NOW), Checked::Refused);
    assert!(is_added(&counter.add(RELAY, &hold(3, 350, HoldKind::Block), NOW)));
    assert_eq!(counter.add(RELAY, &hold(4, 1, HoldKind::Block), NOW), Checked::Refused);
    // What was held from before counts too, as soon as it is told.
    let mut counter = gathering();
    counter.renew(NodeId(8), HoldId(9), &[hold(9, 400, HoldKind::Block)], &[], NOW);
    assert_eq!(counter.add(RELAY, &hold(1, 101, HoldKind::Block), NOW), Checked::Refused);
    assert!(is_added(&counter.add(RELAY, &hold(2, 100, HoldKind::Block), NOW)));
    // Once it has gathered the whole limit is there.
    let later = MonotonicMs(NOW.0 + 3_500);
    assert!(is_added(&counter.add(RELAY, &hold(3, 500, HoldKind::Block), later)));
}

fn ask_for_block(counter: &mut Counter, relay: u64, id: u64, cost: u64) -> Checked {
    counter.add(NodeId(relay), &hold(id, cost, HoldKind::Block), NOW)
}

fn tell(counter: &mut Counter, relay: u64, used: u64) {
    counter.tell_used(NodeId(relay), &[("main".into(), Tokens(used))]);
}

// Else the peaks of many relays, which they seldom reach together, take the room of items.
#[test]
fn of_many_rooms_the_use_counts_and_a_reserve_that_grows_with_their_root() {
    let mut counter = counter();
    for relay in 1..=100 {
        assert!(is_added(&ask_for_block(&mut counter, relay, 1, 10)), "{relay}");
    }
    assert_eq!(counter.live_tokens(), Tokens(1_000), "a new block counts whole");
    (1..=100).for_each(|relay| tell(&mut counter, relay, 2));
    assert_eq!(counter.live_tokens(), Tokens(200));
    assert_eq!(counter.held(&"main".into()), Tokens(1_000));
    // 200 used and a reserve of 1.5 times the root of 100 squares of 8 leave 680 to items.
    let item = |id, cost| {
        let terms =
            HoldTerms { limit: Tokens(1_000), part: Tokens(900), expiry: DurationMs(60_000) };
        Hold { terms, ..hold(id, cost, HoldKind::Item) }
    };
    assert!(is_added(&counter.add(RELAY, &item(8, 680), NOW)));
    assert_eq!(counter.add(RELAY, &item(9, 1), NOW), Checked::Refused);
    // Blocks have a reserve of 2.5 times that root, up to 115 % of the limit: 1,150 - 400 - 680.
    assert!(is_added(&ask_for_block(&mut counter, 1, 2, 70)));
    assert_eq!(ask_for_block(&mut counter, 1, 3, 2), Checked::Refused);
}

// Else a fleet of few relays lets items into room that its live requests need in a moment.
#[test]
fn the_spare_room_of_few_relays_counts_whole() {
    let mut counter = counter();
    for relay in 1..=2 {
        ask_for_block(&mut counter, relay, 1, 400);
        tell(&mut counter, relay, 0);
    }
    assert!(is_added(&counter.add(RELAY, &hold(8, 200, HoldKind::Item), NOW)));
    assert_eq!(counter.add(RELAY, &hold(9, 1, HoldKind::Item), NOW), Checked::Refused);
}

// Else live requests are refused while items hold the room above the knee.
#[test]
fn beside_items_blocks_may_go_above_the_limit_and_without_them_not() {
    let mut counter = counter();
    assert!(is_added(&counter.add(RELAY, &hold(1, 300, HoldKind::Item), NOW)));
    assert!(is_added(&ask_for_block(&mut counter, 1, 1, 850)));
    assert_eq!(ask_for_block(&mut counter, 1, 2, 1), Checked::Refused);
    counter.release(RELAY, HoldId(1));
    assert!(is_added(&ask_for_block(&mut counter, 1, 3, 150)));
    assert_eq!(ask_for_block(&mut counter, 1, 4, 1), Checked::Refused);
}

#[test]
fn no_telling_lets_blocks_go_above_twice_the_limit_or_items_above_their_part() {
    bolero::check!().with_type::<Vec<(u8, u8, u16)>>().with_iterations(500).for_each(|calls| {
        let mut counter = counter();
        let mut items = 0;
        for (what, id, cost) in calls {
            let (relay, cost) = (u64::from(id % 5), u64::from(*cost % 400));
            match what % 4 {
                0 => tell(&mut counter, relay, cost),
                1 => drop(counter.release(NodeId(relay), HoldId(u64::from(*id)))),
                2 => drop(ask_for_block(&mut counter, relay, u64::from(*id), cost)),
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

// Else items of many relays heap up on one engine, each of which sees its own items alone.
#[test]
fn an_item_gets_the_engine_with_the_least_items_of_those_that_it_may_use() {
    let mut counter = counter();
    let item = |id, cost, engines: &[&str]| {
        let engines = engines.iter().map(|name| (*name).into()).collect();
        Hold { engines, ..hold(id, cost, HoldKind::Item) }
    };
    let mut given = |relay: u64, hold: Hold| {
        assert!(is_added(&counter.add(NodeId(relay), &hold, NOW)));
        counter.engine_of(NodeId(relay), hold.id).map(|engine| engine.0)
    };
    assert_eq!(given(1, item(1, 10, &["a", "b"])).as_deref(), Some("a"), "the best of equals");
    assert_eq!(given(2, item(1, 20, &["a", "b"])).as_deref(), Some("b"));
    assert_eq!(given(3, item(1, 5, &["b", "a"])).as_deref(), Some("a"));
    assert_eq!(
        given(3, item(1, 5, &["b"])).as_deref(),
        Some("a"),
        "asked again: as it was granted"
    );
    assert_eq!(given(4, item(2, 1, &[])), None);
    counter.release(NodeId(2), HoldId(1));
    let last = item(7, 1, &["a", "b"]);
    assert!(is_added(&counter.add(RELAY, &last, NOW)));
    assert_eq!(counter.engine_of(RELAY, last.id), Some("b".into()));
}
