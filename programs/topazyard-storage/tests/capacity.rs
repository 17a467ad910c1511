//! What a shard may hold: no more than can be filled again before the next losses.

use topazyard_spec::{Bounds, Resources};
use topazyard_storage::machine::{OtherCopies, ShardCapacity};
use topazyard_types::DurationMs;

const MB: u64 = 1_000_000;

fn capacity(link_mbps: u64, catch_up_ms: u64) -> ShardCapacity {
    let resources = Resources {
        memory_bytes: 280 * MB,
        link_bytes_per_s: link_mbps * MB / 8,
        ..Resources::default()
    };
    let bounds = Bounds { catch_up: DurationMs(catch_up_ms), ..Bounds::default() };
    ShardCapacity::new(&resources, &bounds)
}

// Guards against a shard that grows until its copies are lost faster than they can be filled.
#[test]
fn followers_of_a_full_shard_are_filled_before_the_next_losses() {
    for link_mbps in [150, 600, 1_000] {
        for catch_up_ms in [4_600, 6_000] {
            for followers in 1..=3 {
                let bytes =
                    capacity(link_mbps, catch_up_ms).bytes(followers, OtherCopies::default());
                let link_ms = bytes * followers * 8 / (link_mbps * 1_000);
                let transfer_ms = link_ms * 13 / 10;
                let noticing_ms = catch_up_ms / 4;
                let takes_ms = noticing_ms + transfer_ms;
                assert!(takes_ms <= catch_up_ms, "{bytes} bytes take {transfer_ms} ms");
            }
        }
    }
}

// Guards against several shards that each fit by themselves, but not all over one link.
#[test]
fn shards_of_a_machine_share_its_link() {
    let capacity = capacity(150, 6_000);
    let alone = capacity.bytes(2, OtherCopies::default());
    let led = OtherCopies { hosted_bytes: 10 * MB, led_bytes: 10 * MB };
    assert_eq!(capacity.bytes(2, led), alone - 10 * MB);
    let full = OtherCopies { hosted_bytes: 100 * MB, led_bytes: 0 };
    assert_eq!(capacity.bytes(2, full), 0);
}

// Guards against a bound for settings that name no link: it would be one of 0.
#[test]
fn memory_and_disk_alone_bound_a_shard_on_an_unknown_link() {
    let resources =
        Resources { memory_bytes: 280 * MB, disk_bytes: 90 * MB, ..Resources::default() };
    let capacity = ShardCapacity::new(&resources, &Bounds::default());
    assert_eq!(capacity.bytes(2, OtherCopies::default()), 30 * MB);
    let unlimited = ShardCapacity::new(&Resources::default(), &Bounds::default());
    assert_eq!(unlimited.bytes(2, OtherCopies::default()), u64::MAX);
}
