//! The feed: followers are answered once the replica has confirmed after they asked.
//!
//! No answer is larger than [`PART_BYTES`]. A follower that lacks more gets a snapshot, part by part
//! as it asks for them. The snapshot is encoded once and serves all followers until more was changed
//! since than one answer holds.

use super::{ControlMachine, Out, Waiting};
use topazyard_replication::Snapshot;
use topazyard_replication::snapshot::{PART_BYTES, Row};
use topazyard_types::{DurationMs, LogPosition, MonotonicMs, NodeId};
use topazyard_wire::message::Message;
use topazyard_wire::message::feed::{FeedMessage, PartRequest, UpdateContent};
use topazyard_wire::state::is_in_feed;
use topazyard_wire::{Effect, RowChange};

/// After how long without a return a follower that still asks counts as one that hears nothing.
const DEAF_AFTER: DurationMs = DurationMs(1_000);
/// How many snapshots are kept: followers that fetch the one before the newest may end with it.
const SNAPSHOTS: usize = 2;

/// The snapshots that followers fetch, the newest last.
pub(crate) type Snapshots = std::collections::VecDeque<Snapshot>;

fn weight_of_changes(changes: &[RowChange]) -> usize {
    let value = |change: &RowChange| change.value.as_ref().map_or(0, |value| value.len());
    changes.iter().map(|change| change.key.len() + value(change)).sum()
}

fn weight_of_rows(rows: &[Row]) -> usize {
    rows.iter().map(|(key, value)| key.len() + value.len()).sum()
}

impl ControlMachine {
    pub(super) fn receive_feed(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: FeedMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let FeedMessage::Request { nonce, after, part, last_response_age, health } = message else {
            return;
        };
        if self.replica.is_serving() {
            // Who speaks but hears nothing counts as silent: it can do no duty.
            if last_response_age.is_some_and(|age| age < DEAF_AFTER) {
                self.seen.take(sender, health, now);
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
        out.push(Effect::Send { to: from, message: Message::Feed(message) });
    }

    pub(super) fn send_news(
        &mut self,
        to: std::net::SocketAddr,
        nonce: u64,
        after: LogPosition,
        part: Option<PartRequest>,
        out: &mut Out,
    ) {
        let (position, content) = self.news(after, part);
        let message = FeedMessage::Update { nonce, position, content };
        out.push(Effect::Send { to, message: Message::Feed(message) });
    }

    /// What a follower is answered, and the place that it reaches by it.
    fn news(
        &mut self,
        after: LogPosition,
        part: Option<PartRequest>,
    ) -> (LogPosition, UpdateContent) {
        if let Some((position, content)) = part.and_then(|part| self.next_part(after, part)) {
            return (position, content);
        }
        let position = self.replica.copy().position();
        if let Some(changes) = self.few_changes_after(after) {
            return (position, UpdateContent::Changes(changes));
        }
        let rows = self.fed_rows();
        if weight_of_rows(&rows) <= PART_BYTES {
            return (position, UpdateContent::Snapshot(rows));
        }
        let first = |snapshot: &Snapshot| {
            Some((snapshot.position(), UpdateContent::Part(snapshot.part(0)?)))
        };
        let found = self.fitting_snapshot(after).and_then(first);
        found.unwrap_or_else(|| {
            let snapshot = Snapshot::of(position, &rows);
            let answer = first(&snapshot);
            self.keep_snapshot(snapshot);
            answer.unwrap_or((position, UpdateContent::Snapshot(rows)))
        })
    }

    /// The part that a follower lacks next of a snapshot that is still kept.
    fn next_part(
        &self,
        after: LogPosition,
        wanted: PartRequest,
    ) -> Option<(LogPosition, UpdateContent)> {
        let is_meant = |snapshot: &&Snapshot| snapshot.position() == wanted.position;
        let snapshot = self.snapshots.iter().find(is_meant)?;
        let part = snapshot.part(wanted.part)?;
        (wanted.position > after).then_some((wanted.position, UpdateContent::Part(part)))
    }

    /// The changes after a place, if they are all remembered and fit in one answer.
    fn few_changes_after(&self, after: LogPosition) -> Option<Vec<RowChange>> {
        let mut changes = self.replica.copy().changes_after(after)?;
        changes.retain(|change| is_in_feed(&change.key));
        (weight_of_changes(&changes) <= PART_BYTES).then_some(changes)
    }

    /// The newest snapshot, if it brings a follower on and so far that one answer does the rest.
    fn fitting_snapshot(&self, after: LogPosition) -> Option<&Snapshot> {
        let newest = self.snapshots.back().filter(|snapshot| snapshot.position() > after)?;
        self.few_changes_after(newest.position()).map(|_| newest)
    }

    fn keep_snapshot(&mut self, snapshot: Snapshot) {
        self.snapshots.push_back(snapshot);
        if self.snapshots.len() > SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    fn fed_rows(&self) -> Vec<Row> {
        let rows = self.replica.copy().rows().iter().filter(|(key, _)| is_in_feed(key));
        rows.map(|(key, value)| (key.clone(), value.clone())).collect()
    }
}
