//! The record that a fleet's first epoch record is based on. It names the seeds as witnesses.
//!
//! A seed is identified by its address, since the ids of the others aren't known beforehand.

use topazyard_types::{Epoch, NodeId};
use topazyard_wire::message::control::{CoreNode, EpochRecord};

/// The epoch before the first. Its record names the seeds, which decide the first record.
pub(super) const BOOTSTRAP_EPOCH: Epoch = Epoch(0);
/// The first epoch of a fleet.
pub(super) const FIRST_EPOCH: Epoch = Epoch(1);

/// The witness that stands for a seed whose id is not known, with an id derived from its address.
fn seed_voter(address: std::net::SocketAddr) -> CoreNode {
    let digest = topazyard_types::Digest::of(&[address.to_string().as_bytes()]);
    CoreNode { id: NodeId((digest.0 >> 64) as u64), address }
}

/// The record that the first one is based on. It is the same on all nodes whose settings name these
/// seeds.
pub(super) fn bootstrap_record(seeds: &[std::net::SocketAddr]) -> Option<EpochRecord> {
    let seeds: std::collections::BTreeSet<std::net::SocketAddr> = seeds.iter().copied().collect();
    let witnesses: Vec<CoreNode> = seeds.into_iter().map(seed_voter).collect();
    let primary = *witnesses.first()?;
    Some(EpochRecord { epoch: BOOTSTRAP_EPOCH, primary, backups: Vec::new(), witnesses })
}

/// The id under which the sender counts as a witness of the record, if it is one.
pub(super) fn voter_id(
    record: &EpochRecord,
    id: NodeId,
    address: std::net::SocketAddr,
) -> Option<NodeId> {
    if record.epoch != BOOTSTRAP_EPOCH {
        return record.is_witness(id).then_some(id);
    }
    let voter = record.witnesses.iter().find(|seed| seed.address == address);
    voter.map(|seed| seed.id)
}
