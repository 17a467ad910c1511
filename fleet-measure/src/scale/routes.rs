//! Changes of one route in configurations of many.

use super::fleet::Fleet;
use super::meter::thread_us;

/// Edge nodes that follow.
const EDGES: usize = 5;

/// A row for each size: what one change costs, and what the control primary costs at rest. Memory is
/// told by the first measurement of a process, so a size whose memory counts is given alone.
pub fn run(sizes: &[usize], times: usize, changes: usize) {
    println!(
        "| routes | KB of text | primary ms a change: check, compare, take | KB to the backup | \
         KB written | bytes to a follower | relay ms a change | snapshot KB | snapshot decode ms | \
         primary at rest ms /s | memory KB a change and copy |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for size in sizes {
        let mut memory = None;
        let row = super::medians(times, || {
            let row = measure(*size, changes);
            memory.get_or_insert(row[9]);
            row
        });
        println!(
            "| {size} | {:.1} | {:.2} | {:.1} | {:.1} | {:.0} | {:.2} | {:.1} | {:.2} | {:.2} | {:.0} |",
            row[0],
            row[1],
            row[2],
            row[3],
            row[4],
            row[5],
            row[6],
            row[7],
            row[8],
            memory.unwrap_or(0.0),
        );
    }
}

fn measure(size: usize, changes: usize) -> [f64; 10] {
    let mut fleet = Fleet::start(EDGES);
    fleet.settle();
    let first = super::samples::configuration(size, 0);
    let text_kb = first.len() as f64 / 1_000.0;
    fleet.command(super::samples::take(0, first));
    fleet.run_ms(5_000);
    // At rest, from which a change's cost is told apart.
    let rest_ms = 2_000;
    fleet.reset();
    fleet.run_ms(rest_ms);
    let primary = fleet.control_primary();
    let relay = fleet.relays()[0];
    let rest = fleet.nodes[primary].meter;
    let relay_rest = fleet.nodes[relay].meter;
    let (mut took, mut sent, mut written, mut fed, mut relayed) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let memory = super::meter::resident_bytes();
    for change in 1..=changes {
        let text = super::samples::configuration(size, change);
        fleet.reset();
        let step_us = fleet.command(super::samples::take(change as u64, text));
        took.push(step_us / 1_000.0);
        fleet.run_ms(rest_ms);
        let (after, relay_after) = (fleet.nodes[primary].meter, fleet.nodes[relay].meter);
        let fed_bytes = relay_after.bytes_in as f64 - relay_rest.bytes_in as f64;
        fed.push(fed_bytes);
        let followers = (EDGES + 3) as f64;
        let more = after.bytes_out as f64 - rest.bytes_out as f64;
        sent.push((more - followers * fed_bytes) / 1_000.0);
        written.push(after.written_bytes as f64 / 1_000.0);
        relayed.push((relay_after.processor_us() - relay_rest.processor_us()) / 1_000.0);
    }
    // The primary and the backup keep a copy each.
    let memory = super::meter::resident_bytes().saturating_sub(memory) as f64;
    let memory_kb = memory / 2.0 / changes.max(1) as f64 / 1_000.0;
    let (snapshot_kb, decode_ms) = snapshot(size);
    let of = super::meter::median;
    [
        text_kb,
        of(took),
        of(sent),
        of(written),
        of(fed),
        of(relayed),
        snapshot_kb,
        decode_ms,
        rest.processor_us() / rest_ms as f64,
        memory_kb,
    ]
}

/// The rows of all routes in one frame, and how long a follower takes to read them.
fn snapshot(size: usize) -> (f64, f64) {
    let text = super::samples::configuration(size, 0);
    let Ok(bundle) = topazyard_spec::Bundle::read(&text) else { return (0.0, 0.0) };
    let rows = bundle.routes.iter().map(|route| {
        let key = topazyard_wire::state::route_key(&route.name);
        (key, topazyard_wire::rows::encode(route))
    });
    super::engines::cost_of(rows.collect(), thread_us)
}
