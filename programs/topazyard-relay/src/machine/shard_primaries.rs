//! What this relay knows of the primaries of batch shards.
//!
//! A call is sent only to a primary that has reported, in the epoch in force, that it serves. Until
//! then the calls wait here, and all that is sent toward the shard is one small query per interval,
//! however many calls wait and however large they are. Otherwise retries could fill the link over
//! which the shard's replicas recover, and so prolong the outage that they wait for.

use topazyard_types::{DurationMs, Epoch, MonotonicMs, NodeId, ShardId};

/// Interval of queries to a primary that does not serve. It reports by itself once it does, so
/// this only bounds the delay after a lost message.
const QUERY_INTERVAL: DurationMs = DurationMs(250);
/// Range of the delay that is added to the interval, so that relays don't query in step.
const QUERY_JITTER_MS: u64 = 100;

/// A query to a primary.
#[derive(Debug, Clone, Copy)]
struct Query {
    epoch: Epoch,
    next_at: MonotonicMs,
}

/// What is known of one shard's primary.
#[derive(Debug, Default)]
struct PrimaryStatus {
    /// The latest epoch in which a primary reported that it serves, unless that is in doubt.
    serving_in: Option<Epoch>,
    /// The last query, until the primary is known to serve.
    query: Option<Query>,
}

/// The primaries of the batch shards that this relay calls.
#[derive(Debug)]
pub(super) struct ShardPrimaries {
    statuses: std::collections::BTreeMap<ShardId, PrimaryStatus>,
    jitter: DurationMs,
}

impl ShardPrimaries {
    pub(super) fn new(relay: NodeId) -> Self {
        let jitter = DurationMs(relay.0 % QUERY_JITTER_MS);
        Self { statuses: std::collections::BTreeMap::new(), jitter }
    }

    /// Whether the shard's primary is known to serve in the epoch.
    pub(super) fn is_serving(&self, shard: ShardId, epoch: Epoch) -> bool {
        self.statuses.get(&shard).is_some_and(|status| status.serving_in == Some(epoch))
    }

    /// A primary reported that it serves in the epoch, or responded as only such a primary does.
    pub(super) fn reported_serving(&mut self, shard: ShardId, epoch: Epoch) {
        let status = self.statuses.entry(shard).or_default();
        status.serving_in = status.serving_in.max(Some(epoch));
        status.query = None;
    }

    /// A node refused a call or a query, since it does not serve the shard. The next query in the
    /// same epoch waits for an interval.
    pub(super) fn reported_not_serving(&mut self, shard: ShardId, epoch: Epoch, now: MonotonicMs) {
        let next_at = self.next_query_at(now);
        let status = self.statuses.entry(shard).or_default();
        status.serving_in = None;
        status.query.get_or_insert(Query { epoch, next_at });
    }

    /// A call was not answered in time, so the primary may no longer serve.
    pub(super) fn doubt(&mut self, shard: ShardId) {
        if let Some(status) = self.statuses.get_mut(&shard) {
            status.serving_in = None;
        }
    }

    /// Whether the shard's primary of the epoch should be queried now. Records the query.
    pub(super) fn start_query(&mut self, shard: ShardId, epoch: Epoch, now: MonotonicMs) -> bool {
        if self.is_serving(shard, epoch) {
            return false;
        }
        let next_at = self.next_query_at(now);
        let status = self.statuses.entry(shard).or_default();
        let is_due = status.query.is_none_or(|query| query.epoch != epoch || now >= query.next_at);
        if is_due {
            status.query = Some(Query { epoch, next_at });
        }
        is_due
    }

    fn next_query_at(&self, now: MonotonicMs) -> MonotonicMs {
        now.plus(QUERY_INTERVAL).plus(self.jitter)
    }
}
