//! Backups whose machine came back with a blank disk, at the same address but under a new node id.
//!
//! The id in the shard's record will never respond again, so the primary need not wait for the
//! backup timeout. The primary keeps sending to the backups' addresses; a blank node responds that
//! it holds no copy, and the id of the sender shows that the backup is gone. A late response from a
//! former process at the address of a current backup costs that backup its place in the record but
//! no data: the record changes by the same request, under the same rules, as for a silent backup.

use super::{Effects, StorageMachine};
use topazyard_types::{Epoch, NodeId, ShardId};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{ShardChange, ShardChangeRequest};
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::{Effect, Group};

impl StorageMachine {
    /// Reports that this node holds no copy, to a primary that takes it for a backup.
    pub(super) fn report_not_held(
        &self,
        shard: ShardId,
        from: std::net::SocketAddr,
        message: &ReplicaMessage,
        effects: &mut Effects,
    ) {
        if self.hosted.contains_key(&shard) || !message.body.is_for_backups() {
            return;
        }
        let body = ReplicaBody::NotHeld;
        let message = ReplicaMessage { group: Group::Shard(shard), epoch: message.epoch, body };
        effects.push(Effect::Send { to: from, message: Message::Replica(message) });
    }

    /// Handles a node's report that it holds no copy: a backup recorded at its address under
    /// another id is gone.
    pub(super) fn drop_replaced_backups(
        &mut self,
        shard: ShardId,
        sender: NodeId,
        from: std::net::SocketAddr,
        epoch: Epoch,
        effects: &mut Effects,
    ) {
        let Some(record) = self.fleet.shards.get(&shard) else { return };
        let Some(hosted) = self.hosted.get(&shard) else { return };
        let is_primary = record.primary.id == self.member.id && record.epoch == epoch;
        let is_current = is_primary && hosted.replica.epoch() == epoch;
        // Before the first response of control the known record may be outdated.
        let may_request = self.follower.confirmed_at().is_some() && !self.disk.is_full();
        if !is_current || !may_request || hosted.change_request.is_some() {
            return;
        }
        let at_address = record.backups.iter().filter(|backup| backup.address == from);
        let replaced: Vec<NodeId> =
            at_address.map(|backup| backup.id).filter(|id| *id != sender).collect();
        if !replaced.is_empty() {
            let change = ShardChange::DropBackups(replaced);
            self.stop_and_request_change(ShardChangeRequest { shard, epoch, change }, effects);
        }
    }
}
