//! Shutdown of an agent: it serves its relay until the relay has ended.

use topazyard_edge_agent::{AgentCall, AgentMachine, Start};
use topazyard_types::{CallId, LogPosition, MonotonicMs, NodeId};
use topazyard_wire::message::Message;
use topazyard_wire::message::feed::{FeedMessage, Health};
use topazyard_wire::message::membership::{Member, MemberRole};
use topazyard_wire::{Effect, Input, Machine as _};

const RELAY: u16 = 9;
/// How often a relay requests updates.
const REQUEST_INTERVAL_MS: u64 = 200;
const TICK_MS: u64 = 25;

fn at(port: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], port))
}

struct Agent {
    machine: AgentMachine,
    now: MonotonicMs,
    nonce: u64,
    /// Requests that were forwarded to control nodes.
    forwarded: usize,
    may_end: bool,
}

impl Agent {
    fn new() -> Self {
        let member = Member {
            id: NodeId(1),
            name: None,
            address: at(1),
            http: None,
            role: MemberRole::Edge,
            zone: "north".into(),
        };
        let seeds = vec![at(11)];
        let start = Start { member, seeds, remembered: None, relay: at(RELAY), random_seed: 1 };
        let machine = AgentMachine::new(start);
        Self { machine, now: MonotonicMs(100_000), nonce: 0, forwarded: 0, may_end: false }
    }

    fn step(&mut self, input: Input<AgentCall>) {
        for effect in self.machine.step(input, self.now) {
            match effect {
                Effect::Send { message: Message::Feed(FeedMessage::Request { .. }), .. } => {
                    self.forwarded += 1;
                }
                Effect::Respond { call: CallId(7), .. } => self.may_end = true,
                _ => {}
            }
        }
    }

    fn relay_requests(&mut self) {
        self.nonce += 1;
        let request = FeedMessage::Request {
            nonce: self.nonce,
            after: LogPosition::default(),
            part: None,
            last_response_age: None,
            health: Health::Edge { ready: false, waiting: 0, refused: 0 },
        };
        let sender = NodeId(u64::from(RELAY));
        self.step(Input::Frame { sender, from: at(RELAY), message: Message::Feed(request) });
    }

    fn leave(&mut self) {
        self.step(Input::Call { call: CallId(7), request: AgentCall::Leave });
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.now.0 += TICK_MS;
            self.step(Input::Tick);
        }
    }
}

// Otherwise a relay that drains for seconds serves with an outdated configuration, engine list and
// shard table.
#[test]
fn serves_its_relay_until_the_relay_has_ended() {
    let mut agent = Agent::new();
    agent.relay_requests();
    agent.run(REQUEST_INTERVAL_MS);
    agent.leave();
    for _ in 0..30 {
        agent.forwarded = 0;
        agent.relay_requests();
        assert!(agent.forwarded > 0, "the request is forwarded to control");
        agent.run(REQUEST_INTERVAL_MS);
        assert!(!agent.may_end, "the relay still sends requests");
    }
    // The relay has ended.
    agent.run(1_000);
    assert!(agent.may_end);
}

#[test]
fn ends_at_once_without_a_relay() {
    let mut without_relay = Agent::new();
    without_relay.leave();
    assert!(without_relay.may_end);
    let mut silent_relay = Agent::new();
    silent_relay.relay_requests();
    silent_relay.run(1_000);
    silent_relay.leave();
    assert!(silent_relay.may_end);
}
