//! The processing of one request, independent of I/O.

pub mod state_machine;

pub use state_machine::{Failure, FailureAction, RequestStateMachine, State};
