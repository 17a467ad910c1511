//! What is known of each member.

use topazyard_types::{MonotonicMs, NodeId};
use topazyard_wire::message::membership::{News, Standing};

/// A member as it is known here.
#[derive(Debug, Clone)]
pub struct KnownMember {
    /// The newest news of it.
    pub latest: News,
    /// Since when it stands so.
    pub since: MonotonicMs,
}

/// Whether news goes before what is known.
pub(crate) fn is_newer(news: &News, known: &News) -> bool {
    (news.incarnation, news.standing) > (known.incarnation, known.standing)
}

/// All members known, in the order in which they were learned.
#[derive(Debug, Clone, Default)]
pub(crate) struct Roll {
    pub(crate) members: indexmap::IndexMap<NodeId, KnownMember>,
}

impl Roll {
    /// Takes news; gives whether it was new.
    pub(crate) fn take(&mut self, news: &News, now: MonotonicMs) -> bool {
        if let Some(known) = self.members.get_mut(&news.member.id) {
            if !is_newer(news, &known.latest) {
                return false;
            }
            *known = KnownMember { latest: news.clone(), since: now };
        } else {
            self.members.insert(news.member.id, KnownMember { latest: news.clone(), since: now });
        }
        true
    }

    /// Members at the same address under another id: an address has one process at a time.
    pub(crate) fn overtaken_by(&self, news: &News) -> Vec<NodeId> {
        self.members
            .values()
            .map(|known| &known.latest)
            .filter(|other| {
                other.member.address == news.member.address
                    && other.member.id != news.member.id
                    && other.standing != Standing::Removed
            })
            .map(|other| other.member.id)
            .collect()
    }

    /// Changes how a member stands within its incarnation; gives the news of it.
    pub(crate) fn restand(
        &mut self,
        id: NodeId,
        standing: Standing,
        now: MonotonicMs,
    ) -> Option<News> {
        let known = self.members.get_mut(&id)?;
        if known.latest.standing >= standing {
            return None;
        }
        known.latest.standing = standing;
        known.since = now;
        Some(known.latest.clone())
    }

    /// Members that are not removed.
    pub(crate) fn present(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values().filter(|known| known.latest.standing != Standing::Removed)
    }
}
