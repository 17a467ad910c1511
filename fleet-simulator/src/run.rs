//! One run: a deployment, a scenario and a seed.

use crate::check::{Bounds, Figures, Violation};
use crate::faults::{Fault, Way, Whom};
use crate::people::{Doing, Habits};
use crate::world::{EngineMood, Event, Kind, NodeIndex, Plant, World};
use rand::{Rng as _, SeedableRng as _};

/// When load begins.
const LOAD_MS: u64 = 7_000;
/// When the first fault may strike.
const FAULTS_MS: u64 = 15_000;

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// Nothing.
    Calm,
    /// Crowds, jumps, and many parcels at once.
    Crowds,
    /// Engines crash, go dark, slow down, cut returns, and are replaced in turn.
    Engines,
    /// Many parcels land at once while the shards' and the counter's holders and control are lost,
    /// and a spec lowers the ceiling.
    Ceiling,
    /// Processes of every kind are killed and start again.
    Kills,
    /// Processes of every kind freeze and wake.
    Freezes,
    /// Machines lose power, and disks are lost.
    Power,
    /// Every machine loses its power at once.
    Blackout,
    /// Disks turn slow or stall.
    SlowDisks,
    /// Disks run full, some while their process is killed and starts again.
    FullDisks,
    /// Nodes are cut off, one way, both, flapping; core and storage are split; a domain is cut.
    Cuts,
    /// Machines are replaced by empty ones at new addresses, and one is added.
    Replaced,
    /// All three seed machines are exchanged one by one.
    Seeds,
    /// The counter's holders are lost, one and both.
    Counter,
    /// Operators race while specs grow and control is struck.
    Operators,
    /// Relays are drained and storage nodes emptied, and then they go.
    Drains,
    /// A whole domain, with its core, storage, edge and engines, loses power for long; another is
    /// cut off for long.
    Domains,
    /// Every process is restarted in turn, as when a new version is rolled out.
    Rolling,
    /// Frames come twice, late and out of order, and clocks run fast or slow.
    Untidy,
    /// All control processes are killed at the same instant and start again within a second.
    Controls,
    /// Many processes of every kind are killed at the same instant and start again soon.
    Herd,
    /// Everything, drawn by chance.
    Chaos,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 22] = [
        Self::Calm,
        Self::Crowds,
        Self::Ceiling,
        Self::Engines,
        Self::Kills,
        Self::Freezes,
        Self::Power,
        Self::Blackout,
        Self::SlowDisks,
        Self::FullDisks,
        Self::Cuts,
        Self::Replaced,
        Self::Seeds,
        Self::Counter,
        Self::Operators,
        Self::Drains,
        Self::Domains,
        Self::Rolling,
        Self::Untidy,
        Self::Controls,
        Self::Herd,
        Self::Chaos,
    ];

    /// Its name, as the command line takes it.
    ///
    /// ```
    /// assert_eq!(fleet_simulator::Scenario::SlowDisks.name(), "slowdisks");
    /// ```
    pub fn name(self) -> String {
        format!("{self:?}").to_lowercase()
    }

    /// The scenario of that name.
    ///
    /// ```
    /// use fleet_simulator::Scenario;
    /// assert_eq!(Scenario::named("cuts"), Some(Scenario::Cuts));
    /// ```
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|scenario| scenario.name() == name)
    }
}

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// The lines that were crossed.
    pub violations: Vec<Violation>,
    /// Figures.
    pub figures: Figures,
    /// What was done, for the trace.
    pub faults: Vec<String>,
    /// What the processes noted in their logs.
    pub notes: Vec<String>,
    /// A digest of the whole history: the same for the same seed.
    pub digest: topazyard_types::Digest,
    /// Frames sent, by kind.
    pub sent: std::collections::BTreeMap<&'static str, u64>,
    /// How long the simulated fleet ran.
    pub simulated_ms: u64,
}

struct Plan {
    faults: Vec<(u64, Fault)>,
    closed_ms: u64,
}

fn named(kind: &str, number: u64) -> Whom {
    Whom::Named(format!("{kind}-{number}"))
}

/// Builds a fleet whose processes all start at once.
pub fn build(deployment: &crate::Deployment, seed: u64) -> World {
    let mut world = World::new(seed, deployment.domains);
    world.bounds.lost_machines = deployment.lost_machines;
    let at = |port: u16| std::net::SocketAddr::from(([10, 0, 0, 1], port));
    world.seeds = (1..=3).map(|n| at(1_000 + n)).collect();
    for n in 1..=deployment.controls {
        world.add_node(
            format!("control-{n}"),
            Kind::Control,
            1_000 + n,
            None,
            n % deployment.domains,
        );
    }
    for n in 1..=deployment.storages {
        world.add_node(
            format!("storage-{n}"),
            Kind::Storage,
            2_000 + n,
            None,
            n % deployment.domains,
        );
    }
    for n in 1..=deployment.relays {
        let domain = n % deployment.domains;
        world.add_node(format!("agent-{n}"), Kind::Agent, 4_000 + n, Some(5_000 + n), domain);
        world.add_node(format!("relay-{n}"), Kind::Relay, 5_000 + n, Some(4_000 + n), domain);
    }
    for n in 1..=deployment.engines {
        let name = format!("engine-{n}");
        world.people.listed_ready.insert(name.clone());
        world.add_engine(name, 6_000 + n);
    }
    for index in 0..world.nodes.len() {
        world.start(NodeIndex(index));
    }
    world
}

/// What people do in a scenario, unless told otherwise.
pub fn habits(deployment: &crate::Deployment, scenario: Scenario) -> Habits {
    let cost = deployment.words + deployment.new_tokens;
    Habits {
        prompts_per_s: deployment.prompts_per_s,
        words: deployment.words,
        new_tokens: deployment.new_tokens,
        parcel_items: deployment.parcel_items,
        parcel_every_s: deployment.parcel_every_s,
        // In a crowd the budget is what must hold.
        limit_tokens: if scenario == Scenario::Crowds { 25 * cost } else { 40_000 },
        spec_every_s: if scenario == Scenario::Operators { 2 } else { 6 },
        ..Habits::default()
    }
}

/// Runs a scenario from a seed.
pub fn run(
    deployment: &crate::Deployment,
    scenario: Scenario,
    seed: u64,
    plant: Option<Plant>,
) -> Report {
    run_with(deployment, scenario, seed, plant, habits(deployment, scenario))
}

/// Runs a scenario from a seed with habits other than the usual ones.
pub fn run_with(
    deployment: &crate::Deployment,
    scenario: Scenario,
    seed: u64,
    plant: Option<Plant>,
    habits: Habits,
) -> Report {
    let mut world = build(deployment, seed);
    world.plant = plant;
    world.people.habits = Habits { is_open: false, ..habits };
    world.first_spec();
    world.list_engines();
    let usual =
        [Doing::NextPrompt, Doing::AskReady, Doing::NextParcel, Doing::NextSpec, Doing::ReadSpec];
    for doing in usual {
        world.at(0, Event::Person(doing));
    }
    if matches!(scenario, Scenario::Crowds | Scenario::Ceiling) {
        world.at(0, Event::Person(Doing::WeighWaiting));
    }
    world.run_until(LOAD_MS * 1_000);
    world.people.habits.is_open = true;
    let plan = plan(deployment, scenario, seed);
    for (at_ms, fault) in &plan.faults {
        world.plan(*at_ms, fault.clone());
    }
    let closed = plan.closed_ms * 1_000;
    world.run_until(closed + 18_000_000);
    world.people.habits.is_open = false;
    world.run_until(closed + 30_000_000);
    // Until nothing runs any more and every parcel is done, within reason.
    for _ in 0..30 {
        if world.is_at_rest() {
            break;
        }
        world.run_until(world.time + 5_000_000);
    }
    world.run_until(world.time + 5_000_000);
    world.history.holds_at_rest = world.holds();
    let bounds = Bounds {
        limit_tokens: world.people.habits.limit_tokens,
        before: ((LOAD_MS + 2_000) * 1_000, FAULTS_MS * 1_000),
        closed: Some(closed).filter(|_| !plan.faults.is_empty()),
        lost_machines: deployment.lost_machines,
        drained: scenario == Scenario::Drains,
    };
    let (violations, figures) = crate::check::check(&world.history, &bounds);
    let told = format!("{:?}", world.history);
    Report {
        violations,
        figures,
        faults: world
            .history
            .faults
            .iter()
            .map(|fault| format!("{:>6} ms {}", fault.at / 1_000, fault.text))
            .collect(),
        notes: world.notes.clone(),
        digest: topazyard_types::Digest::of(&[told.as_bytes()]),
        sent: world.sent.clone(),
        simulated_ms: world.time / 1_000,
    }
}

/// Plans a scenario's faults from the seed.
fn plan(deployment: &crate::Deployment, scenario: Scenario, seed: u64) -> Plan {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed ^ 0x0007_0a5a_0ac7);
    let mut faults: Vec<(u64, Fault)> = Vec::new();
    let mut at = FAULTS_MS + rng.random_range(0..1_000);
    let storages = u64::from(deployment.storages);
    let relays = u64::from(deployment.relays);
    let engines = deployment.engines;
    let controls = u64::from(deployment.controls);
    let two = deployment.lost_machines > 1;
    // Any machine, drawn by chance.
    let any = |rng: &mut rand::rngs::StdRng| match rng.random_range(0..8) {
        0 => Whom::ControlPrimary,
        1 => Whom::OtherControl,
        2 => Whom::ShardPrimary(0),
        3 => Whom::ShardPrimary(rng.random_range(1..5)),
        4 => named("storage", rng.random_range(1..=storages)),
        5 => named("agent", rng.random_range(1..=relays)),
        _ => named("relay", rng.random_range(1..=relays)),
    };
    let with_disk = |rng: &mut rand::rngs::StdRng| match rng.random_range(0..5) {
        0 => Whom::ControlPrimary,
        1 => Whom::OtherControl,
        2 => Whom::ShardPrimary(0),
        _ => Whom::ShardPrimary(rng.random_range(1..5)),
    };
    // Machines with a disk that are struck at the same instant, as many as may be lost: those whose
    // loss together hurts most.
    let together = |rng: &mut rand::rngs::StdRng| {
        let shard = rng.random_range(0..5);
        match rng.random_range(0..6) {
            0 => [Whom::ControlPrimary, Whom::OtherControl],
            1 => [Whom::ShardPrimary(shard), Whom::ShardHolder(shard)],
            2 => [Whom::ShardHolder(shard), Whom::ShardHolder(shard)],
            3 => [Whom::ControlPrimary, Whom::ShardPrimary(shard)],
            4 => [Whom::OtherControl, Whom::ShardPrimary(0)],
            _ => [Whom::ShardPrimary(0), Whom::ShardPrimary(shard)],
        }
    };
    match scenario {
        Scenario::Calm => {}
        Scenario::Crowds => {
            faults.push((at, Fault::Crowd(deployment.prompts_per_s * 8)));
            faults.push((at + 2_000, Fault::Parcels(30)));
            faults.push((at + 6_000, Fault::Crowd(deployment.prompts_per_s)));
            faults.push((at + 9_000, Fault::Crowd(deployment.prompts_per_s * 4)));
            faults.push((at + 12_000, Fault::Crowd(deployment.prompts_per_s)));
        }
        Scenario::Ceiling => {
            for n in 0..3 {
                faults.push((at, Fault::Parcels(30)));
                let whom = match n {
                    0 => Whom::ShardPrimary(rng.random_range(1..5)),
                    1 => Whom::ControlPrimary,
                    _ => Whom::ShardPrimary(0),
                };
                faults.push((at + rng.random_range(100..1_500), Fault::Kill(whom)));
                faults.push((at + 2_000, Fault::Parcels(10)));
                faults.push((at + 6_000, Fault::StartAll));
                at += 9_000;
            }
            // Both holders of the counter at once, and with them a shard's primary.
            faults.push((at, Fault::Parcels(20)));
            faults.push((at + 300, Fault::Kill(Whom::ShardPrimary(rng.random_range(1..5)))));
            for n in 1..=storages {
                faults.push((at + 500, Fault::Kill(named("storage", n))));
            }
            // Only as many as a shard needs are back at first: where all holders of a shard are
            // missing, nobody says what waits there.
            let first = rng.random_range(1..=storages);
            for n in
                (0..=u64::from(deployment.lost_machines)).map(|n| (first - 1 + n) % storages + 1)
            {
                faults.push((at + 1_500, Fault::Start(named("storage", n))));
            }
            faults.push((at + 4_000, Fault::Parcels(60)));
            faults.push((at + 12_000, Fault::StartAll));
            at += 20_000;
            faults.push((at, Fault::Ceiling(20_000)));
            faults.push((at, Fault::Parcels(20)));
            faults.push((at + 9_000, Fault::Parcels(20)));
            faults.push((at + 9_200, Fault::Kill(Whom::ShardPrimary(0))));
            faults.push((at + 11_000, Fault::StartAll));
        }
        Scenario::Engines => {
            for n in 0..6 {
                let engine = (rng.random_range(0..engines) + n) % engines;
                let mood = match n % 4 {
                    0 => EngineMood::Gone,
                    1 => EngineMood::Dark,
                    2 => EngineMood::Slow(10),
                    _ => EngineMood::Cutting,
                };
                faults.push((at, Fault::Engine(engine, mood)));
                faults.push((at + 4_000, Fault::Engine(engine, EngineMood::Well)));
                at += rng.random_range(500..2_500);
            }
            for n in 0..4_u16 {
                faults.push((at, Fault::EngineLeaves(n)));
                faults.push((at + 3_500, Fault::Engine(n, EngineMood::Gone)));
                faults.push((at + 5_000, Fault::Engine(n, EngineMood::Well)));
                faults.push((at + 5_500, Fault::EngineReady(n)));
                at += 2_000;
            }
        }
        Scenario::Kills => {
            for _ in 0..4 {
                if two {
                    let both = together(&mut rng).map(|whom| (at, Fault::Kill(whom)));
                    faults.extend(both);
                } else {
                    faults.push((at, Fault::Kill(any(&mut rng))));
                }
                if rng.random_range(0..2) == 0 {
                    faults.push((at + 200, Fault::Kill(named("relay", 1))));
                }
                at += rng.random_range(1_000..7_000);
                faults.push((at, Fault::StartAll));
                at += rng.random_range(5_000..8_000);
            }
        }
        Scenario::Freezes => {
            for _ in 0..5 {
                let ms = rng.random_range(500..9_000);
                if two {
                    let both = together(&mut rng).map(|whom| (at, Fault::Freeze(whom, ms)));
                    faults.extend(both);
                } else {
                    faults.push((at, Fault::Freeze(any(&mut rng), ms)));
                }
                at += ms.max(4_000) + rng.random_range(0..4_000);
            }
            // A relay wakes before its agent, when half of the engines have long left.
            faults.push((at, Fault::Freeze(named("relay", 1), 5_000)));
            faults.push((at, Fault::Freeze(named("agent", 1), 7_000)));
            for engine in 0..engines / 2 {
                faults.push((at + 300, Fault::EngineLeaves(engine)));
                faults.push((at + 9_000, Fault::EngineReady(engine)));
            }
        }
        Scenario::Power => {
            for n in 0..3 {
                let struck =
                    if two { together(&mut rng).to_vec() } else { vec![with_disk(&mut rng)] };
                for whom in struck {
                    let fault =
                        if n % 2 == 0 { Fault::LoseDisk(whom) } else { Fault::LosePower(whom) };
                    faults.push((at, fault));
                }
                at += rng.random_range(500..6_000);
                faults.push((at, Fault::StartAll));
                at += 12_000;
            }
        }
        Scenario::Blackout => {
            let numbered = |kind: &'static str, most| (1..=most).map(move |n| named(kind, n));
            let all = numbered("control", controls)
                .chain(numbered("storage", storages))
                .chain(numbered("agent", relays))
                .chain(numbered("relay", relays));
            faults.extend(all.map(|whom| (at, Fault::LosePower(whom))));
            faults.push((at + rng.random_range(500..3_000), Fault::StartAll));
        }
        Scenario::SlowDisks => {
            for _ in 0..3 {
                let ms = [50, 400, 3_000, 20_000][rng.random_range(0..4)];
                faults.push((at, Fault::SlowDisk(with_disk(&mut rng), ms)));
                at += rng.random_range(4_000..9_000);
                faults.push((at, Fault::FastDisks));
                at += 5_000;
            }
        }
        Scenario::FullDisks => {
            for n in 0..4 {
                let struck: Vec<Whom> = match two {
                    true => together(&mut rng).to_vec(),
                    false => vec![with_disk(&mut rng)],
                };
                let ms = if n == 3 { 15_000 } else { rng.random_range(1_000..4_000) };
                for whom in struck {
                    faults.push((at, Fault::FullDisk(whom)));
                }
                if rng.random_range(0..2) == 0 {
                    // The process on it is killed too, and finds no room when it starts.
                    faults.push((at + 300, Fault::KillFull));
                    faults.push((at + 600, Fault::StartAll));
                }
                at += ms;
                faults.push((at, Fault::Room));
                at += 9_000;
            }
        }
        Scenario::Cuts => {
            for n in 0..5 {
                let way = [Way::Both, Way::Outward, Way::Inward][rng.random_range(0..3)];
                let fault = match n {
                    3 => Fault::SplitCoreFromStorage,
                    4 => Fault::CutDomain(rng.random_range(0..deployment.domains)),
                    _ => Fault::CutOff(any(&mut rng), way),
                };
                let flaps = rng.random_range(1..4);
                let other = (two && n < 3).then(|| together(&mut rng));
                for _ in 0..flaps {
                    match &other {
                        Some(both) => faults
                            .extend(both.iter().map(|whom| (at, Fault::CutOff(whom.clone(), way)))),
                        None => faults.push((at, fault.clone())),
                    }
                    at += rng.random_range(500..5_000);
                    faults.push((at, Fault::Mend));
                    at += rng.random_range(300..2_000);
                }
                at += 4_000;
            }
            faults.push((FAULTS_MS, Fault::Lossy(100)));
            faults.push((at, Fault::Lossy(0)));
        }
        Scenario::Replaced => {
            faults.push((at, Fault::Replace(Whom::ShardPrimary(1))));
            at += 10_000;
            faults.push((at, Fault::AddStorage));
            at += 6_000;
            faults.push((at, Fault::Replace(Whom::OtherControl)));
            at += 18_000;
            faults.push((at, Fault::Replace(Whom::ShardPrimary(0))));
        }
        Scenario::Seeds => {
            for n in 1..=3 {
                faults.push((at, Fault::Replace(named("control", n))));
                at += 18_000;
            }
            // The whole edge starts anew with settings that name none of the present seeds.
            for n in 1..=relays {
                for whom in [named("relay", n), named("agent", n)] {
                    faults.push((at, Fault::Kill(whom.clone())));
                    faults.push((at + 1_000, Fault::Start(whom)));
                }
            }
            at += 16_000;
            faults.push((at, Fault::Kill(Whom::ControlPrimary)));
        }
        Scenario::Counter => {
            faults.push((at, Fault::Kill(Whom::ShardPrimary(0))));
            at += 8_000;
            faults.push((at, Fault::StartAll));
            at += 8_000;
            for n in 1..=storages {
                faults.push((at, Fault::Kill(named("storage", n))));
            }
            faults.push((at + 1_500, Fault::StartAll));
            faults.push((at + 4_000, Fault::Kill(named("relay", 1))));
        }
        Scenario::Operators => {
            faults.push((at, Fault::MoreLanes(400)));
            for _ in 0..3 {
                faults.push((at, Fault::Kill(Whom::ControlPrimary)));
                at += rng.random_range(2_000..6_000);
                faults.push((at, Fault::StartAll));
                at += rng.random_range(3_000..6_000);
            }
            faults.push((at, Fault::Freeze(Whom::ControlPrimary, 6_000)));
        }
        Scenario::Drains => {
            for n in 1..=3 {
                let relay = named("relay", n);
                faults.push((at, Fault::Drain(relay.clone())));
                faults.push((at + 9_000, Fault::Kill(relay)));
                faults.push((at + 9_500, Fault::StartAll));
                at += 10_000;
            }
            faults.push((at, Fault::AddStorage));
            faults.push((at + 3_000, Fault::Empty(Whom::ShardPrimary(0))));
            faults.push((at + 15_000, Fault::Empty(named("storage", 1))));
            faults.push((at + 27_000, Fault::Kill(named("storage", 1))));
        }
        Scenario::Domains => {
            // Whatever shares the fate of a domain: its engines go with it.
            let of =
                |domain: u16| (0..engines).filter(move |n| (n + 1) % deployment.domains == domain);
            let lost = rng.random_range(0..deployment.domains);
            faults.push((at, Fault::LoseDomain(lost)));
            for engine in of(lost) {
                faults.push((at, Fault::Engine(engine, EngineMood::Gone)));
                faults.push((at + 3_000, Fault::EngineLeaves(engine)));
            }
            at += 40_000;
            faults.push((at, Fault::StartAll));
            for engine in of(lost) {
                faults.push((at, Fault::Engine(engine, EngineMood::Well)));
                faults.push((at + 500, Fault::EngineReady(engine)));
            }
            at += 15_000;
            let cut = (lost + rng.random_range(1..deployment.domains)) % deployment.domains;
            faults.push((at, Fault::CutDomain(cut)));
            faults.push((at + rng.random_range(14_000..20_000), Fault::Mend));
        }
        Scenario::Rolling => {
            let numbered = |kind: &'static str, most| (1..=most).map(move |n| named(kind, n));
            let all = numbered("control", controls).chain(numbered("storage", storages));
            for whom in all {
                faults.push((at, Fault::Kill(whom.clone())));
                faults.push((at + rng.random_range(300..1_500), Fault::Start(whom)));
                at += 6_000;
            }
            for n in 1..=relays {
                let (agent, relay) = (named("agent", n), named("relay", n));
                faults.push((at, Fault::Drain(relay.clone())));
                for whom in [relay, agent] {
                    faults.push((at + 9_000, Fault::Kill(whom.clone())));
                    faults.push((at + 9_500, Fault::Start(whom)));
                }
                at += 2_000;
            }
        }
        Scenario::Untidy => {
            faults.push((at, Fault::Drift));
            for _ in 0..4 {
                faults.push((at, Fault::Untidy(rng.random_range(50..300))));
                at += 4_000;
                // Late frames of the time before go on arriving while others take over.
                faults.push((at, Fault::Untidy(0)));
                faults.push((at, Fault::Kill(any(&mut rng))));
                at += rng.random_range(1_000..4_000);
                faults.push((at, Fault::StartAll));
                at += 6_000;
            }
        }
        Scenario::Controls => {
            for _ in 0..3 {
                let all = (1..=controls).map(|n| named("control", n));
                for whom in all {
                    faults.push((at, Fault::Kill(whom.clone())));
                    faults.push((at + rng.random_range(50..1_000), Fault::Start(whom)));
                }
                at += 12_000;
            }
        }
        Scenario::Herd => {
            let numbered = |kind: &'static str, most| (1..=most).map(move |n| named(kind, n));
            for _ in 0..3 {
                let all = numbered("control", controls)
                    .chain(numbered("storage", storages))
                    .chain(numbered("agent", relays))
                    .chain(numbered("relay", relays));
                for whom in all {
                    if rng.random_range(0..10) < 6 {
                        faults.push((at, Fault::Kill(whom.clone())));
                        faults.push((at + rng.random_range(100..3_000), Fault::Start(whom)));
                    }
                }
                at += 16_000;
            }
        }
        Scenario::Chaos => {
            for _ in 0..8 {
                if two && rng.random_range(0..2) == 0 {
                    let one = rng.random_range(0..4);
                    faults.extend(together(&mut rng).map(|whom| match one {
                        0 => (at, Fault::Kill(whom)),
                        1 => (at, Fault::LosePower(whom)),
                        2 => (at, Fault::Freeze(whom, 4_000)),
                        _ => (at, Fault::LoseDisk(whom)),
                    }));
                    at += rng.random_range(1_000..5_000);
                    faults.push((at, Fault::StartAll));
                    at += rng.random_range(5_000..9_000);
                    continue;
                }
                let fault = match rng.random_range(0..9) {
                    0 | 1 => Fault::Kill(any(&mut rng)),
                    2 => Fault::Freeze(any(&mut rng), rng.random_range(500..7_000)),
                    3 => Fault::LosePower(with_disk(&mut rng)),
                    4 => Fault::CutOff(any(&mut rng), Way::Both),
                    5 => Fault::CutOff(any(&mut rng), Way::Inward),
                    6 => Fault::SlowDisk(with_disk(&mut rng), 2_500),
                    7 => Fault::Engine(rng.random_range(0..engines), EngineMood::Gone),
                    _ => Fault::Lossy(200),
                };
                faults.push((at, fault));
                at += rng.random_range(1_000..5_000);
                faults.push((at, Fault::StartAll));
                faults.push((at, Fault::Mend));
                faults.push((at, Fault::FastDisks));
                faults.push((at, Fault::Lossy(0)));
                (0..engines).for_each(|n| faults.push((at, Fault::Engine(n, EngineMood::Well))));
                at += rng.random_range(3_000..7_000);
            }
        }
    }
    let closed_ms = faults.iter().map(|(at, _)| *at).max().unwrap_or(FAULTS_MS);
    let frozen = faults.iter().filter_map(|(at, fault)| match fault {
        Fault::Freeze(_, ms) => Some(at + ms),
        _ => None,
    });
    let closed_ms = frozen.max().unwrap_or(0).max(closed_ms);
    Plan { faults, closed_ms }
}
