//! The load that engines report with their responses.

use super::Handle;
use super::adapter::HttpAdapter;
use crate::machine::RelayCall;
use std::sync::atomic::{AtomicU64, Ordering};
use topazyard_types::EngineName;

static MALFORMED: AtomicU64 = AtomicU64::new(0);

/// Reports the load in a response's head to the machine. A malformed load is counted and ignored.
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

/// The number of malformed loads since the process started.
pub fn malformed_count() -> u64 {
    MALFORMED.load(Ordering::Relaxed)
}
