//! News that travels with probes, each piece a bounded number of times.

use topazyard_wire::message::membership::News;

/// Pieces of news in one message.
const MAX_UPDATES_PER_MESSAGE: usize = 8;

/// News that still travels.
#[derive(Debug, Clone, Default)]
pub(crate) struct Gossip {
    pending: Vec<(News, u32)>,
}

impl Gossip {
    /// Lets news travel, in place of older news of the same member.
    pub(crate) fn broadcast(&mut self, news: News, fleet_size: usize) {
        let transmissions = 3 * (usize::BITS - fleet_size.max(1).leading_zeros()) + 1;
        self.pending.retain(|(other, _)| other.member.id != news.member.id);
        self.pending.insert(0, (news, transmissions));
    }

    /// What goes with the next message: what has travelled least goes first.
    pub(crate) fn next(&mut self) -> Vec<News> {
        self.pending.sort_by_key(|(_, remaining)| std::cmp::Reverse(*remaining));
        let taken = self.pending.iter_mut().take(MAX_UPDATES_PER_MESSAGE);
        let news = taken
            .map(|(news, remaining)| {
                *remaining -= 1;
                news.clone()
            })
            .collect();
        self.pending.retain(|(_, remaining)| *remaining > 0);
        news
    }
}
