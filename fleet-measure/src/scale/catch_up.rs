//! What a node that was cut off for so many changes needs to catch up: a relay that follows the
//! feed, and a control node that is to hold a copy again. Links have a latency and no limit on
//! bytes, so the time that the bytes need on a link comes on top.

use super::fleet::Fleet;
use super::samples::{configuration, take};
use topazyard_spec::Resources;

/// What a measurement gave.
struct Caught {
    ms: u64,
    bytes: u64,
    frames: u64,
}

/// A row for each number of routes and of changes.
pub fn run(routes: &[usize], changes: &[usize], resources: &Resources) {
    println!(
        "| routes | KB of text | changes away | relay ms | KB to its agent | frames | \
         control node ms | KB to it | frames |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for size in routes {
        for away in changes {
            let (relay, member) = (relay(*size, *away, resources), member(*size, *away, resources));
            println!(
                "| {size} | {:.1} | {away} | {} | {:.1} | {} | {} | {:.1} | {} |",
                configuration(*size, 0).len() as f64 / 1_000.0,
                relay.ms,
                relay.bytes as f64 / 1_000.0,
                relay.frames,
                member.ms,
                member.bytes as f64 / 1_000.0,
                member.frames,
            );
        }
    }
}

fn settled(routes: usize, resources: &Resources) -> Fleet {
    let mut fleet = Fleet::start_within(1, resources.clone());
    fleet.settle();
    fleet.command(take(0, configuration(routes, 0)));
    fleet.run_ms(3_000);
    fleet
}

fn change(fleet: &mut Fleet, routes: usize, changes: std::ops::RangeInclusive<usize>) {
    for change in changes {
        fleet.command(take(change as u64, configuration(routes, change)));
    }
}

/// From the end of the cut until the relay has the newest configuration, confirmed.
fn relay(routes: usize, away: usize, resources: &Resources) -> Caught {
    let mut fleet = settled(routes, resources);
    let (relay, agent) = (fleet.relays()[0], fleet.agents()[0]);
    fleet.cut_off(&[relay, agent]);
    change(&mut fleet, routes, 1..=away);
    fleet.run_ms(3_000);
    fleet.cut_off(&[]);
    fleet.reset();
    let newest = away as u64 + 1;
    let ms = fleet.ms_until("the relay caught up", |fleet| {
        fleet.relay_version(relay) == Some(newest) && fleet.relay_feed_age_ms(relay) < Some(200)
    });
    let meter = fleet.nodes[agent].meter;
    Caught { ms, bytes: meter.bytes_in, frames: meter.frames_in }
}

/// From the loss of the backup that had taken its place until a change commits again, with the node
/// that was away as the backup.
fn member(routes: usize, away: usize, resources: &Resources) -> Caught {
    let mut fleet = settled(routes, resources);
    let (primary, backup, other) = fleet.control_roles();
    fleet.cut_off(&[backup]);
    fleet.run_ms(3_000);
    change(&mut fleet, routes, 1..=away);
    fleet.cut_off(&[]);
    fleet.run_ms(3_000);
    if fleet.control_primary() != primary {
        eprintln!("another node leads than before the cut");
        std::process::exit(1);
    }
    fleet.reset();
    fleet.cut_off(&[other]);
    let ms = fleet.ms_of_command(take(away as u64 + 1, configuration(routes, away + 1)));
    let meter = fleet.nodes[backup].meter;
    Caught { ms, bytes: meter.bytes_in, frames: meter.frames_in }
}
