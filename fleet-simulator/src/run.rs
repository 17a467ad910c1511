//! One run: a deployment, a scenario and a seed.

use crate::Scenario;
use crate::check::{Bounds, Figures, Violation};
use crate::plan::FIRST_FAULT_MS;
use crate::workload::{Activity, WorkloadSettings};
use crate::world::{Event, InjectedBug, NodeIndex, NodeKind, World};

/// When clients start to send load.
const LOAD_START_MS: u64 = 7_000;

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// Violations that the checker found.
    pub violations: Vec<Violation>,
    /// Figures measured in the run.
    pub figures: Figures,
    /// The faults that were caused, for the trace.
    pub faults: Vec<String>,
    /// Log lines of all processes.
    pub notes: Vec<String>,
    /// A digest of the whole history: the same for the same seed.
    pub digest: topazyard_types::Digest,
    /// Frames sent, by kind.
    pub sent: std::collections::BTreeMap<&'static str, u64>,
    /// How long the simulated fleet ran.
    pub simulated_ms: u64,
}

/// Builds a fleet and starts all its processes at once.
pub fn build(deployment: &crate::Deployment, seed: u64) -> World {
    let mut world = World::new(seed, deployment.zones);
    world.bounds.lost_machines = deployment.lost_machines;
    let at = |port: u16| std::net::SocketAddr::from(([10, 0, 0, 1], port));
    world.seeds = (1..=3).map(|n| at(1_000 + n)).collect();
    for n in 1..=deployment.controls {
        world.add_node(
            format!("control-{n}"),
            NodeKind::Control,
            1_000 + n,
            None,
            n % deployment.zones,
        );
    }
    for n in 1..=deployment.storages {
        world.add_node(
            format!("storage-{n}"),
            NodeKind::Storage,
            2_000 + n,
            None,
            n % deployment.zones,
        );
    }
    for n in 1..=deployment.relays {
        let zone = n % deployment.zones;
        world.add_node(format!("agent-{n}"), NodeKind::Agent, 4_000 + n, Some(5_000 + n), zone);
        world.add_node(format!("relay-{n}"), NodeKind::Relay, 5_000 + n, Some(4_000 + n), zone);
    }
    for n in 1..=deployment.engines {
        let name = format!("engine-{n}");
        world.workload.listed_ready.insert(name.clone());
        world.add_engine(name, 6_000 + n);
    }
    for index in 0..world.nodes.len() {
        world.start(NodeIndex(index));
    }
    world
}

/// The default workload of a scenario.
pub fn workload_settings(deployment: &crate::Deployment, scenario: Scenario) -> WorkloadSettings {
    let cost = deployment.words + deployment.new_tokens;
    let usual = WorkloadSettings {
        prompts_per_s: deployment.prompts_per_s,
        words: deployment.words,
        new_tokens: deployment.new_tokens,
        items_per_batch: deployment.items_per_batch,
        batch_interval_s: deployment.batch_interval_s,
        // The scenario with load spikes tests the budget, so its limit is low enough to be reached.
        limit_tokens: if scenario == Scenario::Crowds { 25 * cost } else { 40_000 },
        rollout_interval_s: if scenario == Scenario::Operators { 2 } else { 6 },
        ..WorkloadSettings::default()
    };
    if !scenario.has_orders() {
        return usual;
    }
    // These scenarios test control; a lighter load allows longer runs.
    WorkloadSettings {
        prompts_per_s: 12,
        items_per_batch: 10,
        batch_interval_s: 4,
        order_interval_ms: 300,
        ..usual
    }
}

/// Runs a scenario from a seed.
pub fn run(
    deployment: &crate::Deployment,
    scenario: Scenario,
    seed: u64,
    injected_bug: Option<InjectedBug>,
) -> Report {
    run_with(deployment, scenario, seed, injected_bug, workload_settings(deployment, scenario))
}

/// Runs a scenario from a seed with a workload other than the default.
pub fn run_with(
    deployment: &crate::Deployment,
    scenario: Scenario,
    seed: u64,
    injected_bug: Option<InjectedBug>,
    settings: WorkloadSettings,
) -> Report {
    let violated_before = topazyard_wire::invariants::thread_counts();
    let mut world = build(deployment, seed);
    world.injected_bug = injected_bug;
    world.workload.settings = WorkloadSettings { is_active: false, ..settings };
    if world.has_orders() {
        world.first_order();
    } else {
        world.first_rollout();
    }
    world.list_engines();
    let usual = [
        Activity::NextPrompt,
        Activity::CheckReady,
        Activity::NextBatch,
        Activity::NextRollout,
        Activity::ReadConfiguration,
    ];
    for activity in usual {
        world.schedule_at(0, Event::Activity(activity));
    }
    if matches!(scenario, Scenario::Crowds | Scenario::Ceiling) {
        world.schedule_at(0, Event::Activity(Activity::MeasureWaiting));
    }
    world.run_until(LOAD_START_MS * 1_000);
    world.workload.settings.is_active = true;
    let plan = crate::plan::plan(deployment, scenario, seed);
    for (at_ms, fault) in &plan.faults {
        world.schedule_fault(*at_ms, fault.clone());
    }
    let faults_end = plan.end_ms * 1_000;
    world.run_until(faults_end + 18_000_000);
    world.workload.settings.is_active = false;
    world.run_until(faults_end + 30_000_000);
    // Waits until nothing runs any more and every batch is done, at most 150 s.
    for _ in 0..30 {
        if world.is_idle() {
            break;
        }
        world.run_until(world.time + 5_000_000);
    }
    world.run_until(world.time + 5_000_000);
    world.history.holds_at_rest = world.counter_holds();
    let bounds = Bounds {
        limit_tokens: world.workload.settings.limit_tokens,
        before: ((LOAD_START_MS + 2_000) * 1_000, FIRST_FAULT_MS * 1_000),
        closed: Some(faults_end).filter(|_| !plan.faults.is_empty()),
        lost_machines: deployment.lost_machines,
        drained: scenario == Scenario::Drains,
    };
    let (mut violations, figures) = crate::check::check(&world.history, &bounds);
    violations.extend(crate::check::invariants::violated_since(&violated_before));
    let history_text = format!("{:?}", world.history);
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
        digest: topazyard_types::Digest::of(&[history_text.as_bytes()]),
        sent: world.sent.clone(),
        simulated_ms: world.time / 1_000,
    }
}
