//! Confirms that this node's shard records are current, so that it can serve replica reads while
//! the control primary does not respond.
//!
//! Control's backups are asked for the current records, and the other backups of a shard for what
//! they have synced. Both queries change nothing, so they may be sent at any time and repeated.

use super::{Effects, StorageMachine};
use std::net::SocketAddr;
use topazyard_types::{BootId, DurationMs, Epoch, MonotonicMs, NodeId, ShardId};
use topazyard_wire::Effect;
use topazyard_wire::message::Message;
use topazyard_wire::message::confirm::ConfirmMessage;
use topazyard_wire::message::membership::MemberRole;

/// Interval of queries while reads wait.
const QUERY_INTERVAL: DurationMs = DurationMs(50);
/// How long a read waits for the control primary before the backups are queried.
const CONTROL_PRIMARY_TIMEOUT: DurationMs = DurationMs(75);
/// Maximum number of queries whose responses are still accepted.
const MAX_PENDING_QUERIES: usize = 16;

/// Queries to control that await a response.
#[derive(Debug)]
pub(super) struct RecordQueries {
    pending: std::collections::VecDeque<(u64, MonotonicMs)>,
    last_nonce: u64,
    last_sent: Option<MonotonicMs>,
}

impl RecordQueries {
    pub(super) fn new(boot_id: BootId) -> Self {
        let pending = std::collections::VecDeque::new();
        Self { pending, last_nonce: boot_id.first_number(), last_sent: None }
    }

    fn start(&mut self, now: MonotonicMs) -> u64 {
        if self.pending.len() >= MAX_PENDING_QUERIES {
            self.pending.pop_front();
        }
        self.last_nonce += 1;
        self.pending.push_back((self.last_nonce, now));
        self.last_nonce
    }
}

impl StorageMachine {
    /// Queries the control backups, and the other backups of each shard, as long as reads wait.
    pub(super) fn send_queries(&mut self, now: MonotonicMs, effects: &mut Effects) {
        let is_due = self.record_queries.last_sent.is_none_or(|at| now.since(at) >= QUERY_INTERVAL);
        if !is_due || self.hosted.values().all(|hosted| hosted.replica_reads.is_empty()) {
            return;
        }
        self.record_queries.last_sent = Some(now);
        let by_feed = self.follower.confirmed_at();
        let primary_timed_out =
            |since| now.since(since) >= CONTROL_PRIMARY_TIMEOUT && by_feed <= Some(since);
        let mut reads = self.hosted.values().flat_map(|hosted| &hosted.replica_reads);
        if reads.any(|read| primary_timed_out(read.received_at)) {
            let nonce = self.record_queries.start(now);
            for to in self.membership.addresses(MemberRole::Control) {
                let query = ConfirmMessage::RequestRecords { nonce };
                effects.push(Effect::Send { to, message: Message::Confirm(query) });
            }
        }
        self.query_other_backups(effects);
    }

    fn query_other_backups(&self, effects: &mut Effects) {
        let me = self.member.id;
        for (shard, hosted) in &self.hosted {
            let Some(record) = self.fleet.shards.get(shard) else { continue };
            let epoch = hosted.replica.epoch();
            let is_following = hosted.replica.was_in_sync() && record.epoch == epoch;
            if hosted.replica_reads.is_empty() || !is_following || !record.is_backup(me) {
                continue;
            }
            let sequence = hosted.replica.copy().position().sequence;
            let query = ConfirmMessage::CheckSynced { shard: *shard, epoch, sequence };
            for other in record.backups.iter().filter(|node| node.id != me) {
                let message = Message::Confirm(query.clone());
                effects.push(Effect::Send { to: other.address, message });
            }
        }
    }

    pub(super) fn receive_confirm(
        &mut self,
        sender: NodeId,
        from: SocketAddr,
        message: ConfirmMessage,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        match message {
            ConfirmMessage::Records { nonce, epochs } => {
                self.receive_records(nonce, &epochs);
                self.answer_replica_reads(now, effects);
            }
            ConfirmMessage::CheckSynced { shard, epoch, sequence } => {
                let Some(hosted) = self.hosted.get(&shard) else { return };
                if hosted.has_synced(epoch, sequence) {
                    let sequence = hosted.replica.copy().position().sequence;
                    let synced = ConfirmMessage::Synced { shard, epoch, sequence };
                    effects.push(Effect::Send { to: from, message: Message::Confirm(synced) });
                }
            }
            ConfirmMessage::Synced { shard, epoch, sequence } => {
                let record = self.fleet.shards.get(&shard);
                let is_backup = record.is_some_and(|record| record.is_backup(sender));
                let Some(hosted) = self.hosted.get_mut(&shard) else { return };
                if hosted.replica.epoch() == epoch && is_backup {
                    hosted.synced_by.insert(sender, sequence);
                    self.answer_replica_reads(now, effects);
                }
            }
            ConfirmMessage::RequestRecords { .. }
            | ConfirmMessage::CheckEpoch { .. }
            | ConfirmMessage::EpochCurrent { .. } => {}
        }
    }

    /// Records what a control backup confirmed, as of the time when the query was sent.
    fn receive_records(&mut self, nonce: u64, epochs: &[(ShardId, Epoch)]) {
        let query =
            self.record_queries.pending.iter().find(|(pending_nonce, _)| *pending_nonce == nonce);
        let Some((_, at)) = query.copied() else { return };
        for (shard, epoch) in epochs {
            if let Some(hosted) = self.hosted.get_mut(shard) {
                hosted.record_confirmed = hosted.record_confirmed.max(Some((*epoch, at)));
            }
        }
    }
}
