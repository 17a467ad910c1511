//! The feed. A follower gets a response once the replica has confirmed its state after the request.
//!
//! No response is larger than [`PART_BYTES`]. A follower that lacks more receives a snapshot, one
//! part per request. The snapshot is encoded once and serves all followers until the changes since
//! then no longer fit in one response.

use super::{ControlMachine, Effects, Waiting};
use topazyard_replication::Snapshot;
use topazyard_replication::snapshot::{PART_BYTES, Row};
use topazyard_types::{DurationMs, LogPosition, MonotonicMs, NodeId};
use topazyard_wire::message::Message;
use topazyard_wire::message::feed::{FeedMessage, PartRequest, UpdateContent};
use topazyard_wire::state::is_in_feed;
use topazyard_wire::{Effect, RowChange};

/// Time without a response after which a follower that still sends requests counts as one that
/// receives nothing.
const RESPONSE_TIMEOUT: DurationMs = DurationMs(1_000);
/// How many snapshots are kept. A follower that fetches the one before the newest can still
/// complete it.
const MAX_SNAPSHOTS: usize = 2;

/// The snapshots that followers fetch, newest last.
pub(crate) type Snapshots = std::collections::VecDeque<Snapshot>;

fn size_of_changes(changes: &[RowChange]) -> usize {
    let value = |change: &RowChange| change.value.as_ref().map_or(0, |value| value.len());
    changes.iter().map(|change| change.key.len() + value(change)).sum()
}

fn size_of_rows(rows: &[Row]) -> usize {
    rows.iter().map(|(key, value)| key.len() + value.len()).sum()
}

impl ControlMachine {
    pub(super) fn receive_feed(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: FeedMessage,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        let FeedMessage::Request { nonce, after, part, last_response_age, health } = message else {
            return;
        };
        if self.replica.is_serving() {
            // A node that sends but receives nothing counts as silent, since it can't perform any
            // role.
            if last_response_age.is_some_and(|age| age < RESPONSE_TIMEOUT) {
                self.reports.receive(sender, health, now);
            }
            self.submit(Vec::new(), Waiting::Follower { to: from, nonce, after, part });
            return;
        }
        let record = self.witness.record();
        let primary = record.map(|r| r.primary).filter(|primary| primary.id != self.me.id);
        let message = FeedMessage::Redirect {
            nonce,
            epoch: record.map(|record| record.epoch).unwrap_or_default(),
            primary: primary.map(|primary| primary.address),
        };
        effects.push(Effect::Send { to: from, message: Message::Feed(message) });
    }

    pub(super) fn send_update(
        &mut self,
        to: std::net::SocketAddr,
        nonce: u64,
        after: LogPosition,
        part: Option<PartRequest>,
        effects: &mut Effects,
    ) {
        let (position, content) = self.update_after(after, part);
        let message = FeedMessage::Update { nonce, position, content };
        effects.push(Effect::Send { to, message: Message::Feed(message) });
    }

    /// The update for a follower, and the position that the follower reaches by it.
    fn update_after(
        &mut self,
        after: LogPosition,
        part: Option<PartRequest>,
    ) -> (LogPosition, UpdateContent) {
        if let Some((position, content)) = part.and_then(|part| self.next_part(after, part)) {
            return (position, content);
        }
        let position = self.replica.copy().position();
        if let Some(changes) = self.bounded_changes_after(after) {
            return (position, UpdateContent::Changes(changes));
        }
        let rows = self.feed_rows();
        if size_of_rows(&rows) <= PART_BYTES {
            return (position, UpdateContent::Snapshot(rows));
        }
        let first = |snapshot: &Snapshot| {
            Some((snapshot.position(), UpdateContent::Part(snapshot.part(0)?)))
        };
        let found = self.usable_snapshot(after).and_then(first);
        found.unwrap_or_else(|| {
            let snapshot = Snapshot::of(position, &rows);
            let response = first(&snapshot);
            self.keep_snapshot(snapshot);
            response.unwrap_or((position, UpdateContent::Snapshot(rows)))
        })
    }

    /// The next part that a follower lacks of a snapshot that is still kept.
    fn next_part(
        &self,
        after: LogPosition,
        request: PartRequest,
    ) -> Option<(LogPosition, UpdateContent)> {
        let is_requested = |snapshot: &&Snapshot| snapshot.position() == request.position;
        let snapshot = self.snapshots.iter().find(is_requested)?;
        let part = snapshot.part(request.part)?;
        (request.position > after).then_some((request.position, UpdateContent::Part(part)))
    }

    /// The changes after a position, if all of them are remembered and fit in one response.
    fn bounded_changes_after(&self, after: LogPosition) -> Option<Vec<RowChange>> {
        let mut changes = self.replica.copy().changes_after(after)?;
        changes.retain(|change| is_in_feed(&change.key));
        (size_of_changes(&changes) <= PART_BYTES).then_some(changes)
    }

    /// The newest snapshot, if it advances the follower and the changes since fit in one response.
    fn usable_snapshot(&self, after: LogPosition) -> Option<&Snapshot> {
        let newest = self.snapshots.back().filter(|snapshot| snapshot.position() > after)?;
        self.bounded_changes_after(newest.position()).map(|_| newest)
    }

    fn keep_snapshot(&mut self, snapshot: Snapshot) {
        self.snapshots.push_back(snapshot);
        if self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    fn feed_rows(&self) -> Vec<Row> {
        let rows = self.replica.copy().rows().iter().filter(|(key, _)| is_in_feed(key));
        rows.map(|(key, value)| (key.clone(), value.clone())).collect()
    }
}
