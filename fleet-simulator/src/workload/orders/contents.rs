//! The content of numbered configurations: fixed model routes, and routes that are added, changed
//! and removed.

use crate::world::World;
use topazyard_spec::{Configuration, Patch};
use topazyard_types::Digest;

/// What is wrong with an invalid configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Defect {
    /// Its text is truncated.
    Truncated,
    /// A route names an unknown pool.
    UnknownPool,
    /// Two routes share host and path prefix.
    DuplicateRoute,
    /// A route's weights add up to 0.
    ZeroWeight,
    /// Its number is not greater than its base.
    NumberNotAbove,
}

impl Defect {
    pub(super) const ALL: [Self; 5] = [
        Self::Truncated,
        Self::UnknownPool,
        Self::DuplicateRoute,
        Self::ZeroWeight,
        Self::NumberNotAbove,
    ];
}

/// The content of a configuration.
#[derive(Debug, Clone)]
pub(super) struct Content {
    /// What the operator sends and reads back: the configuration itself.
    pub(super) source: bytes::Bytes,
    /// Identifies the configuration where it is in force; none if the content is invalid.
    pub(super) fingerprint: Option<Digest>,
    /// The patch that makes it from its base, if only the patch is sent.
    pub(super) patch: Option<String>,
}

impl Content {
    /// Creates the content from its text.
    fn from_text(text: String, patch: Option<String>) -> Self {
        let fingerprint = Configuration::read(&text).ok().map(|configuration| {
            let routes = configuration.routes.clone();
            fingerprint(&Configuration { routes: Vec::new(), ..configuration }, routes.iter())
        });
        Self { source: text.into(), fingerprint, patch }
    }
}

/// The number of routes that may be added, changed or removed from one configuration to the next.
const CHANGING_ROUTES: u64 = 6;

impl World {
    /// Creates a content that no other order has: one route is unique.
    pub(super) fn new_content(&mut self, defect: Option<Defect>) -> Content {
        let order = self.history.orders.len();
        let mut routes = vec![route("only", &format!("/{order}/"), "main", 1, 1_000)];
        for number in 0..CHANGING_ROUTES {
            // Some routes are removed and added again.
            if self.draw(0..4) > 0 {
                let timeout_ms = 500 + 250 * self.draw(0..4);
                routes.push(route(&format!("route-{number}"), "/", "main", 1, timeout_ms));
            }
        }
        match defect {
            Some(Defect::UnknownPool) => routes.push(route("lost", "/", "no such pool", 1, 500)),
            Some(Defect::ZeroWeight) => routes.push(route("light", "/", "main", 0, 500)),
            Some(Defect::DuplicateRoute) => routes.push(route("only", "/again/", "main", 1, 500)),
            Some(Defect::Truncated | Defect::NumberNotAbove) | None => {}
        }
        let mut text = self.configuration_json("m-only", "main", &routes).to_string();
        if defect == Some(Defect::Truncated) {
            text.truncate(text.len() / 2);
        }
        Content::from_text(text, None)
    }

    /// Creates a content that patches another: the unique route is replaced, and some of the other
    /// routes are added, replaced or removed. None if the other is not a valid configuration.
    pub(super) fn patched_content(&mut self, before: &[u8]) -> Option<Content> {
        let order = self.history.orders.len();
        let configuration = Configuration::read(std::str::from_utf8(before).ok()?).ok()?;
        let mut upserted = vec![route("only", &format!("/{order}/"), "main", 1, 1_000)];
        let mut removed = Vec::new();
        for number in 0..CHANGING_ROUTES {
            let name = format!("route-{number}");
            let is_present = configuration.routes.iter().any(|route| route.name.0 == name);
            match self.draw(0..4) {
                0 if is_present => removed.push(name),
                0 | 1 => {}
                _ => {
                    let timeout_ms = 500 + 250 * self.draw(0..4);
                    upserted.push(route(&name, "/", "main", 1, timeout_ms));
                }
            }
        }
        let route_lists = |items| std::collections::BTreeMap::from([("routes".to_owned(), items)]);
        let remove = std::collections::BTreeMap::from([("routes".to_owned(), removed)]);
        let patch = Patch { upsert: route_lists(upserted), remove, ..Patch::default() };
        let after = patch.apply(&serde_json::from_slice(before).ok()?).ok()?;
        Some(Content::from_text(after.to_string(), serde_json::to_string(&patch).ok()))
    }
}

fn route(
    name: &str,
    path_prefix: &str,
    pool: &str,
    weight: u32,
    timeout_ms: u64,
) -> serde_json::Value {
    serde_json::json!({
        "name": name, "host": format!("{name}.example"), "path_prefix": path_prefix,
        "kind": "safe", "pools": [{"pool": pool, "weight": weight}],
        "timeout_ms": timeout_ms, "max_attempts": 2,
    })
}

/// Identifies a configuration by its content without routes, and its routes in any order.
pub(crate) fn fingerprint<'a>(
    configuration: &Configuration,
    routes: impl Iterator<Item = &'a topazyard_spec::Route>,
) -> Digest {
    let rest = serde_json::to_vec(configuration).unwrap_or_default();
    let mut parts: Vec<Vec<u8>> =
        routes.map(|route| serde_json::to_vec(route).unwrap_or_default()).collect();
    parts.sort();
    parts.push(rest);
    let parts: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
    Digest::of(&parts)
}
