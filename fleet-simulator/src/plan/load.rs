//! Load spikes, batches, engine faults, drained nodes and losses of the counter.

use super::{PlanBuilder, named};
use crate::faults::{Fault, FaultTarget};
use crate::world::EngineHealth;
use rand::Rng as _;

impl PlanBuilder<'_> {
    pub(super) fn crowds(&mut self) {
        self.add(0, Fault::Crowd(self.deployment.prompts_per_s * 8));
        self.add(2_000, Fault::Batches(30));
        self.add(6_000, Fault::Crowd(self.deployment.prompts_per_s));
        self.add(9_000, Fault::Crowd(self.deployment.prompts_per_s * 4));
        self.add(12_000, Fault::Crowd(self.deployment.prompts_per_s));
    }

    pub(super) fn ceiling(&mut self) {
        for n in 0..3 {
            self.add(0, Fault::Batches(30));
            let target = match n {
                0 => FaultTarget::ShardPrimary(self.rng.random_range(1..5)),
                1 => FaultTarget::ControlPrimary,
                _ => FaultTarget::ShardPrimary(0),
            };
            let after = self.rng.random_range(100..1_500);
            self.add(after, Fault::Kill(target));
            self.add(2_000, Fault::Batches(10));
            self.add(6_000, Fault::StartAll);
            self.at_ms += 9_000;
        }
        // All replicas of the counter at once, and with them a shard's primary.
        self.add(0, Fault::Batches(20));
        let shard = self.rng.random_range(1..5);
        self.add(300, Fault::Kill(FaultTarget::ShardPrimary(shard)));
        for n in 1..=self.count_storages() {
            self.add(500, Fault::Kill(named("storage", n)));
        }
        let storages = self.count_storages();
        // At first only as many storage nodes are back as a shard has replicas: while all replicas
        // of a shard are missing, its waiting work is unknown.
        let first = self.rng.random_range(1..=self.count_storages());
        for n in 0..=u64::from(self.deployment.lost_machines) {
            let next = (first - 1 + n) % storages + 1;
            self.add(1_500, Fault::Start(named("storage", next)));
        }
        self.add(4_000, Fault::Batches(60));
        self.add(12_000, Fault::StartAll);
        self.at_ms += 20_000;
        self.add(0, Fault::Ceiling(20_000));
        self.add(0, Fault::Batches(20));
        self.add(9_000, Fault::Batches(20));
        self.add(9_200, Fault::Kill(FaultTarget::ShardPrimary(0)));
        self.add(11_000, Fault::StartAll);
    }

    pub(super) fn engines(&mut self) {
        let engines = self.deployment.engines;
        for n in 0..6 {
            let engine = (self.rng.random_range(0..engines) + n) % engines;
            let health = match n % 4 {
                0 => EngineHealth::Gone,
                1 => EngineHealth::Dark,
                2 => EngineHealth::Slow(10),
                _ => EngineHealth::Cutting,
            };
            self.add(0, Fault::Engine(engine, health));
            self.add(4_000, Fault::Engine(engine, EngineHealth::Well));
            self.at_ms += self.rng.random_range(500..2_500);
        }
        for n in 0..4_u16 {
            self.add(0, Fault::EngineLeaves(n));
            self.add(3_500, Fault::Engine(n, EngineHealth::Gone));
            self.add(5_000, Fault::Engine(n, EngineHealth::Well));
            self.add(5_500, Fault::EngineReady(n));
            self.at_ms += 2_000;
        }
    }

    pub(super) fn drains(&mut self) {
        for n in 1..=3 {
            let relay = named("relay", n);
            self.add(0, Fault::Drain(relay.clone()));
            self.add(9_000, Fault::Kill(relay));
            self.add(9_500, Fault::StartAll);
            self.at_ms += 10_000;
        }
        self.add(0, Fault::AddStorage);
        self.add(3_000, Fault::Empty(FaultTarget::ShardPrimary(0)));
        self.add(15_000, Fault::Empty(named("storage", 1)));
        self.add(27_000, Fault::Kill(named("storage", 1)));
    }

    pub(super) fn counter(&mut self) {
        self.add(0, Fault::Kill(FaultTarget::ShardPrimary(0)));
        self.at_ms += 8_000;
        self.add(0, Fault::StartAll);
        self.at_ms += 8_000;
        for n in 1..=self.count_storages() {
            self.add(0, Fault::Kill(named("storage", n)));
        }
        self.add(1_500, Fault::StartAll);
        self.add(4_000, Fault::Kill(named("relay", 1)));
    }
}
