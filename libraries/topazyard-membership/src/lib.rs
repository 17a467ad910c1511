//! Membership of the fleet: who is there, told by probes and by second opinions, and forgotten
//! only after a suspicion that nobody refuted.

mod gossip;
mod membership;
mod roll;

pub use membership::{Membership, Outgoing};

/// The effects that send a membership's messages, for any machine that has a membership.
///
/// ```
/// use topazyard_wire::message::membership::MembershipMessage;
/// let to = "127.0.0.1:1".parse().unwrap();
/// let probe = MembershipMessage::Probe { nonce: 1, updates: vec![] };
/// let effects: Vec<topazyard_wire::Effect<(), ()>> =
///     topazyard_membership::effects(vec![(to, probe)]).collect();
/// assert_eq!(effects.len(), 1);
/// ```
pub fn effects<R, T>(
    outgoing: Vec<Outgoing>,
) -> impl Iterator<Item = topazyard_wire::Effect<R, T>> {
    outgoing.into_iter().map(|(to, message)| {
        let message = topazyard_wire::Message::Membership(message);
        topazyard_wire::Effect::Send { to, message }
    })
}
pub use roll::KnownMember;
