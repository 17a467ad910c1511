//! Choice of witnesses: a majority survives the tolerated loss of machines and zones.

use topazyard_control::witnesses::{Candidate, Requirements, next, spread, survive_zone_loss};
use topazyard_types::{DurationMs, NodeId};
use topazyard_wire::message::control::CoreNode;

fn candidate(id: u64, zone: &str, silence_ms: u64) -> Candidate {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], id as u16));
    Candidate {
        node: CoreNode { id: NodeId(id), address },
        zone: Some(zone.into()),
        silence: DurationMs(silence_ms),
    }
}

fn requirements(count: usize) -> Requirements {
    Requirements { count, silence_timeout: DurationMs(2_000), lost_zones: 1 }
}

fn ids(nodes: &[CoreNode]) -> Vec<u64> {
    nodes.iter().map(|node| node.id.0).collect()
}

#[test]
fn first_witnesses_are_spread_over_all_zones() {
    let others = vec![
        candidate(2, "a", 0),
        candidate(3, "a", 0),
        candidate(4, "b", 0),
        candidate(5, "c", 0),
    ];
    assert_eq!(ids(&spread(vec![candidate(1, "a", 0)], others, 3)), [1, 4, 5]);
}

#[test]
fn zone_with_a_majority_gives_a_witness_to_another_zone() {
    let present = vec![candidate(1, "a", 0), candidate(2, "a", 0), candidate(3, "b", 0)];
    assert!(!survive_zone_loss(&present, 1));
    let chosen = next(present, &[NodeId(1)], vec![candidate(4, "c", 0)], &requirements(3));
    assert_eq!(ids(&chosen), [1, 4, 3]);
}

#[test]
fn spare_of_the_largest_zone_changes_nothing() {
    let present = vec![candidate(1, "a", 0), candidate(2, "a", 0), candidate(3, "b", 0)];
    let chosen = next(present, &[NodeId(1)], vec![candidate(4, "a", 0)], &requirements(3));
    assert_eq!(ids(&chosen), [1, 2, 3]);
}

#[test]
fn silent_witness_is_replaced_from_the_smallest_zone() {
    let present = vec![candidate(1, "a", 0), candidate(2, "b", 5_000), candidate(3, "c", 100)];
    let spares = vec![candidate(4, "a", 0), candidate(5, "b", 0)];
    assert_eq!(ids(&next(present, &[NodeId(1)], spares, &requirements(3))), [1, 5, 3]);
}

#[test]
fn witness_silent_for_less_than_the_timeout_stays() {
    let present = vec![candidate(1, "a", 0), candidate(2, "b", 1_999), candidate(3, "c", 0)];
    let chosen = next(present, &[NodeId(1)], vec![candidate(4, "b", 0)], &requirements(3));
    assert_eq!(ids(&chosen), [1, 2, 3]);
}

#[test]
fn required_nodes_replace_the_most_silent_witness() {
    let present = vec![candidate(1, "a", 0), candidate(2, "b", 900), candidate(3, "c", 50)];
    let spares = vec![candidate(4, "b", 0)];
    assert_eq!(ids(&next(present, &[NodeId(1), NodeId(4)], spares, &requirements(3))), [1, 4, 3]);
}

#[test]
fn missing_witnesses_are_added_at_once() {
    let present = vec![candidate(1, "a", 0), candidate(2, "b", 0)];
    let spares = vec![candidate(3, "b", 0), candidate(4, "c", 0)];
    assert_eq!(ids(&next(present, &[NodeId(1)], spares, &requirements(3))), [1, 2, 4]);
}

/// For any silences, there are never more witnesses than requested, none twice, and all required
/// nodes are included. The choice is a fixed point, so that no epoch change happens without a
/// reason.
#[test]
fn choice_of_witnesses_is_a_fixed_point() {
    bolero::check!().with_type::<Vec<(u8, u16)>>().with_iterations(2_000).for_each(|drawn| {
        let all: Vec<Candidate> = (1..)
            .zip(drawn.iter().take(9))
            .map(|(id, (zone, silence))| {
                candidate(id, &format!("zone-{}", zone % 4), u64::from(*silence))
            })
            .collect();
        if all.is_empty() {
            return;
        }
        let present: Vec<Candidate> = all.iter().take(5).cloned().collect();
        let required = [NodeId(1)];
        let chosen = next(present, &required, all.clone(), &requirements(5));
        assert!(chosen.len() <= 5 && chosen.contains(&all[0].node), "{chosen:?}");
        let unique: std::collections::BTreeSet<u64> = ids(&chosen).into_iter().collect();
        assert_eq!(unique.len(), chosen.len(), "{chosen:?}");
        let reachable: Vec<Candidate> =
            all.iter().filter(|candidate| candidate.silence < DurationMs(1_000)).cloned().collect();
        let of = |nodes: &[CoreNode]| -> Vec<Candidate> {
            nodes
                .iter()
                .flat_map(|node| all.iter().find(|candidate| candidate.node == *node).cloned())
                .collect()
        };
        let first = next(of(&chosen), &required, reachable.clone(), &requirements(5));
        assert_eq!(next(of(&first), &required, reachable, &requirements(5)), first);
    });
}
