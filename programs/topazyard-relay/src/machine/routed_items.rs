//! The data of a routed item's run, and the decisions that depend on its route alone.

use super::Target;
use topazyard_spec::Route;
use topazyard_types::{DurationMs, PoolName};
use topazyard_wire::message::batch::{ItemRouting, Progress, Run};

/// Minimum time without a byte after which an engine counts as unresponsive.
const MIN_SILENCE_MS: u64 = 2_000;
/// A silence of this many times the route's longest pause means an unresponsive engine.
const SILENCE_PAUSES: u64 = 8;

/// A routed item to be run at an engine.
#[derive(Debug, Clone)]
pub struct RoutedRun {
    /// The run.
    pub run: Run,
    /// The engine.
    pub target: Target,
    /// How it is sent.
    pub routing: ItemRouting,
    /// The value of the host header.
    pub host: String,
    /// The body, byte for byte.
    pub body: bytes::Bytes,
    /// The progress of an earlier run.
    pub progress: Progress,
    /// Time without a byte from the engine after which the run is aborted.
    pub silence_timeout: DurationMs,
}

/// The pool that an item's run goes to, chosen by the route's weights; the same for each run of the
/// item.
///
/// ```
/// # let text = r#"{"name":"r","host":"a","path_prefix":"/","kind":"batch","timeout_ms":1,
/// #   "max_attempts":1,"pools":[{"pool":"p","weight":0},{"pool":"q","weight":1}]}"#;
/// use topazyard_relay::machine::routed_items::pool_of;
/// use topazyard_types::{ItemNumber, BatchId};
/// let route: topazyard_spec::Route = serde_json::from_str(text).unwrap();
/// let batch = BatchId::of_host("a", "1");
/// let run = topazyard_wire::message::batch::Run { batch, item: ItemNumber(3), lease: 1 };
/// assert_eq!(pool_of(&route, run), Some("q".into()));
/// ```
pub fn pool_of(route: &Route, run: Run) -> Option<PoolName> {
    let total: u64 = route.pools.iter().map(|share| u64::from(share.weight)).sum();
    let parts = [&run.batch.number.to_be_bytes()[..], &run.item.0.to_be_bytes()[..]];
    let digest = topazyard_types::Digest::of(&parts).0 as u64;
    let mut at = digest.checked_rem(total)?;
    for share in &route.pools {
        let weight = u64::from(share.weight);
        if at < weight {
            return Some(share.pool.clone());
        }
        at -= weight;
    }
    None
}

/// Time without a byte after which an engine counts as unresponsive for an item of a route.
pub(super) fn silence_timeout(route: &Route) -> DurationMs {
    let due = route.batch.as_ref().map_or(0, |terms| terms.run_target_ms / 4);
    DurationMs(MIN_SILENCE_MS.max(SILENCE_PAUSES * route.longest_pause_ms).max(due))
}
