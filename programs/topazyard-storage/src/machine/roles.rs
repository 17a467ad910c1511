//! The role this node has in each shard, as the feed says it.

use super::hosted::{Hosted, Work};
use super::{Out, StorageMachine};
use topazyard_replication::invariants::{check_acknowledged_on_enough, report};
use topazyard_replication::{Copy, Followers, Replica, ReplicaOutput};
use topazyard_types::{MonotonicMs, ShardId};
use topazyard_wire::invariants::Invariant;
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreNode, ShardChange, ShardChangeRequest, ShardRecord};
use topazyard_wire::{Effect, Group, RowChange, WriteToken};

impl StorageMachine {
    /// Takes the roles that the view gives this node.
    pub(super) fn settle_roles(&mut self, now: MonotonicMs, out: &mut Out) {
        let records: Vec<(ShardId, ShardRecord)> =
            self.view.shards.iter().map(|(shard, record)| (*shard, record.clone())).collect();
        for (shard, record) in records {
            let known = self.hosted.get(&shard).is_some_and(|h| h.replica.epoch() >= record.epoch);
            let settled = known && self.hosted.get(&shard).is_some_and(|h| h.replica.has_role());
            if !settled {
                self.settle_role(shard, &record, now, out);
            }
        }
    }

    /// Takes a record that somebody passed on. It was decided once and for all, whoever tells it.
    pub(super) fn told_record(
        &mut self,
        shard: ShardId,
        record: ShardRecord,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let known = self.view.shards.get(&shard).map(|record| record.epoch);
        if known.is_some_and(|known| known < record.epoch) {
            self.view.shards.insert(shard, record);
            self.settle_roles(now, out);
        }
    }

    fn host(&mut self, shard: ShardId) -> &mut Hosted {
        let boot_id = self.boot_id;
        let loaded = self.loaded.remove(&Group::Shard(shard)).unwrap_or_default();
        let last_write = self.deletions.get(&shard).copied().unwrap_or_default();
        self.hosted.entry(shard).or_insert_with(|| {
            let mut copy = Copy::from_rows(loaded);
            copy.keep_only_last_batch();
            let replica = Replica::new(Group::Shard(shard), !shard.is_counter(), copy, boot_id);
            Hosted::new(replica.with_last_write(last_write))
        })
    }

    /// The one place where this node's role in a shard changes.
    fn settle_role(
        &mut self,
        shard: ShardId,
        record: &ShardRecord,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let me = self.member.id;
        if !record.holders().any(|node| node.id == me) {
            self.let_go(shard, out);
            return;
        }
        let at = |nodes: &[CoreNode]| {
            let addresses: Vec<String> = nodes.iter().map(|n| n.address.to_string()).collect();
            addresses.join(" ")
        };
        let text = format!(
            "shard {shard} epoch {}: primary {} backups [{}] of {} fallbacks [{}] learners [{}]",
            record.epoch,
            record.primary.address,
            at(&record.backups),
            record.copies.saturating_sub(1),
            at(&record.fallbacks),
            at(&record.learners)
        );
        out.push(Effect::Log { is_error: false, text });
        let stopped = self.stopped.get(&shard).is_some_and(|epoch| *epoch >= record.epoch);
        let hosted = self.host(shard);
        hosted.wish = None;
        hosted.synced_by.clear();
        let has_restarted = !hosted.replica.has_role()
            && hosted.replica.copy().position() != topazyard_types::LogPosition::default();
        let hands_over = has_restarted && record.primary.id == me && !record.backups.is_empty();
        let outputs = if hands_over {
            // It must not bring its backups in step with a copy that may lack what they have shown.
            hosted.replica.become_idle(record.epoch)
        } else if record.primary.id == me {
            // One that stopped in this epoch before it restarted serves no more in it: it fills
            // the learners, or wishes for some.
            let followers = Followers {
                backups: record.backups.clone(),
                learners: record.learners.clone(),
                may_serve: record.is_complete() && (!stopped || shard.is_counter()),
            };
            hosted.replica.become_primary(record.epoch, followers, now)
        } else {
            hosted.work = Work::None;
            if record.is_backup(me) || record.learners.iter().any(|node| node.id == me) {
                hosted.replica.become_follower(record.epoch, record.primary.id, now)
            } else {
                hosted.replica.become_idle(record.epoch)
            }
        };
        self.take_replica(shard, outputs, now, out);
        if hands_over {
            // A backup may have answered reads meanwhile from a batch that was lost here.
            let wish =
                ShardChangeRequest { shard, epoch: record.epoch, change: ShardChange::HandOver };
            self.stop_and_wish(wish, out);
            return;
        }
        let wishes = stopped && record.primary.id == me && record.learners.is_empty();
        if wishes && !record.backups.is_empty() && !shard.is_counter() {
            let all = record.backups.iter().map(|node| node.id).collect();
            let wish = ShardChangeRequest {
                shard,
                epoch: record.epoch,
                change: ShardChange::DropBackups(all),
            };
            self.stop_and_wish(wish, out);
        }
    }

    /// Deletes a copy that no record names any more.
    fn let_go(&mut self, shard: ShardId, out: &mut Out) {
        let loaded = self.loaded.remove(&Group::Shard(shard));
        let hosted = self.hosted.remove(&shard);
        let mut keys: Vec<String> =
            loaded.map(|rows| rows.into_keys().collect()).unwrap_or_default();
        let mut last_write = self.deletions.get(&shard).copied().unwrap_or_default();
        if let Some(hosted) = hosted {
            keys = hosted.replica.copy().keys_on_disk();
            last_write = hosted.replica.last_write();
        }
        if shard.is_counter() || keys.is_empty() {
            return;
        }
        // No one waits for this write. A copy that is taken up later numbers its writes after it.
        let number = last_write + 1;
        self.deletions.insert(shard, number);
        let token = WriteToken { group: Group::Shard(shard), number };
        let changes = keys.into_iter().map(RowChange::delete).collect();
        out.push(Effect::Write { token, changes });
    }

    pub(super) fn begin_wishing(&mut self, wish: &ShardChangeRequest) {
        if let Some(hosted) = self.hosted.get_mut(&wish.shard)
            && let Some((kept, sent @ None)) = &mut hosted.wish
            && kept == wish
        {
            *sent = Some(MonotonicMs(0));
        }
    }

    pub(super) fn take_replica(
        &mut self,
        shard: ShardId,
        outputs: Vec<ReplicaOutput>,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        for output in outputs {
            match output {
                ReplicaOutput::Send(to, message) => {
                    out.push(Effect::Send { to, message: Message::Replica(message) });
                }
                ReplicaOutput::Write(token, changes) => out.push(Effect::Write { token, changes }),
                ReplicaOutput::Committed(tickets) => {
                    self.check_acknowledges(shard);
                    for ticket in tickets {
                        self.settle(shard, ticket, out);
                    }
                }
                ReplicaOutput::OutcomeUnknown(tickets) => {
                    // Whoever asked asks again; what came of it is in the copies or nowhere.
                    if let Some(hosted) = self.hosted.get_mut(&shard) {
                        tickets.iter().for_each(|ticket| drop(hosted.waiting.remove(ticket)));
                        hosted.work = Work::None;
                        hosted.raising = Default::default();
                    }
                }
                ReplicaOutput::Serving => self.begin_work(shard, now, out),
                ReplicaOutput::LearnersReady => {
                    // One that wished for backups to go would have them counted again.
                    if let Some(hosted) = self.hosted.get(&shard)
                        && hosted.wish.is_none()
                    {
                        let epoch = hosted.replica.epoch();
                        let wish = ShardChangeRequest {
                            shard,
                            epoch,
                            change: ShardChange::PromoteLearners,
                        };
                        self.stop_and_wish(wish, out);
                    }
                }
            }
        }
    }

    /// Checks, before anything is acknowledged, that enough copies have synced it.
    fn check_acknowledges(&self, shard: ShardId) {
        let (Some(hosted), Some(record)) = (self.hosted.get(&shard), self.view.shards.get(&shard))
        else {
            return;
        };
        let (synced, needed) = (hosted.replica.synced_copies(), usize::from(record.copies));
        let epoch = hosted.replica.epoch();
        let holds = record.epoch != epoch || check_acknowledged_on_enough(synced, needed);
        report(holds, Invariant::AcknowledgedOnEnoughCopies, || {
            format!("shard {shard} in epoch {epoch}: {synced} of {needed}")
        });
    }

    /// The primary may commit: it takes up its work from the copy, unless it had it already.
    fn begin_work(&mut self, shard: ShardId, now: MonotonicMs, out: &mut Out) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        if matches!(hosted.work, Work::None) {
            let copy = hosted.replica.copy();
            hosted.work = if shard.is_counter() {
                Work::Counter(crate::counter::Counter::taken_over(copy, now))
            } else {
                Work::Batches(crate::batches::Batches::taken_over(shard, copy, self.boot_id, now))
            };
        }
        let text = format!("shard {shard} serves in epoch {}", hosted.replica.epoch());
        out.push(Effect::Log { is_error: false, text });
    }
}
