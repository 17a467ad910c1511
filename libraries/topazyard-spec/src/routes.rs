//! Routes: the pools for requests to a host and path, and the terms of these requests.

use topazyard_types::{PoolName, RouteName, Tokens};

/// Whether a request whose outcome is unknown may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// The request may run more than once.
    Safe,
    /// The request runs at most once.
    Unsafe,
    /// The response is a stream of events. The request runs at most once unless the stream can be
    /// resumed.
    Streaming,
    /// Batches of items that are submitted and run later.
    Batch,
}

/// A pool and its share of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct PoolShare {
    /// The pool.
    #[garde(custom(crate::names::short_name))]
    pub pool: PoolName,
    /// The weight relative to the other pools of the route.
    #[garde(range(max = 1_000_000))]
    pub weight: u32,
}

/// The terms of a batch route.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct BatchTerms {
    /// The maximum total tokens of accepted items that wait; 0 for no limit.
    #[garde(skip)]
    pub ceiling_tokens: Tokens,
    /// The time in ms from the first submission of a batch until it is due.
    #[garde(skip)]
    pub run_target_ms: u64,
    /// The time in ms after which an unfinished item may be abandoned.
    #[garde(skip)]
    pub retention_ms: u64,
}

/// Sends the requests to a host and path prefix to pools of engines.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name.
    #[garde(custom(crate::names::short_name))]
    pub name: RouteName,
    /// The host that a request is addressed to.
    #[garde(length(min = 1, max = 255))]
    pub host: String,
    /// The prefix of the path; the longest match applies. It begins and ends with a slash.
    #[garde(custom(has_enclosing_slashes))]
    pub path_prefix: String,
    /// Whether requests may be retried.
    #[garde(skip)]
    pub kind: RouteKind,
    /// The pools that requests are sent to.
    #[garde(length(min = 1, max = 64), dive)]
    pub pools: Vec<PoolShare>,
    /// The timeout of a request, in ms.
    #[garde(range(min = 1, max = 86_400_000))]
    pub timeout_ms: u64,
    /// The target latency of a response, in ms.
    #[garde(skip)]
    #[serde(default)]
    pub target_latency_ms: u64,
    /// The maximum pause between two events of a stream, in ms.
    #[garde(skip)]
    #[serde(default)]
    pub longest_pause_ms: u64,
    /// The maximum number of engines that one request is sent to.
    #[garde(range(min = 1, max = 64))]
    pub max_attempts: u32,
    /// The priority; 0 is served first.
    #[garde(skip)]
    #[serde(default)]
    pub priority: u32,
    /// Whether a stream may be resumed at another engine.
    #[garde(skip)]
    #[serde(default)]
    pub resumable: bool,
    /// Whether requests with common prompt parts should be sent to the same engine.
    #[garde(skip)]
    #[serde(default)]
    pub affinity: bool,
    /// The batch terms, for batch routes only.
    #[garde(dive)]
    #[serde(default)]
    pub batch: Option<BatchTerms>,
}

impl Route {
    /// Whether a request may be retried after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe | RouteKind::Batch => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// Limits on what clients send on routes.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct ClientLimits {
    /// The maximum size of a request head, in bytes.
    #[garde(range(min = 1_024, max = 1_048_576))]
    pub max_header_bytes: u32,
    /// The maximum size of a request body, in bytes.
    #[garde(range(min = 1_024, max = 67_108_864))]
    pub max_body_bytes: u32,
    /// The time within which a client must send a request head, in ms.
    #[garde(range(min = 100, max = 600_000))]
    pub header_timeout_ms: u64,
    /// The time after which an idle client connection is closed, in ms.
    #[garde(range(min = 100, max = 3_600_000))]
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 30_000,
        }
    }
}

fn has_enclosing_slashes(prefix: &str, _: &()) -> garde::Result {
    if prefix.starts_with('/') && prefix.ends_with('/') && prefix.len() <= 1_024 {
        Ok(())
    } else {
        Err(garde::Error::new("a path prefix begins and ends with a slash"))
    }
}

pub(crate) fn cross_check(configuration: &crate::Configuration, faults: &mut Vec<crate::Fault>) {
    crate::faults::check_unique_names(
        "routes",
        configuration.routes.iter().map(|r| r.name.0.as_str()),
        faults,
    );
    let pools: std::collections::BTreeSet<&PoolName> =
        configuration.pools.iter().map(|pool| &pool.name).collect();
    let mut prefixes = std::collections::BTreeSet::new();
    for (index, route) in configuration.routes.iter().enumerate() {
        let mut fault = |field: &str, reason| {
            faults.push(crate::Fault { place: format!("routes[{index}]{field}"), reason });
        };
        for share in route.pools.iter().filter(|share| !pools.contains(&share.pool)) {
            fault(".pools", crate::FaultReason::UnknownPool(share.pool.0.clone()));
        }
        if route.pools.iter().all(|share| share.weight == 0) {
            let reason = "the weights of a route add up to 0".to_owned();
            fault(".pools", crate::FaultReason::OutOfBounds(reason));
        }
        if !prefixes.insert((route.host.as_str(), route.path_prefix.as_str())) {
            let prefix = format!("{}{}", route.host, route.path_prefix);
            fault("", crate::FaultReason::NamedTwice(prefix));
        }
        if (route.kind == RouteKind::Batch) != route.batch.is_some() {
            let reason = "batch routes, and only these, have batch terms".to_owned();
            fault(".batch", crate::FaultReason::OutOfBounds(reason));
        }
    }
}
