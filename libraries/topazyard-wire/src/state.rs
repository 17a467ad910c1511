//! The rows of the control state, and the snapshot that followers decode from them.

use topazyard_types::{ConfigurationVersion, EngineName, NodeId, PoolName, ShardId};

/// The key of the row with the configuration in force.
pub const IN_FORCE: &str = "in-force";
/// Key prefix of the rows of engines.
pub const ENGINES: &str = "engine/";
/// Key prefix of the rows of storage nodes.
pub const STORAGE: &str = "storage/";
/// Key prefix of the rows of shards.
pub const SHARDS: &str = "shard/";
/// Key prefix of the rows of pool weights.
pub const WEIGHTS: &str = "weight/";
/// Key prefix of the rows of routes of the configuration in force. Each route has its own row, so
/// that a change of one route changes one row.
pub const ROUTES: &str = "route/";
/// The share of the engines' capacity that requests may use, in percent: the upper end of the
/// recommended 80 to 85 % of the knee.
pub const KNEE_PERCENT: u64 = 85;
/// Key prefix of the rows of submitted configurations. They are not part of the feed.
pub const CONFIGURATIONS: &str = "spec/";
/// Key prefix of the rows of accepted orders. They are not part of the feed.
pub const ORDERS: &str = "order/";
/// The key of the row with the newest version among the accepted orders that were deleted. It is
/// not part of the feed.
pub const ORDERS_FORGOTTEN: &str = "orders-forgotten";
/// The maximum number of orders in a row.
pub const ORDERS_IN_ROW: usize = 64;

/// The key of a submitted configuration. Keys sort by version.
///
/// ```
/// use topazyard_types::ConfigurationVersion;
/// use topazyard_wire::state::configuration_key;
/// let key = |version| configuration_key(ConfigurationVersion(version));
/// assert!(key(9) < key(10));
/// ```
pub fn configuration_key(version: ConfigurationVersion) -> String {
    format!("{CONFIGURATIONS}{:020}", version.0)
}

/// The key of the row whose accepted orders begin with this version. Keys sort by version.
pub fn orders_key(first: ConfigurationVersion) -> String {
    format!("{ORDERS}{:020}", first.0)
}

/// Whether a row is part of the feed.
///
/// ```
/// use topazyard_wire::state::{IN_FORCE, ORDERS_FORGOTTEN, is_in_feed};
/// assert!(is_in_feed(IN_FORCE));
/// assert!(!is_in_feed(ORDERS_FORGOTTEN) && !is_in_feed("spec/1") && !is_in_feed("order/1"));
/// ```
pub fn is_in_feed(key: &str) -> bool {
    !(key.starts_with(CONFIGURATIONS) || key.starts_with(ORDERS) || key == ORDERS_FORGOTTEN)
}

/// The key of an engine.
pub fn engine_key(name: &EngineName) -> String {
    format!("{ENGINES}{name}")
}

/// The key of a storage node.
pub fn storage_key(id: NodeId) -> String {
    format!("{STORAGE}{:020}", id.0)
}

/// The key of a shard.
pub fn shard_key(shard: ShardId) -> String {
    format!("{SHARDS}{:05}", shard.0)
}

/// The key of the weight of a pool.
pub fn weight_key(pool: &PoolName) -> String {
    format!("{WEIGHTS}{pool}")
}

/// The key of a route of the configuration in force.
pub fn route_key(name: &topazyard_types::RouteName) -> String {
    format!("{ROUTES}{name}")
}

/// The stage of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationStage {
    /// Submitted and validated.
    Submitted,
    /// Signed off.
    Signed,
    /// Put in force, possibly superseded since.
    RolledOut,
}

/// A submitted configuration.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ConfigurationRow {
    /// Its version.
    pub version: ConfigurationVersion,
    /// The version that it is based on.
    pub base: ConfigurationVersion,
    /// The stage that it has reached.
    pub stage: ConfigurationStage,
    /// The operator who signed it off.
    pub signed_by: Option<String>,
    /// The configuration in JSON, as submitted.
    pub text: String,
    /// The declaration from which an external adapter made the configuration, byte for byte.
    pub source: Option<bytes::Bytes>,
}

/// An accepted order. The digest distinguishes it from another order with the same version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AcceptedOrder {
    /// The version that it created.
    pub version: ConfigurationVersion,
    /// The digest of the order.
    pub digest: topazyard_types::Digest,
}

/// Consecutive accepted orders, the oldest first, [`ORDERS_IN_ROW`] at most.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct OrdersRow {
    /// The orders.
    pub orders: Vec<AcceptedOrder>,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct InForceRow {
    /// Its version.
    pub version: ConfigurationVersion,
    /// The configuration in JSON without its routes, which have their own rows.
    pub text: String,
}

/// Whether a storage node may host shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StorageStage {
    /// It may host shards.
    Active,
    /// Its shards are being moved to other nodes.
    Emptying,
    /// It holds no shards and gets none. Its row is deleted once it is down.
    Retired,
    /// Its shards are being moved to other nodes; it is retired after that.
    Retiring,
}

/// A storage node.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StorageRow {
    /// Its id, address and zone.
    pub member: crate::message::membership::Member,
    /// Whether it may host shards.
    pub stage: StorageStage,
}

/// The weight of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WeightRow {
    /// The share of the budget that is reserved for live prompts, in percent.
    pub live_percent: u8,
}

/// The control state as decoded by a follower of the feed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetSnapshot {
    /// The configuration in force, with its version.
    pub configuration: Option<(ConfigurationVersion, topazyard_spec::Configuration)>,
    /// The routes of the configuration in force.
    pub routes: crate::routes::RouteTable,
    /// The platform's engines.
    pub engines: std::collections::BTreeMap<EngineName, topazyard_spec::Engine>,
    /// The record of each shard.
    pub shards: std::collections::BTreeMap<ShardId, crate::message::control::ShardRecord>,
    /// The storage nodes.
    pub storage: std::collections::BTreeMap<NodeId, StorageRow>,
    /// The live share of each pool.
    pub weights: std::collections::BTreeMap<PoolName, WeightRow>,
}

fn suffix<'a>(key: &'a str, prefix: &str) -> Option<&'a str> {
    key.strip_prefix(prefix)
}

impl FleetSnapshot {
    /// Decodes a snapshot from rows. Rows of an unknown kind are ignored.
    ///
    /// ```
    /// let snapshot = topazyard_wire::state::FleetSnapshot::read(&Default::default());
    /// assert!(snapshot.configuration.is_none());
    /// ```
    pub fn read(rows: &std::collections::BTreeMap<String, bytes::Bytes>) -> Self {
        let mut snapshot = Self::default();
        for (key, value) in rows {
            snapshot.apply(key, value);
        }
        snapshot
    }

    fn apply(&mut self, key: &str, value: &[u8]) -> Option<()> {
        use crate::rows::decode;
        if key == IN_FORCE {
            let row: InForceRow = decode(value)?;
            // It was validated when it was accepted, so it is not validated again: without its
            // routes it may fail the checks of a complete configuration. One that can't be parsed
            // is not in force.
            self.configuration = serde_json::from_str(&row.text)
                .ok()
                .map(|configuration| (row.version, configuration));
        } else if suffix(key, ROUTES).is_some() {
            self.routes.insert(decode(value)?);
        } else if let Some(name) = suffix(key, ENGINES) {
            self.engines.insert(name.into(), decode(value)?);
        } else if let Some(shard) = suffix(key, SHARDS) {
            self.shards.insert(ShardId(shard.parse().ok()?), decode(value)?);
        } else if let Some(id) = suffix(key, STORAGE) {
            self.storage.insert(NodeId(id.parse().ok()?), decode(value)?);
        } else if let Some(pool) = suffix(key, WEIGHTS) {
            self.weights.insert(pool.into(), decode(value)?);
        }
        Some(())
    }

    /// The budget of a pool: [`KNEE_PERCENT`] of the capacity of the engines in the list if the
    /// configuration gives the shape of an engine, otherwise the configured limit.
    pub fn limit(&self, pool: &topazyard_spec::Pool) -> topazyard_types::Tokens {
        let Some(shape) = &pool.engine else { return pool.limit_tokens };
        let engines = self.engines.values().filter(|engine| {
            engine.pool == pool.name && engine.state != topazyard_spec::EngineState::Leaving
        });
        topazyard_types::Tokens(engines.count() as u64 * shape.kv_tokens * KNEE_PERCENT / 100)
    }

    /// The share of a pool's budget that an item of so many tokens uses: at least the memory of one
    /// of an engine's slots, which it occupies for a second or more. With short prompts slots run
    /// out before memory does.
    ///
    /// ```
    /// # use topazyard_wire::state::FleetSnapshot;
    /// let pool = topazyard_spec::Configuration::read(r#"{"pools":[{"name":"m",
    ///     "engine":{"slots":4,"kv_tokens":4000}}],"lanes":[{"name":"l","kind":"live",
    ///     "models":["m"],"pool":"m"}]}"#).unwrap().pools.remove(0);
    /// assert_eq!(FleetSnapshot::charge(&pool, topazyard_types::Tokens(20)).0, 1_000);
    /// assert_eq!(FleetSnapshot::charge(&pool, topazyard_types::Tokens(1_500)).0, 1_500);
    /// ```
    pub fn charge(
        pool: &topazyard_spec::Pool,
        tokens: topazyard_types::Tokens,
    ) -> topazyard_types::Tokens {
        let slot = pool.engine.as_ref().map_or(0, |shape| shape.kv_tokens / u64::from(shape.slots));
        topazyard_types::Tokens(tokens.0.max(slot))
    }

    /// The part of a pool's budget that batch items may use.
    ///
    /// ```
    /// use topazyard_wire::state::{FleetSnapshot, WeightRow};
    /// let mut snapshot = FleetSnapshot::default();
    /// snapshot.weights.insert("main".into(), WeightRow { live_percent: 70 });
    /// let part = snapshot.batch_share(&"main".into(), topazyard_types::Tokens(1_000));
    /// assert_eq!(part, topazyard_types::Tokens(300));
    /// ```
    pub fn batch_share(
        &self,
        pool: &PoolName,
        limit: topazyard_types::Tokens,
    ) -> topazyard_types::Tokens {
        let live = self.weights.get(pool).map_or(100, |weight| u64::from(weight.live_percent));
        topazyard_types::Tokens(limit.0 * 100_u64.saturating_sub(live) / 100)
    }
}
