//! Everything a primary acknowledges is synced on every copy of its epoch, its own included.

use topazyard_replication::replica::Sender;
use topazyard_replication::{Copy, Followers, Replica, ReplicaOutput};
use topazyard_types::{BootId, Epoch, MonotonicMs, NodeId, Sequence};
use topazyard_wire::message::control::CoreNode;
use topazyard_wire::message::replica::{FollowerRole, ReplicaBody, ReplicaMessage};
use topazyard_wire::{Group, RowChange};

const NOW: MonotonicMs = MonotonicMs(10_000);
const OLD_PRIMARY: u64 = 1;
const NEW_PRIMARY: u64 = 2;
const BACKUP: u64 = 3;

fn node(id: u64) -> CoreNode {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], id as u16));
    CoreNode { id: NodeId(id), address }
}

fn receive(replica: &mut Replica, from: u64, epoch: u64, body: ReplicaBody) -> Vec<ReplicaOutput> {
    let from = Sender { id: NodeId(from), address: node(from).address };
    let message = ReplicaMessage { group: Group::Control, epoch: Epoch(epoch), body };
    replica.receive(from, message, NOW)
}

fn write_numbers(outputs: &[ReplicaOutput]) -> Vec<u64> {
    let number = |output: &ReplicaOutput| match output {
        ReplicaOutput::Write(token, _) => Some(token.number),
        _ => None,
    };
    outputs.iter().filter_map(number).collect()
}

/// A backup that is in sync and has received a batch that its disk has not synced, with the number
/// of that write.
fn with_unsynced_batch() -> (Replica, u64) {
    let mut replica = Replica::new(Group::Control, true, Copy::default(), BootId(2 << 40));
    replica.become_follower(Epoch(1), NodeId(OLD_PRIMARY), NOW);
    let digests = Copy::default().digests().to_vec();
    let (sequence, of) = (Sequence(0), FollowerRole::Backup);
    let compared = receive(
        &mut replica,
        OLD_PRIMARY,
        1,
        ReplicaBody::Digests { round: 1, sequence, digests, of },
    );
    write_numbers(&compared).into_iter().for_each(|number| drop(replica.write_synced(number)));
    let changes = vec![RowChange::put("batch", &1_u8)];
    let append = ReplicaBody::Append { round: 2, sequence: Sequence(1), changes };
    let appended = receive(&mut replica, OLD_PRIMARY, 1, append);
    let [number] = write_numbers(&appended)[..] else { panic!("expected a write of the batch") };
    (replica, number)
}

/// Delivers messages between the new primary and a backup whose disk syncs at once.
fn deliver(new_primary: &mut Replica, backup: &mut Replica, first: Vec<ReplicaOutput>) -> Vec<u64> {
    let mut committed = Vec::new();
    let mut primary_outputs = first;
    while !primary_outputs.is_empty() {
        let mut backup_outputs = Vec::new();
        for output in std::mem::take(&mut primary_outputs) {
            match output {
                ReplicaOutput::Send(_, message) => {
                    backup_outputs.extend(receive(backup, NEW_PRIMARY, 2, message.body));
                }
                ReplicaOutput::Committed(tickets) => committed.extend(tickets),
                _ => {}
            }
        }
        while let Some(output) = backup_outputs.pop() {
            match output {
                ReplicaOutput::Send(_, message) => {
                    primary_outputs.extend(receive(new_primary, BACKUP, 2, message.body));
                }
                ReplicaOutput::Write(token, _) => {
                    backup_outputs.extend(backup.write_synced(token.number))
                }
                _ => {}
            }
        }
    }
    committed
}

#[test]
fn new_primary_serves_nothing_its_own_disk_has_not_synced() {
    let (mut new_primary, unsynced) = with_unsynced_batch();
    let mut backup = Replica::new(Group::Control, true, Copy::default(), BootId(3 << 40));
    backup.become_follower(Epoch(2), NodeId(NEW_PRIMARY), NOW);
    let followers = Followers { backups: vec![node(BACKUP)], learners: vec![], may_serve: true };
    let first = new_primary.become_primary(Epoch(2), followers, NOW);
    assert!(deliver(&mut new_primary, &mut backup, first).is_empty());
    assert!(backup.copy().rows().contains_key("batch"));
    // A read while only the backup's disk holds the batch. If that disk were lost and this node
    // lost power, what was read would be gone.
    assert!(new_primary.submit(7, Vec::new()));
    let out = new_primary.start_next_batch(NOW);
    assert!(
        deliver(&mut new_primary, &mut backup, out).is_empty(),
        "its own disk has not synced the batch"
    );
    let mut out = new_primary.write_synced(unsynced);
    out.extend(new_primary.start_next_batch(NOW));
    assert_eq!(deliver(&mut new_primary, &mut backup, out), [7]);
}
