//! Confirms shard records while the control primary is silent.
//!
//! A backup's copy holds all that was committed in its epoch, and nothing can be committed in the next
//! one before a majority of this epoch's witnesses have accepted it. So once a majority have said, after
//! the question came, that they accepted none, the backup's copy lacked nothing when it was asked. It
//! may hold a batch more than was committed; whoever is named by a later record only there waits.

use super::{ControlMachine, Out};
use topazyard_types::{BootId, DurationMs, Epoch, MonotonicMs, NodeId, ShardId};
use topazyard_wire::Effect;
use topazyard_wire::message::Message;
use topazyard_wire::message::confirm::ConfirmMessage;
use topazyard_wire::message::control::EpochRecord;

/// After how long without a majority the witnesses are asked anew.
const ASK_AGAIN: DurationMs = DurationMs(100);
/// Storage nodes whose questions may wait; they ask again.
const MOST_WAITING: usize = 64;

/// Who asked, with the question's mark.
type Asked = (std::net::SocketAddr, u64);

/// A round of questions to the witnesses.
#[derive(Debug, Clone)]
struct Round {
    nonce: u64,
    epoch: Epoch,
    begun: MonotonicMs,
    confirmed_by: std::collections::BTreeSet<NodeId>,
    /// The questions that came before it began, and so are answered by it.
    asked: Vec<Asked>,
}

/// The questions of storage nodes that wait for a quorum read.
#[derive(Debug, Clone)]
pub(super) struct Confirming {
    waiting: Vec<Asked>,
    round: Option<Round>,
    last_nonce: u64,
}

impl Confirming {
    pub(super) fn new(boot_id: BootId) -> Self {
        Self { waiting: Vec::new(), round: None, last_nonce: boot_id.first_number() }
    }

    /// Keeps the newest question of each node.
    fn take(&mut self, from: std::net::SocketAddr, nonce: u64) {
        self.waiting.retain(|(asker, _)| *asker != from);
        if self.waiting.len() < MOST_WAITING {
            self.waiting.push((from, nonce));
        }
    }
}

impl ControlMachine {
    pub(super) fn receive_confirm(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: ConfirmMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        match message {
            ConfirmMessage::RequestRecords { nonce } => {
                if self.confirmable().is_some() {
                    self.confirming.take(from, nonce);
                    self.confirm_tick(now, out);
                }
            }
            ConfirmMessage::CheckEpoch { nonce, epoch } => {
                if self.witness.confirms(epoch) {
                    let stands = ConfirmMessage::EpochCurrent { nonce, epoch };
                    out.push(Effect::Send { to: from, message: Message::Confirm(stands) });
                }
            }
            ConfirmMessage::EpochCurrent { nonce, epoch } => {
                self.count_witness(sender, nonce, epoch, now, out);
            }
            ConfirmMessage::Records { .. }
            | ConfirmMessage::CheckSynced { .. }
            | ConfirmMessage::Synced { .. } => {}
        }
    }

    /// The record in which this node is a backup that holds all that was committed, if it is one.
    fn confirmable(&self) -> Option<&EpochRecord> {
        let record = self.witness.record()?;
        let is_backup = record.rank(self.me.id).is_some_and(|turn| turn > 0);
        (is_backup && self.holds_all(record)).then_some(record)
    }

    /// Begins a round if questions wait and none is under way.
    pub(super) fn confirm_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        let Some(record) = self.confirmable() else {
            self.confirming.waiting.clear();
            self.confirming.round = None;
            return;
        };
        let (epoch, witnesses) = (record.epoch, record.witnesses.clone());
        if let Some(round) =
            self.confirming.round.take_if(|round| now.since(round.begun) >= ASK_AGAIN)
        {
            for (from, nonce) in round.asked {
                let asks_anew = self.confirming.waiting.iter().any(|(asker, _)| *asker == from);
                if !asks_anew {
                    self.confirming.take(from, nonce);
                }
            }
        }
        if self.confirming.round.is_some() || self.confirming.waiting.is_empty() {
            return;
        }
        self.confirming.last_nonce += 1;
        let nonce = self.confirming.last_nonce;
        self.confirming.round = Some(Round {
            nonce,
            epoch,
            begun: now,
            confirmed_by: std::collections::BTreeSet::new(),
            asked: std::mem::take(&mut self.confirming.waiting),
        });
        for witness in witnesses.iter().filter(|witness| witness.id != self.me.id) {
            let ask = ConfirmMessage::CheckEpoch { nonce, epoch };
            out.push(Effect::Send { to: witness.address, message: Message::Confirm(ask) });
        }
        self.count_witness(self.me.id, nonce, epoch, now, out);
    }

    /// A witness confirms the epoch: with a majority the waiting questions are answered.
    fn count_witness(
        &mut self,
        witness: NodeId,
        nonce: u64,
        epoch: Epoch,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let Some(record) = self.confirmable() else { return };
        let is_counted = record.is_witness(witness) && record.epoch == epoch;
        let is_own = witness == self.me.id;
        if !is_counted || (is_own && !self.witness.confirms(epoch)) {
            return;
        }
        let majority = record.witnesses.len() / 2 + 1;
        let Some(round) = &mut self.confirming.round else { return };
        if round.nonce != nonce || round.epoch != epoch {
            return;
        }
        round.confirmed_by.insert(witness);
        if round.confirmed_by.len() < majority {
            return;
        }
        let asked = std::mem::take(&mut round.asked);
        self.confirming.round = None;
        let epochs = self.shard_epochs();
        for (to, nonce) in asked {
            let records = ConfirmMessage::Records { nonce, epochs: epochs.clone() };
            out.push(Effect::Send { to, message: Message::Confirm(records) });
        }
        self.confirm_tick(now, out);
    }

    /// The epoch of each shard's record in this node's copy.
    fn shard_epochs(&self) -> Vec<(ShardId, Epoch)> {
        let record = |shard| self.shard(shard).map(|record| (shard, record.epoch));
        ShardId::all().filter_map(record).collect()
    }
}
