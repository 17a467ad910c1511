//! Violates each invariant that control checks.

use topazyard_control::machine::configurations::Configurations;
use topazyard_types::ConfigurationVersion;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::invariants::{Invariant, violations};
use topazyard_wire::message::operate::OperatorOutcome;

#[test]
fn older_configuration_in_force_is_a_violation() {
    let done = OperatorOutcome::Done(String::new());
    let refused = OperatorOutcome::Refused(ApiError::not_run(Code::StaleBase));
    let mut configurations = Configurations::default();
    configurations.record_outcome(&done, ConfigurationVersion(4));
    configurations.record_outcome(&refused, ConfigurationVersion(4));
    configurations.record_outcome(&done, ConfigurationVersion(5));
    configurations.check(ConfigurationVersion(5));
    assert_eq!((configurations.acknowledged, configurations.refused), (2, 1));
    assert_eq!(violations(Invariant::AcknowledgedConfigurationStays), 0);
    configurations.check(ConfigurationVersion(4));
    assert_eq!(violations(Invariant::AcknowledgedConfigurationStays), 1);
}
