//! The counts of a process's traffic.

use topazyard_types::{FleetId, NodeId, ShardId};
use topazyard_wire::link::{Links, inbound};
use topazyard_wire::message::batch::{BatchBody, BatchCall, BatchMessage};
use topazyard_wire::message::{FRAME_VERSION, Frame, Message};
use topazyard_wire::traffic::{LinkLoss, MessageKind, Received, lost, received};

fn received_of(kind: MessageKind) -> Received {
    received().find(|received| received.kind == kind).expect("each kind is counted")
}

fn lost_for(reason: LinkLoss) -> u64 {
    lost().find(|(other, _)| *other == reason).map_or(0, |(_, frames)| frames)
}

fn lease_request() -> bytes::Bytes {
    let call = BatchCall::Lease { max_items: 1, models: Vec::new(), routes: Vec::new() };
    let message = BatchMessage {
        shard: ShardId(1),
        epoch: topazyard_types::Epoch(1),
        call: 1,
        body: BatchBody::Call(call),
    };
    let frame = Frame {
        version: FRAME_VERSION,
        fleet: FleetId(7),
        sender: NodeId(1),
        address: "127.0.0.1:9000".parse().unwrap(),
        message: Message::Batch(message),
    };
    frame.encode()
}

#[tokio::test]
async fn received_frames_and_bytes_are_counted_by_kind() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, mut frames) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(inbound::listen(listener, FleetId(7), move |frame| drop(sender.send(frame))));
    let before = received_of(MessageKind::BatchCall);
    let frame = lease_request();
    Links::default().send(address, frame.clone());
    frames.recv().await.expect("the frame arrives");
    let after = received_of(MessageKind::BatchCall);
    assert_eq!(after.frames - before.frames, 1);
    assert_eq!(after.bytes - before.bytes, frame.len() as u64);
    let text = topazyard_wire::metrics::text(None::<NoMetrics>).unwrap();
    let sample = format!("topazyard_received_bytes_total{{kind=\"batch_call\"}} {}", after.bytes);
    assert!(text.lines().any(|line| line == sample), "{sample} is missing in\n{text}");
}

#[derive(Debug)]
struct NoMetrics;

impl topazyard_wire::metrics::MetricSource for NoMetrics {
    fn write(&self, _: &mut topazyard_wire::metrics::Writer<'_>) -> std::fmt::Result {
        Ok(())
    }
}

#[tokio::test]
async fn frames_to_a_closed_port_are_counted_as_lost() {
    let before = lost_for(LinkLoss::NotConnected);
    let mut links = Links::default();
    links.send(stand_ins::loopback::free_address(), lease_request());
    while lost_for(LinkLoss::NotConnected) == before {
        tokio::task::yield_now().await;
    }
    assert_eq!(lost_for(LinkLoss::NotConnected), before + 1);
}
