//! What a relay sends toward a batch shard that does not serve.

mod item_relay;

use item_relay::{HOST, Relay, batch, item, progress};
use topazyard_relay::machine::EngineOutcome;
use topazyard_relay::machine::batches::RoutedSubmission;
use topazyard_relay::{RelayCall, RelayResponse};
use topazyard_types::{BatchId, DurationMs};
use topazyard_wire::message::batch::{BatchCall, BatchResponse, Item, RunEnd};

/// One percent of a link of 150 Mbit/s, shared by the 410 nodes of the size to design for.
const MAX_BYTES_PER_S: usize = 150_000_000 / 8 / 100 / 410;
const BODY_BYTES: usize = 190_000;
const CALL_TIMEOUT: DurationMs = DurationMs(5_000);

impl Relay {
    /// Submits a batch of the host whose only item has a large body.
    fn submit_large(&mut self, number: u32) {
        let body = bytes::Bytes::from(vec![7; BODY_BYTES]);
        self.call(RelayCall::SubmitRoutedBatch(RoutedSubmission {
            batch: BatchId::of_host(HOST, &number.to_string()),
            host: HOST.to_owned(),
            path: "/b/7c41".to_owned(),
            items: vec![Item { body, ..item() }],
            timeout: CALL_TIMEOUT,
        }));
    }

    /// Lets time pass while the feed stays fresh and the shard refuses everything it is sent.
    fn refuse_for(&mut self, ms: u64) {
        self.shard_serves = false;
        for step in 0..ms / 25 {
            if step % 8 == 0 {
                self.receive_feed(10 + self.now.0, true);
            }
            self.tick(25);
            for (call, _) in std::mem::take(&mut self.calls) {
                self.receive_shard(call, BatchResponse::NotPrimary);
            }
        }
    }
}

// Guards against an outage of a shard that its callers' retries keep up.
#[test]
fn bodies_are_not_sent_to_a_shard_that_does_not_serve() {
    for submissions in [1, 25] {
        let mut relay = Relay::ready();
        relay.refuse_for(200);
        relay.bytes_to_shard = 0;
        (0..submissions).for_each(|number| relay.submit_large(number));
        relay.refuse_for(4_000);
        assert!(
            relay.bytes_to_shard <= 4 * MAX_BYTES_PER_S,
            "{submissions} submissions: {} bytes in 4 s",
            relay.bytes_to_shard
        );
    }
}

// Guards against the same by the results of items, which are reported for a minute.
#[test]
fn results_are_not_sent_to_a_shard_that_does_not_serve() {
    let mut relay = Relay::ready();
    relay.tick(25);
    let run = relay.lease_item(progress());
    relay.grant_hold();
    relay.calls.clear();
    relay.tick(25);
    relay.refuse_for(200);
    relay.bytes_to_shard = 0;
    let end = RunEnd::StreamComplete { text: "x".repeat(100_000) };
    relay.call(RelayCall::RoutedItemEnded(run, end, EngineOutcome::Completed(DurationMs(9))));
    relay.refuse_for(4_000);
    assert!(relay.bytes_to_shard <= 4 * MAX_BYTES_PER_S, "{} bytes in 4 s", relay.bytes_to_shard);
}

// Guards against a read that is answered several times with a large response because the first one
// is slow.
#[test]
fn slow_read_is_sent_to_the_replicas_a_few_times_only() {
    let mut relay = Relay::ready();
    let read = BatchCall::RoutedResults { batch: batch(), after: 0 };
    relay.call(RelayCall::Batch(read, CALL_TIMEOUT));
    relay.calls.clear();
    relay.replica_reads = 0;
    for step in 0..100 {
        if step % 8 == 0 {
            relay.receive_feed(10 + relay.now.0, true);
        }
        relay.tick(25);
    }
    assert!(relay.responses.iter().all(|(_, value)| !matches!(value, RelayResponse::Refused(_))));
    assert!(
        (2..=6).contains(&relay.replica_reads),
        "{} replica reads in 2.5 s",
        relay.replica_reads
    );
}

#[test]
fn waiting_calls_are_sent_once_the_shard_reports_that_it_serves() {
    let mut relay = Relay::ready();
    relay.refuse_for(200);
    (0..3).for_each(|number| relay.submit_large(number));
    relay.refuse_for(1_000);
    relay.shard_serves = true;
    relay.answer_serving_check();
    let sent = relay.calls.iter().filter(|(_, call)| matches!(call, BatchCall::SubmitRouted(_)));
    assert_eq!(sent.count(), 3);
}

// Guards against a call that waits for its retry although its shard has another primary.
#[test]
fn call_to_a_silent_primary_is_sent_to_the_next_as_soon_as_that_serves() {
    let mut relay = Relay::ready();
    relay.submit();
    relay.calls.clear();
    relay.shard_serves = false;
    relay.move_shard();
    relay.shard_serves = true;
    relay.answer_serving_check();
    assert!(relay.calls.iter().any(|(_, call)| matches!(call, BatchCall::SubmitRouted(_))));
}

// Guards against copies of one body that pile up at a shard whose responses are slow.
#[test]
fn unanswered_body_is_sent_less_and_less_often() {
    let mut relay = Relay::ready();
    relay.submit_large(1);
    for step in 0..180 {
        if step % 8 == 0 {
            relay.receive_feed(10 + relay.now.0, true);
        }
        relay.tick(25);
    }
    let sent = relay.calls.iter().filter(|(_, call)| matches!(call, BatchCall::SubmitRouted(_)));
    let sent = sent.count();
    assert!((2..=5).contains(&sent), "{sent} times in 4.5 s");
}

#[test]
fn body_that_the_shard_has_received_is_not_sent_again() {
    let mut relay = Relay::ready();
    relay.submit_large(1);
    relay.received_calls = relay.calls.iter().map(|(call, _)| *call).collect();
    for step in 0..180 {
        if step % 8 == 0 {
            relay.receive_feed(10 + relay.now.0, true);
        }
        relay.tick(25);
    }
    let sent = relay.calls.iter().filter(|(_, call)| matches!(call, BatchCall::SubmitRouted(_)));
    assert_eq!(sent.count(), 1);
}
