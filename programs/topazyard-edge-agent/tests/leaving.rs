//! An agent that is about to end: it serves its relay until that has ended.

use topazyard_edge_agent::{AgentCall, AgentMachine, Start};
use topazyard_types::{CallId, LogPosition, MonotonicMs, NodeId};
use topazyard_wire::message::Message;
use topazyard_wire::message::feed::{FeedMessage, Health};
use topazyard_wire::message::membership::{Member, MemberRole};
use topazyard_wire::{Effect, Input, Machine as _};

const RELAY: u16 = 9;
/// How often a relay asks for news.
const ASK_EVERY_MS: u64 = 200;
const TICK_MS: u64 = 25;

fn at(port: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], port))
}

struct Agent {
    machine: AgentMachine,
    now: MonotonicMs,
    nonce: u64,
    /// Askings that were passed on to control nodes.
    passed_on: usize,
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
        Self { machine, now: MonotonicMs(100_000), nonce: 0, passed_on: 0, may_end: false }
    }

    fn step(&mut self, input: Input<AgentCall>) {
        for effect in self.machine.step(input, self.now) {
            match effect {
                Effect::Send { message: Message::Feed(FeedMessage::Request { .. }), .. } => {
                    self.passed_on += 1;
                }
                Effect::Respond { call: CallId(7), .. } => self.may_end = true,
                _ => {}
            }
        }
    }

    fn relay_asks(&mut self) {
        self.nonce += 1;
        let ask = FeedMessage::Request {
            nonce: self.nonce,
            after: LogPosition::default(),
            part: None,
            last_response_age: None,
            health: Health::Edge { ready: false, waiting: 0, refused: 0 },
        };
        let sender = NodeId(u64::from(RELAY));
        self.step(Input::Frame { sender, from: at(RELAY), message: Message::Feed(ask) });
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

// Else a relay that drains for seconds serves by a configuration, engines and shards of long ago.
#[test]
fn an_agent_serves_its_relay_until_that_has_ended() {
    let mut agent = Agent::new();
    agent.relay_asks();
    agent.run(ASK_EVERY_MS);
    agent.leave();
    for _ in 0..30 {
        agent.passed_on = 0;
        agent.relay_asks();
        assert!(agent.passed_on > 0, "the asking goes on to control");
        agent.run(ASK_EVERY_MS);
        assert!(!agent.may_end, "its relay still asks");
    }
    // The relay has ended.
    agent.run(1_000);
    assert!(agent.may_end);
}

#[test]
fn an_agent_whose_relay_is_gone_ends_at_once() {
    let mut never_asked = Agent::new();
    never_asked.leave();
    assert!(never_asked.may_end);
    let mut silent = Agent::new();
    silent.relay_asks();
    silent.run(1_000);
    silent.leave();
    assert!(silent.may_end);
}
