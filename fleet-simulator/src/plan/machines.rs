//! Machines that are replaced, and processes that are restarted one by one.

use super::{PlanBuilder, all_of_kind, named};
use crate::faults::{Fault, FaultTarget};
use rand::Rng as _;

impl PlanBuilder<'_> {
    pub(super) fn replaced(&mut self) {
        self.add(0, Fault::Replace(FaultTarget::ShardPrimary(1)));
        self.at_ms += 10_000;
        self.add(0, Fault::AddStorage);
        self.at_ms += 6_000;
        self.add(0, Fault::Replace(FaultTarget::OtherControl));
        self.at_ms += 18_000;
        self.add(0, Fault::Replace(FaultTarget::ShardPrimary(0)));
    }

    pub(super) fn seeds(&mut self) {
        for n in 1..=3 {
            self.add(0, Fault::Replace(named("control", n)));
            self.at_ms += 18_000;
        }
        // All edge nodes restart with settings that name none of the current seeds.
        for n in 1..=self.count_relays() {
            for target in [named("relay", n), named("agent", n)] {
                self.add(0, Fault::Kill(target.clone()));
                self.add(1_000, Fault::Start(target));
            }
        }
        self.at_ms += 16_000;
        self.add(0, Fault::Kill(FaultTarget::ControlPrimary));
    }

    pub(super) fn operators(&mut self) {
        self.add(0, Fault::MoreLanes(400));
        for _ in 0..3 {
            self.add(0, Fault::Kill(FaultTarget::ControlPrimary));
            self.at_ms += self.rng.random_range(2_000..6_000);
            self.add(0, Fault::StartAll);
            self.at_ms += self.rng.random_range(3_000..6_000);
        }
        self.add(0, Fault::Freeze(FaultTarget::ControlPrimary, 6_000));
    }

    pub(super) fn rolling(&mut self) {
        let all = all_of_kind("control", self.count_controls())
            .chain(all_of_kind("storage", self.count_storages()));
        for target in all {
            self.add(0, Fault::Kill(target.clone()));
            let after = self.rng.random_range(300..1_500);
            self.add(after, Fault::Start(target));
            self.at_ms += 6_000;
        }
        for n in 1..=self.count_relays() {
            let (agent, relay) = (named("agent", n), named("relay", n));
            self.add(0, Fault::Drain(relay.clone()));
            for target in [relay, agent] {
                self.add(9_000, Fault::Kill(target.clone()));
                self.add(9_500, Fault::Start(target));
            }
            self.at_ms += 2_000;
        }
    }
}
