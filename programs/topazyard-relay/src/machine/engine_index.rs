//! The engines of each pool in the order of their digests, so that a few of many are found without
//! looking at all.

use topazyard_spec::{Engine, EngineState};
use topazyard_types::{Digest, EngineName, PoolName};

/// The engines that may be listed as ready, by pool, on a ring of digests.
#[derive(Debug, Default)]
pub(super) struct EngineIndex {
    rings: std::collections::BTreeMap<PoolName, Vec<(Digest, EngineName)>>,
}

impl EngineIndex {
    /// The index of these engines.
    pub(super) fn of<'a>(engines: impl Iterator<Item = &'a Engine>) -> Self {
        let mut index = Self::default();
        for engine in engines.filter(|engine| engine.state == EngineState::Ready) {
            let point = Digest::of(&[engine.name.0.as_bytes()]);
            let ring = index.rings.entry(engine.pool.clone()).or_default();
            ring.push((point, engine.name.clone()));
        }
        index.rings.values_mut().for_each(|ring| ring.sort());
        index
    }

    /// All engines of a pool, from that point of its ring on.
    pub(super) fn from(&self, pool: &PoolName, point: Digest) -> impl Iterator<Item = &EngineName> {
        let ring = self.rings.get(pool).map_or(&[][..], Vec::as_slice);
        let first = ring.partition_point(|(other, _)| *other < point);
        ring[first..].iter().chain(&ring[..first]).map(|(_, name)| name)
    }

    /// How many engines a pool has.
    pub(super) fn len(&self, pool: &PoolName) -> usize {
        self.rings.get(pool).map_or(0, Vec::len)
    }
}
