//! A stand-in for the core as a relay sees it: its local agent, the counter's primary and a shard's
//! primary.

use topazyard_types::{
    BatchId, ConfigurationVersion, EngineName, Epoch, FleetId, ItemNumber, LogPosition, NodeId,
    Sequence, ShardId, Tokens,
};
use topazyard_wire::message::batch::{
    BatchBody, BatchCall, BatchMessage, BatchResponse, Item, ItemRouting, LeasedItem, Progress,
    Run, RunEnd,
};
use topazyard_wire::message::control::{CoreNode, ShardRecord};
use topazyard_wire::message::counter::{CounterBody, CounterMessage};
use topazyard_wire::message::feed::{FeedMessage, UpdateContent};
use topazyard_wire::message::{FRAME_VERSION, Frame, Message};
use topazyard_wire::state::{IN_FORCE, InForceRow, engine_key, route_key, shard_key};

type Address = std::net::SocketAddr;

/// The fleet id of programs on the users' platform.
pub const FLEET: FleetId = FleetId(1);
/// The host of all routes in the tests.
pub const HOST: &str = "a.example";

/// The batch of all items.
fn batch() -> BatchId {
    BatchId::of_host(HOST, "1")
}

/// The primary of the batch's shard: leases submitted items and reports the ends of their runs.
pub struct ShardStub {
    /// Receives the ids of submitted items.
    pub submitted: tokio::sync::mpsc::UnboundedReceiver<String>,
    /// Sends the end of each run.
    pub run_ends: tokio::sync::mpsc::UnboundedSender<RunEnd>,
    /// The number of the last lease.
    pub last_lease: u64,
}

impl ShardStub {
    fn respond(&mut self, call: BatchCall) -> BatchResponse {
        match call {
            BatchCall::Lease { .. } => {
                let received = std::iter::from_fn(|| self.submitted.try_recv().ok());
                let ids: Vec<String> = received.collect();
                BatchResponse::Leased(ids.into_iter().map(|id| self.lease(id)).collect())
            }
            BatchCall::Finish(_, end) => {
                let _ = self.run_ends.send(end);
                BatchResponse::Acknowledged
            }
            _ => BatchResponse::Acknowledged,
        }
    }

    fn lease(&mut self, id: String) -> LeasedItem {
        self.last_lease += 1;
        let routing = ItemRouting {
            id,
            path: "/batch/1".to_owned(),
            headers: Vec::new(),
            prefix: Vec::new(),
        };
        let item = Item {
            model: "".into(),
            body: bytes::Bytes::from_static(b"item"),
            repeatable: true,
            cost: Tokens(1),
            routing: Some(routing),
        };
        let run = Run { batch: batch(), item: ItemNumber(0), lease: self.last_lease };
        let host = Some(HOST.to_owned());
        LeasedItem { run, item, host, progress: Progress::default() }
    }
}

/// The limits on what clients send, as text of a configuration.
pub const DEFAULT_CLIENT_LIMITS: &str = r#"{"max_header_bytes":16384,"max_body_bytes":4194304,
    "header_timeout_ms":10000,"idle_timeout_ms":30000}"#;

/// Runs the relay's local agent, the counter's primary, which grants everything, and a shard's
/// primary.
pub async fn run_core(
    listener: tokio::net::TcpListener,
    address: Address,
    engines: Vec<(EngineName, Address)>,
    mut shard: ShardStub,
    client_limits: &'static str,
) {
    let (sender, mut frames) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(topazyard_wire::link::inbound::listen(listener, FLEET, move |frame| {
        let _ = sender.send(frame);
    }));
    let mut links = topazyard_wire::link::Links::default();
    while let Some(frame) = frames.recv().await {
        let Frame { address: to, message, .. } = frame;
        let message = match message {
            Message::Feed(FeedMessage::Request { nonce, .. }) => {
                let position = LogPosition { epoch: Epoch(1), sequence: Sequence(1) };
                let content = UpdateContent::Snapshot(rows(address, &engines, client_limits));
                Message::Feed(FeedMessage::Update { nonce, position, content })
            }
            Message::Counter(CounterMessage { epoch, body }) => {
                let body = match body {
                    CounterBody::Add(hold) => {
                        let engine = hold.engines.first().cloned();
                        CounterBody::Added { id: hold.id, granted: true, engine }
                    }
                    CounterBody::Renew { number, .. } => CounterBody::Renewed { number },
                    _ => continue,
                };
                Message::Counter(CounterMessage { epoch, body })
            }
            Message::Batch(BatchMessage { body: BatchBody::Call(call), call: number, .. }) => {
                let body = BatchBody::Response(shard.respond(call));
                let shard = batch().shard;
                Message::Batch(BatchMessage { shard, epoch: Epoch(1), call: number, body })
            }
            Message::Batch(BatchMessage {
                shard, epoch, body: BatchBody::CheckServing, ..
            }) => {
                let body = BatchBody::Serving { pending_calls: Vec::new() };
                Message::Batch(BatchMessage { shard, epoch, call: 0, body })
            }
            _ => continue,
        };
        let frame =
            Frame { version: FRAME_VERSION, fleet: FLEET, sender: NodeId(1), address, message };
        links.send(to, frame.encode());
    }
}

fn rows(
    core: Address,
    engines: &[(EngineName, Address)],
    client_limits: &str,
) -> Vec<(String, bytes::Bytes)> {
    use topazyard_wire::rows::encode;
    let text = format!(
        r#"{{"pools":[{{"name":"main","limit_tokens":100000}}],"clients":{client_limits}}}"#
    );
    let in_force = InForceRow { version: ConfigurationVersion(1), text };
    let shard = ShardRecord {
        epoch: Epoch(1),
        primary: CoreNode { id: NodeId(1), address: core },
        copies: 2,
        backups: Vec::new(),
        fallbacks: Vec::new(),
        learners: Vec::new(),
    };
    let mut rows = vec![
        (IN_FORCE.to_owned(), encode(&in_force)),
        (shard_key(ShardId::COUNTER), encode(&shard)),
        (shard_key(batch().shard), encode(&shard)),
    ];
    for (name, kind, max_attempts) in [
        ("safe", "safe", 3),
        ("unsafe", "unsafe", 3),
        ("stream", "streaming", 3),
        ("resumable", "streaming", 2),
    ] {
        let text = format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","kind":"{kind}",
            "timeout_ms":10000,"target_latency_ms":4000,"max_attempts":{max_attempts},
            "resumable":{},"pools":[{{"pool":"main","weight":1}}]}}"#,
            name == "resumable"
        );
        let route: topazyard_spec::Route = serde_json::from_str(&text).expect("a route");
        rows.push((route_key(&route.name), encode(&route)));
    }
    let batch = format!(
        r#"{{"name":"batch","host":"{HOST}","path_prefix":"/batch/","kind":"batch",
        "timeout_ms":10000,"max_attempts":2,"pools":[{{"pool":"main","weight":1}}],
        "batch":{{"ceiling_tokens":700,"run_target_ms":8000,"retention_ms":40000}}}}"#
    );
    let batch: topazyard_spec::Route = serde_json::from_str(&batch).expect("a route");
    rows.push((route_key(&batch.name), encode(&batch)));
    for (name, address) in engines {
        let engine = topazyard_spec::Engine {
            name: name.clone(),
            address: *address,
            pool: "main".into(),
            models: Vec::new(),
            state: topazyard_spec::EngineState::Ready,
            zone: None,
            slots: 0,
        };
        rows.push((engine_key(name), encode(&engine)));
    }
    rows
}
