//! How an agent finds the control primary, with the others' words put in by hand.

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
    /// Whom it asked, and under which nonce.
    asked: Vec<(Address, u64)>,
    /// What its relay was told: the nonce and the place.
    told: Vec<(u64, LogPosition)>,
    /// The part of a snapshot that was asked for last.
    part: Option<PartRequest>,
}

impl Agent {
    /// An agent that knows as many control nodes, from port 11 on, and has heard of none.
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
        Self { machine, now, asked: Vec::new(), told: Vec::new(), part: None }
    }

    fn step(&mut self, input: Input<topazyard_edge_agent::AgentCall>) {
        for effect in self.machine.step(input, self.now) {
            let Effect::Send { to, message: Message::Feed(message) } = effect else { continue };
            match message {
                FeedMessage::Request { nonce, part, .. } => {
                    self.asked.push((to, nonce));
                    self.part = part;
                }
                FeedMessage::Update { nonce, position, .. } => {
                    assert_eq!(to, at(RELAY));
                    self.told.push((nonce, position));
                }
                other => panic!("{other:?}"),
            }
        }
    }

    fn hear(&mut self, from: Address, message: FeedMessage) {
        let sender = NodeId(u64::from(from.port()));
        self.step(Input::Frame { sender, from, message: Message::Feed(message) });
    }

    /// Its relay asks.
    fn relay_asks(&mut self, nonce: u64) {
        self.relay_asks_for(nonce, None);
    }

    /// Its relay asks for a part of a snapshot.
    fn relay_asks_for(&mut self, nonce: u64, part: Option<PartRequest>) {
        let health = Health::Edge { ready: false, waiting: 0, refused: 0 };
        let after = LogPosition::default();
        self.hear(
            at(RELAY),
            FeedMessage::Request { nonce, after, part, last_response_age: None, health },
        );
    }

    fn news(&mut self, from: Address, nonce: u64, sequence: u64) {
        let position = LogPosition { epoch: Epoch(1), sequence: Sequence(sequence) };
        self.hear(
            from,
            FeedMessage::Update { nonce, position, content: UpdateContent::Changes(Vec::new()) },
        );
    }

    fn turned_away(&mut self, from: Address, nonce: u64, primary: Option<Address>) {
        self.hear(from, FeedMessage::Redirect { nonce, epoch: Epoch(1), primary });
    }

    fn tick(&mut self, ms: u64) {
        self.now.0 += ms;
        self.step(Input::Tick);
    }

    /// Whom it asked since the last look, under the last nonce.
    fn take_asked(&mut self) -> (std::collections::BTreeSet<Address>, u64) {
        let nonce = self.asked.last().map_or(0, |(_, nonce)| *nonce);
        let asked = std::mem::take(&mut self.asked);
        assert!(asked.iter().all(|(_, of)| *of == nonce), "one asking, one nonce");
        (asked.into_iter().map(|(to, _)| to).collect(), nonce)
    }
}

// Else an agent meets control nodes one by one after a power cut, a quarter of a second each.
#[test]
fn with_no_leader_three_are_asked_at_once_and_the_first_news_wins() {
    let mut agent = Agent::new(7);
    agent.relay_asks(5);
    let (asked, nonce) = agent.take_asked();
    assert_eq!(asked.len(), 3, "three different ones");
    let asked: Vec<Address> = asked.into_iter().collect();
    agent.news(asked[1], nonce, 8);
    // One that was slower, and knows less, says nothing to the relay any more.
    agent.news(asked[2], nonce, 3);
    let position = LogPosition { epoch: Epoch(1), sequence: Sequence(8) };
    assert_eq!(agent.told, [(5, position)]);
    agent.relay_asks(6);
    let (next, _) = agent.take_asked();
    assert_eq!(next.into_iter().collect::<Vec<_>>(), [asked[1]], "it leads and is asked alone");
}

// Else some of many control nodes are never asked, and the primary may be one of them.
#[test]
fn all_control_nodes_are_asked_in_turn() {
    for seeds in [1, 2, 3, 4, 7] {
        let mut agent = Agent::new(seeds);
        agent.relay_asks(5);
        let mut all = agent.take_asked().0;
        assert_eq!(all.len(), usize::from(seeds.min(3)));
        for _ in 0..3 {
            agent.tick(124);
            assert!(agent.asked.is_empty(), "they may answer yet");
            agent.tick(1);
            all.extend(agent.take_asked().0);
        }
        assert_eq!(all.len(), usize::from(seeds));
    }
}

// Else an agent waits its whole timeout for nodes that have already said that they can't help.
#[test]
fn a_node_that_knows_of_no_primary_is_not_waited_for() {
    let mut agent = Agent::new(7);
    agent.relay_asks(5);
    let (first, nonce) = agent.take_asked();
    for node in &first {
        agent.turned_away(*node, nonce, None);
    }
    assert!(agent.asked.is_empty(), "not at once, lest it ask in a circle without pause");
    agent.tick(49);
    assert!(agent.asked.is_empty());
    agent.tick(1);
    let (next, nonce) = agent.take_asked();
    assert_eq!(next.len(), 3);
    assert!(next.is_disjoint(&first), "others are asked");
    let leader = *next.iter().next_back().expect("three");
    agent.news(leader, nonce, 8);
    assert_eq!(agent.told.len(), 1);
}

// Else one that lost its primary asks for it at a node that names itself, without end.
#[test]
fn a_node_that_names_a_primary_is_believed_at_once_but_not_of_itself() {
    let mut agent = Agent::new(7);
    agent.relay_asks(5);
    let (first, nonce) = agent.take_asked();
    let first: Vec<Address> = first.into_iter().collect();
    agent.turned_away(first[0], nonce, Some(first[0]));
    assert!(agent.asked.is_empty());
    agent.turned_away(first[1], nonce, Some(at(17)));
    let (next, nonce) = agent.take_asked();
    assert_eq!(next.into_iter().collect::<Vec<_>>(), [at(17)]);
    // An answer to what was asked before, of whatever sense, changes nothing.
    agent.turned_away(first[2], nonce - 1, Some(at(12)));
    assert!(agent.asked.is_empty());
    // The one that was named is gone: after the timeout for a known leader three are asked again.
    agent.tick(249);
    assert!(agent.asked.is_empty());
    agent.tick(1);
    assert_eq!(agent.take_asked().0.len(), 3);
}

// Else a relay gets the first part of a large snapshot again and again.
#[test]
fn the_part_that_a_relay_lacks_is_asked_for() {
    let mut agent = Agent::new(3);
    agent.relay_asks(5);
    assert_eq!(agent.part, None);
    let (asked, nonce) = agent.take_asked();
    agent.news(*asked.first().expect("one"), nonce, 8);
    let position = LogPosition { epoch: Epoch(1), sequence: Sequence(8) };
    let wanted = Some(PartRequest { position, part: 1 });
    agent.relay_asks_for(6, wanted);
    assert_eq!(agent.part, wanted);
}
