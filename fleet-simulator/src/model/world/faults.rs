//! Faults: what ends, stands still or is cut.

use super::World;
use crate::model::Plant;
use crate::model::node::{Node, address_of};
use topazyard_wire::Group;

impl World {
    pub(super) fn kill(&mut self, number: usize, kept: usize) -> bool {
        if self.nodes[number].machine.is_none() {
            return false;
        }
        let plant = self.settings.plant;
        let node = Node::change(&mut self.nodes[number]);
        let torn = node
            .disk
            .unsynced
            .get(kept)
            .cloned()
            .or_else(|| node.disk.unsynced.back().cloned().filter(|_| kept > 0));
        node.end(kept);
        if plant == Some(Plant::TornWrite)
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
        // What was under way is gone with the machines.
        self.envelopes.retain(|envelope| !matches!(envelope.from, crate::model::Party::Node(_)));
        true
    }

    /// Whether another disk may be lost: no more at once than the fleet bears.
    pub fn may_lose_disk(&self) -> bool {
        let planted = self.settings.plant == Some(Plant::LoseMoreDisks);
        planted || self.lost_disks < self.settings.losses
    }

    pub(super) fn wipe(&mut self, number: usize, moves: bool) -> bool {
        if !self.may_lose_disk() {
            return false;
        }
        self.lost_disks += 1;
        let node = Node::change(&mut self.nodes[number]);
        node.end(0);
        node.disk = Default::default();
        if moves {
            node.moves += 1;
            node.address = address_of(number, node.moves);
        }
        true
    }

    pub(super) fn restart(&mut self, number: usize) -> bool {
        if self.nodes[number].machine.is_some() {
            return false;
        }
        if self.settings.plant.is_some_and(Plant::forgets_votes) {
            let node = Node::change(&mut self.nodes[number]);
            let votes = node.disk.synced.entry(Group::Witness).or_default();
            votes.remove("vote");
        }
        self.start(number);
        true
    }

    pub(super) fn set_frozen(&mut self, number: usize, frozen: bool) -> bool {
        let node = &self.nodes[number];
        if node.machine.is_none() || node.is_frozen == frozen {
            return false;
        }
        Node::change(&mut self.nodes[number]).is_frozen = frozen;
        true
    }

    pub(super) fn set_stalled(&mut self, number: usize, stalled: bool) -> bool {
        let node = &self.nodes[number];
        if node.machine.is_none() || node.is_stalled == stalled {
            return false;
        }
        Node::change(&mut self.nodes[number]).is_stalled = stalled;
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
        self.see_who_is_alone();
        was_cut
    }

    /// Notes for each node since when nothing of the others can reach it: all links to it are cut,
    /// nothing is under way to it, and it waits for no sync.
    pub(super) fn see_who_is_alone(&mut self) {
        for number in 0..self.nodes.len() {
            let others = (0..self.nodes.len()).filter(|other| *other != number);
            let is_cut = others.clone().all(|other| self.cuts.contains(&(other, number)));
            let is_alone = is_cut && self.nothing_reaches(number);
            let since = self.nodes[number].alone_since;
            let next = if !is_cut { None } else { since.or(is_alone.then_some(self.events)) };
            if next != since {
                Node::change(&mut self.nodes[number]).alone_since = next;
            }
        }
    }

    fn nothing_reaches(&self, number: usize) -> bool {
        let to_it = |envelope: &crate::model::network::Envelope| {
            envelope.to == crate::model::Party::Node(number)
                && matches!(envelope.from, crate::model::Party::Node(_))
        };
        let under_way = self.envelopes.iter().chain(&self.held).any(to_it);
        !under_way && self.nodes[number].disk.unsynced.is_empty()
    }
}
