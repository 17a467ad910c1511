//! Confirms this node's copies for reads asked aside, where the control primary does not.
//!
//! Control's backups are asked which records stand, and the other backups of a shard what they have
//! synced. Either may be asked at any time and as often as wanted: nothing changes by it.

use super::{Out, StorageMachine};
use std::net::SocketAddr;
use topazyard_types::{BootId, DurationMs, Epoch, MonotonicMs, NodeId, ShardId};
use topazyard_wire::Effect;
use topazyard_wire::message::Message;
use topazyard_wire::message::confirm::ConfirmMessage;
use topazyard_wire::message::membership::MemberRole;

/// How often it is asked while reads wait.
const ASK_EVERY: DurationMs = DurationMs(50);
/// How long a read waits for the control primary alone.
const PRIMARY_FIRST: DurationMs = DurationMs(75);
/// Questions whose answers are still taken.
const MOST_ASKED: usize = 16;

/// The questions to control that are under way.
#[derive(Debug)]
pub(super) struct Confirming {
    asked: std::collections::VecDeque<(u64, MonotonicMs)>,
    last_nonce: u64,
    last_asked: Option<MonotonicMs>,
}

impl Confirming {
    pub(super) fn new(boot_id: BootId) -> Self {
        let asked = std::collections::VecDeque::new();
        Self { asked, last_nonce: boot_id.first_number(), last_asked: None }
    }

    fn ask(&mut self, now: MonotonicMs) -> u64 {
        if self.asked.len() >= MOST_ASKED {
            self.asked.pop_front();
        }
        self.last_nonce += 1;
        self.asked.push_back((self.last_nonce, now));
        self.last_nonce
    }
}

impl StorageMachine {
    /// Asks the control backups and the other backups of shards as long as reads wait.
    pub(super) fn confirm_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        let is_due = self.confirming.last_asked.is_none_or(|at| now.since(at) >= ASK_EVERY);
        if !is_due || self.hosted.values().all(|hosted| hosted.asides.is_empty()) {
            return;
        }
        self.confirming.last_asked = Some(now);
        let by_feed = self.follower.confirmed_at();
        let is_left = |since| now.since(since) >= PRIMARY_FIRST && by_feed <= Some(since);
        let mut asides = self.hosted.values().flat_map(|hosted| &hosted.asides);
        if asides.any(|aside| is_left(aside.since)) {
            let nonce = self.confirming.ask(now);
            for to in self.membership.addresses(MemberRole::Control) {
                let ask = ConfirmMessage::RequestRecords { nonce };
                out.push(Effect::Send { to, message: Message::Confirm(ask) });
            }
        }
        self.ask_other_backups(out);
    }

    fn ask_other_backups(&self, out: &mut Out) {
        let me = self.member.id;
        for (shard, hosted) in &self.hosted {
            let Some(record) = self.view.shards.get(shard) else { continue };
            let epoch = hosted.replica.epoch();
            let follows = hosted.replica.was_in_sync() && record.epoch == epoch;
            if hosted.asides.is_empty() || !follows || !record.is_backup(me) {
                continue;
            }
            let sequence = hosted.replica.copy().position().sequence;
            let ask = ConfirmMessage::CheckSynced { shard: *shard, epoch, sequence };
            for other in record.backups.iter().filter(|node| node.id != me) {
                let message = Message::Confirm(ask.clone());
                out.push(Effect::Send { to: other.address, message });
            }
        }
    }

    pub(super) fn receive_confirm(
        &mut self,
        sender: NodeId,
        from: SocketAddr,
        message: ConfirmMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        match message {
            ConfirmMessage::Records { nonce, epochs } => {
                self.take_records(nonce, &epochs);
                self.answer_asides(now, out);
            }
            ConfirmMessage::CheckSynced { shard, epoch, sequence } => {
                let Some(hosted) = self.hosted.get(&shard) else { return };
                if hosted.has_synced(epoch, sequence) {
                    let sequence = hosted.replica.copy().position().sequence;
                    let synced = ConfirmMessage::Synced { shard, epoch, sequence };
                    out.push(Effect::Send { to: from, message: Message::Confirm(synced) });
                }
            }
            ConfirmMessage::Synced { shard, epoch, sequence } => {
                let record = self.view.shards.get(&shard);
                let is_backup = record.is_some_and(|record| record.is_backup(sender));
                let Some(hosted) = self.hosted.get_mut(&shard) else { return };
                if hosted.replica.epoch() == epoch && is_backup {
                    hosted.synced_by.insert(sender, sequence);
                    self.answer_asides(now, out);
                }
            }
            ConfirmMessage::RequestRecords { .. }
            | ConfirmMessage::CheckEpoch { .. }
            | ConfirmMessage::EpochCurrent { .. } => {}
        }
    }

    /// Takes what a control backup confirmed, as of when it was asked.
    fn take_records(&mut self, nonce: u64, epochs: &[(ShardId, Epoch)]) {
        let asked = self.confirming.asked.iter().find(|(asked, _)| *asked == nonce);
        let Some((_, at)) = asked.copied() else { return };
        for (shard, epoch) in epochs {
            if let Some(hosted) = self.hosted.get_mut(shard) {
                hosted.record_confirmed = hosted.record_confirmed.max(Some((*epoch, at)));
            }
        }
    }
}
