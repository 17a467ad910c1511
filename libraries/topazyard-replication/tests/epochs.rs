//! Epochs: each is decided once, whichever proposers compete, restart or are outbid.

use topazyard_replication::Witness;
use topazyard_replication::epoch::{Proposal, ProposalStep};
use topazyard_types::{BootId, Epoch, MonotonicMs, NodeId};
use topazyard_wire::message::control::{CoreMessage, CoreNode, EpochRecord};

fn node(id: u64) -> CoreNode {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], id as u16));
    CoreNode { id: NodeId(id), address }
}

fn first() -> EpochRecord {
    EpochRecord {
        epoch: Epoch(1),
        primary: node(1),
        backups: vec![node(2)],
        witnesses: vec![node(1), node(2), node(3)],
    }
}

fn next_record(primary: u64, backup: u64) -> EpochRecord {
    EpochRecord { epoch: Epoch(2), primary: node(primary), backups: vec![node(backup)], ..first() }
}

fn respond(witness: &mut Witness, message: &CoreMessage) -> Option<CoreMessage> {
    let response = match message {
        CoreMessage::Prepare { base, ballot } => witness.prepare(base, *ballot),
        CoreMessage::Accept { base, ballot, record } => {
            witness.accept(base, *ballot, record.clone())
        }
        _ => None,
    };
    response.map(|(_, response)| response)
}

/// Two proposers and three witnesses decide at most one record, whatever the order of messages,
/// with losses, restarts of the proposers and new ballots.
#[test]
fn at_most_one_record_is_decided_per_epoch() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().with_iterations(3_000).for_each(|actions| {
        let mut witnesses: Vec<Witness> = (0..3)
            .map(|_| {
                let mut witness = Witness::default();
                witness.learn(&first());
                witness
            })
            .collect();
        let mut now = MonotonicMs(0);
        let mut boot_ids = [10_u64, 20];
        let records = [next_record(1, 3), next_record(2, 3)];
        let begin = |proposer: usize, boot_ids: &[u64; 2], now, record: &EpochRecord| {
            let (me, boot_id) = (NodeId(proposer as u64 + 1), BootId(boot_ids[proposer]));
            Proposal::begin(me, boot_id, first(), record.clone(), now)
        };
        let mut proposals: Vec<(Proposal, CoreMessage)> =
            (0..2).map(|proposer| begin(proposer, &boot_ids, now, &records[proposer])).collect();
        let mut decided: Vec<EpochRecord> = Vec::new();
        for (action, proposer, witness) in actions {
            now.0 += 37;
            let (proposer, witness) = (usize::from(proposer % 2), usize::from(witness % 3));
            match action % 8 {
                // A restart, after which the proposer may propose another backup.
                6 => {
                    boot_ids[proposer] += 1;
                    let other = next_record(proposer as u64 + 1, 2 - proposer as u64);
                    proposals[proposer] = begin(proposer, &boot_ids, now, &other);
                }
                7 => {
                    if let ProposalStep::Broadcast(message) =
                        proposals[proposer].0.tick(MonotonicMs(now.0 + 2_000))
                    {
                        proposals[proposer].1 = message;
                    }
                }
                // The current message reaches one witness, and its response comes back.
                _ => {
                    let message = proposals[proposer].1.clone();
                    let Some(response) = respond(&mut witnesses[witness], &message) else {
                        continue;
                    };
                    let from = NodeId(witness as u64 + 1);
                    match proposals[proposer].0.receive(from, &response, now) {
                        ProposalStep::Wait => {}
                        ProposalStep::Broadcast(message) => proposals[proposer].1 = message,
                        ProposalStep::Decided(record) => decided.push(record),
                    }
                }
            }
        }
        assert!(decided.windows(2).all(|two| two[0] == two[1]), "{decided:?}");
    });
}

#[test]
fn proposal_on_an_outdated_record_is_ignored() {
    let mut witness = Witness::default();
    witness.learn(&first());
    witness.learn(&next_record(2, 3));
    let (_, message) =
        Proposal::begin(NodeId(1), BootId(1), first(), next_record(1, 3), MonotonicMs(0));
    assert_eq!(respond(&mut witness, &message), None);
}

#[test]
fn witness_keeps_its_promise_across_a_restart() {
    let mut witness = Witness::default();
    let mut rows = std::collections::BTreeMap::new();
    let mut save = |changes: Vec<topazyard_wire::RowChange>| {
        for change in changes {
            rows.insert(change.key, change.value.expect("witnesses only put rows"));
        }
    };
    save(witness.learn(&first()).expect("a newer record"));
    let ballot = |round| topazyard_wire::message::control::Ballot {
        round,
        proposer: NodeId(1),
        boot_id: BootId(1),
    };
    let (changes, _) = witness.prepare(&first(), ballot(5)).expect("a response");
    save(changes);
    let mut restarted = Witness::from_rows(&rows);
    let refused = restarted.accept(&first(), ballot(4), next_record(1, 3));
    assert!(matches!(refused, Some((_, CoreMessage::Rejected { .. }))));
}
