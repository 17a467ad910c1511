//! What a routed item's run needs, and choices that depend on its route alone.

use super::Target;
use topazyard_spec::Route;
use topazyard_types::{DurationMs, PoolName};
use topazyard_wire::message::batch::{ItemRouting, Progress, Run};

/// The shortest silence after which an engine counts as gone.
const SHORTEST_SILENCE_MS: u64 = 2_000;
/// So many of a route's longest pauses are a silence.
const PAUSES: u64 = 8;

/// A routed item on its way to an engine.
#[derive(Debug, Clone)]
pub struct RoutedRun {
    /// The run.
    pub run: Run,
    /// Where.
    pub target: Target,
    /// How it is sent.
    pub routing: ItemRouting,
    /// The host that it names.
    pub host: String,
    /// The body, byte for byte.
    pub body: bytes::Bytes,
    /// What an earlier run brought.
    pub progress: Progress,
    /// After how long without a byte from the engine the run is broken off.
    pub silence_timeout: DurationMs,
}

/// The pool that an item's run goes to: by the weights, the same for each run of the item.
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

/// After how long without a byte an engine counts as gone for an item of a route.
pub(super) fn silence_of(route: &Route) -> DurationMs {
    let due = route.batch.as_ref().map_or(0, |terms| terms.run_target_ms / 4);
    DurationMs(SHORTEST_SILENCE_MS.max(PAUSES * route.longest_pause_ms).max(due))
}
