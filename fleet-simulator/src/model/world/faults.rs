//! Faults: killed and frozen processes, lost and stalled disks, blocked links.

use super::World;
use crate::model::InjectedFault;
use crate::model::node::{Node, address_of};
use topazyard_wire::Group;

impl World {
    pub(super) fn kill(&mut self, number: usize, kept: usize) -> bool {
        if self.nodes[number].machine.is_none() {
            return false;
        }
        let injected_fault = self.settings.injected_fault;
        let node = Node::make_mut(&mut self.nodes[number]);
        let torn = node
            .disk
            .unsynced
            .get(kept)
            .cloned()
            .or_else(|| node.disk.unsynced.back().cloned().filter(|_| kept > 0));
        node.crash(kept);
        if injected_fault == Some(InjectedFault::TornWrite)
            && let Some(mut write) = torn
        {
            let half = write.changes.len().div_ceil(2);
            write.changes.drain(..half);
            node.disk.apply(write.token, write.changes);
        }
        true
    }

    pub(super) fn power_loss(&mut self, kept: &[usize]) -> bool {
        for number in 0..self.nodes.len() {
            self.kill(number, kept.get(number).copied().unwrap_or(0));
        }
        // Messages in flight are lost with the machines.
        self.envelopes.retain(|envelope| !matches!(envelope.from, crate::model::Party::Node(_)));
        true
    }

    /// Whether another disk may be lost without exceeding what the fleet tolerates.
    pub fn may_lose_disk(&self) -> bool {
        let ignores_limit = self.settings.injected_fault == Some(InjectedFault::ExceedDiskLosses);
        ignores_limit || self.lost_disks < self.settings.losses
    }

    pub(super) fn wipe(&mut self, number: usize, is_replaced: bool) -> bool {
        if !self.may_lose_disk() {
            return false;
        }
        self.lost_disks += 1;
        let node = Node::make_mut(&mut self.nodes[number]);
        node.crash(0);
        node.disk = Default::default();
        if is_replaced {
            node.relocations += 1;
            node.address = address_of(number, node.relocations);
        }
        true
    }

    pub(super) fn restart(&mut self, number: usize) -> bool {
        if self.nodes[number].machine.is_some() {
            return false;
        }
        if self.settings.injected_fault.is_some_and(InjectedFault::forgets_votes) {
            let node = Node::make_mut(&mut self.nodes[number]);
            let witness_rows = node.disk.synced.entry(Group::Witness).or_default();
            witness_rows.remove("vote");
        }
        self.start(number);
        true
    }

    pub(super) fn set_frozen(&mut self, number: usize, frozen: bool) -> bool {
        let node = &self.nodes[number];
        if node.machine.is_none() || node.is_frozen == frozen {
            return false;
        }
        Node::make_mut(&mut self.nodes[number]).is_frozen = frozen;
        true
    }

    pub(super) fn set_stalled(&mut self, number: usize, stalled: bool) -> bool {
        let node = &self.nodes[number];
        if node.machine.is_none() || node.is_stalled == stalled {
            return false;
        }
        Node::make_mut(&mut self.nodes[number]).is_stalled = stalled;
        true
    }

    pub(super) fn cut_off(&mut self, number: usize) -> bool {
        let others = (0..self.nodes.len()).filter(|other| *other != number);
        let links = others.flat_map(|other| [(number, other), (other, number)]);
        let before = self.cuts.len();
        self.cuts.extend(links);
        self.cuts.len() > before
    }

    pub(super) fn heal(&mut self) -> bool {
        let was_cut = !self.cuts.is_empty();
        self.cuts.clear();
        self.update_isolation();
        was_cut
    }

    /// Records for each node since when no message of another node can reach it: all links to it
    /// are blocked, no message to it is in flight, and it waits for no sync.
    pub(super) fn update_isolation(&mut self) {
        for number in 0..self.nodes.len() {
            let others = (0..self.nodes.len()).filter(|other| *other != number);
            let is_cut = others.clone().all(|other| self.cuts.contains(&(other, number)));
            let is_isolated = is_cut && self.is_unreachable(number);
            let since = self.nodes[number].isolated_since;
            let next = if !is_cut { None } else { since.or(is_isolated.then_some(self.events)) };
            if next != since {
                Node::make_mut(&mut self.nodes[number]).isolated_since = next;
            }
        }
    }

    fn is_unreachable(&self, number: usize) -> bool {
        let is_from_peer = |envelope: &crate::model::network::Envelope| {
            envelope.to == crate::model::Party::Node(number)
                && matches!(envelope.from, crate::model::Party::Node(_))
        };
        let under_way = self.envelopes.iter().chain(&self.held).any(is_from_peer);
        !under_way && self.nodes[number].disk.unsynced.is_empty()
    }
}
