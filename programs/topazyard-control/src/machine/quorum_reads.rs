//! Quorum reads, which confirm shard records while the control primary is silent.
//!
//! A backup's copy holds everything that was committed in its epoch, and nothing can be committed
//! in the next epoch before a majority of this epoch's witnesses have accepted it. So once a
//! majority have reported, after the request arrived, that they accepted no later record, the
//! backup's copy was complete when the request arrived. It may hold a batch beyond what was
//! committed; a node named only by a record in that batch merely waits.

use super::{ControlMachine, Effects};
use topazyard_types::{BootId, DurationMs, Epoch, MonotonicMs, NodeId, ShardId};
use topazyard_wire::Effect;
use topazyard_wire::message::Message;
use topazyard_wire::message::confirm::ConfirmMessage;
use topazyard_wire::message::control::EpochRecord;

/// How long to wait for a majority before the witnesses are asked again.
const ROUND_RETRY_INTERVAL: DurationMs = DurationMs(100);
/// How many storage nodes may have a request waiting. Others retry.
const MAX_WAITING: usize = 64;

/// The sender of a request and the nonce of that request.
type Requester = (std::net::SocketAddr, u64);

/// A round of requests to the witnesses.
#[derive(Debug, Clone)]
struct Round {
    nonce: u64,
    epoch: Epoch,
    started_at: MonotonicMs,
    confirmed_by: std::collections::BTreeSet<NodeId>,
    /// The requests that arrived before the round started and are answered by it.
    requesters: Vec<Requester>,
}

/// The requests of storage nodes that wait for a quorum read.
#[derive(Debug, Clone)]
pub(super) struct QuorumReads {
    waiting: Vec<Requester>,
    round: Option<Round>,
    last_nonce: u64,
}

impl QuorumReads {
    pub(super) fn new(boot_id: BootId) -> Self {
        Self { waiting: Vec::new(), round: None, last_nonce: boot_id.first_number() }
    }

    /// Keeps the newest request of each node.
    fn enqueue(&mut self, from: std::net::SocketAddr, nonce: u64) {
        self.waiting.retain(|(requester, _)| *requester != from);
        if self.waiting.len() < MAX_WAITING {
            self.waiting.push((from, nonce));
        }
    }
}

impl ControlMachine {
    pub(super) fn receive_quorum_read(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: ConfirmMessage,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        match message {
            ConfirmMessage::RequestRecords { nonce } => {
                if self.confirmable_record().is_some() {
                    self.quorum_reads.enqueue(from, nonce);
                    self.quorum_read_tick(now, effects);
                }
            }
            ConfirmMessage::CheckEpoch { nonce, epoch } => {
                if self.witness.confirms(epoch) {
                    let reply = ConfirmMessage::EpochCurrent { nonce, epoch };
                    effects.push(Effect::Send { to: from, message: Message::Confirm(reply) });
                }
            }
            ConfirmMessage::EpochCurrent { nonce, epoch } => {
                self.count_confirmation(sender, nonce, epoch, now, effects);
            }
            ConfirmMessage::Records { .. }
            | ConfirmMessage::CheckSynced { .. }
            | ConfirmMessage::Synced { .. } => {}
        }
    }

    /// The current record, if this node is a backup in it that holds everything committed.
    fn confirmable_record(&self) -> Option<&EpochRecord> {
        let record = self.witness.record()?;
        let is_backup = record.rank(self.me.id).is_some_and(|rank| rank > 0);
        (is_backup && self.holds_all_acknowledged(record)).then_some(record)
    }

    /// Starts a round if requests are waiting and none is in progress.
    pub(super) fn quorum_read_tick(&mut self, now: MonotonicMs, effects: &mut Effects) {
        let Some(record) = self.confirmable_record() else {
            self.quorum_reads.waiting.clear();
            self.quorum_reads.round = None;
            return;
        };
        let (epoch, witnesses) = (record.epoch, record.witnesses.clone());
        if let Some(round) = self
            .quorum_reads
            .round
            .take_if(|round| now.since(round.started_at) >= ROUND_RETRY_INTERVAL)
        {
            for (from, nonce) in round.requesters {
                let has_newer_request =
                    self.quorum_reads.waiting.iter().any(|(requester, _)| *requester == from);
                if !has_newer_request {
                    self.quorum_reads.enqueue(from, nonce);
                }
            }
        }
        if self.quorum_reads.round.is_some() || self.quorum_reads.waiting.is_empty() {
            return;
        }
        self.quorum_reads.last_nonce += 1;
        let nonce = self.quorum_reads.last_nonce;
        self.quorum_reads.round = Some(Round {
            nonce,
            epoch,
            started_at: now,
            confirmed_by: std::collections::BTreeSet::new(),
            requesters: std::mem::take(&mut self.quorum_reads.waiting),
        });
        for witness in witnesses.iter().filter(|witness| witness.id != self.me.id) {
            let request = ConfirmMessage::CheckEpoch { nonce, epoch };
            effects.push(Effect::Send { to: witness.address, message: Message::Confirm(request) });
        }
        self.count_confirmation(self.me.id, nonce, epoch, now, effects);
    }

    /// Counts a witness that confirms the epoch. With a majority the waiting requests are answered.
    fn count_confirmation(
        &mut self,
        witness: NodeId,
        nonce: u64,
        epoch: Epoch,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        let Some(record) = self.confirmable_record() else { return };
        let is_current_witness = record.is_witness(witness) && record.epoch == epoch;
        let is_own = witness == self.me.id;
        if !is_current_witness || (is_own && !self.witness.confirms(epoch)) {
            return;
        }
        let majority = record.witnesses.len() / 2 + 1;
        let Some(round) = &mut self.quorum_reads.round else { return };
        if round.nonce != nonce || round.epoch != epoch {
            return;
        }
        round.confirmed_by.insert(witness);
        if round.confirmed_by.len() < majority {
            return;
        }
        let requesters = std::mem::take(&mut round.requesters);
        self.quorum_reads.round = None;
        let epochs = self.shard_epochs();
        for (to, nonce) in requesters {
            let records = ConfirmMessage::Records { nonce, epochs: epochs.clone() };
            effects.push(Effect::Send { to, message: Message::Confirm(records) });
        }
        self.quorum_read_tick(now, effects);
    }

    /// The epoch of each shard's record in this node's copy.
    fn shard_epochs(&self) -> Vec<(ShardId, Epoch)> {
        let record = |shard| self.shard(shard).map(|record| (shard, record.epoch));
        ShardId::all().filter_map(record).collect()
    }
}
