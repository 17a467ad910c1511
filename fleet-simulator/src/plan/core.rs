//! Faults of control nodes: they are cut off, get racing orders, are lost right after another loss,
//! or are absent for long.

use super::{PlanBuilder, all_of_kind, named};
use crate::faults::{Direction, Fault, FaultTarget};
use rand::Rng as _;

/// How long a machine that is back still counts as lost.
const CATCH_UP_MS: u64 = 5_000;
/// How long control nodes are cut off.
const CUT_OFF_MS: u64 = 20_000;
/// How long a control node is absent.
const ABSENT_MS: u64 = 20_000;

impl PlanBuilder<'_> {
    /// Draws different control nodes, as many as may be lost at once.
    fn core_members(&mut self) -> Vec<FaultTarget> {
        let mut roles = vec![
            FaultTarget::ControlPrimary,
            FaultTarget::ControlBackup,
            FaultTarget::ControlSpare,
            named("control", self.rng.random_range(1..=3)),
        ];
        let count = usize::from(self.deployment.lost_machines);
        if count > 1 {
            // The named control node could be the same node as one of the other three.
            roles.truncate(3);
        }
        (0..count).map(|_| roles.swap_remove(self.rng.random_range(0..roles.len()))).collect()
    }

    fn direction(&mut self) -> Direction {
        [Direction::Both, Direction::Outward, Direction::Inward][self.rng.random_range(0..3)]
    }

    pub(super) fn cut_off_control(&mut self) {
        self.add(0, Fault::LoseAnswers(10));
        for _ in 0..3 {
            let direction = self.direction();
            let only_core = self.rng.random_range(0..2) == 0;
            for target in self.core_members() {
                let fault = match only_core {
                    true => Fault::CutOffFromCore(target, direction),
                    false => Fault::CutOff(target, direction),
                };
                self.add(0, fault);
            }
            self.add(CUT_OFF_MS, Fault::Mend);
            // The next loss, sometimes as soon as the last one no longer counts.
            self.at_ms += CUT_OFF_MS + CATCH_UP_MS + self.rng.random_range(0..3_000);
        }
        self.add(0, Fault::LoseAnswers(0));
    }

    pub(super) fn races(&mut self) {
        self.add(0, Fault::OrdersEvery(80));
        self.add(0, Fault::LoseAnswers(50));
        for _ in 0..4 {
            let share = self.rng.random_range(50..400);
            self.add(0, Fault::Untidy(share));
            self.add(4_000, Fault::Untidy(0));
            self.add(4_000, Fault::LoseAnswers(20));
            let strike_after_ms = self.rng.random_range(500..6_000);
            for target in self.core_members() {
                let fault = match self.rng.random_range(0..3) {
                    0 => Fault::Freeze(target, 1_500),
                    1 => Fault::LosePower(target),
                    _ => Fault::Kill(target),
                };
                self.add(strike_after_ms, fault);
            }
            self.add(strike_after_ms + 1_500, Fault::StartAll);
            self.add(strike_after_ms + 1_500, Fault::LoseAnswers(50));
            self.at_ms += strike_after_ms + 1_500 + CATCH_UP_MS;
        }
        self.add(0, Fault::LoseAnswers(0));
    }

    pub(super) fn second_loss(&mut self) {
        let storages = self.count_storages();
        for round in 0..7 {
            // Once, a storage node retires right before a loss. Planned replacements, below, add
            // clean leaves between losses.
            if round == 3 {
                let node = named("storage", self.rng.random_range(1..=storages));
                self.add(0, Fault::AddStorage);
                self.add(6_000, Fault::Retire(node));
                self.at_ms += 6_500;
            }
            let down_ms = self.rng.random_range(200..2_500);
            let members = self.worst_members();
            let kind = self.rng.random_range(0..5);
            if kind == 4 {
                // The new node has had time to catch up when the old one leaves, so the next loss
                // may come at once.
                self.planned_replacement();
                continue;
            }
            for target in members {
                let fault = match kind {
                    0 => Fault::LoseDisk(target),
                    1 => Fault::Replace(target),
                    2 => Fault::LosePower(target),
                    _ => Fault::Kill(target),
                };
                self.add(0, fault);
            }
            self.add(down_ms, Fault::StartAll);
            self.at_ms += down_ms + CATCH_UP_MS + self.rng.random_range(0..40);
        }
    }

    fn planned_replacement(&mut self) {
        let number = self.rng.random_range(1..=self.count_controls());
        let name = named("control", number);
        let old = FaultTarget::Named(format!("control-{number} (replaced)"));
        self.add(0, Fault::Succeed(name));
        self.at_ms += CATCH_UP_MS + self.rng.random_range(0..40);
        self.add(0, Fault::Leave(old.clone()));
        self.add(200, Fault::Remove(old));
        self.at_ms += 210;
    }

    /// Draws the processes whose loss has the greatest impact, as many as may be lost at once.
    fn worst_members(&mut self) -> Vec<FaultTarget> {
        let shard = self.rng.random_range(0..5);
        let all = [
            vec![FaultTarget::ControlPrimary, FaultTarget::ControlBackup],
            vec![FaultTarget::ControlBackup, FaultTarget::ControlSpare],
            vec![FaultTarget::ControlSpare, FaultTarget::ControlPrimary],
            vec![FaultTarget::ShardPrimary(shard), FaultTarget::ControlPrimary],
            vec![FaultTarget::ShardHolder(shard), FaultTarget::ShardPrimary(shard)],
        ];
        let mut members = all[self.rng.random_range(0..all.len())].clone();
        members.truncate(usize::from(self.deployment.lost_machines));
        members
    }

    pub(super) fn long_absent(&mut self) {
        self.add(0, Fault::LoseAnswers(10));
        for _ in 0..2 {
            let members = self.core_members();
            let edge = [named("agent", 1), named("relay", 2)];
            let kind = self.rng.random_range(0..4);
            for target in members.into_iter().chain(edge) {
                let fault = match kind {
                    0 => Fault::Kill(target),
                    1 => Fault::LosePower(target),
                    2 => Fault::Freeze(target, ABSENT_MS),
                    _ => Fault::CutOff(target, Direction::Both),
                };
                self.add(0, fault);
            }
            self.add(0, Fault::OrdersEvery(20));
            self.add(ABSENT_MS, Fault::StartAll);
            self.add(ABSENT_MS, Fault::Mend);
            self.add(ABSENT_MS + 1_000, Fault::OrdersEvery(300));
            self.at_ms += ABSENT_MS + CATCH_UP_MS + self.rng.random_range(0..40);
            // One primary after another is killed, so that the node that was absent must take over.
            for _ in 0..2 {
                self.add(0, Fault::Kill(FaultTarget::ControlPrimary));
                if self.may_lose_two() {
                    self.add(0, Fault::Kill(FaultTarget::ControlBackup));
                }
                self.add(1_500, Fault::StartAll);
                self.at_ms += 1_500 + CATCH_UP_MS;
            }
        }
        self.add(0, Fault::LoseAnswers(0));
    }

    pub(super) fn core_troubles(&mut self) {
        self.add(0, Fault::LoseAnswers(10));
        for _ in 0..5 {
            match self.rng.random_range(0..6) {
                0 => self.core_without_power(),
                1 => self.all_without_power(),
                2 => self.planned_replacement(),
                3 => {
                    let seed = named("control", self.rng.random_range(1..=3));
                    self.add(0, Fault::Replace(seed));
                }
                4 => {
                    let direction =
                        [Direction::Outward, Direction::Inward][self.rng.random_range(0..2)];
                    let ms = self.rng.random_range(500..8_000);
                    for target in self.core_members() {
                        self.add(0, Fault::CutOff(target, direction));
                    }
                    self.add(ms, Fault::Mend);
                    self.at_ms += ms;
                }
                _ => self.takeover_on_slow_disks(),
            }
            self.at_ms += CATCH_UP_MS + self.rng.random_range(0..1_000);
        }
        self.add(0, Fault::LoseAnswers(0));
    }

    fn core_without_power(&mut self) {
        for target in all_of_kind("control", self.count_controls()) {
            let start_ms = self.rng.random_range(200..1_400);
            self.add(0, Fault::LosePower(target.clone()));
            self.add(start_ms, Fault::Start(target));
        }
        self.at_ms += 1_400;
    }

    fn all_without_power(&mut self) {
        let all = all_of_kind("control", self.count_controls())
            .chain(all_of_kind("storage", self.count_storages()))
            .chain(all_of_kind("agent", self.count_relays()))
            .chain(all_of_kind("relay", self.count_relays()));
        for target in all {
            self.add(0, Fault::LosePower(target));
        }
        self.add(1_400, Fault::StartAll);
        self.at_ms += 1_400 + CATCH_UP_MS;
    }

    /// The primary is killed while the nodes that may take over have a slow or stalled disk.
    fn takeover_on_slow_disks(&mut self) {
        let ms = [50, 400, 3_000, 20_000][self.rng.random_range(0..4)];
        self.add(0, Fault::SlowDisk(FaultTarget::ControlBackup, ms));
        self.add(0, Fault::SlowDisk(FaultTarget::ControlSpare, ms / 2));
        self.add(300, Fault::Kill(FaultTarget::ControlPrimary));
        self.add(3_000, Fault::FastDisks);
        self.add(3_500, Fault::StartAll);
        self.at_ms += 3_500;
    }
}
