//! News that travels with probes, each piece a bounded number of times.

use topazyard_wire::message::membership::MemberUpdate;

/// Pieces of news in one message.
const PIECES: usize = 8;

/// News that still travels.
#[derive(Debug, Clone, Default)]
pub(crate) struct Gossip {
    travelling: Vec<(MemberUpdate, u32)>,
}

impl Gossip {
    /// Lets news travel, in place of older news of the same member.
    pub(crate) fn spread(&mut self, update: MemberUpdate, fleet_size: usize) {
        let times = 3 * (usize::BITS - fleet_size.max(1).leading_zeros()) + 1;
        self.travelling.retain(|(other, _)| other.member.id != update.member.id);
        self.travelling.insert(0, (update, times));
    }

    /// What goes with the next message: what has travelled least goes first.
    pub(crate) fn next(&mut self) -> Vec<MemberUpdate> {
        self.travelling.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        let taken = self.travelling.iter_mut().take(PIECES);
        let updates = taken
            .map(|(update, left)| {
                *left -= 1;
                update.clone()
            })
            .collect();
        self.travelling.retain(|(_, left)| *left > 0);
        updates
    }
}
