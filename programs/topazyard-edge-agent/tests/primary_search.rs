//! How an agent finds the control primary. The tests write the messages of the relay and of the
//! control nodes themselves.

use topazyard_edge_agent::{AgentMachine, Start};
use topazyard_types::{Epoch, LogPosition, MonotonicMs, NodeId, Sequence};
use topazyard_wire::message::Message;
use topazyard_wire::message::feed::{FeedMessage, Health, PartRequest, UpdateContent};
use topazyard_wire::message::membership::{Member, MemberRole};
use topazyard_wire::{Effect, Input, Machine as _};

type Address = std::net::SocketAddr;

const RELAY: u16 = 9;

fn at(port: u16) -> Address {
    Address::from(([127, 0, 0, 1], port))
}

struct Agent {
    machine: AgentMachine,
    now: MonotonicMs,
    /// Receiver and nonce of each request sent to control nodes.
    requested: Vec<(Address, u64)>,
    /// Nonce and log position of each update sent to the relay.
    updates: Vec<(u64, LogPosition)>,
    /// The snapshot part that the last request named.
    part: Option<PartRequest>,
}

impl Agent {
    /// An agent with the given number of seeds, from port 11 on, that has received no message yet.
    fn new(seeds: u16) -> Self {
        let member = Member {
            id: NodeId(1),
            name: None,
            address: at(1),
            http: None,
            role: MemberRole::Edge,
            zone: "north".into(),
        };
        let start = Start {
            member,
            seeds: (11..11 + seeds).map(at).collect(),
            remembered: None,
            relay: at(RELAY),
            random_seed: 1,
        };
        let now = MonotonicMs(100_000);
        let machine = AgentMachine::new(start);
        Self { machine, now, requested: Vec::new(), updates: Vec::new(), part: None }
    }

    fn step(&mut self, input: Input<topazyard_edge_agent::AgentCall>) {
        for effect in self.machine.step(input, self.now) {
            let Effect::Send { to, message: Message::Feed(message) } = effect else { continue };
            match message {
                FeedMessage::Request { nonce, part, .. } => {
                    self.requested.push((to, nonce));
                    self.part = part;
                }
                FeedMessage::Update { nonce, position, .. } => {
                    assert_eq!(to, at(RELAY));
                    self.updates.push((nonce, position));
                }
                other => panic!("{other:?}"),
            }
        }
    }

    fn receive(&mut self, from: Address, message: FeedMessage) {
        let sender = NodeId(u64::from(from.port()));
        self.step(Input::Frame { sender, from, message: Message::Feed(message) });
    }

    /// The relay sends a request.
    fn relay_requests(&mut self, nonce: u64) {
        self.relay_requests_part(nonce, None);
    }

    /// The relay sends a request that may name a snapshot part.
    fn relay_requests_part(&mut self, nonce: u64, part: Option<PartRequest>) {
        let health = Health::Edge { ready: false, waiting: 0, refused: 0 };
        let after = LogPosition::default();
        self.receive(
            at(RELAY),
            FeedMessage::Request { nonce, after, part, last_response_age: None, health },
        );
    }

    fn update(&mut self, from: Address, nonce: u64, sequence: u64) {
        let position = LogPosition { epoch: Epoch(1), sequence: Sequence(sequence) };
        self.receive(
            from,
            FeedMessage::Update { nonce, position, content: UpdateContent::Changes(Vec::new()) },
        );
    }

    fn redirect(&mut self, from: Address, nonce: u64, primary: Option<Address>) {
        self.receive(from, FeedMessage::Redirect { nonce, epoch: Epoch(1), primary });
    }

    fn tick(&mut self, ms: u64) {
        self.now.0 += ms;
        self.step(Input::Tick);
    }

    /// Receivers of the requests since the last call, and the nonce that all of them carry.
    fn take_requested(&mut self) -> (std::collections::BTreeSet<Address>, u64) {
        let nonce = self.requested.last().map_or(0, |(_, nonce)| *nonce);
        let requested = std::mem::take(&mut self.requested);
        assert!(requested.iter().all(|(_, sent)| *sent == nonce), "one request, one nonce");
        (requested.into_iter().map(|(to, _)| to).collect(), nonce)
    }
}

// Otherwise an agent tries control nodes one after the other after a power loss, and waits a
// quarter of a second for each.
#[test]
fn unknown_primary_is_searched_at_three_nodes_in_parallel() {
    let mut agent = Agent::new(7);
    agent.relay_requests(5);
    let (requested, nonce) = agent.take_requested();
    assert_eq!(requested.len(), 3, "three different ones");
    let requested: Vec<Address> = requested.into_iter().collect();
    agent.update(requested[1], nonce, 8);
    // A slower response, with an older position, is not passed to the relay.
    agent.update(requested[2], nonce, 3);
    let position = LogPosition { epoch: Epoch(1), sequence: Sequence(8) };
    assert_eq!(agent.updates, [(5, position)]);
    agent.relay_requests(6);
    let (next, _) = agent.take_requested();
    assert_eq!(
        next.into_iter().collect::<Vec<_>>(),
        [requested[1]],
        "only the node that responded is tried"
    );
}

// Otherwise some of many control nodes never get a request, and the primary may be one of them.
#[test]
fn all_control_nodes_are_tried_in_rotation() {
    for seeds in [1, 2, 3, 4, 7] {
        let mut agent = Agent::new(seeds);
        agent.relay_requests(5);
        let mut all = agent.take_requested().0;
        assert_eq!(all.len(), usize::from(seeds.min(3)));
        for _ in 0..3 {
            agent.tick(124);
            assert!(agent.requested.is_empty(), "the responses may still come");
            agent.tick(1);
            all.extend(agent.take_requested().0);
        }
        assert_eq!(all.len(), usize::from(seeds));
    }
}

// Otherwise an agent waits the full timeout for nodes that already reported that they know no
// primary.
#[test]
fn a_node_without_a_primary_is_not_waited_for() {
    let mut agent = Agent::new(7);
    agent.relay_requests(5);
    let (first, nonce) = agent.take_requested();
    for node in &first {
        agent.redirect(*node, nonce, None);
    }
    assert!(agent.requested.is_empty(), "a retry without a delay would be a busy loop");
    agent.tick(49);
    assert!(agent.requested.is_empty());
    agent.tick(1);
    let (next, nonce) = agent.take_requested();
    assert_eq!(next.len(), 3);
    assert!(next.is_disjoint(&first), "other nodes are tried");
    let leader = *next.iter().next_back().expect("three");
    agent.update(leader, nonce, 8);
    assert_eq!(agent.updates.len(), 1);
}

// Otherwise an agent that lost its primary sends requests without end to a node that redirects to
// itself.
#[test]
fn redirects_are_followed_at_once_unless_to_the_sender() {
    let mut agent = Agent::new(7);
    agent.relay_requests(5);
    let (first, nonce) = agent.take_requested();
    let first: Vec<Address> = first.into_iter().collect();
    agent.redirect(first[0], nonce, Some(first[0]));
    assert!(agent.requested.is_empty());
    agent.redirect(first[1], nonce, Some(at(17)));
    let (next, nonce) = agent.take_requested();
    assert_eq!(next.into_iter().collect::<Vec<_>>(), [at(17)]);
    // A response to an earlier request is ignored.
    agent.redirect(first[2], nonce - 1, Some(at(12)));
    assert!(agent.requested.is_empty());
    // The named node is down: after the timeout for a known primary three nodes are tried again.
    agent.tick(249);
    assert!(agent.requested.is_empty());
    agent.tick(1);
    assert_eq!(agent.take_requested().0.len(), 3);
}

// Otherwise a relay receives the first part of a large snapshot again and again.
#[test]
fn the_requested_snapshot_part_is_forwarded() {
    let mut agent = Agent::new(3);
    agent.relay_requests(5);
    assert_eq!(agent.part, None);
    let (requested, nonce) = agent.take_requested();
    agent.update(*requested.first().expect("one"), nonce, 8);
    let position = LogPosition { epoch: Epoch(1), sequence: Sequence(8) };
    let part = Some(PartRequest { position, part: 1 });
    agent.relay_requests_part(6, part);
    assert_eq!(agent.part, part);
}
