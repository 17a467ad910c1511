//! What relays have in force of numbered configurations, as they learn it and for how long.

use super::{Body, NodeIndex};
use crate::history::InForceRecord;
use crate::workload::fingerprint;
use crate::world::{InjectedBug, World};

impl World {
    /// Notes what a relay has in force after it heard of the feed.
    pub(super) fn see_in_force(&mut self, index: NodeIndex) {
        let (time, now) = (self.time, self.node_clock(index));
        let node = &self.nodes[index.0];
        let Body::Relay(machine) = &node.body else { return };
        let Some(view) = machine.in_force(now) else { return };
        let Some((version, bundle)) = &view.configuration else { return };
        let seen = InForceRecord {
            relay: node.name.clone(),
            generation: node.life,
            number: version.0,
            fingerprint: fingerprint(bundle, view.routes.iter()),
            from: time,
            until: time,
        };
        let before = self.last_in_force.get(&index).map(|at| self.history.in_force[*at].clone());
        let before = before.filter(|before| before.generation == seen.generation);
        let is_same = |before: &InForceRecord| {
            (before.number, before.fingerprint) == (seen.number, seen.fingerprint)
        };
        match before {
            Some(before) if is_same(&before) => self.extend_in_force(index),
            Some(before) if self.injected_bug == Some(InjectedBug::RevertConfiguration) => {
                self.note_in_force(index, seen);
                self.note_in_force(index, InForceRecord { from: time, until: time, ..before });
            }
            _ => self.note_in_force(index, seen),
        }
    }

    fn note_in_force(&mut self, index: NodeIndex, seen: InForceRecord) {
        self.last_in_force.insert(index, self.history.in_force.len());
        self.history.in_force.push(seen);
    }

    /// Notes that a relay that steps has in force still what it had.
    pub(super) fn extend_in_force(&mut self, index: NodeIndex) {
        let (time, now) = (self.time, self.node_clock(index));
        let node = &self.nodes[index.0];
        let Body::Relay(machine) = &node.body else { return };
        if machine.in_force(now).is_none() {
            return;
        }
        let Some(at) = self.last_in_force.get(&index) else { return };
        let seen = &mut self.history.in_force[*at];
        if seen.generation == node.life {
            seen.until = time;
        }
    }
}
