//! Edge nodes that ask the feed, renew leases and probe each other; nothing else happens.

use super::fleet::Fleet;
use topazyard_types::ShardId;
use topazyard_wire::message::operate::Command;

/// For how long each fleet is measured.
const SECONDS: u64 = 10;

/// A row for each size and role: cost of a node in a second.
pub fn run(sizes: &[usize], times: usize) {
    println!(
        "| edge nodes | role | frames in /s | out /s | KB in /s | KB out /s | processor ms /s |"
    );
    println!("|---|---|---|---|---|---|---|");
    for size in sizes {
        let rows = super::medians(times, || measure(*size));
        let roles = ["control primary", "control backup", "control witness"];
        let roles = roles.into_iter().chain(["counter primary", "counter backup"]);
        for (role, row) in roles.chain(["agent", "relay"]).zip(rows.chunks(5)) {
            println!(
                "| {size} | {role} | {:.0} | {:.0} | {:.1} | {:.1} | {:.2} |",
                row[0], row[1], row[2], row[3], row[4],
            );
        }
    }
}

fn measure(size: usize) -> [f64; 35] {
    let mut fleet = Fleet::start(size);
    fleet.settle();
    fleet.command(super::samples::take(0, super::samples::configuration(10, 0)));
    fleet.command(Command::ListEngines(super::samples::engines(12, None)));
    fleet.run_ms(10_000);
    fleet.reset();
    fleet.run_ms(SECONDS * 1_000);
    let primary = fleet.control_primary();
    let mut others: Vec<usize> = (0..3).filter(|index| *index != primary).collect();
    // The backup is the one of the two that gets the primary's batches.
    others.sort_by_key(|index| std::cmp::Reverse(fleet.nodes[*index].meter.bytes_in));
    let counter = ShardId::COUNTER;
    let (leads, follows) = (fleet.shard_primary(counter), fleet.shard_backup(counter));
    let groups = [
        vec![primary],
        vec![others[0]],
        vec![others[1]],
        leads.into_iter().collect(),
        follows.into_iter().collect(),
        fleet.agents(),
        fleet.relays(),
    ];
    let mut figures = [0.0; 35];
    for (group, row) in groups.iter().zip(figures.chunks_mut(5)) {
        let share = 1.0 / (group.len().max(1) as f64 * SECONDS as f64);
        for meter in group.iter().map(|index| fleet.nodes[*index].meter) {
            row[0] += meter.frames_in as f64 * share;
            row[1] += meter.frames_out as f64 * share;
            row[2] += meter.bytes_in as f64 * share / 1_000.0;
            row[3] += meter.bytes_out as f64 * share / 1_000.0;
            row[4] += meter.processor_us() * share / 1_000.0;
        }
    }
    figures
}
