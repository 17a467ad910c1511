//! What the simulator reads from the machines' state, to choose the targets of faults and to
//! measure waiting work.

use super::{Node, NodeIndex, NodeMachine};
use crate::world::World;

impl World {
    /// The control node that serves as the primary.
    pub fn control_primary(&self) -> Option<NodeIndex> {
        let serves =
            |node: &Node| matches!(&node.machine, NodeMachine::Control(m) if m.is_serving());
        self.nodes.iter().position(serves).map(NodeIndex)
    }

    /// The first control backup in the primary's epoch record, if it runs.
    pub fn control_backup(&self) -> Option<NodeIndex> {
        let record = self.control_record()?;
        self.running_node_at(record.backups.first()?.address)
    }

    /// A control node that is neither primary nor backup and has not been replaced.
    pub fn control_spare(&self) -> Option<NodeIndex> {
        let record = self.control_record()?;
        let is_spare = |node: &Node| {
            matches!(node.machine, NodeMachine::Control(_))
                && !node.is_replaced()
                && !record.is_member(node.id)
        };
        self.nodes.iter().position(is_spare).map(NodeIndex)
    }

    fn control_record(&self) -> Option<topazyard_wire::message::control::EpochRecord> {
        match &self.nodes[self.control_primary()?.0].machine {
            NodeMachine::Control(machine) => machine.record().cloned(),
            _ => None,
        }
    }

    /// The storage node that serves a shard.
    pub fn shard_primary(&self, shard: topazyard_types::ShardId) -> Option<NodeIndex> {
        let serves =
            |node: &Node| matches!(&node.machine, NodeMachine::Storage(m) if m.is_serving(shard));
        self.nodes.iter().position(serves).map(NodeIndex)
    }

    /// A running storage node that has a copy of a shard and doesn't serve it.
    pub fn other_replica(&self, shard: topazyard_types::ShardId) -> Option<NodeIndex> {
        let holds_copy = |node: &Node| match &node.machine {
            NodeMachine::Storage(machine) => {
                machine.copy(shard).is_some() && !machine.is_serving(shard)
            }
            _ => false,
        };
        self.nodes.iter().position(holds_copy).map(NodeIndex)
    }

    /// The running storage nodes that have a copy of a shard.
    pub(crate) fn replica_nodes(&self, shard: topazyard_types::ShardId) -> Vec<NodeIndex> {
        let holds_copy = |node: &Node| match &node.machine {
            NodeMachine::Storage(machine) => machine.copy(shard).is_some(),
            _ => false,
        };
        (0..self.nodes.len())
            .map(NodeIndex)
            .filter(|index| holds_copy(&self.nodes[index.0]))
            .collect()
    }

    /// The cost of all accepted items without a final result, according to the most advanced copy
    /// of each shard.
    pub(crate) fn waiting_work(&mut self) -> u64 {
        let mut total = 0;
        for shard in topazyard_types::ShardId::all().filter(|shard| !shard.is_counter()) {
            let copies = self.nodes.iter().filter_map(|node| match &node.machine {
                NodeMachine::Storage(machine) => machine.copy(shard),
                _ => None,
            });
            let Some(copy) = copies.max_by_key(|copy| copy.position()) else { continue };
            let known = self
                .waiting_by_shard
                .get(&shard)
                .filter(|(position, _)| *position == copy.position());
            let waiting = match known {
                Some((_, waiting)) => *waiting,
                None => topazyard_storage::batches::waiting_cost(copy).0,
            };
            self.waiting_by_shard.insert(shard, (copy.position(), waiting));
            total += waiting;
        }
        total
    }

    /// The number of budget holds at the counter, if a storage node serves it.
    pub fn counter_holds(&self) -> Option<usize> {
        self.nodes.iter().find_map(|node| match &node.machine {
            NodeMachine::Storage(machine)
                if machine.is_serving(topazyard_types::ShardId::COUNTER) =>
            {
                machine.holds()
            }
            _ => None,
        })
    }
}
