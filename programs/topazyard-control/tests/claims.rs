//! What a node confirms while epochs change hands: a backup only knows what its record says.

use topazyard_control::ControlMachine;
use topazyard_replication::Copy;
use topazyard_types::{Epoch, MonotonicMs, NodeId, Sequence};
use topazyard_wire::driver::DiskStart;
use topazyard_wire::message::Message;
use topazyard_wire::message::control::{CoreMessage, CoreNode, EpochRecord};
use topazyard_wire::message::membership::{Member, MemberRole};
use topazyard_wire::message::replica::{FollowerRole, ReplicaBody, ReplicaMessage};
use topazyard_wire::{Effect, Group, Input, Machine as _, RowChange, WriteToken};

const NOW: MonotonicMs = MonotonicMs(86_400_000);
const ME: u64 = 3;

fn node(id: u64) -> CoreNode {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + id as u16));
    CoreNode { id: NodeId(id), address }
}

fn record(epoch: u64, primary: u64, backup: u64) -> EpochRecord {
    EpochRecord {
        epoch: Epoch(epoch),
        primary: node(primary),
        backups: vec![node(backup)],
        witnesses: (1..=3).map(node).collect(),
    }
}

/// The third control node, spoken to by the first two.
struct Third {
    machine: ControlMachine,
    disk: Vec<(Group, Vec<RowChange>)>,
}

impl Third {
    fn new() -> Self {
        let member = Member {
            id: NodeId(ME),
            name: None,
            address: node(ME).address,
            http: None,
            role: MemberRole::Control,
            zone: "zone-3".into(),
        };
        let start = DiskStart {
            resources: topazyard_spec::Resources::default(),
            member,
            seeds: (1..=3).map(|id| node(id).address).collect(),
            random_seed: 7 << 40,
            loaded: Default::default(),
            bounds: topazyard_spec::Bounds::default(),
            may_bootstrap: true,
        };
        let (machine, _) = ControlMachine::new(start, NOW);
        Self { machine, disk: Vec::new() }
    }

    /// Takes a message and syncs what is written; gives what was said to control nodes' copies.
    fn hear(&mut self, from: u64, message: Message) -> Vec<ReplicaBody> {
        let (sender, from) = (NodeId(from), node(from).address);
        let mut effects = self.machine.step(Input::Frame { sender, from, message }, NOW);
        let mut said = Vec::new();
        while !effects.is_empty() {
            let mut synced: Vec<WriteToken> = Vec::new();
            for effect in effects {
                match effect {
                    Effect::Send {
                        message: Message::Replica(ReplicaMessage { body, .. }), ..
                    } => {
                        said.push(body);
                    }
                    Effect::Write { token, changes } => {
                        self.disk.push((token.group, changes));
                        synced.push(token);
                    }
                    _ => {}
                }
            }
            effects = synced
                .into_iter()
                .flat_map(|token| self.machine.step(Input::Written(token), NOW))
                .collect();
        }
        said
    }

    fn learn(&mut self, from: u64, record: EpochRecord) {
        let tick = CoreMessage::Heartbeat {
            record: Some(record),
            reachable: vec![node(ME)],
            zone: format!("zone-{from}").as_str().into(),
            takes_writes: true,
        };
        self.hear(from, Message::Core(tick));
    }

    fn compare(
        &mut self,
        from: u64,
        epoch: u64,
        of: FollowerRole,
        round: u64,
        of_copy: &Copy,
    ) -> bool {
        let body = ReplicaBody::Digests {
            round,
            sequence: Sequence(0),
            digests: of_copy.digests().to_vec(),
            of,
        };
        let message = ReplicaMessage { group: Group::Control, epoch: Epoch(epoch), body };
        let said = self.hear(from, Message::Replica(message));
        said.iter().any(|body| matches!(body, ReplicaBody::InSync { .. }))
    }
}

// Else what is answered on its word could be copied over: see the next test.
#[test]
fn a_backup_confirms_nothing_before_it_knows_the_record_that_names_it() {
    let mut third = Third::new();
    third.learn(1, record(1, 1, 2));
    let empty = Copy::default();
    assert!(third.compare(1, 2, FollowerRole::Learner, 100, &empty), "as a learner it may");
    assert!(!third.compare(1, 2, FollowerRole::Backup, 101, &empty), "the record is not known");
    let append = ReplicaBody::Append { round: 102, sequence: Sequence(0), changes: Vec::new() };
    let message = ReplicaMessage { group: Group::Control, epoch: Epoch(2), body: append };
    assert_eq!(third.hear(1, Message::Replica(message)), [], "nor is anything appended");
    third.learn(1, record(2, 1, 3));
    third.disk.clear();
    assert!(third.compare(1, 2, FollowerRole::Backup, 103, &empty));
}

#[test]
fn the_record_is_on_disk_before_anything_is_confirmed_under_it() {
    let mut third = Third::new();
    third.learn(1, record(1, 1, 2));
    third.compare(1, 2, FollowerRole::Learner, 100, &Copy::default());
    third.disk.clear();
    third.learn(1, record(2, 1, 3));
    assert!(third.compare(1, 2, FollowerRole::Backup, 101, &Copy::default()));
    let groups: Vec<Group> = third.disk.iter().map(|(group, _)| *group).collect();
    let of = |wanted| groups.iter().position(|group| *group == wanted);
    assert!(of(Group::Witness) < of(Group::Control), "{groups:?}");
}

#[test]
fn a_backup_that_confirmed_is_not_copied_over_by_another_that_asks_for_the_same_epoch() {
    let mut third = Third::new();
    third.learn(1, record(1, 1, 2));
    third.compare(1, 2, FollowerRole::Learner, 100, &Copy::default());
    third.learn(1, record(2, 1, 3));
    assert!(third.compare(1, 2, FollowerRole::Backup, 101, &Copy::default()));
    assert!(!third.compare(2, 2, FollowerRole::Learner, 500, &Copy::default()));
}
