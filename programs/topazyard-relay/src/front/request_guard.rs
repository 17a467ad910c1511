//! Reports the end of a request or prompt to the state machine.

use super::Handle;
use crate::machine::{EngineOutcome, PromptId, RelayCall};

/// Reports to the machine, when dropped, that a request ended.
pub(super) struct RequestGuard {
    /// The handle to the machine.
    pub handle: Handle,
    /// The id of the request.
    pub id: PromptId,
    /// The outcome at the request's engine.
    pub engine_outcome: EngineOutcome,
    /// Builds the call that reports the end.
    end_call: fn(PromptId, EngineOutcome) -> RelayCall,
}

impl RequestGuard {
    /// A guard for a new request, with a new id.
    pub fn new(handle: Handle, end_call: fn(PromptId, EngineOutcome) -> RelayCall) -> Self {
        Self { handle, id: PromptId::next(), engine_outcome: EngineOutcome::Aborted, end_call }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.handle.notify((self.end_call)(self.id, self.engine_outcome));
    }
}
