//! Records which numbered configurations relays have in force, and for how long.

use super::{NodeIndex, NodeMachine};
use crate::history::InForceRecord;
use crate::workload::fingerprint;
use crate::world::{InjectedBug, World};

impl World {
    /// Records what a relay has in force after it received a feed message.
    pub(super) fn record_in_force(&mut self, index: NodeIndex) {
        let (time, now) = (self.time, self.node_clock(index));
        let node = &self.nodes[index.0];
        let NodeMachine::Relay(machine) = &node.machine else { return };
        let Some(snapshot) = machine.in_force(now) else { return };
        let Some((version, configuration)) = &snapshot.configuration else { return };
        let record = InForceRecord {
            relay: node.name.clone(),
            generation: node.generation,
            number: version.0,
            fingerprint: fingerprint(configuration, snapshot.routes.iter()),
            from: time,
            until: time,
        };
        let before = self.last_in_force.get(&index).map(|at| self.history.in_force[*at].clone());
        let before = before.filter(|before| before.generation == record.generation);
        let is_same = |before: &InForceRecord| {
            (before.number, before.fingerprint) == (record.number, record.fingerprint)
        };
        match before {
            Some(before) if is_same(&before) => self.extend_in_force(index),
            Some(before) if self.injected_bug == Some(InjectedBug::RevertConfiguration) => {
                self.push_in_force(index, record);
                self.push_in_force(index, InForceRecord { from: time, until: time, ..before });
            }
            _ => self.push_in_force(index, record),
        }
    }

    fn push_in_force(&mut self, index: NodeIndex, record: InForceRecord) {
        self.last_in_force.insert(index, self.history.in_force.len());
        self.history.in_force.push(record);
    }

    /// Records at a relay's tick that the configuration last seen is still in force.
    pub(super) fn extend_in_force(&mut self, index: NodeIndex) {
        let (time, now) = (self.time, self.node_clock(index));
        let node = &self.nodes[index.0];
        let NodeMachine::Relay(machine) = &node.machine else { return };
        if machine.in_force(now).is_none() {
            return;
        }
        let Some(at) = self.last_in_force.get(&index) else { return };
        let record = &mut self.history.in_force[*at];
        if record.generation == node.generation {
            record.until = time;
        }
    }
}
