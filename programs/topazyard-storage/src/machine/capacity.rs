//! How much a shard's batches may weigh, so that lost copies can be filled again in time.
//!
//! Machines with a disk may be lost again once the bound for catching up has passed since their
//! return. A shard whose copies take longer to fill may lose its last one, so no more is accepted than
//! a link carries in that time.

use topazyard_spec::{Bounds, Resources};

/// The part of the bound for catching up that a transfer may take. The rest passes until the loss is
/// noticed, the record names a learner, and the copy is synced.
const TRANSFER_PERCENT: u64 = 75;
/// The part of a link that refills may count on: a transfer takes at most 1.3 times what the link
/// takes for its bytes.
const LINK_PERCENT: u64 = 76;

/// The bounds on what a shard may hold that follow from the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardCapacity {
    /// What memory and disk allow for each shard, in bytes.
    storable_bytes: u64,
    /// What a link carries while a copy may be missing, in bytes, if its rate is known.
    refillable_bytes: Option<u64>,
}

/// What a machine holds beside the shard in question.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OtherCopies {
    /// The size of all of them, in bytes.
    pub hosted_bytes: u64,
    /// The size of those of which the machine is the primary, in bytes.
    pub led_bytes: u64,
}

impl ShardCapacity {
    /// The bounds for these resources. One that is 0 sets none.
    ///
    /// ```
    /// use topazyard_spec::{Bounds, Resources};
    /// use topazyard_storage::machine::{OtherCopies, ShardCapacity};
    /// let catch_up = topazyard_types::DurationMs(4_000);
    /// let bounds = Bounds { catch_up, ..Bounds::default() };
    /// let resources = Resources { link_bytes_per_s: 20_000_000, ..Resources::default() };
    /// let capacity = ShardCapacity::new(&resources, &bounds);
    /// assert_eq!(capacity.bytes(1, OtherCopies::default()), 45_600_000);
    /// ```
    pub fn new(resources: &Resources, bounds: &Bounds) -> Self {
        let share = |all: u64, parts| if all == 0 { u64::MAX } else { all / parts };
        // In memory each byte is held once in a row and briefly in frames; the page file on disk
        // takes 2.2 times the size of the rows.
        let storable_bytes = share(resources.memory_bytes, 4).min(share(resources.disk_bytes, 3));
        let transfer_ms = bounds.catch_up.0 * TRANSFER_PERCENT / 100;
        let rate = Some(resources.link_bytes_per_s).filter(|rate| *rate > 0);
        let refillable_bytes = rate.map(|rate| rate / 100 * LINK_PERCENT * transfer_ms / 1_000);
        Self { storable_bytes, refillable_bytes }
    }

    /// What a shard may hold, in bytes: a primary may have to fill all its followers, and a machine
    /// that returns with an empty disk all its copies.
    pub fn bytes(&self, followers: u64, others: OtherCopies) -> u64 {
        let Some(refillable_bytes) = self.refillable_bytes else { return self.storable_bytes };
        let by_sender = (refillable_bytes / followers.max(1)).saturating_sub(others.led_bytes);
        let by_receiver = refillable_bytes.saturating_sub(others.hosted_bytes);
        self.storable_bytes.min(by_sender).min(by_receiver)
    }
}
