//! Ids and names of nodes, fleets, shards, engines, holds and batches.

crate::number_type!(
    /// Identifies a node together with its data. A new data folder gets a new id, and so does each
    /// start of a node without a disk.
    NodeId, u64
);
crate::number_type!(
    /// The fleet that a frame belongs to. Frames of another fleet are rejected.
    FleetId, u32
);
crate::number_type!(
    /// A shard. Shard 0 stores the token counter, the others store batches.
    ShardId, u16
);
crate::number_type!(
    /// A hold on the token budget. Ids increase within one run of a relay.
    HoldId, u64
);
crate::number_type!(
    /// The number of an item within its batch, counted from 0.
    ItemNumber, u32
);
crate::number_type!(
    /// A local call into a state machine whose caller waits for the result.
    CallId, u64
);
crate::name_type!(
    /// A failure zone: machines that may fail together.
    ZoneName
);
crate::name_type!(
    /// The name of an engine in the platform's engine list.
    EngineName
);
crate::name_type!(
    /// The name of a model route in the configuration.
    ModelRouteName
);
crate::name_type!(
    /// The name of a model.
    ModelName
);
crate::name_type!(
    /// The name of a pool of engines that share one budget.
    PoolName
);
crate::name_type!(
    /// The name of a route in the configuration.
    RouteName
);

crate::number_type!(
    /// A random number drawn at each start of a process. The process derives the numbers of its
    /// requests from it, so a response to an earlier process at the same address matches none of
    /// them.
    BootId, u64
);

impl BootId {
    /// The number before the first one that the process gives out. Numbers of two boot ids are so
    /// far apart that they never overlap.
    ///
    /// ```
    /// use topazyard_types::ids::BootId;
    /// assert_ne!(BootId(7 << 40).first_number(), BootId(9 << 40).first_number());
    /// ```
    pub fn first_number(self) -> u64 {
        // The upper half of the range stays free, so that counting up never overflows.
        self.0 >> 1
    }
}

impl ShardId {
    /// The shard that stores the counter of tokens in flight.
    ///
    /// ```
    /// assert!(topazyard_types::ShardId::COUNTER.is_counter());
    /// ```
    pub const COUNTER: Self = Self(0);
    /// The number of batch shards in a fleet.
    pub const BATCH_SHARDS: u16 = 4;

    /// Whether this shard stores the counter rather than batches.
    ///
    /// ```
    /// assert!(!topazyard_types::ShardId(3).is_counter());
    /// ```
    pub fn is_counter(self) -> bool {
        self == Self::COUNTER
    }

    /// All shards of a fleet, the counter first.
    ///
    /// ```
    /// assert_eq!(topazyard_types::ShardId::all().count(), 5);
    /// ```
    pub fn all() -> impl Iterator<Item = Self> {
        (0..=Self::BATCH_SHARDS).map(Self)
    }
}

/// The id of a batch. It contains the shard that stores the batch, so that any relay can find it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct BatchId {
    /// The shard that stores the batch.
    pub shard: ShardId,
    /// The number within the shard, derived from the idempotency key of the submission.
    pub number: u64,
}

impl std::fmt::Display for BatchId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{:016x}", self.shard, self.number)
    }
}

/// {0:?} is not a batch id
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub struct InvalidBatchId(pub String);

impl std::error::Error for InvalidBatchId {}

impl std::str::FromStr for BatchId {
    type Err = InvalidBatchId;

    fn from_str(text: &str) -> Result<Self, InvalidBatchId> {
        let invalid = || InvalidBatchId(text.to_owned());
        let (shard, number) = text.split_once('-').ok_or_else(invalid)?;
        let shard = ShardId(shard.parse().map_err(|_| invalid())?);
        let is_valid =
            !shard.is_counter() && shard.0 <= ShardId::BATCH_SHARDS && number.len() == 16;
        let number = u64::from_str_radix(number, 16).map_err(|_| invalid())?;
        if is_valid { Ok(Self { shard, number }) } else { Err(invalid()) }
    }
}

impl BatchId {
    /// The id for a submission with this idempotency key, the same at every relay.
    ///
    /// ```
    /// let id = topazyard_types::BatchId::from_key("reel-17");
    /// assert_eq!(id, topazyard_types::BatchId::from_key("reel-17"));
    /// assert_eq!(id.to_string().parse(), Ok(id));
    /// ```
    pub fn from_key(key: &str) -> Self {
        let digest = crate::Digest::of(&[key.as_bytes()]).0;
        let number = (digest >> 64) as u64;
        let shard = ShardId((digest as u64 % u64::from(ShardId::BATCH_SHARDS)) as u16 + 1);
        Self { shard, number }
    }

    /// The id of a batch that was submitted for a host under an id chosen by the caller. All
    /// batches of a host are on one shard, so that a single primary counts the items waiting on
    /// the host's routes.
    ///
    /// ```
    /// use topazyard_types::BatchId;
    /// let id = BatchId::of_host("a.example", "7c41e09b52d6a3f8");
    /// assert_eq!(id.number, 0x7c41_e09b_52d6_a3f8);
    /// assert_eq!(id.shard, BatchId::of_host("a.example", "other").shard);
    /// ```
    pub fn of_host(host: &str, id: &str) -> Self {
        let digest = crate::Digest::of(&[host.as_bytes()]).0;
        let shard = ShardId((digest as u64 % u64::from(ShardId::BATCH_SHARDS)) as u16 + 1);
        let is_hex = (1..=16).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_hexdigit());
        let number = u64::from_str_radix(id, 16).ok().filter(|_| is_hex);
        let hashed = || (crate::Digest::of(&[id.as_bytes()]).0 >> 64) as u64;
        Self { shard, number: number.unwrap_or_else(hashed) }
    }
}
