//! Configurations and engines of any size.

use topazyard_types::SpecVersion;
use topazyard_wire::message::operate::Command;

/// A configuration with so many routes, one for each tenant; `change` marks one of them.
pub fn configuration(routes: usize, change: usize) -> String {
    let routes: Vec<_> = (0..routes)
        .map(|number| {
            let timeout_ms = if number == change % routes { 30_000 + change } else { 30_000 };
            serde_json::json!({
                "name": format!("tenant-{number}"), "host": format!("tenant-{number}.example"),
                "path_prefix": "/v1/", "kind": "streaming",
                "pools": [{ "pool": "main", "weight": 1 }], "timeout_ms": timeout_ms,
                "target_latency_ms": 1_500, "longest_pause_ms": 51, "max_attempts": 3,
                "priority": 1, "affinity": true,
            })
        })
        .collect();
    let pool = serde_json::json!({ "name": "main", "limit_tokens": 1_000_000_000 });
    serde_json::json!({ "pools": [pool], "routes": routes }).to_string()
}

/// The command that puts a configuration in force on top of the one before.
pub fn take(base: u64, text: String) -> Command {
    let source = bytes::Bytes::from(text.clone().into_bytes());
    Command::TakeSpec { base: SpecVersion(base), version: SpecVersion(base + 1), text, source }
}

/// So many engines; the one of number `cold` is not ready.
pub fn engines(count: usize, cold: Option<usize>) -> Vec<topazyard_spec::Engine> {
    let address = |number: usize| {
        let [_, a, b, c] = (number as u32).to_be_bytes();
        std::net::SocketAddr::from(([10, 100 + a, b, c], 8_000))
    };
    let state = |number| match cold == Some(number) {
        true => topazyard_spec::EngineState::Cold,
        false => topazyard_spec::EngineState::Ready,
    };
    (0..count)
        .map(|number| topazyard_spec::Engine {
            name: format!("engine-{number}").as_str().into(),
            address: address(number),
            pool: "main".into(),
            models: vec!["m".into()],
            state: state(number),
            zone: Some(topazyard_types::ZoneName(format!("zone-{}", number % 10))),
            slots: 16,
        })
        .collect()
}
