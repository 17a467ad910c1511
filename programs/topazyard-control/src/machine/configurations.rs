//! Outcomes of this node's orders that activate a configuration.

use topazyard_types::ConfigurationVersion;
use topazyard_wire::invariants::{self, Invariant};
use topazyard_wire::message::operate::OperatorOutcome;

/// Counts the outcomes since the process started, and keeps the newest acknowledged version.
#[derive(Clone, Default)]
pub struct Configurations {
    /// Orders that were acknowledged, repeats included.
    pub acknowledged: u64,
    /// Orders that were refused.
    pub refused: u64,
    newest: ConfigurationVersion,
}

/// Prints only its name: it does not affect what the node does next, and the model checker
/// distinguishes states by their debug output.
impl std::fmt::Debug for Configurations {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Configurations")
    }
}

impl Configurations {
    /// Counts the outcome of an order that is answered while the version `in_force` is in force.
    pub fn record_outcome(&mut self, outcome: &OperatorOutcome, in_force: ConfigurationVersion) {
        match outcome {
            OperatorOutcome::Done(_) => {
                self.acknowledged += 1;
                self.check(in_force);
            }
            OperatorOutcome::Refused(_) => self.refused += 1,
        }
    }

    /// Checks that the version in force is not older than one that was acknowledged before.
    pub fn check(&mut self, in_force: ConfigurationVersion) {
        let newest = self.newest;
        invariants::check(in_force >= newest, Invariant::AcknowledgedConfigurationStays, || {
            format!("acknowledged={newest} in_force={in_force}")
        });
        self.newest = newest.max(in_force);
    }
}
