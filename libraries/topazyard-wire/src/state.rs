//! The rows of the control state, and the view that followers decode from them.

use topazyard_types::{ConfigurationVersion, EngineName, NodeId, PoolName, ShardId};

/// The row of the spec in force.
pub const IN_FORCE: &str = "in-force";
/// Rows of engines start so.
pub const ENGINES: &str = "engine/";
/// Rows of storage nodes start so.
pub const STORAGE: &str = "storage/";
/// Rows of shards start so.
pub const SHARDS: &str = "shard/";
/// Rows of weights start so.
pub const WEIGHTS: &str = "weight/";
/// Rows of the routes of the spec in force start so: a change of one route moves one row.
pub const ROUTES: &str = "route/";
/// The share of what the engines hold that is let in: 80 to 85 % of the knee, as the source says.
pub const KNEE_PERCENT: u64 = 85;
/// Rows of submitted specs start so; the feed leaves them out.
pub const CONFIGURATIONS: &str = "spec/";
/// Rows that remember which orders were taken start so; the feed leaves them out.
pub const ORDERS: &str = "order/";
/// The row of the newest version among the orders that are no longer remembered; the feed leaves it
/// out.
pub const ORDERS_FORGOTTEN: &str = "orders-forgotten";
/// How many orders a row remembers.
pub const ORDERS_IN_ROW: usize = 64;

/// The key of a submitted spec; keys rise with the versions.
///
/// ```
/// use topazyard_types::ConfigurationVersion;
/// use topazyard_wire::state::configuration_key;
/// assert!(configuration_key(ConfigurationVersion(9)) < configuration_key(ConfigurationVersion(10)));
/// ```
pub fn configuration_key(version: ConfigurationVersion) -> String {
    format!("{CONFIGURATIONS}{:020}", version.0)
}

/// The key of the row that remembers orders from a version on; keys rise with the versions.
pub fn orders_key(first: ConfigurationVersion) -> String {
    format!("{ORDERS}{:020}", first.0)
}

/// Whether followers of the feed are told of a row.
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

/// The key of a pool's weight.
pub fn weight_key(pool: &PoolName) -> String {
    format!("{WEIGHTS}{pool}")
}

/// The key of a route of the spec in force.
pub fn route_key(name: &topazyard_types::RouteName) -> String {
    format!("{ROUTES}{name}")
}

/// How far a spec has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationStage {
    /// Handed in and checked.
    Submitted,
    /// Signed off.
    Signed,
    /// Put in force, maybe superseded since.
    RolledOut,
}

/// A submitted spec.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ConfigurationRow {
    /// Its version.
    pub version: ConfigurationVersion,
    /// The version it builds on.
    pub base: ConfigurationVersion,
    /// How far it has come.
    pub stage: ConfigurationStage,
    /// Who signed it off.
    pub signed_by: Option<String>,
    /// The bundle as it was handed in.
    pub text: String,
    /// The declaration that an outer adapter made the bundle from, byte for byte.
    pub source: Option<bytes::Bytes>,
}

/// An order that was taken: a digest tells it from another under the same version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AcceptedOrder {
    /// The version that it made.
    pub version: ConfigurationVersion,
    /// The digest of what came.
    pub digest: topazyard_types::Digest,
}

/// Orders that were taken one after another, the oldest first, [`ORDERS_IN_ROW`] at most.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct OrdersRow {
    /// The orders.
    pub orders: Vec<AcceptedOrder>,
}

/// The spec in force.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct InForceRow {
    /// Its version.
    pub version: ConfigurationVersion,
    /// The bundle without its routes, which have rows of their own.
    pub text: String,
}

/// Whether a storage node may host shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StorageStage {
    /// It may.
    Active,
    /// Its shards are being moved off.
    Emptying,
    /// It holds nothing and is given nothing; it is forgotten once it is down.
    Retired,
    /// Its shards are being moved off, and once they are it is retired.
    Retiring,
}

/// A storage node.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StorageRow {
    /// Who and where it is.
    pub member: crate::message::membership::Member,
    /// Whether it may host shards.
    pub stage: StorageStage,
}

/// A pool's weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WeightRow {
    /// The share of the budget kept for live prompts, in percent.
    pub live_percent: u8,
}

/// What a follower knows of the control state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetSnapshot {
    /// The spec in force.
    pub configuration: Option<(ConfigurationVersion, topazyard_spec::Configuration)>,
    /// The routes of the spec in force.
    pub routes: RouteTable,
    /// The platform's engines.
    pub engines: std::collections::BTreeMap<EngineName, topazyard_spec::Engine>,
    /// Who holds each shard.
    pub shards: std::collections::BTreeMap<ShardId, crate::message::control::ShardRecord>,
    /// Storage nodes.
    pub storage: std::collections::BTreeMap<NodeId, StorageRow>,
    /// Live shares by pool.
    pub weights: std::collections::BTreeMap<PoolName, WeightRow>,
}

fn suffix<'a>(key: &'a str, prefix: &str) -> Option<&'a str> {
    key.strip_prefix(prefix)
}

impl FleetSnapshot {
    /// Decodes a view from rows; rows of no known kind are passed over.
    ///
    /// ```
    /// let view = topazyard_wire::state::FleetSnapshot::read(&Default::default());
    /// assert!(view.configuration.is_none());
    /// ```
    pub fn read(rows: &std::collections::BTreeMap<String, bytes::Bytes>) -> Self {
        let mut view = Self::default();
        for (key, value) in rows {
            view.take(key, value);
        }
        view
    }

    fn take(&mut self, key: &str, value: &[u8]) -> Option<()> {
        use crate::rows::decode;
        if key == IN_FORCE {
            let row: InForceRow = decode(value)?;
            // It was checked before it was taken; one that can't be read is not in force. Without
            // its routes it may lack what a whole bundle must have.
            self.configuration =
                serde_json::from_str(&row.text).ok().map(|bundle| (row.version, bundle));
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

    /// A pool's budget. Where the shape of its engines is told it is [`KNEE_PERCENT`] of what the
    /// engines on the list hold, else what the spec says.
    pub fn limit(&self, pool: &topazyard_spec::Pool) -> topazyard_types::Tokens {
        let Some(shape) = &pool.engine else { return pool.limit_tokens };
        let engines = self.engines.values().filter(|engine| {
            engine.pool == pool.name && engine.state != topazyard_spec::EngineState::Leaving
        });
        topazyard_types::Tokens(engines.count() as u64 * shape.kv_tokens * KNEE_PERCENT / 100)
    }

    /// What an item of so many tokens takes of a pool's budget: at least the memory that goes with
    /// one of an engine's slots, which it holds for a second and more. Slots run out before memory
    /// where prompts are short.
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

    /// The part of a pool's budget that batch items may hold.
    ///
    /// ```
    /// use topazyard_wire::state::{FleetSnapshot, WeightRow};
    /// let mut view = FleetSnapshot::default();
    /// view.weights.insert("main".into(), WeightRow { live_percent: 70 });
    /// let part = view.batch_share(&"main".into(), topazyard_types::Tokens(1_000));
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

/// The routes of the spec in force, by host and path.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// For each host its routes, the longest prefix first.
    by_host: std::collections::BTreeMap<String, Vec<topazyard_spec::Route>>,
}

impl RouteTable {
    /// Adds a route.
    pub fn insert(&mut self, route: topazyard_spec::Route) {
        let routes = self.by_host.entry(route.host.clone()).or_default();
        let at = routes.partition_point(|r| r.path_prefix.len() >= route.path_prefix.len());
        routes.insert(at, route);
    }

    /// The route of a request: of its host, the one with the longest prefix that begins its path.
    ///
    /// ```
    /// let table = topazyard_wire::state::RouteTable::default();
    /// assert!(table.find("a.example", "/x/1").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&topazyard_spec::Route> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The route of that name.
    pub fn named(&self, name: &topazyard_types::RouteName) -> Option<&topazyard_spec::Route> {
        self.iter().find(|route| route.name == *name)
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &topazyard_spec::Route> {
        self.by_host.values().flatten()
    }
}
