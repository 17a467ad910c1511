//! Random faults of all kinds.

use super::PlanBuilder;
use crate::faults::{Direction, Fault};
use crate::world::EngineHealth;
use rand::Rng as _;

impl PlanBuilder<'_> {
    pub(super) fn chaos(&mut self) {
        for _ in 0..8 {
            if self.may_lose_two() && self.rng.random_range(0..2) == 0 {
                let kind = self.rng.random_range(0..4);
                for target in self.worst_pair() {
                    let fault = match kind {
                        0 => Fault::Kill(target),
                        1 => Fault::LosePower(target),
                        2 => Fault::Freeze(target, 4_000),
                        _ => Fault::LoseDisk(target),
                    };
                    self.add(0, fault);
                }
                self.at_ms += self.rng.random_range(1_000..5_000);
                self.add(0, Fault::StartAll);
                self.at_ms += self.rng.random_range(5_000..9_000);
                continue;
            }
            let fault = match self.rng.random_range(0..9) {
                0 | 1 => Fault::Kill(self.any_process()),
                2 => {
                    let target = self.any_process();
                    Fault::Freeze(target, self.rng.random_range(500..7_000))
                }
                3 => Fault::LosePower(self.machine_with_disk()),
                4 => Fault::CutOff(self.any_process(), Direction::Both),
                5 => Fault::CutOff(self.any_process(), Direction::Inward),
                6 => Fault::SlowDisk(self.machine_with_disk(), 2_500),
                7 => Fault::Engine(
                    self.rng.random_range(0..self.deployment.engines),
                    EngineHealth::Gone,
                ),
                _ => Fault::Lossy(200),
            };
            self.add(0, fault);
            self.at_ms += self.rng.random_range(1_000..5_000);
            self.add(0, Fault::StartAll);
            self.add(0, Fault::Mend);
            self.add(0, Fault::FastDisks);
            self.add(0, Fault::Lossy(0));
            for engine in 0..self.deployment.engines {
                self.add(0, Fault::Engine(engine, EngineHealth::Well));
            }
            self.at_ms += self.rng.random_range(3_000..7_000);
        }
    }
}
