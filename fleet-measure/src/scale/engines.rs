//! Changes of one engine on lists of many.

use super::fleet::Fleet;
use super::meter::thread_us;
use topazyard_wire::message::operate::Command;

/// Edge nodes that follow.
const EDGES: usize = 5;
/// Changes in each measurement.
const CHANGES: usize = 5;

/// A row for each size: what one change costs, and what nodes cost at rest.
pub fn run(sizes: &[usize], times: usize) {
    println!(
        "| engines | primary ms a change | bytes to a follower | relay ms a change | \
         storage ms a change | snapshot KB | snapshot decode ms | primary at rest ms /s | \
         relay at rest ms /s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for size in sizes {
        let row = super::medians(times, || measure(*size));
        println!(
            "| {size} | {:.2} | {:.0} | {:.2} | {:.2} | {:.1} | {:.2} | {:.2} | {:.2} |",
            row[0], row[1], row[2], row[3], row[4], row[5], row[6], row[7],
        );
    }
}

fn measure(size: usize) -> [f64; 8] {
    let mut fleet = Fleet::start(EDGES);
    fleet.settle();
    fleet.command(super::samples::take(0, super::samples::configuration(10, 0)));
    fleet.command(Command::ListEngines(super::samples::engines(size, None)));
    fleet.run_ms(5_000);
    let rest_ms = 2_000;
    fleet.reset();
    fleet.run_ms(rest_ms);
    let primary = fleet.control_primary();
    let (relay, storage) = (fleet.relays()[0], 3);
    let rest = fleet.nodes[primary].meter;
    let (relay_rest, storage_rest) = (fleet.nodes[relay].meter, fleet.nodes[storage].meter);
    let (mut took, mut fed) = (Vec::new(), Vec::new());
    let (mut relayed, mut stored) = (Vec::new(), Vec::new());
    for change in 0..CHANGES {
        let list = super::samples::engines(size, Some(change));
        fleet.reset();
        took.push(fleet.command(Command::ListEngines(list)) / 1_000.0);
        fleet.run_ms(rest_ms);
        let (relay_after, storage_after) = (fleet.nodes[relay].meter, fleet.nodes[storage].meter);
        fed.push(relay_after.bytes_in as f64 - relay_rest.bytes_in as f64);
        relayed.push((relay_after.processor_us() - relay_rest.processor_us()) / 1_000.0);
        stored.push((storage_after.processor_us() - storage_rest.processor_us()) / 1_000.0);
    }
    let rows = super::samples::engines(size, None).into_iter().map(|engine| {
        let value = topazyard_wire::rows::encode(&engine);
        (topazyard_wire::state::engine_key(&engine.name), value)
    });
    let (snapshot_kb, decode_ms) = cost_of(rows.collect(), thread_us);
    let of = super::meter::median;
    [
        of(took),
        of(fed),
        of(relayed),
        of(stored),
        snapshot_kb,
        decode_ms,
        rest.processor_us() / rest_ms as f64,
        relay_rest.processor_us() / rest_ms as f64,
    ]
}

/// The kilobytes of rows in one message, and in how many ms of `clock` a follower reads them.
pub fn cost_of(
    rows: std::collections::BTreeMap<String, bytes::Bytes>,
    clock: impl Fn() -> f64,
) -> (f64, f64) {
    let matter = topazyard_wire::message::feed::Matter::View(rows.clone().into_iter().collect());
    let bytes = topazyard_wire::rows::encode(&matter);
    let reads = (0..5).map(|_| {
        let begun = clock();
        let view = topazyard_wire::state::FleetView::read(&rows);
        let took = (clock() - begun) / 1_000.0;
        drop(view);
        took
    });
    (bytes.len() as f64 / 1_000.0, super::meter::median(reads.collect()))
}
