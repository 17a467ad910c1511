//! Blocked links, and duplicated and delayed frames.

use super::{FIRST_FAULT_MS, PlanBuilder};
use crate::faults::{Direction, Fault};
use rand::Rng as _;

impl PlanBuilder<'_> {
    pub(super) fn cuts(&mut self) {
        for n in 0..5 {
            let direction = [Direction::Both, Direction::Outward, Direction::Inward]
                [self.rng.random_range(0..3)];
            let fault = match n {
                3 => Fault::SplitCoreFromStorage,
                4 => Fault::CutZone(self.rng.random_range(0..self.deployment.zones)),
                _ => Fault::CutOff(self.any_process(), direction),
            };
            let flap_count = self.rng.random_range(1..4);
            let pair = (self.may_lose_two() && n < 3).then(|| self.worst_pair());
            for _ in 0..flap_count {
                match &pair {
                    Some(both) => {
                        for target in both {
                            self.add(0, Fault::CutOff(target.clone(), direction));
                        }
                    }
                    None => self.add(0, fault.clone()),
                }
                self.at_ms += self.rng.random_range(500..5_000);
                self.add(0, Fault::Mend);
                self.at_ms += self.rng.random_range(300..2_000);
            }
            self.at_ms += 4_000;
        }
        self.faults.push((FIRST_FAULT_MS, Fault::Lossy(100)));
        self.add(0, Fault::Lossy(0));
    }

    pub(super) fn untidy(&mut self) {
        self.add(0, Fault::Drift);
        for _ in 0..4 {
            let share = self.rng.random_range(50..300);
            self.add(0, Fault::Untidy(share));
            self.at_ms += 4_000;
            // Delayed frames sent before still arrive while other nodes take over.
            self.add(0, Fault::Untidy(0));
            let target = self.any_process();
            self.add(0, Fault::Kill(target));
            self.at_ms += self.rng.random_range(1_000..4_000);
            self.add(0, Fault::StartAll);
            self.at_ms += 6_000;
        }
    }
}
