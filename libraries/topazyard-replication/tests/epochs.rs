//! Epochs: decided once, whoever proposes, restarts or is outbid.

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

fn wanted(primary: u64, backup: u64) -> EpochRecord {
    EpochRecord { epoch: Epoch(2), primary: node(primary), backups: vec![node(backup)], ..first() }
}

fn answer(witness: &mut Witness, message: &CoreMessage) -> Option<CoreMessage> {
    let answer = match message {
        CoreMessage::Prepare { base, ballot } => witness.prepare(base, *ballot),
        CoreMessage::Accept { base, ballot, record } => {
            witness.accept(base, *ballot, record.clone())
        }
        _ => None,
    };
    answer.map(|(_, say)| say)
}

/// Any order of messages between two proposers and three witnesses, with losses, restarts of the
/// proposers and ballots called again, decides at most one record.
#[test]
fn at_most_one_record_is_decided_for_an_epoch() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().with_iterations(3_000).for_each(|moves| {
        let mut witnesses: Vec<Witness> = (0..3)
            .map(|_| {
                let mut witness = Witness::default();
                witness.learn(&first());
                witness
            })
            .collect();
        let mut now = MonotonicMs(0);
        let mut lives = [10_u64, 20];
        let records = [wanted(1, 3), wanted(2, 3)];
        let begin = |who: usize, lives: &[u64; 2], now, record: &EpochRecord| {
            let (me, boot_id) = (NodeId(who as u64 + 1), BootId(lives[who]));
            Proposal::begin(me, boot_id, first(), record.clone(), now)
        };
        let mut proposals: Vec<(Proposal, CoreMessage)> =
            (0..2).map(|who| begin(who, &lives, now, &records[who])).collect();
        let mut decided: Vec<EpochRecord> = Vec::new();
        for (what, who, which) in moves {
            now.0 += 37;
            let (who, which) = (usize::from(who % 2), usize::from(which % 3));
            match what % 8 {
                // A restart, after which it may want another backup.
                6 => {
                    lives[who] += 1;
                    let other = wanted(who as u64 + 1, 2 - who as u64);
                    proposals[who] = begin(who, &lives, now, &other);
                }
                7 => {
                    if let ProposalStep::Broadcast(message) =
                        proposals[who].0.tick(MonotonicMs(now.0 + 2_000))
                    {
                        proposals[who].1 = message;
                    }
                }
                // The present message reaches one witness, and its answer comes back.
                _ => {
                    let message = proposals[who].1.clone();
                    let Some(say) = answer(&mut witnesses[which], &message) else { continue };
                    let from = NodeId(which as u64 + 1);
                    match proposals[who].0.receive(from, &say, now) {
                        ProposalStep::Wait => {}
                        ProposalStep::Broadcast(message) => proposals[who].1 = message,
                        ProposalStep::Decided(record) => decided.push(record),
                    }
                }
            }
        }
        assert!(decided.windows(2).all(|two| two[0] == two[1]), "{decided:?}");
    });
}

#[test]
fn a_proposal_on_an_old_record_is_not_answered() {
    let mut witness = Witness::default();
    witness.learn(&first());
    witness.learn(&wanted(2, 3));
    let (_, message) = Proposal::begin(NodeId(1), BootId(1), first(), wanted(1, 3), MonotonicMs(0));
    assert_eq!(answer(&mut witness, &message), None);
}

#[test]
fn a_witness_remembers_its_promise_over_a_restart() {
    let mut witness = Witness::default();
    let mut rows = std::collections::BTreeMap::new();
    let mut keep = |changes: Vec<topazyard_wire::RowChange>| {
        for change in changes {
            rows.insert(change.key, change.value.expect("witnesses only put rows"));
        }
    };
    keep(witness.learn(&first()).expect("news"));
    let ballot = |round| topazyard_wire::message::control::Ballot {
        round,
        proposer: NodeId(1),
        boot_id: BootId(1),
    };
    let (changes, _) = witness.prepare(&first(), ballot(5)).expect("an answer");
    keep(changes);
    let mut again = Witness::from_rows(&rows);
    let refused = again.accept(&first(), ballot(4), wanted(1, 3));
    assert!(matches!(refused, Some((_, CoreMessage::Rejected { .. }))));
}
