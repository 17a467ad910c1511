//! This node's role in each shard, as published by the feed.

use super::hosted::{Hosted, ServingState};
use super::{Effects, StorageMachine};
use topazyard_replication::invariants::{check_acknowledged_on_enough, report};
use topazyard_replication::{Copy, Followers, RefillEvent, Replica, ReplicaOutput};
use topazyard_types::{MonotonicMs, NodeId, ShardId};
use topazyard_wire::invariants::Invariant;
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreNode, ShardChange, ShardChangeRequest, ShardRecord};
use topazyard_wire::{Effect, Group, RowChange, WriteToken};

impl StorageMachine {
    /// Takes up the roles that the shard records give this node.
    pub(super) fn update_roles(&mut self, now: MonotonicMs, effects: &mut Effects) {
        let records: Vec<(ShardId, ShardRecord)> =
            self.fleet.shards.iter().map(|(shard, record)| (*shard, record.clone())).collect();
        for (shard, record) in records {
            let known = self.hosted.get(&shard).is_some_and(|h| h.replica.epoch() >= record.epoch);
            let settled = known && self.hosted.get(&shard).is_some_and(|h| h.replica.has_role());
            if !settled {
                self.update_role(shard, &record, now, effects);
            }
        }
    }

    /// Takes a record forwarded by another node. A record is decided once, so any sender is valid.
    pub(super) fn receive_record(
        &mut self,
        shard: ShardId,
        record: ShardRecord,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        let known = self.fleet.shards.get(&shard).map(|record| record.epoch);
        if known.is_some_and(|known| known < record.epoch) {
            self.fleet.shards.insert(shard, record);
            self.update_roles(now, effects);
        }
    }

    fn host_shard(&mut self, shard: ShardId) -> &mut Hosted {
        let boot_id = self.boot_id;
        let loaded = self.loaded.remove(&Group::Shard(shard)).unwrap_or_default();
        let last_write = self.deletion_writes.get(&shard).copied().unwrap_or_default();
        self.hosted.entry(shard).or_insert_with(|| {
            let mut copy = Copy::from_rows(loaded);
            copy.keep_only_last_batch();
            let replica = Replica::new(Group::Shard(shard), !shard.is_counter(), copy, boot_id);
            Hosted::new(replica.with_last_write(last_write))
        })
    }

    /// Changes this node's role in a shard; every change goes through here.
    fn update_role(
        &mut self,
        shard: ShardId,
        record: &ShardRecord,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        let me = self.member.id;
        if !record.holders().any(|node| node.id == me) {
            self.delete_copy(shard, effects);
            return;
        }
        let addresses_of = |nodes: &[CoreNode]| {
            let addresses: Vec<String> =
                nodes.iter().map(|node| node.address.to_string()).collect();
            addresses.join(" ")
        };
        let text = format!(
            "shard {shard} epoch {}: primary {} backups [{}] of {} fallbacks [{}] learners [{}]",
            record.epoch,
            record.primary.address,
            addresses_of(&record.backups),
            record.copies.saturating_sub(1),
            addresses_of(&record.fallbacks),
            addresses_of(&record.learners)
        );
        effects.push(Effect::Log { is_error: false, text });
        let stopped = self.stopped.get(&shard).is_some_and(|epoch| *epoch >= record.epoch);
        let hosted = self.host_shard(shard);
        hosted.change_request = None;
        hosted.synced_by.clear();
        let has_restarted = !hosted.replica.has_role()
            && hosted.replica.copy().position() != topazyard_types::LogPosition::default();
        let needs_handover = has_restarted && record.primary.id == me && !record.backups.is_empty();
        let outputs = if needs_handover {
            // It must not synchronize its backups to a copy that may lack changes they have served.
            hosted.replica.become_idle(record.epoch)
        } else if record.primary.id == me {
            // A primary that stopped in this epoch before its restart does not serve in it again:
            // it fills the learners, or requests some.
            let followers = Followers {
                backups: record.backups.clone(),
                learners: record.learners.clone(),
                may_serve: record.is_complete() && (!stopped || shard.is_counter()),
            };
            hosted.replica.become_primary(record.epoch, followers, now)
        } else {
            hosted.serving_state = ServingState::None;
            if record.is_backup(me) || record.learners.iter().any(|node| node.id == me) {
                hosted.replica.become_follower(record.epoch, record.primary.id, now)
            } else {
                hosted.replica.become_idle(record.epoch)
            }
        };
        self.apply_replica_outputs(shard, outputs, now, effects);
        if needs_handover {
            // A backup may have answered reads in the meantime from changes that were lost here.
            let request =
                ShardChangeRequest { shard, epoch: record.epoch, change: ShardChange::HandOver };
            self.stop_and_request_change(request, effects);
            return;
        }
        let requests_change = stopped && record.primary.id == me && record.learners.is_empty();
        if requests_change && !record.backups.is_empty() && !shard.is_counter() {
            let all = record.backups.iter().map(|node| node.id).collect();
            let request = ShardChangeRequest {
                shard,
                epoch: record.epoch,
                change: ShardChange::DropBackups(all),
            };
            self.stop_and_request_change(request, effects);
        }
    }

    /// Deletes a copy that no record names any more.
    fn delete_copy(&mut self, shard: ShardId, effects: &mut Effects) {
        let loaded = self.loaded.remove(&Group::Shard(shard));
        let hosted = self.hosted.remove(&shard);
        let mut keys: Vec<String> =
            loaded.map(|rows| rows.into_keys().collect()).unwrap_or_default();
        let mut last_write = self.deletion_writes.get(&shard).copied().unwrap_or_default();
        if let Some(hosted) = hosted {
            keys = hosted.replica.copy().keys_on_disk();
            last_write = hosted.replica.last_write();
        }
        if shard.is_counter() || keys.is_empty() {
            return;
        }
        // Nobody waits for this write. A later copy of the shard numbers its writes after it.
        let number = last_write + 1;
        self.deletion_writes.insert(shard, number);
        let token = WriteToken { group: Group::Shard(shard), number };
        let changes = keys.into_iter().map(RowChange::delete).collect();
        effects.push(Effect::Write { token, changes });
    }

    pub(super) fn begin_change_request(&mut self, request: &ShardChangeRequest) {
        if let Some(hosted) = self.hosted.get_mut(&request.shard)
            && let Some((current, sent @ None)) = &mut hosted.change_request
            && current == request
        {
            *sent = Some(MonotonicMs(0));
        }
    }

    pub(super) fn apply_replica_outputs(
        &mut self,
        shard: ShardId,
        outputs: Vec<ReplicaOutput>,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        for output in outputs {
            match output {
                ReplicaOutput::Send(to, message) => {
                    effects.push(Effect::Send { to, message: Message::Replica(message) });
                }
                ReplicaOutput::Write(token, changes) => {
                    effects.push(Effect::Write { token, changes })
                }
                ReplicaOutput::Committed(tickets) => {
                    self.check_acknowledgment(shard);
                    for ticket in tickets {
                        self.complete_ticket(shard, ticket, effects);
                    }
                }
                ReplicaOutput::OutcomeUnknown(tickets) => {
                    // Callers retry: their changes are either in the copies or lost.
                    if let Some(hosted) = self.hosted.get_mut(&shard) {
                        tickets.iter().for_each(|ticket| drop(hosted.waiters.remove(ticket)));
                        hosted.serving_state = ServingState::None;
                        hosted.pending_submissions = Default::default();
                    }
                }
                ReplicaOutput::Serving => self.start_serving(shard, now, effects),
                ReplicaOutput::Refill(follower, event) => {
                    self.report_refill(shard, follower, event, effects);
                }
                ReplicaOutput::LearnersReady => {
                    // A pending request to drop backups stays: a promotion would count these
                    // backups again.
                    if let Some(hosted) = self.hosted.get(&shard)
                        && hosted.change_request.is_none()
                    {
                        let epoch = hosted.replica.epoch();
                        let request = ShardChangeRequest {
                            shard,
                            epoch,
                            change: ShardChange::PromoteLearners,
                        };
                        self.stop_and_request_change(request, effects);
                    }
                }
            }
        }
    }

    /// Logs and counts an event of filling a follower's copy.
    fn report_refill(
        &mut self,
        shard: ShardId,
        follower: NodeId,
        event: RefillEvent,
        effects: &mut Effects,
    ) {
        match event {
            RefillEvent::Started { .. } => self.refills.started += 1,
            RefillEvent::Stalled { .. } => self.refills.stalled += 1,
            RefillEvent::Completed { bytes, took } => {
                self.refills.completed += 1;
                self.refills.completed_bytes += bytes;
                self.refills.completed_ms += took.0;
            }
        }
        let text = format!("shard {shard}: refill of {follower} {event}");
        effects.push(Effect::Log { is_error: false, text });
    }

    /// Checks, before anything is acknowledged, that enough copies have synced it.
    fn check_acknowledgment(&self, shard: ShardId) {
        let (Some(hosted), Some(record)) = (self.hosted.get(&shard), self.fleet.shards.get(&shard))
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

    /// Starts to serve once the primary may commit, with the state rebuilt from the copy unless it
    /// is already there.
    fn start_serving(&mut self, shard: ShardId, now: MonotonicMs, effects: &mut Effects) {
        let Some(hosted) = self.hosted.get_mut(&shard) else { return };
        if matches!(hosted.serving_state, ServingState::None) {
            let copy = hosted.replica.copy();
            hosted.serving_state = if shard.is_counter() {
                ServingState::Counter(crate::counter::Counter::from_copy(copy, now))
            } else {
                ServingState::Batches(crate::batches::Batches::from_copy(
                    shard,
                    copy,
                    self.boot_id,
                    now,
                ))
            };
        }
        let text = format!("shard {shard} serves in epoch {}", hosted.replica.epoch());
        effects.push(Effect::Log { is_error: false, text });
        self.notify_waiting_callers(shard, effects);
    }
}
