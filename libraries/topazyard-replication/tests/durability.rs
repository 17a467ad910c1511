//! What a primary answers is synced on every copy of its epoch, its own among them.

use topazyard_replication::replica::Sender;
use topazyard_replication::{Copy, Followers, Replica, ReplicaOutput};
use topazyard_types::{BootId, Epoch, MonotonicMs, NodeId, Sequence};
use topazyard_wire::message::control::CoreNode;
use topazyard_wire::message::replica::{FollowerRole, ReplicaBody, ReplicaMessage};
use topazyard_wire::{Group, RowChange};

const NOW: MonotonicMs = MonotonicMs(10_000);
const FORMER: u64 = 1;
const SUCCESSOR: u64 = 2;
const BACKUP: u64 = 3;

fn node(id: u64) -> CoreNode {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], id as u16));
    CoreNode { id: NodeId(id), address }
}

fn hear(replica: &mut Replica, from: u64, epoch: u64, body: ReplicaBody) -> Vec<ReplicaOutput> {
    let from = Sender { id: NodeId(from), address: node(from).address };
    let message = ReplicaMessage { group: Group::Control, epoch: Epoch(epoch), body };
    replica.receive(from, message, NOW)
}

fn writes(outputs: &[ReplicaOutput]) -> Vec<u64> {
    let number = |output: &ReplicaOutput| match output {
        ReplicaOutput::Write(token, _) => Some(token.number),
        _ => None,
    };
    outputs.iter().filter_map(number).collect()
}

/// A backup that has synced being in step, and has taken a batch that its disk has not synced.
/// Gives that write too.
fn with_unsynced_batch() -> (Replica, u64) {
    let mut replica = Replica::new(Group::Control, true, Copy::default(), BootId(2 << 40));
    replica.become_follower(Epoch(1), NodeId(FORMER), NOW);
    let digests = Copy::default().digests().to_vec();
    let (sequence, of) = (Sequence(0), FollowerRole::Backup);
    let compared =
        hear(&mut replica, FORMER, 1, ReplicaBody::Digests { round: 1, sequence, digests, of });
    writes(&compared).into_iter().for_each(|number| drop(replica.write_synced(number)));
    let changes = vec![RowChange::put("batch", &1_u8)];
    let append = ReplicaBody::Append { round: 2, sequence: Sequence(1), changes };
    let appended = hear(&mut replica, FORMER, 1, append);
    let [number] = writes(&appended)[..] else { panic!("it writes the batch") };
    (replica, number)
}

/// Carries what the successor says to a backup whose disk syncs at once, and back.
fn carry(successor: &mut Replica, backup: &mut Replica, first: Vec<ReplicaOutput>) -> Vec<u64> {
    let mut committed = Vec::new();
    let mut at_successor = first;
    while !at_successor.is_empty() {
        let mut at_backup = Vec::new();
        for output in std::mem::take(&mut at_successor) {
            match output {
                ReplicaOutput::Send(_, message) => {
                    at_backup.extend(hear(backup, SUCCESSOR, 2, message.body));
                }
                ReplicaOutput::Committed(tickets) => committed.extend(tickets),
                _ => {}
            }
        }
        while let Some(output) = at_backup.pop() {
            match output {
                ReplicaOutput::Send(_, message) => {
                    at_successor.extend(hear(successor, BACKUP, 2, message.body));
                }
                ReplicaOutput::Write(token, _) => {
                    at_backup.extend(backup.write_synced(token.number))
                }
                _ => {}
            }
        }
    }
    committed
}

#[test]
fn a_successor_shows_nothing_that_its_own_disk_has_not_synced() {
    let (mut successor, unsynced) = with_unsynced_batch();
    let mut backup = Replica::new(Group::Control, true, Copy::default(), BootId(3 << 40));
    backup.become_follower(Epoch(2), NodeId(SUCCESSOR), NOW);
    let followers = Followers { backups: vec![node(BACKUP)], learners: vec![], may_serve: true };
    let first = successor.become_primary(Epoch(2), followers, NOW);
    assert!(carry(&mut successor, &mut backup, first).is_empty());
    assert!(backup.copy().rows().contains_key("batch"));
    // A read: the batch is on the backup's disk alone. Were that lost and this node's power too, what
    // was read would be gone.
    assert!(successor.submit(7, Vec::new()));
    let out = successor.start_next_batch(NOW);
    assert!(carry(&mut successor, &mut backup, out).is_empty(), "its own disk lags");
    let mut out = successor.write_synced(unsynced);
    out.extend(successor.start_next_batch(NOW));
    assert_eq!(carry(&mut successor, &mut backup, out), [7]);
}
