//! Who and what: nodes, fleets, shards, engines, holds and batches.

crate::number_type!(
    /// One life of a node's data: new when a data folder is new, and at each start of a node without a disk.
    NodeId, u64
);
crate::number_type!(
    /// The fleet a frame belongs to; frames of another fleet are refused.
    FleetId, u32
);
crate::number_type!(
    /// A shard: 0 counts tokens, the others keep batches.
    ShardId, u16
);
crate::number_type!(
    /// A hold on the token budget, rising within one relay's life.
    HoldId, u64
);
crate::number_type!(
    /// An item's number within its batch, from 0.
    ItemNumber, u32
);
crate::number_type!(
    /// A local call into a machine that waits for its return.
    CallId, u64
);
crate::name_type!(
    /// A failure zone, such as a zone of machines that may go together.
    ZoneName
);
crate::name_type!(
    /// An engine's name on the platform's list.
    EngineName
);
crate::name_type!(
    /// A lane's name in the spec.
    ModelRouteName
);
crate::name_type!(
    /// A model's name.
    ModelName
);
crate::name_type!(
    /// A pool of engines that share one budget.
    PoolName
);
crate::name_type!(
    /// A route's name in the spec.
    RouteName
);

crate::number_type!(
    /// One run of a process, drawn anew at each start. What a process numbers within its life
    /// starts from here, so that an answer to a former life at the same address fits nothing.
    BootId, u64
);

impl BootId {
    /// The number before the first that a process gives out in this life. Two lives' numbers
    /// lie so far apart that they never meet.
    ///
    /// ```
    /// use topazyard_types::ids::BootId;
    /// assert_ne!(BootId(7 << 40).first_number(), BootId(9 << 40).first_number());
    /// ```
    pub fn first_number(self) -> u64 {
        // Half the numbers stay free above, so that counting on never wraps.
        self.0 >> 1
    }
}

impl ShardId {
    /// The shard that keeps the in-flight counter.
    ///
    /// ```
    /// assert!(topazyard_types::ShardId::COUNTER.is_counter());
    /// ```
    pub const COUNTER: Self = Self(0);
    /// How many batch shards a fleet has.
    pub const BATCH_SHARDS: u16 = 4;

    /// Whether this shard keeps the counter rather than batches.
    ///
    /// ```
    /// assert!(!topazyard_types::ShardId(3).is_counter());
    /// ```
    pub fn is_counter(self) -> bool {
        self == Self::COUNTER
    }

    /// Every shard of a fleet, the counter first.
    ///
    /// ```
    /// assert_eq!(topazyard_types::ShardId::all().count(), 5);
    /// ```
    pub fn all() -> impl Iterator<Item = Self> {
        (0..=Self::BATCH_SHARDS).map(Self)
    }
}

/// A batch's id. It names the shard that keeps it, so that any relay finds it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct BatchId {
    /// The shard that keeps the batch.
    pub shard: ShardId,
    /// Its number there, made from the submission's idempotency key.
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
        let refuse = || InvalidBatchId(text.to_owned());
        let (shard, number) = text.split_once('-').ok_or_else(refuse)?;
        let shard = ShardId(shard.parse().map_err(|_| refuse())?);
        let known = !shard.is_counter() && shard.0 <= ShardId::BATCH_SHARDS && number.len() == 16;
        let number = u64::from_str_radix(number, 16).map_err(|_| refuse())?;
        if known { Ok(Self { shard, number }) } else { Err(refuse()) }
    }
}

impl BatchId {
    /// The id that a submission with this idempotency key gets, whichever relay takes it.
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

    /// The id of a batch that was handed in for a host under the caller's own id. All batches of
    /// a host share a shard, so that one owner counts what waits on the host's routes.
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
