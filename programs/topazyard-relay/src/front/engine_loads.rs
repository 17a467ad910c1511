//! What engines say of their load with their responses.

use super::Handle;
use super::adapter::HttpAdapter;
use crate::machine::RelayCall;
use std::sync::atomic::{AtomicU64, Ordering};
use topazyard_types::EngineName;

static MALFORMED: AtomicU64 = AtomicU64::new(0);

/// Tells the machine what a response's head says of its engine's load; what can't be read is
/// counted and passed over.
pub(super) fn report(
    handle: &Handle,
    adapter: &dyn HttpAdapter,
    engine: &EngineName,
    headers: &hyper::HeaderMap,
) {
    match adapter.reported_load(headers) {
        Ok(Some(load)) => handle.notify(RelayCall::EngineLoad(engine.clone(), load)),
        Ok(None) => {}
        Err(_) => drop(MALFORMED.fetch_add(1, Ordering::Relaxed)),
    }
}

/// How many could not be read since the process began.
pub fn malformed_count() -> u64 {
    MALFORMED.load(Ordering::Relaxed)
}
