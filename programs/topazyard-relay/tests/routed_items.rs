//! Batches of routed items as the relay's state machine submits and runs them, with the messages of
//! the other nodes injected by the test.

mod item_relay;

use item_relay::{CANCEL, HOST, Relay, batch, item, original_paths, status};
use topazyard_relay::drain::DrainTimes;
use topazyard_relay::front::items::{InvalidStream, ItemEvents};
use topazyard_relay::machine::EngineOutcome;
use topazyard_relay::{RelayCall, RelayResponse};
use topazyard_types::{DurationMs, EngineName, Epoch, ItemNumber, Tokens};
use topazyard_wire::api::Code;
use topazyard_wire::message::batch::{
    BatchCall, BatchResponse, LeasedItem, Progress, Run, RunEnd, WaitingCeiling,
};
use topazyard_wire::message::counter::CounterBody;

#[test]
fn leased_item_runs_with_its_hold_and_without_a_recorded_start() {
    let mut relay = Relay::ready();
    relay.tick(25);
    assert_eq!(relay.last_lease_request().1, 6, "a quarter of the maximum of 24 items");
    let run = relay.start_item();
    let started = relay.runs.first().expect("the item runs");
    assert_eq!((started.run, started.host.as_str()), (run, HOST));
    assert_eq!(started.progress.last_event, Some(3));
    assert!(!relay.calls.iter().any(|(_, call)| matches!(call, BatchCall::Start(_))));
    relay.call(RelayCall::RoutedItemEnded(
        run,
        RunEnd::StreamComplete { text: "x".to_owned() },
        EngineOutcome::Completed(DurationMs(9)),
    ));
    assert_eq!(relay.finished(), Some(&RunEnd::StreamComplete { text: "x".to_owned() }));
    assert_eq!(relay.released, relay.holds);
}

#[test]
fn item_is_not_sent_after_the_cancel_bound() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let requested_at = relay.now;
    let run = relay.start_item();
    relay.call(RelayCall::DispatchItem(run, EngineName("e1".to_owned())));
    let RelayResponse::SendBefore(until) = relay.last_response() else { panic!("not dispatched") };
    assert!(*until < requested_at.plus(CANCEL), "{until:?}");
}

#[test]
fn item_of_a_removed_route_is_handed_back() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let requested = relay.last_lease_request();
    relay.tick(500);
    relay.receive_feed(2, false);
    assert_eq!(relay.last_lease_request(), requested);
    relay.start_item();
    assert!(relay.runs.is_empty());
    assert_eq!(relay.finished(), Some(&RunEnd::NotRun));
}

#[test]
fn item_is_not_sent_when_its_route_is_removed_while_it_connects() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let run = relay.start_item();
    relay.tick(500);
    relay.receive_feed(2, false);
    relay.call(RelayCall::DispatchItem(run, EngineName("e1".to_owned())));
    assert_eq!(relay.last_code(), Some(Code::NoLane));
}

#[test]
fn batch_is_submitted_with_the_ceiling_in_force() {
    let mut relay = Relay::ready();
    relay.submit();
    let (call, body) = relay.calls.last().cloned().expect("the batch is sent");
    let BatchCall::SubmitRouted(routed) = body else { panic!("{body:?}") };
    let ceiling = WaitingCeiling { paths: original_paths(), tokens: Tokens(700) };
    assert_eq!((routed.ceilings, routed.terms.max_attempts), (vec![ceiling], 2));
    relay.receive_shard(call, BatchResponse::Accepted(status()));
    assert!(matches!(relay.last_response(), RelayResponse::Batch(BatchResponse::Accepted(_))));
}

#[test]
fn batch_above_the_ceiling_gets_429_and_one_with_unknown_outcome_504() {
    let mut relay = Relay::ready();
    relay.submit();
    let call = relay.calls.last().expect("the batch is sent").0;
    relay.receive_shard(call, BatchResponse::CeilingReached);
    assert_eq!(relay.last_code().map(Code::status), Some(429));
    relay.submit();
    relay.tick(1_000);
    assert_eq!(relay.last_code().map(Code::status), Some(504), "it may have been accepted");
}

// Guards against a batch that is never answered because its shard's primary exited without a
// response.
#[test]
fn batch_is_resubmitted_to_the_new_primary_of_its_shard() {
    let mut relay = Relay::ready();
    relay.submit();
    let first = relay.calls.last().expect("the batch is sent").clone();
    relay.move_shard();
    relay.tick(400);
    let again = relay.calls.last().expect("the batch is sent again").clone();
    assert_eq!(again, first, "the same call, to the new primary");
    relay.receive_shard(again.0, BatchResponse::Accepted(status()));
    assert!(matches!(relay.last_response(), RelayResponse::Batch(BatchResponse::Accepted(_))));
}

// Guards against telling a client that nothing of a batch runs when the new primary accepts it.
#[test]
fn refusal_by_a_former_primary_is_ignored_after_resubmission() {
    let mut relay = Relay::ready();
    relay.submit();
    let call = relay.calls.last().expect("the batch is sent").0;
    relay.move_shard();
    relay.tick(400);
    let response_count = relay.responses.len();
    relay.receive_shard_in_epoch(Epoch(1), call, BatchResponse::CeilingReached);
    assert_eq!(relay.responses.len(), response_count, "its successor may still accept the batch");
    relay.receive_shard_in_epoch(Epoch(2), call, BatchResponse::CeilingReached);
    assert_eq!(relay.last_code().map(Code::status), Some(429));
}

#[test]
fn batch_whose_route_is_removed_before_submission_is_refused() {
    let mut relay = Relay::ready();
    // The feed is not recent enough for a submission: the batch waits here.
    relay.tick(1_000);
    relay.submit();
    assert!(!relay.calls.iter().any(|(_, call)| matches!(call, BatchCall::SubmitRouted(_))));
    relay.receive_feed(2, false);
    relay.tick(1_000);
    assert_eq!(relay.last_code().map(Code::status), Some(503));
}

#[test]
fn batch_on_an_unknown_route_is_refused() {
    let mut relay = Relay::ready();
    for (host, path) in [(HOST, "/other/7c41"), ("other.example", "/b/7c41")] {
        relay.submit_at(host, path, DurationMs(1_000));
        assert_eq!(relay.last_code(), Some(Code::NoLane), "{host}{path}");
    }
}

/// The grace period of a relay's shutdown.
fn grace() -> u64 {
    topazyard_spec::Bounds::default().grace.0
}

impl Relay {
    fn drain(&mut self) {
        let grace = topazyard_spec::Bounds::default().grace;
        self.call(RelayCall::Drain(DrainTimes::within(grace, DurationMs(0))));
    }

    fn is_under_way(&mut self) -> bool {
        self.call(RelayCall::Health);
        match self.last_response() {
            RelayResponse::Health(health) => health.under_way(),
            other => panic!("{other:?}"),
        }
    }

    /// Advances time in ticks with feed updates.
    fn advance(&mut self, ms: u64) {
        for sequence in 0..ms / 200 {
            self.receive_feed(10 + self.now.0 + sequence, true);
            for _ in 0..8 {
                self.tick(25);
            }
        }
    }
}

// Guards against items leased to a relay that has exited, which wait for their leases to expire.
#[test]
fn relay_waits_for_pending_lease_responses_before_it_exits() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let (call, _) = relay.last_lease_request();
    relay.drain();
    assert!(relay.is_under_way(), "items may already be leased to this relay");
    relay.receive_shard(call, BatchResponse::Leased(Vec::new()));
    assert!(!relay.is_under_way());
}

// Guards against an item that waits for its lease to expire, or is started by a draining relay.
#[test]
fn item_waiting_for_budget_is_handed_back_on_drain() {
    let mut relay = Relay::ready();
    relay.tick(25);
    relay.lease_item(Progress::default());
    assert_eq!((relay.holds.len(), relay.finished()), (1, None));
    relay.drain();
    assert_eq!(relay.finished(), Some(&RunEnd::NotRun));
    assert_eq!(relay.released, relay.holds);
}

#[test]
fn items_leased_to_a_draining_relay_are_handed_back() {
    let mut relay = Relay::ready();
    relay.tick(25);
    relay.drain();
    relay.lease_item(Progress::default());
    assert_eq!(relay.finished(), Some(&RunEnd::NotRun));
    assert!(relay.runs.is_empty() && relay.released == relay.holds);
}

#[test]
fn connecting_item_is_not_sent_by_a_draining_relay() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let run = relay.start_item();
    relay.drain();
    relay.call(RelayCall::DispatchItem(run, EngineName("e1".to_owned())));
    assert_eq!(relay.last_code(), Some(Code::Draining));
}

// Guards against losing the result of a run that ended just before its relay exited, so that the
// item runs again.
#[test]
fn relay_waits_for_acknowledged_run_ends_before_it_exits() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let run = relay.start_item();
    relay.drain();
    assert!(relay.is_under_way());
    let done = RunEnd::StreamComplete { text: "x".to_owned() };
    relay.call(RelayCall::RoutedItemEnded(
        run,
        done.clone(),
        EngineOutcome::Completed(DurationMs(9)),
    ));
    assert!(relay.is_under_way(), "the shard may not have received it");
    let report = relay.calls.iter().rev().find_map(|(call, body)| match body {
        BatchCall::Finish(_, end) if *end == done => Some(*call),
        _ => None,
    });
    relay.receive_shard(report.expect("the end is reported"), BatchResponse::Acknowledged);
    assert!(!relay.is_under_way());
}

// Guards against a call before or late in a drain that is cut off when the process exits.
#[test]
fn batch_call_is_answered_before_a_draining_relay_exits() {
    for delay in [0, grace() / 2, grace() * 3 / 4, grace() * 13 / 16] {
        let mut relay = Relay::ready();
        let read = BatchCall::RoutedResults { batch: batch(), after: 0 };
        relay.drain();
        relay.advance(delay / 200 * 200);
        relay.responses.clear();
        // The timeout of a client that waits longer than the process lives.
        relay.call(RelayCall::Batch(read, DurationMs(grace())));
        let remaining = (grace() * 27 / 32).saturating_sub(delay);
        relay.advance(remaining);
        assert_eq!(relay.last_code().map(Code::status), Some(503), "{delay} ms after SIGTERM");
    }
}

#[test]
fn batch_sent_before_sigterm_is_answered_before_the_relay_exits() {
    let mut relay = Relay::ready();
    relay.submit_at(HOST, "/b/7c41", DurationMs(grace()));
    relay.drain();
    relay.responses.clear();
    relay.advance(grace() * 27 / 32);
    assert_eq!(relay.last_code().map(Code::status), Some(504), "it may have been accepted");
}

fn events(pieces: &[&str], so_far: Progress) -> Result<Option<String>, InvalidStream> {
    let mut events = ItemEvents::resume(so_far);
    for piece in pieces {
        events.push(piece.as_bytes())?;
    }
    Ok(events.into_text())
}

#[test]
fn text_is_complete_only_with_consecutive_events() {
    let fresh = Progress::default;
    let complete = |text: &str| Ok(Some(text.to_owned()));
    assert_eq!(events(&["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], fresh()), complete("a\nb"));
    assert_eq!(events(&["id:0\r\nda", "ta:a\r\n\r", "\n"], fresh()), complete("a"));
    assert_eq!(
        events(&["some-version: 4\nid: 1\ndata: a\ndata: b\n\n"], fresh()),
        complete("a\nb")
    );
    assert_eq!(events(&["id: 1\ndata: a\n\nid: 3\ndata: b\n\n"], fresh()), Err(InvalidStream));
    assert_eq!(events(&["id: 1\ndata: a\n\nid: 1\ndata: a\n\n"], fresh()), Err(InvalidStream));
    assert_eq!(events(&["id: 2\ndata: a\n\n"], fresh()), Err(InvalidStream));
    assert_eq!(events(&["data: a\n\n"], fresh()), Err(InvalidStream));
    assert_eq!(events(&["id: 1\ndata: a\n\nid: 2\ndata: b\n"], fresh()), Ok(None));
    assert_eq!(events(&["id: 1\ndata: a\n\nid: 2\nda"], fresh()), Ok(None));
    assert_eq!(events(&[], fresh()), Ok(None));
}

#[test]
fn resumed_text_continues_at_the_event_after_the_last() {
    let so_far = || Progress { last_event: Some(2), text: "a\nb".to_owned(), pool: None };
    assert_eq!(events(&["id: 3\ndata: c\n\n"], so_far()), Ok(Some("a\nb\nc".to_owned())));
    assert_eq!(events(&["id: 1\ndata: a\n\n"], so_far()), Err(InvalidStream));
    assert_eq!(events(&["id: 4\ndata: d\n\n"], so_far()), Err(InvalidStream));
}

// Guards against a relay that keeps items from other relays, and requests a hold for each in a
// loop, while there is no budget.
#[test]
fn without_budget_fewer_items_are_leased_and_one_at_a_time_requests_a_hold() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let (call, max_items) = relay.last_lease_request();
    assert_eq!(max_items, 6);
    let leased = |number| LeasedItem {
        run: Run { batch: batch(), item: ItemNumber(number), lease: u64::from(number) },
        item: item(),
        host: Some(HOST.to_owned()),
        progress: Progress::default(),
    };
    relay.receive_shard(call, BatchResponse::Leased((0..6).map(leased).collect()));
    let requested = relay.holds.clone();
    assert_eq!(requested.len(), 6, "leased items request holds at once");
    for id in requested {
        relay.receive_counter(CounterBody::Added { id, granted: false, engine: None });
    }
    relay.tick(25);
    assert_eq!(relay.holds.len(), 6);
    relay.tick(25);
    assert_eq!(relay.holds.len(), 7, "the item that has waited longest requests a hold again");
    let id = *relay.holds.last().expect("a hold request");
    relay.receive_counter(CounterBody::Added { id, granted: true, engine: Some("e1".into()) });
    assert_eq!(relay.runs.len(), 1);
    assert_eq!(relay.holds.len(), 9, "a grant lets two more items request holds");
    assert_eq!(relay.last_lease_request().0, call, "the window for waiting items is full");
}
