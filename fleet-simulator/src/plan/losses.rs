//! Processes and machines that fail and come back.

use super::{PlanBuilder, all_of_kind, named};
use crate::faults::{Fault, FaultTarget};
use crate::world::EngineHealth;
use rand::Rng as _;

impl PlanBuilder<'_> {
    pub(super) fn kills(&mut self) {
        for _ in 0..4 {
            if self.may_lose_two() {
                for target in self.worst_pair() {
                    self.add(0, Fault::Kill(target));
                }
            } else {
                let target = self.any_process();
                self.add(0, Fault::Kill(target));
            }
            if self.rng.random_range(0..2) == 0 {
                self.add(200, Fault::Kill(named("relay", 1)));
            }
            self.at_ms += self.rng.random_range(1_000..7_000);
            self.add(0, Fault::StartAll);
            self.at_ms += self.rng.random_range(5_000..8_000);
        }
    }

    pub(super) fn freezes(&mut self) {
        for _ in 0..5 {
            let ms = self.rng.random_range(500..9_000);
            if self.may_lose_two() {
                for target in self.worst_pair() {
                    self.add(0, Fault::Freeze(target, ms));
                }
            } else {
                let target = self.any_process();
                self.add(0, Fault::Freeze(target, ms));
            }
            self.at_ms += ms.max(4_000) + self.rng.random_range(0..4_000);
        }
        // A relay wakes before its agent, when half of the engines have left long ago.
        self.add(0, Fault::Freeze(named("relay", 1), 5_000));
        self.add(0, Fault::Freeze(named("agent", 1), 7_000));
        for engine in 0..self.deployment.engines / 2 {
            self.add(300, Fault::EngineLeaves(engine));
            self.add(9_000, Fault::EngineReady(engine));
        }
    }

    pub(super) fn power(&mut self) {
        for n in 0..3 {
            let targets = if self.may_lose_two() {
                self.worst_pair().to_vec()
            } else {
                vec![self.machine_with_disk()]
            };
            for target in targets {
                let fault =
                    if n % 2 == 0 { Fault::LoseDisk(target) } else { Fault::LosePower(target) };
                self.add(0, fault);
            }
            self.at_ms += self.rng.random_range(500..6_000);
            self.add(0, Fault::StartAll);
            self.at_ms += 12_000;
        }
    }

    pub(super) fn blackout(&mut self) {
        let all = all_of_kind("control", self.count_controls())
            .chain(all_of_kind("storage", self.count_storages()))
            .chain(all_of_kind("agent", self.count_relays()))
            .chain(all_of_kind("relay", self.count_relays()));
        for target in all {
            self.add(0, Fault::LosePower(target));
        }
        let after = self.rng.random_range(500..3_000);
        self.add(after, Fault::StartAll);
    }

    pub(super) fn slow_disks(&mut self) {
        for _ in 0..3 {
            let ms = [50, 400, 3_000, 20_000][self.rng.random_range(0..4)];
            let target = self.machine_with_disk();
            self.add(0, Fault::SlowDisk(target, ms));
            self.at_ms += self.rng.random_range(4_000..9_000);
            self.add(0, Fault::FastDisks);
            self.at_ms += 5_000;
        }
    }

    /// Several short periods with full disks and a long one; in some of them the process on the
    /// disk is killed too, and finds no free space when it starts.
    pub(super) fn full_disks(&mut self) {
        for n in 0..4 {
            let targets = if self.may_lose_two() {
                self.worst_pair().to_vec()
            } else {
                vec![self.machine_with_disk()]
            };
            let ms = if n == 3 { 15_000 } else { self.rng.random_range(1_000..4_000) };
            for target in targets {
                self.add(0, Fault::FullDisk(target));
            }
            if self.rng.random_range(0..2) == 0 {
                self.add(300, Fault::KillFull);
                self.add(600, Fault::StartAll);
            }
            self.at_ms += ms;
            self.add(0, Fault::Room);
            self.at_ms += 9_000;
        }
    }

    pub(super) fn zones(&mut self) {
        // The engines of a zone fail together with its machines.
        let (engines, zones) = (self.deployment.engines, self.deployment.zones);
        let engines_of = |zone: u16| (0..engines).filter(move |n| (n + 1) % zones == zone);
        let lost = self.rng.random_range(0..self.deployment.zones);
        self.add(0, Fault::LoseZone(lost));
        for engine in engines_of(lost) {
            self.add(0, Fault::Engine(engine, EngineHealth::Gone));
            self.add(3_000, Fault::EngineLeaves(engine));
        }
        self.at_ms += 40_000;
        self.add(0, Fault::StartAll);
        for engine in engines_of(lost) {
            self.add(0, Fault::Engine(engine, EngineHealth::Well));
            self.add(500, Fault::EngineReady(engine));
        }
        self.at_ms += 15_000;
        let cut = (lost + self.rng.random_range(1..self.deployment.zones)) % self.deployment.zones;
        self.add(0, Fault::CutZone(cut));
        let after = self.rng.random_range(14_000..20_000);
        self.add(after, Fault::Mend);
    }

    pub(super) fn controls(&mut self) {
        for _ in 0..3 {
            let all = all_of_kind("control", self.count_controls());
            for target in all {
                self.add(0, Fault::Kill(target.clone()));
                let after = self.rng.random_range(50..1_000);
                self.add(after, Fault::Start(target));
            }
            self.at_ms += 12_000;
        }
    }

    pub(super) fn herd(&mut self) {
        for _ in 0..3 {
            let all = all_of_kind("control", self.count_controls())
                .chain(all_of_kind("storage", self.count_storages()))
                .chain(all_of_kind("agent", self.count_relays()))
                .chain(all_of_kind("relay", self.count_relays()));
            for target in all {
                if self.rng.random_range(0..10) < 6 {
                    self.add(0, Fault::Kill(target.clone()));
                    let after = self.rng.random_range(100..3_000);
                    self.add(after, Fault::Start(target));
                }
            }
            self.at_ms += 16_000;
        }
    }

    /// Batches are submitted, and soon after a response about one of them disks are lost and all
    /// other machines lose power. In most rounds a shard's primary has a slow disk by then, so that
    /// the shard's copies differ.
    pub(super) fn wipes(&mut self) {
        for round in 0..5 {
            let ms = [0, 20, 300, 1_500][self.rng.random_range(0..4)];
            let target = FaultTarget::ShardPrimary(self.rng.random_range(1..5));
            let begin_ms = self.rng.random_range(1_000..3_000);
            self.add(begin_ms, Fault::Batches(8));
            let slow_from_ms = begin_ms + self.rng.random_range(0..400);
            self.add(slow_from_ms, Fault::SlowDisk(target.clone(), ms));
            if round % 2 == 1 {
                self.add(begin_ms + 200, Fault::Kill(target));
            }
            let (responses, down_ms) =
                (self.rng.random_range(1..40), self.rng.random_range(800..3_000));
            self.add(begin_ms + 100, Fault::WipeAfterAnswers(responses, down_ms));
            self.add(begin_ms + 4_000, Fault::FastDisks);
            self.at_ms += begin_ms + down_ms + 20_000;
        }
    }

    /// The machines with a disk are split into halves for some seconds, under load; sometimes one
    /// of them loses power meanwhile.
    pub(super) fn halves(&mut self) {
        for _ in 0..4 {
            let seed = self.rng.random_range(0..u64::MAX);
            self.add(0, Fault::Halves(seed));
            self.add(200, Fault::Batches(2));
            if self.rng.random_range(0..3) == 0 {
                let target = self.machine_with_disk();
                self.add(1_000, Fault::LosePower(target));
            }
            let ms = self.rng.random_range(1_000..9_000);
            self.add(ms, Fault::Mend);
            self.add(ms + 500, Fault::StartAll);
            self.at_ms += ms + 14_000;
        }
    }
}
