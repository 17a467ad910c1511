//! The end of a request or prompt, told to the machine.

use super::Handle;
use crate::machine::{EngineOutcome, PromptId, RelayCall};

/// Tells the machine that a request ended, whichever way this value goes out of use.
pub(super) struct RequestGuard {
    /// How the machine is reached.
    pub handle: Handle,
    /// What ends.
    pub id: PromptId,
    /// How its use of its engine ended.
    pub engine_outcome: EngineOutcome,
    /// How the machine is told.
    told: fn(PromptId, EngineOutcome) -> RelayCall,
}

impl RequestGuard {
    /// Of something new, which the machine hears of under a name that nothing else has.
    pub fn new(handle: Handle, told: fn(PromptId, EngineOutcome) -> RelayCall) -> Self {
        Self { handle, id: PromptId::next(), engine_outcome: EngineOutcome::Aborted, told }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.handle.notify((self.told)(self.id, self.engine_outcome));
    }
}
