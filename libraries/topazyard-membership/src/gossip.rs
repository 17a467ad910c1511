//! Updates about members that travel with probes, each a limited number of times.

use topazyard_wire::message::membership::MemberUpdate;

/// Maximum number of updates in one message, the sender's own not counted.
const MAX_UPDATES_PER_MESSAGE: usize = 8;

/// Updates that are still to be sent, each with the number of remaining transmissions.
#[derive(Debug, Clone, Default)]
pub(crate) struct Gossip {
    pending: Vec<(MemberUpdate, u32)>,
}

impl Gossip {
    /// Queues an update, replacing older updates about the same member.
    pub(crate) fn broadcast(&mut self, update: MemberUpdate, fleet_size: usize) {
        let transmissions = 3 * (usize::BITS - fleet_size.max(1).leading_zeros()) + 1;
        self.pending.retain(|(other, _)| other.member.id != update.member.id);
        self.pending.insert(0, (update, transmissions));
    }

    /// The updates for the next message; those sent least often come first.
    pub(crate) fn next(&mut self) -> Vec<MemberUpdate> {
        self.pending.sort_by_key(|(_, remaining)| std::cmp::Reverse(*remaining));
        let taken = self.pending.iter_mut().take(MAX_UPDATES_PER_MESSAGE);
        let updates = taken
            .map(|(update, remaining)| {
                *remaining -= 1;
                update.clone()
            })
            .collect();
        self.pending.retain(|(_, remaining)| *remaining > 0);
        updates
    }
}
