//! The configurations that operators order, and the rows that each of them puts in force.

use std::collections::BTreeMap;
use topazyard_types::ConfigurationVersion;
use topazyard_wire::message::operate::Command;
use topazyard_wire::state::{
    ConfigurationRow, IN_FORCE, InForceRow, ROUTES, configuration_key, route_key,
};

/// Routes per configuration; those with an even index differ from order to order.
const ROUTES_EACH: usize = 5;

/// A configuration ordered by an operator; no two have the same content.
pub struct Order {
    /// Its number among all orders.
    pub number: usize,
    /// The version it is based on.
    pub base: ConfigurationVersion,
    /// Its own version.
    pub version: ConfigurationVersion,
    text: String,
    source: bytes::Bytes,
    routes: BTreeMap<String, bytes::Bytes>,
}

/// The number alone identifies the content.
impl std::fmt::Debug for Order {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "order {} {}->{}", self.number, self.base, self.version)
    }
}

impl Order {
    /// Creates the order of a number.
    pub fn new(number: usize, base: ConfigurationVersion, version: ConfigurationVersion) -> Self {
        let routes: Vec<_> = (0..ROUTES_EACH).map(|route| route_of(number, route)).collect();
        let configuration = serde_json::json!({ "pools": [{ "name": "main" }], "routes": routes });
        let text = configuration.to_string();
        let parsed =
            topazyard_spec::Configuration::read(&text).map(|configuration| configuration.routes);
        let routes = parsed
            .unwrap_or_default()
            .into_iter()
            .map(|route| (route_key(&route.name), topazyard_wire::rows::encode(&route)));
        let routes = routes.collect();
        let source = bytes::Bytes::from(format!("order {number}"));
        Self { number, base, version, text, source, routes }
    }

    /// The command that submits it.
    pub fn command(&self) -> Command {
        Command::ApplyConfiguration {
            base: self.base,
            version: self.version,
            text: self.text.clone(),
            source: self.source.clone(),
        }
    }

    /// Whether the rows show that it was applied.
    pub fn is_applied(&self, rows: &BTreeMap<String, bytes::Bytes>) -> bool {
        let row = rows.get(&configuration_key(self.version));
        let row: Option<ConfigurationRow> =
            row.and_then(|value| topazyard_wire::rows::decode(value));
        row.is_some_and(|row| row.source.as_ref() == Some(&self.source))
    }

    /// Whether the route rows are exactly those of this order.
    pub fn has_routes(&self, rows: &BTreeMap<String, bytes::Bytes>) -> bool {
        let stored = rows.range(ROUTES.to_owned()..);
        let stored = stored.take_while(|(key, _)| key.starts_with(ROUTES));
        stored.eq(self.routes.iter())
    }
}

fn route_of(order: usize, route: usize) -> serde_json::Value {
    let differs = route.is_multiple_of(2);
    let timeout_ms = if differs { 5_000 + order } else { 5_000 };
    // The last route has another name in every other order, so that routes are added and removed.
    let name = if route + 1 == ROUTES_EACH { order % 2 + route } else { route };
    serde_json::json!({ "name": format!("r{name}"), "host": "a.example",
        "path_prefix": format!("/{name}/"), "kind": "safe",
        "pools": [{ "pool": "main", "weight": 1 }], "timeout_ms": timeout_ms,
        "max_attempts": 2 })
}

/// The number of the order that a source belongs to.
pub fn order_number(source: &str) -> Option<usize> {
    source.strip_prefix("order ")?.parse().ok()
}

/// The version in force according to the rows.
pub fn version_in_force(rows: &BTreeMap<String, bytes::Bytes>) -> Option<ConfigurationVersion> {
    let row: InForceRow = topazyard_wire::rows::decode(rows.get(IN_FORCE)?)?;
    Some(row.version)
}
