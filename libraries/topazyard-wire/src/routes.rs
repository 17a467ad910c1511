//! The routes of a configuration, found by host and path.

use topazyard_spec::{Route, RouteKind};

/// The paths of a host that belong to one route. It stands for the route in messages to nodes that
/// may know another configuration, in which the route's name may belong to another route.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RoutePaths {
    /// The route's host.
    pub host: String,
    /// The route's prefix.
    pub prefix: String,
    /// Longer prefixes that begin with the route's prefix and belong to other routes of the host.
    pub excluded: Vec<String>,
}

impl RoutePaths {
    /// Whether a request with this host and path takes the route.
    ///
    /// ```
    /// let paths = topazyard_wire::routes::RoutePaths {
    ///     host: "a.example".to_owned(),
    ///     prefix: "/x/".to_owned(),
    ///     excluded: vec!["/x/y/".to_owned()],
    /// };
    /// assert!(paths.contains("a.example", "/x/1") && !paths.contains("b.example", "/x/1"));
    /// assert!(!paths.contains("a.example", "/x/y/1"));
    /// ```
    pub fn contains(&self, host: &str, path: &str) -> bool {
        let is_excluded = || self.excluded.iter().any(|prefix| path.starts_with(prefix));
        self.host == host && path.starts_with(&self.prefix) && !is_excluded()
    }
}

/// The routes of the configuration in force, by host and path.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// The routes of each host, the longest prefix first.
    by_host: std::collections::BTreeMap<String, Vec<Route>>,
}

impl RouteTable {
    /// Adds a route.
    pub fn insert(&mut self, route: Route) {
        let routes = self.by_host.entry(route.host.clone()).or_default();
        let at = routes.partition_point(|r| r.path_prefix.len() >= route.path_prefix.len());
        routes.insert(at, route);
    }

    /// The route of a request: the one of its host with the longest matching path prefix.
    ///
    /// ```
    /// let table = topazyard_wire::routes::RouteTable::default();
    /// assert!(table.find("a.example", "/x/1").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The batch route of an item: the route of a request with its host and path, if that is a
    /// batch route.
    ///
    /// ```
    /// # let text = r#"{"name":"r","host":"a.example","path_prefix":"/x/","kind":"safe",
    /// #   "timeout_ms":1,"max_attempts":1,"pools":[{"pool":"p","weight":1}]}"#;
    /// let mut table = topazyard_wire::routes::RouteTable::default();
    /// table.insert(serde_json::from_str(text).unwrap());
    /// assert!(table.find("a.example", "/x/1").is_some());
    /// assert!(table.find_batch("a.example", "/x/1").is_none());
    /// ```
    pub fn find_batch(&self, host: &str, path: &str) -> Option<&Route> {
        self.find(host, path).filter(|route| route.kind == RouteKind::Batch)
    }

    /// The paths that belong to a route of this table.
    pub fn paths_of(&self, route: &Route) -> RoutePaths {
        let of_host = self.by_host.get(&route.host).into_iter().flatten();
        let is_longer = |other: &&Route| {
            other.path_prefix.len() > route.path_prefix.len()
                && other.path_prefix.starts_with(&route.path_prefix)
        };
        RoutePaths {
            host: route.host.clone(),
            prefix: route.path_prefix.clone(),
            excluded: of_host.filter(is_longer).map(|other| other.path_prefix.clone()).collect(),
        }
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.by_host.values().flatten()
    }
}
