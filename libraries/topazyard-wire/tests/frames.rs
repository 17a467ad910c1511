//! Decoding frames and rows: any bytes decode or give a typed error, and never a panic.

use topazyard_types::{FleetId, NodeId};
use topazyard_wire::message::membership::MembershipMessage;
use topazyard_wire::message::{FRAME_VERSION, Frame, FrameError, Message};

const FLEET: FleetId = FleetId(7);

fn frame() -> Frame {
    Frame {
        version: FRAME_VERSION,
        fleet: FLEET,
        sender: NodeId(5),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        message: Message::Membership(MembershipMessage::Probe { nonce: 3, updates: Vec::new() }),
    }
}

#[test]
fn any_bytes_decode_or_give_a_typed_error() {
    bolero::check!().with_type::<Vec<u8>>().with_iterations(5_000).for_each(|bytes| {
        if let Ok(frame) = Frame::decode(bytes, FLEET) {
            assert_eq!(Frame::decode(&frame.encode(), FLEET), Ok(frame));
        }
    });
}

#[test]
fn corrupted_frame_never_passes_as_one_of_another_fleet_or_version() {
    let bytes = frame().encode();
    bolero::check!().with_type::<(usize, u8)>().with_iterations(2_000).for_each(|(at, mask)| {
        let mut corrupted = bytes.to_vec();
        let at = at % corrupted.len();
        corrupted[at] ^= mask;
        if let Ok(decoded) = Frame::decode(&corrupted, FLEET) {
            assert_eq!((decoded.version, decoded.fleet), (FRAME_VERSION, FLEET));
        }
    });
}

#[test]
fn other_version_or_fleet_is_refused() {
    let newer = Frame { version: FRAME_VERSION + 1, ..frame() };
    let refused = Frame::decode(&newer.encode(), FLEET);
    assert_eq!(refused, Err(FrameError::Version(FRAME_VERSION + 1)));
    let other = Frame { fleet: FleetId(8), ..frame() };
    assert_eq!(Frame::decode(&other.encode(), FLEET), Err(FrameError::Fleet(FleetId(8))));
}

#[test]
fn fleet_snapshot_reads_any_rows_without_panicking() {
    type Rows = std::collections::BTreeMap<u8, Vec<u8>>;
    let kinds = ["in-force", "engine/e", "shard/1", "shard/x", "storage/9", "weight/w", "other"];
    bolero::check!().with_type::<Rows>().with_iterations(2_000).for_each(|rows| {
        let rows = rows.iter().map(|(kind, value)| {
            let key = kinds[usize::from(*kind) % kinds.len()].to_owned();
            (key, bytes::Bytes::from(value.clone()))
        });
        let snapshot = topazyard_wire::state::FleetSnapshot::read(&rows.collect());
        assert!(snapshot.shards.len() <= 1);
    });
}
