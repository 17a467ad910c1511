//! The metrics of a control node.

mod fleet;

use fleet::{Fleet, storage};
use topazyard_control::ControlCall;
use topazyard_control::machine::ControlHealth;
use topazyard_control::metrics::ControlFigures;
use topazyard_types::ConfigurationVersion;
use topazyard_wire::message::operate::{Command, OperatorOutcome};

fn order(base: u64, version: u64) -> Command {
    let text = serde_json::json!({ "pools": [{ "name": "main" }], "routes": [
        { "name": "r", "host": "a.example", "path_prefix": "/", "kind": "safe",
          "pools": [{ "pool": "main", "weight": 1 }], "timeout_ms": 5000, "max_attempts": 2 }
    ] });
    let (base, version) = (ConfigurationVersion(base), ConfigurationVersion(version));
    Command::ApplyConfiguration { base, version, text: text.to_string(), source: "order".into() }
}

fn text(fleet: &mut Fleet, number: usize) -> String {
    fleet.nodes[number].outcome = None;
    fleet.call(number, ControlCall::Health);
    let Some(OperatorOutcome::Done(text)) = fleet.nodes[number].outcome.take() else {
        panic!("no health");
    };
    let health: ControlHealth = serde_json::from_str(&text).expect("its health");
    topazyard_wire::metrics::text(Some(ControlFigures(health))).unwrap()
}

fn has(text: &str, sample: &str) {
    assert!(text.lines().any(|line| line == sample), "{sample} is missing in\n{text}");
}

#[test]
fn primary_counts_acknowledged_and_refused_configurations() {
    let mut fleet = Fleet::new(3, 3);
    fleet.storage = (1..=3).map(storage).collect();
    (0..3).for_each(|number| fleet.start(number));
    fleet.run(6_000);
    let primary = fleet.primary().expect("a primary");
    let backup = (0..3).find(|number| *number != primary).unwrap();
    assert!(matches!(fleet.command(primary, order(0, 1)), Some(OperatorOutcome::Done(_))));
    assert!(matches!(fleet.command(backup, order(1, 2)), Some(OperatorOutcome::Done(_))));
    assert!(matches!(fleet.command(primary, order(0, 3)), Some(OperatorOutcome::Refused(_))));
    let of_primary = text(&mut fleet, primary);
    has(&of_primary, "topazyard_control_primary 1");
    has(&of_primary, "topazyard_control_configurations_acknowledged_total 2");
    has(&of_primary, "topazyard_control_configurations_refused_total 1");
    has(&of_primary, "topazyard_control_orders_waiting 0");
    has(&of_primary, "topazyard_control_disk_healthy 1");
    let of_backup = text(&mut fleet, backup);
    has(&of_backup, "topazyard_control_primary 0");
    has(&of_backup, "topazyard_control_configurations_acknowledged_total 0");
    let epoch = |text: &str| {
        let sample = text.lines().find(|line| line.starts_with("topazyard_control_epoch "));
        sample.expect("an epoch").to_owned()
    };
    assert_eq!(epoch(&of_primary), epoch(&of_backup));
}
