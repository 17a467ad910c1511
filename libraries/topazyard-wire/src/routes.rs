//! The routes of a configuration, found by host and path.

use topazyard_spec::{Route, RouteKind};

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

    /// The route with this name.
    pub fn named(&self, name: &topazyard_types::RouteName) -> Option<&Route> {
        self.iter().find(|route| route.name == *name)
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.by_host.values().flatten()
    }
}
