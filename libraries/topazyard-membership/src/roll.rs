//! What is known of each member.

use topazyard_types::{MonotonicMs, NodeId};
use topazyard_wire::message::membership::{MemberStatus, MemberUpdate};

/// A member as it is known here.
#[derive(Debug, Clone)]
pub struct KnownMember {
    /// The newest news of it.
    pub update: MemberUpdate,
    /// Since when it stands so.
    pub since: MonotonicMs,
}

/// Whether news goes before what is known.
pub(crate) fn is_newer(update: &MemberUpdate, known: &MemberUpdate) -> bool {
    (update.incarnation, update.status) > (known.incarnation, known.status)
}

/// All members known, in the order in which they were learned.
#[derive(Debug, Clone, Default)]
pub(crate) struct Roll {
    pub(crate) members: indexmap::IndexMap<NodeId, KnownMember>,
}

impl Roll {
    /// Takes news; gives whether it was new.
    pub(crate) fn take(&mut self, update: &MemberUpdate, now: MonotonicMs) -> bool {
        if let Some(known) = self.members.get_mut(&update.member.id) {
            if !is_newer(update, &known.update) {
                return false;
            }
            *known = KnownMember { update: update.clone(), since: now };
        } else {
            self.members
                .insert(update.member.id, KnownMember { update: update.clone(), since: now });
        }
        true
    }

    /// Members at the same address under another id: an address has one process at a time.
    pub(crate) fn overtaken_by(&self, update: &MemberUpdate) -> Vec<NodeId> {
        self.members
            .values()
            .map(|known| &known.update)
            .filter(|other| {
                other.member.address == update.member.address
                    && other.member.id != update.member.id
                    && other.status != MemberStatus::Removed
            })
            .map(|other| other.member.id)
            .collect()
    }

    /// Changes how a member stands within its incarnation; gives the news of it.
    pub(crate) fn restand(
        &mut self,
        id: NodeId,
        status: MemberStatus,
        now: MonotonicMs,
    ) -> Option<MemberUpdate> {
        let known = self.members.get_mut(&id)?;
        if known.update.status >= status {
            return None;
        }
        known.update.status = status;
        known.since = now;
        Some(known.update.clone())
    }

    /// Members that are not removed.
    pub(crate) fn present(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values().filter(|known| known.update.status != MemberStatus::Removed)
    }
}
