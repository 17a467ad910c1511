//! What this node knows of each member.

use topazyard_types::{MonotonicMs, NodeId};
use topazyard_wire::message::membership::{MemberStatus, MemberUpdate};

/// A member as this node knows it.
#[derive(Debug, Clone)]
pub struct KnownMember {
    /// The newest update about it.
    pub update: MemberUpdate,
    /// Since when it has had its status.
    pub status_since: MonotonicMs,
}

/// Whether an update takes precedence over what is known.
pub(crate) fn is_newer(update: &MemberUpdate, known: &MemberUpdate) -> bool {
    (update.incarnation, update.status) > (known.incarnation, known.status)
}

/// All known members, in the order in which this node learned of them.
#[derive(Debug, Clone, Default)]
pub(crate) struct MemberTable {
    pub(crate) members: indexmap::IndexMap<NodeId, KnownMember>,
}

impl MemberTable {
    /// Applies an update and returns whether it was new.
    pub(crate) fn merge(&mut self, update: &MemberUpdate, now: MonotonicMs) -> bool {
        if let Some(known) = self.members.get_mut(&update.member.id) {
            if !is_newer(update, &known.update) {
                return false;
            }
            *known = KnownMember { update: update.clone(), status_since: now };
        } else {
            self.members.insert(
                update.member.id,
                KnownMember { update: update.clone(), status_since: now },
            );
        }
        true
    }

    /// Other members at the same address: an address belongs to one process at a time.
    pub(crate) fn replaced_by(&self, update: &MemberUpdate) -> Vec<NodeId> {
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

    /// Changes the status of a member within its incarnation and returns the update about it, or
    /// `None` if the member is unknown or already has this status or a later one.
    pub(crate) fn set_status(
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
        known.status_since = now;
        Some(known.update.clone())
    }

    /// The members that are not removed.
    pub(crate) fn present(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values().filter(|known| known.update.status != MemberStatus::Removed)
    }
}
