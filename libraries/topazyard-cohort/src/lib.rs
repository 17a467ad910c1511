//! Membership of the fleet: who is there, told by probes and by second opinions, and forgotten
//! only after a suspicion that nobody refuted.

mod cohort;
mod gossip;
mod roll;

pub use cohort::{Cohort, Outgoing};

/// The effects that send a cohort's messages, for any machine that has a cohort.
///
/// ```
/// use topazyard_wire::message::cohort::CohortMessage;
/// let to = "127.0.0.1:1".parse().unwrap();
/// let probe = CohortMessage::Probe { nonce: 1, news: vec![] };
/// let effects: Vec<topazyard_wire::Effect<(), ()>> =
///     topazyard_cohort::effects(vec![(to, probe)]).collect();
/// assert_eq!(effects.len(), 1);
/// ```
pub fn effects<R, T>(
    outgoing: Vec<Outgoing>,
) -> impl Iterator<Item = topazyard_wire::Effect<R, T>> {
    outgoing.into_iter().map(|(to, message)| {
        let message = topazyard_wire::Message::Cohort(message);
        topazyard_wire::Effect::Send { to, message }
    })
}
pub use roll::Known;
