//! The fault plan of a scenario, derived from the seed.

mod chaos;
mod core;
mod load;
mod losses;
mod machines;
mod network;

use crate::faults::{Fault, FaultTarget};
use crate::{Deployment, Scenario};
use rand::{Rng as _, SeedableRng as _};

/// The earliest time of the first fault.
pub(crate) const FIRST_FAULT_MS: u64 = 15_000;

/// The faults of a run.
pub(crate) struct Plan {
    /// Each fault with its time in milliseconds.
    pub(crate) faults: Vec<(u64, Fault)>,
    /// When the last fault is over.
    pub(crate) end_ms: u64,
}

/// Builds the fault plan of a scenario.
struct PlanBuilder<'a> {
    deployment: &'a Deployment,
    rng: rand::rngs::StdRng,
    faults: Vec<(u64, Fault)>,
    /// The time that the plan has reached.
    at_ms: u64,
}

/// Plans the faults of a scenario from the seed.
pub(crate) fn plan(deployment: &Deployment, scenario: Scenario, seed: u64) -> Plan {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed ^ 0x0007_0a5a_0ac7);
    let at_ms = FIRST_FAULT_MS + rng.random_range(0..1_000);
    let mut builder = PlanBuilder { deployment, rng, faults: Vec::new(), at_ms };
    match scenario {
        Scenario::Calm => {}
        Scenario::Crowds => builder.crowds(),
        Scenario::Ceiling => builder.ceiling(),
        Scenario::Engines => builder.engines(),
        Scenario::Kills => builder.kills(),
        Scenario::Freezes => builder.freezes(),
        Scenario::Power => builder.power(),
        Scenario::Blackout => builder.blackout(),
        Scenario::SlowDisks => builder.slow_disks(),
        Scenario::FullDisks => builder.full_disks(),
        Scenario::Cuts => builder.cuts(),
        Scenario::Replaced => builder.replaced(),
        Scenario::Seeds => builder.seeds(),
        Scenario::Counter => builder.counter(),
        Scenario::Operators => builder.operators(),
        Scenario::Drains => builder.drains(),
        Scenario::Zones => builder.zones(),
        Scenario::Rolling => builder.rolling(),
        Scenario::Untidy => builder.untidy(),
        Scenario::Controls => builder.controls(),
        Scenario::Herd => builder.herd(),
        Scenario::Chaos => builder.chaos(),
        Scenario::CutOffControl => builder.cut_off_control(),
        Scenario::Races => builder.races(),
        Scenario::SecondLoss => builder.second_loss(),
        Scenario::LongAbsent => builder.long_absent(),
        Scenario::CoreTroubles => builder.core_troubles(),
        Scenario::Wipes => builder.wipes(),
        Scenario::Halves => builder.halves(),
    }
    builder.finish()
}

fn named(kind: &str, number: u64) -> FaultTarget {
    FaultTarget::Named(format!("{kind}-{number}"))
}

/// All processes of a kind.
fn all_of_kind(kind: &'static str, count: u64) -> impl Iterator<Item = FaultTarget> {
    (1..=count).map(move |number| named(kind, number))
}

impl PlanBuilder<'_> {
    fn finish(self) -> Plan {
        let ends = self.faults.iter().map(|(at, fault)| match fault {
            Fault::Freeze(_, ms) => at + ms,
            _ => *at,
        });
        Plan { end_ms: ends.max().unwrap_or(FIRST_FAULT_MS), faults: self.faults }
    }

    /// Adds a fault this long after the time that the plan has reached.
    fn add(&mut self, after_ms: u64, fault: Fault) {
        self.faults.push((self.at_ms + after_ms, fault));
    }

    /// Whether two machines may be lost at once.
    fn may_lose_two(&self) -> bool {
        self.deployment.lost_machines > 1
    }

    fn count_controls(&self) -> u64 {
        u64::from(self.deployment.controls)
    }

    fn count_storages(&self) -> u64 {
        u64::from(self.deployment.storages)
    }

    fn count_relays(&self) -> u64 {
        u64::from(self.deployment.relays)
    }

    /// Draws any process.
    fn any_process(&mut self) -> FaultTarget {
        let (storages, relays) = (self.count_storages(), self.count_relays());
        match self.rng.random_range(0..8) {
            0 => FaultTarget::ControlPrimary,
            1 => FaultTarget::OtherControl,
            2 => FaultTarget::ShardPrimary(0),
            3 => FaultTarget::ShardPrimary(self.rng.random_range(1..5)),
            4 => named("storage", self.rng.random_range(1..=storages)),
            5 => named("agent", self.rng.random_range(1..=relays)),
            _ => named("relay", self.rng.random_range(1..=relays)),
        }
    }

    /// Draws a machine with a disk.
    fn machine_with_disk(&mut self) -> FaultTarget {
        match self.rng.random_range(0..5) {
            0 => FaultTarget::ControlPrimary,
            1 => FaultTarget::OtherControl,
            2 => FaultTarget::ShardPrimary(0),
            _ => FaultTarget::ShardPrimary(self.rng.random_range(1..5)),
        }
    }

    /// Draws two machines with a disk to fail at the same instant, for deployments that tolerate
    /// two losses: pairs whose loss has the greatest impact.
    fn worst_pair(&mut self) -> [FaultTarget; 2] {
        let shard = self.rng.random_range(0..5);
        match self.rng.random_range(0..6) {
            0 => [FaultTarget::ControlPrimary, FaultTarget::OtherControl],
            1 => [FaultTarget::ShardPrimary(shard), FaultTarget::ShardHolder(shard)],
            2 => [FaultTarget::ShardHolder(shard), FaultTarget::ShardHolder(shard)],
            3 => [FaultTarget::ControlPrimary, FaultTarget::ShardPrimary(shard)],
            4 => [FaultTarget::OtherControl, FaultTarget::ShardPrimary(0)],
            _ => [FaultTarget::ShardPrimary(0), FaultTarget::ShardPrimary(shard)],
        }
    }
}
