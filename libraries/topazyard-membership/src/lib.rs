//! Membership of the fleet: members are detected by direct and indirect probes, and removed only
//! after a suspicion that was not refuted in time.

mod gossip;
mod member_table;
mod membership;

pub use membership::{Membership, Outgoing};

/// The effects that send the messages of a membership, for any state machine that has one.
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
pub use member_table::KnownMember;
