//! An agent's metrics.

use topazyard_edge_agent::metrics::AgentFigures;
use topazyard_edge_agent::{AgentCall, AgentHealth, AgentMachine, Start};
use topazyard_types::{CallId, MonotonicMs, NodeId};
use topazyard_wire::message::Message;
use topazyard_wire::message::feed::{FeedMessage, Health};
use topazyard_wire::message::membership::{Member, MemberRole};
use topazyard_wire::{Effect, Input, Machine as _};

fn at(port: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn health(agent: &mut AgentMachine, now: u64) -> AgentHealth {
    let call = Input::Call { call: CallId(1), request: AgentCall::Health };
    let health = agent.step(call, MonotonicMs(now)).into_iter().find_map(|effect| match effect {
        Effect::Respond { value, .. } => Some(value),
        _ => None,
    });
    health.expect("a health report")
}

#[test]
fn metrics_show_how_long_the_relay_has_waited() {
    let member = Member {
        id: NodeId(1),
        name: None,
        address: at(1),
        http: None,
        role: MemberRole::Edge,
        zone: "north".into(),
    };
    let seeds = vec![at(11), at(12), at(13)];
    let start = Start { member, seeds, remembered: None, relay: at(9), random_seed: 1 };
    let mut agent = AgentMachine::new(start);
    let before = topazyard_wire::metrics::text(Some(AgentFigures(health(&mut agent, 100_000))));
    assert!(!before.unwrap().contains("relay_heard"));
    let request = FeedMessage::Request {
        nonce: 5,
        after: Default::default(),
        part: None,
        last_response_age: None,
        health: Health::Edge { ready: true, waiting: 0, refused: 0 },
    };
    let message = Message::Feed(request);
    let frame = Input::Frame { sender: NodeId(9), from: at(9), message };
    agent.step(frame, MonotonicMs(100_000));
    let metrics = topazyard_wire::metrics::text(Some(AgentFigures(health(&mut agent, 100_750))));
    let metrics = metrics.unwrap();
    for sample in [
        "agent_knows_primary 0",
        "agent_control_nodes 3",
        "agent_relay_heard_seconds 0.75",
        "agent_unanswered_seconds 0.75",
    ] {
        let sample = format!("topazyard_{sample}");
        assert!(metrics.lines().any(|line| line == sample), "{sample} is missing in\n{metrics}");
    }
}
