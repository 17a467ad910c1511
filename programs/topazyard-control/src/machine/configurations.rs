//! What this node answered to orders that put a configuration in force.

use topazyard_types::ConfigurationVersion;
use topazyard_wire::invariants::{self, Invariant};
use topazyard_wire::message::operate::OperatorOutcome;

/// Counts answers since the process began, and the newest version that was acknowledged.
#[derive(Clone, Default)]
pub struct Configurations {
    /// Orders that were acknowledged, repeats among them.
    pub acknowledged: u64,
    /// Orders that were refused.
    pub refused: u64,
    newest: ConfigurationVersion,
}

/// Tells nothing: what a node does next does not depend on it, and the model tells states apart by
/// what they tell.
impl std::fmt::Debug for Configurations {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Configurations")
    }
}

impl Configurations {
    /// An order is answered while that version is in force.
    pub fn answered(&mut self, outcome: &OperatorOutcome, in_force: ConfigurationVersion) {
        match outcome {
            OperatorOutcome::Done(_) => {
                self.acknowledged += 1;
                self.check(in_force);
            }
            OperatorOutcome::Refused(_) => self.refused += 1,
        }
    }

    /// What is in force now must not be older than what was acknowledged before.
    pub fn check(&mut self, in_force: ConfigurationVersion) {
        let newest = self.newest;
        invariants::check(in_force >= newest, Invariant::AcknowledgedConfigurationStays, || {
            format!("acknowledged={newest} in_force={in_force}")
        });
        self.newest = newest.max(in_force);
    }
}
