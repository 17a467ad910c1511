//! Hollow edge nodes: the real machines of agents and relays, many in this process, which speak
//! over loopback to the real control and storage processes of a fleet. Among themselves they speak
//! within the process.

use topazyard_edge_agent::AgentMachine;
use topazyard_relay::{RelayCall, RelayMachine, RelayReturn};
use topazyard_types::{CallId, FleetId, NodeId};
use topazyard_wire::message::feed::FeedMessage;
use topazyard_wire::message::membership::{Duty, Member};
use topazyard_wire::{Effect, Frame, Input, Machine, Message};

/// Hollow edge nodes beside a real fleet
#[derive(clap::Args)]
pub struct Hollow {
    /// Where the real control nodes take frames
    #[arg(long, value_delimiter = ',', required = true)]
    seeds: Vec<std::net::SocketAddr>,
    /// The fleet's number
    #[arg(long, default_value_t = 7)]
    fleet: u32,
    /// Edge nodes, each a relay and an agent
    #[arg(long, default_value_t = 15)]
    nodes: u16,
    /// The first of two ports for each node
    #[arg(long, default_value_t = 28_000)]
    first_port: u16,
    /// For how long they start up before anything is counted
    #[arg(long, default_value_t = 8)]
    warm_up_s: u64,
    /// For how long they are counted
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

/// Timers of one node come this often, as in the driver.
const TIMER_MS: usize = 25;
/// Frames that may wait for the hollow nodes.
const QUEUE: usize = 65_536;

enum Body {
    Agent(AgentMachine),
    Relay(RelayMachine),
}

struct Node {
    id: NodeId,
    address: std::net::SocketAddr,
    body: Body,
    links: topazyard_wire::link::Links,
    /// The asking of control that waits for its response, and since when.
    asked: Option<(u64, std::time::Instant)>,
}

#[derive(Default)]
struct Counted {
    out_frames: u64,
    out_bytes: u64,
    in_frames: u64,
    in_bytes: u64,
    asks: u64,
    took_us: Vec<u64>,
}

struct Nodes {
    fleet: FleetId,
    nodes: Vec<Node>,
    places: std::collections::BTreeMap<std::net::SocketAddr, usize>,
    clock: topazyard_wire::driver::Clock,
    counted: Counted,
    ready: usize,
}

/// Runs them, then says what went between them and the real processes.
pub async fn run(flags: Hollow) {
    let (sender, mut received) = tokio::sync::mpsc::channel(QUEUE);
    let mut nodes = match start(&flags, &sender).await {
        Ok(nodes) => nodes,
        Err(error) => return eprintln!("a hollow node can't listen: {error}"),
    };
    let begun = tokio::time::Instant::now();
    let warm = begun + std::time::Duration::from_secs(flags.warm_up_s);
    let until = warm + std::time::Duration::from_secs(flags.seconds);
    let mut every = tokio::time::interval(std::time::Duration::from_millis(1));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
    let (mut slot, mut is_warm) = (0, false);
    loop {
        tokio::select! {
            _ = every.tick() => {
                slot = (slot + 1) % TIMER_MS;
                for index in (slot..nodes.nodes.len()).step_by(TIMER_MS) {
                    nodes.tell_all(index, Told::Timer);
                }
                let now = tokio::time::Instant::now();
                if !is_warm && now >= warm {
                    is_warm = true;
                    nodes.counted = Counted::default();
                    println!("warm");
                }
                if now >= until {
                    break;
                }
            }
            Some((index, frame)) = received.recv() => nodes.take(index, frame),
        }
    }
    nodes.print(flags.nodes, flags.seconds);
}

async fn start(
    flags: &Hollow,
    sender: &tokio::sync::mpsc::Sender<(usize, Frame)>,
) -> std::io::Result<Nodes> {
    let fleet = FleetId(flags.fleet);
    let mut nodes = Vec::new();
    for number in 0..flags.nodes {
        let at = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
        let first = flags.first_port + 2 * number;
        let (agent, relay) = (at(first), at(first + 1));
        let id = topazyard_wire::driver::fresh_id();
        let zone = topazyard_types::ZoneName(format!("zone-{}", number % 3 + 1));
        let member = Member { id, name: None, address: agent, http: None, duty: Duty::Edge, zone };
        let machine = AgentMachine::new(topazyard_edge_agent::Start {
            member,
            seeds: flags.seeds.clone(),
            remembered: None,
            relay,
            chance: rand::random(),
        });
        nodes.push(node(id, agent, Body::Agent(machine)));
        let id = topazyard_wire::driver::fresh_id();
        let machine = RelayMachine::new(&topazyard_relay::Start {
            node: id,
            agent,
            bounds: topazyard_spec::Bounds::default(),
        });
        nodes.push(node(id, relay, Body::Relay(machine)));
    }
    for (index, node) in nodes.iter().enumerate() {
        let listener = tokio::net::TcpListener::bind(node.address).await?;
        let sender = sender.clone();
        tokio::spawn(topazyard_wire::link::inward::listen(listener, fleet, move |frame| {
            // A frame that doesn't fit is dropped; its sender asks again.
            let _ = sender.try_send((index, frame));
        }));
    }
    let places = nodes.iter().enumerate().map(|(index, node)| (node.address, index)).collect();
    let clock = topazyard_wire::driver::Clock::start();
    Ok(Nodes { fleet, nodes, places, clock, counted: Counted::default(), ready: 0 })
}

fn node(id: NodeId, address: std::net::SocketAddr, body: Body) -> Node {
    Node { id, address, body, links: topazyard_wire::link::Links::default(), asked: None }
}

enum Told {
    Timer,
    Frame(Box<Frame>),
    /// Is the relay ready?
    Ready,
}

impl Nodes {
    fn take(&mut self, index: usize, frame: Frame) {
        self.counted.in_frames += 1;
        self.counted.in_bytes += frame.encode().len() as u64;
        let asked = &mut self.nodes[index].asked;
        if let Message::Feed(FeedMessage::News { nonce, .. }) = &frame.message
            && let Some((_, since)) = asked.take_if(|(asked, _)| asked == nonce)
        {
            self.counted.took_us.push(since.elapsed().as_micros() as u64);
        }
        self.tell_all(index, Told::Frame(Box::new(frame)));
    }

    /// Tells a node something, then others in this process whatever follows from it.
    fn tell_all(&mut self, index: usize, told: Told) {
        let mut queue = std::collections::VecDeque::from([(index, told)]);
        while let Some((index, told)) = queue.pop_front() {
            for (to, message) in self.tell(index, told) {
                let node = &mut self.nodes[index];
                let (sender, address) = (node.id, node.address);
                let version = topazyard_wire::message::FRAME_VERSION;
                let frame = Frame { version, fleet: self.fleet, sender, address, message };
                match self.places.get(&to) {
                    Some(place) => queue.push_back((*place, Told::Frame(Box::new(frame)))),
                    None => self.send_out(index, to, &frame),
                }
            }
        }
    }

    fn send_out(&mut self, index: usize, to: std::net::SocketAddr, frame: &Frame) {
        let node = &mut self.nodes[index];
        if let Message::Feed(FeedMessage::Ask { nonce, .. }) = &frame.message {
            node.asked = Some((*nonce, std::time::Instant::now()));
            self.counted.asks += 1;
        }
        let bytes = frame.encode();
        self.counted.out_frames += 1;
        self.counted.out_bytes += bytes.len() as u64;
        node.links.send(to, bytes);
    }

    fn tell(&mut self, index: usize, told: Told) -> Vec<(std::net::SocketAddr, Message)> {
        let now = self.clock.now();
        match &mut self.nodes[index].body {
            Body::Agent(machine) => match told {
                Told::Ready => Vec::new(),
                told => sends::<AgentMachine>(machine.step(input(told), now), |_| {}),
            },
            Body::Relay(machine) => {
                let input = match told {
                    Told::Ready => Input::Call { call: CallId(1), request: RelayCall::Ready },
                    told => input(told),
                };
                let ready = &mut self.ready;
                sends::<RelayMachine>(machine.step(input, now), |value| {
                    *ready += usize::from(matches!(value, RelayReturn::Noted));
                })
            }
        }
    }

    fn print(&mut self, edges: u16, seconds: u64) {
        for index in 0..self.nodes.len() {
            self.tell_all(index, Told::Ready);
        }
        let counted = &mut self.counted;
        counted.took_us.sort_unstable();
        let share = |percent: usize| {
            let at = (counted.took_us.len() * percent / 100).min(counted.took_us.len().max(1) - 1);
            counted.took_us.get(at).copied().unwrap_or(0) as f64 / 1_000.0
        };
        let a_second = |count: u64| count as f64 / seconds as f64;
        println!(
            "| hollow nodes | relays ready | asks /s | responses /s | response p50 ms | p99 ms | \
             frames out /s | KB out /s | frames in /s | KB in /s |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|");
        println!(
            "| {edges} | {} | {:.0} | {:.0} | {:.1} | {:.1} | {:.0} | {:.1} | {:.0} | {:.1} |",
            self.ready,
            a_second(counted.asks),
            a_second(counted.took_us.len() as u64),
            share(50),
            share(99),
            a_second(counted.out_frames),
            a_second(counted.out_bytes) / 1_000.0,
            a_second(counted.in_frames),
            a_second(counted.in_bytes) / 1_000.0,
        );
    }
}

fn input<C>(told: Told) -> Input<C> {
    match told {
        Told::Timer | Told::Ready => Input::Tick,
        Told::Frame(frame) => {
            Input::Frame { sender: frame.sender, from: frame.address, message: frame.message }
        }
    }
}

fn sends<M: Machine>(
    effects: topazyard_wire::machine::Effects<M>,
    mut returned: impl FnMut(M::Return),
) -> Vec<(std::net::SocketAddr, Message)> {
    let mut sends = Vec::new();
    for effect in effects {
        match effect {
            Effect::Send { to, message } => sends.push((to, message)),
            Effect::Return { value, .. } => returned(value),
            // Hollow nodes have no disk, no engines and no log.
            Effect::Write { .. } | Effect::Start(_) | Effect::Note { .. } => {}
        }
    }
    sends
}
