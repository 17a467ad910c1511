//! What a relay tells in its metrics.

use topazyard_relay::drain::DrainTimes;
use topazyard_relay::machine::RelayHealth;
use topazyard_relay::metrics::RelayFigures;
use topazyard_relay::{RelayCall, RelayMachine, RelayResponse, Start};
use topazyard_types::{CallId, DurationMs, MonotonicMs, NodeId};
use topazyard_wire::http::inbound::Stage;
use topazyard_wire::{Effect, Input, Machine as _};

const STARTED: MonotonicMs = MonotonicMs(86_400_000);

fn relay() -> RelayMachine {
    let agent = std::net::SocketAddr::from(([127, 0, 0, 1], 9_001));
    let bounds = topazyard_spec::Bounds::default();
    RelayMachine::new(&Start { node: NodeId(3), agent, bounds })
}

fn health(relay: &mut RelayMachine, now: MonotonicMs) -> RelayHealth {
    let asked = Input::Call { call: CallId(1), request: RelayCall::Health };
    let health = relay.step(asked, now).into_iter().find_map(|effect| match effect {
        Effect::Respond { value: RelayResponse::Health(health), .. } => Some(*health),
        _ => None,
    });
    health.expect("its health")
}

fn text(health: RelayHealth, stage: Stage) -> String {
    topazyard_wire::metrics::text(Some(RelayFigures::new(health, stage))).unwrap()
}

fn has(text: &str, sample: &str) {
    assert!(text.lines().any(|line| line == sample), "{sample} is missing in\n{text}");
}

#[test]
fn a_relay_tells_what_is_under_way_and_how_it_drains() {
    let mut relay = relay();
    let serving = text(health(&mut relay, STARTED), Stage::Serving);
    for work in ["waiting", "holding", "items", "batch_calls"] {
        has(&serving, &format!("topazyard_relay_under_way{{work=\"{work}\"}} 0"));
    }
    for outcome in ["answered", "refused", "cut", "dropped"] {
        let sample = format!("topazyard_relay_requests_ended_total{{outcome=\"{outcome}\"}} 0");
        has(&serving, &sample);
    }
    has(&serving, "topazyard_relay_requests_taken_total 0");
    has(&serving, "topazyard_relay_drain_stage 0");
    assert!(!serving.contains("relay_drain_seconds"));

    let times = DrainTimes::within(DurationMs(8_000), DurationMs(0));
    relay.step(Input::Call { call: CallId(2), request: RelayCall::Drain(times) }, STARTED);
    let later = MonotonicMs(STARTED.0 + 1_500);
    let draining = text(health(&mut relay, later), Stage::Closing);
    has(&draining, "topazyard_relay_drain_stage 1");
    has(&draining, "topazyard_relay_drain_seconds 1.5");
    has(&draining, "topazyard_relay_ready 0");
}
