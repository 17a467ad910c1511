//! A prompt's way through the relay.

pub mod state_machine;

pub use state_machine::{Failure, FailureAction, RequestStateMachine, State};
