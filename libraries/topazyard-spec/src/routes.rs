//! Routes: which pool a request to a host and path goes to, and on what terms.

use topazyard_types::{PoolName, RouteName, Tokens};

/// What may be done with a request whose outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// It may run more than once.
    Safe,
    /// It runs at most once.
    Unsafe,
    /// A stream of events; it runs at most once unless it may be resumed.
    Streaming,
    /// Batches of items that are handed in and run later.
    Batch,
}

/// A pool and how much of a route's traffic it gets.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct PoolShare {
    /// The pool.
    #[garde(custom(crate::names::short_name))]
    pub pool: PoolName,
    /// Its weight against the route's other pools.
    #[garde(range(max = 1_000_000))]
    pub weight: u32,
}

/// The terms of a batch route.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct BatchTerms {
    /// Tokens of accepted items that may wait; 0 for no ceiling.
    #[garde(skip)]
    pub ceiling_tokens: Tokens,
    /// Within how many ms of its first submission a batch is due.
    #[garde(skip)]
    pub run_target_ms: u64,
    /// After how many ms an item that is not done may be given up.
    #[garde(skip)]
    pub retention_ms: u64,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    #[garde(custom(crate::names::short_name))]
    pub name: RouteName,
    /// The host that requests name.
    #[garde(length(min = 1, max = 255))]
    pub host: String,
    /// How the path begins; the longest that fits decides. It begins and ends with a slash.
    #[garde(custom(slashed))]
    pub path_prefix: String,
    /// What may be repeated.
    #[garde(skip)]
    pub kind: RouteKind,
    /// Where requests go.
    #[garde(length(min = 1, max = 64), dive)]
    pub pools: Vec<PoolShare>,
    /// The longest that a request is held, in ms.
    #[garde(range(min = 1, max = 86_400_000))]
    pub timeout_ms: u64,
    /// Within how many ms a response is worth most.
    #[garde(skip)]
    #[serde(default)]
    pub target_latency_ms: u64,
    /// The longest pause in ms between two events of a stream.
    #[garde(skip)]
    #[serde(default)]
    pub longest_pause_ms: u64,
    /// The most engines that one request may be sent to.
    #[garde(range(min = 1, max = 64))]
    pub max_attempts: u32,
    /// Its rank; 0 goes first.
    #[garde(skip)]
    #[serde(default)]
    pub priority: u32,
    /// Whether a stream may be taken up at another engine.
    #[garde(skip)]
    #[serde(default)]
    pub resumable: bool,
    /// Whether requests that share prompt parts should meet at one engine.
    #[garde(skip)]
    #[serde(default)]
    pub affinity: bool,
    /// The terms of a batch route.
    #[garde(dive)]
    #[serde(default)]
    pub batch: Option<BatchTerms>,
}

impl Route {
    /// Whether a request that may have run may run again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe | RouteKind::Batch => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// What clients may send on routes.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, garde::Validate)]
#[serde(deny_unknown_fields)]
pub struct ClientLimits {
    /// The largest head in bytes.
    #[garde(range(min = 1_024, max = 1_048_576))]
    pub max_header_bytes: u32,
    /// The largest body in bytes.
    #[garde(range(min = 1_024, max = 67_108_864))]
    pub max_body_bytes: u32,
    /// How long a client may take to send a head, in ms.
    #[garde(range(min = 100, max = 600_000))]
    pub header_timeout_ms: u64,
    /// For how long a client's connection may be idle, in ms.
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

fn slashed(prefix: &str, _: &()) -> garde::Result {
    if prefix.starts_with('/') && prefix.ends_with('/') && prefix.len() <= 1_024 {
        Ok(())
    } else {
        Err(garde::Error::new("a path prefix begins and ends with a slash"))
    }
}

pub(crate) fn cross_check(bundle: &crate::Configuration, faults: &mut Vec<crate::Fault>) {
    crate::faults::names_once("routes", bundle.routes.iter().map(|r| r.name.0.as_str()), faults);
    let pools: std::collections::BTreeSet<&PoolName> =
        bundle.pools.iter().map(|pool| &pool.name).collect();
    let mut places = std::collections::BTreeSet::new();
    for (index, route) in bundle.routes.iter().enumerate() {
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
        if !places.insert((route.host.as_str(), route.path_prefix.as_str())) {
            let place = format!("{}{}", route.host, route.path_prefix);
            fault("", crate::FaultReason::NamedTwice(place));
        }
        if (route.kind == RouteKind::Batch) != route.batch.is_some() {
            let reason = "batch routes, and only these, have batch terms".to_owned();
            fault(".batch", crate::FaultReason::OutOfBounds(reason));
        }
    }
}
