//! Copies that went with a disk: the machine came back blank, at its address but under another id.
//!
//! Nobody will ever speak again for the id that the shard's record names, so its primary need not wait
//! until its silence is long enough. Who leads a shard asks its backups; a blank one says that it holds
//! no copy, and the id under which it says so shows that the backup is gone. A word that comes late,
//! from a former process at a present backup's address, costs that backup its place and no data: the
//! record changes by the same wish, under the same rules, as for one that fell silent.

use super::{Out, StorageMachine};
use topazyard_types::{Epoch, NodeId, ShardId};
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{ShardChange, ShardChangeRequest};
use topazyard_wire::message::replica::{ReplicaBody, ReplicaMessage};
use topazyard_wire::{Effect, Group};

impl StorageMachine {
    /// Says that no copy is held here, to a primary that takes this node for a backup.
    pub(super) fn answer_for_copy_not_held(
        &self,
        shard: ShardId,
        from: std::net::SocketAddr,
        message: &ReplicaMessage,
        out: &mut Out,
    ) {
        if self.hosted.contains_key(&shard) || !message.body.is_for_backups() {
            return;
        }
        let body = ReplicaBody::NotHeld;
        let message = ReplicaMessage { group: Group::Shard(shard), epoch: message.epoch, body };
        out.push(Effect::Send { to: from, message: Message::Replica(message) });
    }

    /// A node says that it holds no copy: the backup at its address, if that is another, is gone.
    pub(super) fn drop_displaced(
        &mut self,
        shard: ShardId,
        sender: NodeId,
        from: std::net::SocketAddr,
        epoch: Epoch,
        out: &mut Out,
    ) {
        let Some(record) = self.view.shards.get(&shard) else { return };
        let Some(hosted) = self.hosted.get(&shard) else { return };
        let leads = record.primary.id == self.member.id && record.epoch == epoch;
        let is_present = leads && hosted.replica.epoch() == epoch;
        // Until control was heard, the record may be an old one.
        let may_wish = self.follower.confirmed_at().is_some() && !self.disk.is_full();
        if !is_present || !may_wish || hosted.wish.is_some() {
            return;
        }
        let at_address = record.backups.iter().filter(|backup| backup.address == from);
        let displaced: Vec<NodeId> =
            at_address.map(|backup| backup.id).filter(|id| *id != sender).collect();
        if !displaced.is_empty() {
            let change = ShardChange::DropBackups(displaced);
            self.stop_and_wish(ShardChangeRequest { shard, epoch, change }, out);
        }
    }
}
