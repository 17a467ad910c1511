//! The engines of each pool with the hashes that rank them for a prompt's shared parts, kept
//! between selections.

use topazyard_spec::{Engine, EngineState};
use topazyard_types::{Digest, EngineName, PoolName};

/// The ready engines of each pool.
#[derive(Debug, Default)]
pub(super) struct EngineIndex {
    pools: std::collections::BTreeMap<PoolName, Vec<(u64, EngineName)>>,
}

impl EngineIndex {
    /// Builds the index of these engines.
    pub(super) fn of<'a>(engines: impl Iterator<Item = &'a Engine>) -> Self {
        let mut index = Self::default();
        for engine in engines.filter(|engine| engine.state == EngineState::Ready) {
            let name_hash = Digest::of(&[engine.name.0.as_bytes()]).0 as u64;
            let pool = index.pools.entry(engine.pool.clone()).or_default();
            pool.push((name_hash, engine.name.clone()));
        }
        index
    }

    /// The engines of a pool, each with its rank for that key. All relays compute the same ranks
    /// (rendezvous hashing), and an engine's rank does not depend on the other engines.
    pub(super) fn ranked(
        &self,
        pool: &PoolName,
        key: Digest,
    ) -> impl Iterator<Item = (u64, &EngineName)> {
        let engines = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        let key = mix(key.0 as u64 ^ (key.0 >> 64) as u64);
        engines.iter().map(move |(name_hash, name)| (mix(name_hash ^ key), name))
    }
}

/// Mixes a number over all 64 bits (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    number ^ (number >> 31)
}
