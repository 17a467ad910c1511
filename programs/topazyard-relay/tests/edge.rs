//! The HTTP front end for model routes with an engine, in one process over loopback. Engines
//! interrupt responses, send wrong lengths, hang or refuse; clients disconnect, send slowly or
//! never read.
//!
//! Every prompt must end with the right final response and exactly one release of its hold, and no
//! run may continue without a client.

use stand_ins::loopback::free_address;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use topazyard_types::{EngineName, Epoch, FleetId, HoldId, LogPosition, NodeId, Sequence, ShardId};
use topazyard_wire::message::control::{CoreNode, ShardRecord};
use topazyard_wire::message::counter::{CounterBody, CounterMessage};
use topazyard_wire::message::feed::{FeedMessage, UpdateContent};
use topazyard_wire::message::{FRAME_VERSION, Frame, Message};
use topazyard_wire::state::{IN_FORCE, InForceRow, engine_key, shard_key};

type Address = std::net::SocketAddr;

const FLEET: FleetId = FleetId(3);

/// One runtime for all tests: a relay's machine runs on its own thread, and ends the process if the
/// runtime that it uses shuts down.
fn runtime() -> &'static tokio::runtime::Runtime {
    static RUNTIME: std::sync::OnceLock<tokio::runtime::Runtime> = std::sync::OnceLock::new();
    RUNTIME.get_or_init(|| tokio::runtime::Runtime::new().expect("a runtime"))
}

/// What an engine does with a connection once it has read the request.
#[derive(Clone, Copy)]
enum EngineAction {
    /// Sends this and closes.
    Close(&'static str),
    /// Sends this and resets the connection.
    Reset(&'static str),
    /// Sends this and keeps the connection open until the other side closes it.
    Hang(&'static str),
    /// Sends this and then an endless stream of chunks.
    Flood(&'static str),
}

/// An event observed by the rest of the fleet.
#[derive(Debug, PartialEq, Eq)]
enum FleetEvent {
    HoldAdded(HoldId),
    HoldReleased(HoldId),
    /// The engine received a request with this body.
    RequestReceived(String),
    /// The relay closed its connection to the engine.
    Disconnected,
}

struct TestRelay {
    address: Address,
    events: tokio::sync::mpsc::UnboundedReceiver<FleetEvent>,
}

impl TestRelay {
    /// A ready relay with a stand-in agent and counter and one engine.
    async fn ready(action: EngineAction) -> Self {
        let (event_sender, events) = tokio::sync::mpsc::unbounded_channel();
        let engine = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let engine_address = engine.local_addr().expect("its address");
        tokio::spawn(run_engine(engine, action, event_sender.clone()));
        let (agent, own) = (free_address(), free_address());
        tokio::spawn(run_core(agent, engine_address, event_sender));
        let start = topazyard_relay::Start {
            node: NodeId(9),
            agent,
            bounds: topazyard_spec::Bounds::default(),
        };
        let identity =
            topazyard_wire::driver::NodeIdentity { fleet: FLEET, node: NodeId(9), address: own };
        let (tasks, task_queue) = tokio::sync::mpsc::channel(64);
        let new_machine = move |_| (topazyard_relay::RelayMachine::new(&start), Vec::new());
        let handle =
            topazyard_wire::driver::spawn(new_machine, identity, None, tasks).expect("a relay");
        tokio::spawn(topazyard_relay::front::tasks::run(
            handle.clone(),
            task_queue,
            None,
            tokio::sync::watch::channel(Default::default()).0,
        ));
        let http = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = http.local_addr().expect("its address");
        let machine = handle.clone();
        let serving = topazyard_wire::http::inbound::Stage::Serving;
        let (_, drain) = tokio::sync::watch::channel(serving);
        tokio::spawn(topazyard_wire::http::inbound::serve(http, move |request| {
            topazyard_relay::front::serve_request(handle.clone(), drain.clone(), request)
        }));
        while !matches!(
            machine.call(topazyard_relay::RelayCall::Ready).await,
            Ok(topazyard_relay::RelayResponse::Done)
        ) {
            tokio::task::yield_now().await;
        }
        Self { address, events }
    }

    async fn connect(&self) -> tokio::net::TcpStream {
        tokio::net::TcpStream::connect(self.address).await.expect("the relay listens")
    }

    /// Sends a prompt and reads until the relay closes the connection.
    async fn send(&self, request: &str) -> String {
        let mut client = self.connect().await;
        client.write_all(request.as_bytes()).await.expect("the relay accepts the data");
        let mut response = Vec::new();
        // Reading also stops if the connection is lost.
        let _ = client.read_to_end(&mut response).await;
        String::from_utf8(response).expect("UTF-8 text")
    }

    /// The next event in the fleet.
    async fn next_event(&mut self) -> FleetEvent {
        self.events.recv().await.expect("the stand-in fleet runs")
    }

    /// Waits for the release of a hold; returns all events up to it.
    async fn events_until_release(&mut self) -> Vec<FleetEvent> {
        let mut events = Vec::new();
        loop {
            let event = self.next_event().await;
            let is_release = matches!(event, FleetEvent::HoldReleased(_));
            events.push(event);
            if is_release {
                return events;
            }
        }
    }
}

fn parse_head(request: &[u8]) -> Option<(usize, usize)> {
    let text = std::str::from_utf8(request).ok()?;
    let end = text.find("\r\n\r\n")? + 4;
    let length = text[..end].to_ascii_lowercase();
    let length = length.split("content-length: ").nth(1)?.split("\r\n").next()?.parse().ok()?;
    Some((end, length))
}

async fn run_engine(
    listener: tokio::net::TcpListener,
    action: EngineAction,
    events: tokio::sync::mpsc::UnboundedSender<FleetEvent>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { return };
        tokio::spawn(serve_once(stream, action, events.clone()));
    }
}

async fn serve_once(
    mut stream: tokio::net::TcpStream,
    action: EngineAction,
    events: tokio::sync::mpsc::UnboundedSender<FleetEvent>,
) {
    let mut request = Vec::new();
    let (end, length) = loop {
        match stream.read_buf(&mut request).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        if let Some((end, length)) = parse_head(&request)
            && request.len() >= end + length
        {
            break (end, length);
        }
    };
    if request.starts_with(b"GET") {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
        return;
    }
    let body = String::from_utf8_lossy(&request[end..end + length]).into_owned();
    let _ = events.send(FleetEvent::RequestReceived(body));
    let (EngineAction::Close(text)
    | EngineAction::Reset(text)
    | EngineAction::Hang(text)
    | EngineAction::Flood(text)) = action;
    let _ = stream.write_all(text.as_bytes()).await;
    match action {
        EngineAction::Close(_) => {}
        EngineAction::Reset(_) => {
            let _ = stream.set_zero_linger();
        }
        EngineAction::Hang(_) => {
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
            let _ = events.send(FleetEvent::Disconnected);
        }
        EngineAction::Flood(_) => {
            let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x1_0000));
            while stream.write_all(chunk.as_bytes()).await.is_ok() {}
            let _ = events.send(FleetEvent::Disconnected);
        }
    }
}

/// Runs the relay's local agent and the counter's primary.
async fn run_core(
    address: Address,
    engine: Address,
    events: tokio::sync::mpsc::UnboundedSender<FleetEvent>,
) {
    let listener = tokio::net::TcpListener::bind(address).await.expect("a free port");
    let (sender, mut frames) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(topazyard_wire::link::inbound::listen(listener, FLEET, move |frame| {
        let _ = sender.send(frame);
    }));
    let mut links = topazyard_wire::link::Links::default();
    while let Some(frame) = frames.recv().await {
        let Frame { address: to, message, .. } = frame;
        let Some(message) = core_response(message, address, engine, &events) else { continue };
        let frame =
            Frame { version: FRAME_VERSION, fleet: FLEET, sender: NodeId(1), address, message };
        links.send(to, frame.encode());
    }
}

fn core_response(
    message: Message,
    address: Address,
    engine: Address,
    events: &tokio::sync::mpsc::UnboundedSender<FleetEvent>,
) -> Option<Message> {
    match message {
        Message::Feed(FeedMessage::Request { nonce, .. }) => {
            let position = LogPosition { epoch: Epoch(1), sequence: Sequence(1) };
            let content = UpdateContent::Snapshot(rows(address, engine));
            Some(Message::Feed(FeedMessage::Update { nonce, position, content }))
        }
        Message::Counter(CounterMessage { epoch, body }) => {
            let body = match body {
                CounterBody::Add(hold) => {
                    let _ = events.send(FleetEvent::HoldAdded(hold.id));
                    CounterBody::Added { id: hold.id, granted: true, engine: None }
                }
                CounterBody::Release(id) => {
                    let _ = events.send(FleetEvent::HoldReleased(id));
                    return None;
                }
                CounterBody::Renew { number, .. } => CounterBody::Renewed { number },
                _ => return None,
            };
            Some(Message::Counter(CounterMessage { epoch, body }))
        }
        _ => None,
    }
}

fn rows(core: Address, engine: Address) -> Vec<(String, bytes::Bytes)> {
    let encode = |key: String, value: bytes::Bytes| (key, value);
    let text = r#"{"pools":[{"name":"main","limit_tokens":1000}],
        "lanes":[{"name":"live","kind":"live","models":["m"],"pool":"main"}],
        "batches":{"waiting_ceiling_tokens":1000,"max_items":10,"max_item_bytes":1000},
        "weights":{"live_floor_percent":40,"live_start_percent":70,"live_ceiling_percent":90}}"#;
    let in_force =
        InForceRow { version: topazyard_types::ConfigurationVersion(1), text: text.to_owned() };
    let name: EngineName = "e".into();
    let engine_row = topazyard_spec::Engine {
        name: name.clone(),
        address: engine,
        pool: "main".into(),
        models: vec!["m".into()],
        state: topazyard_spec::EngineState::Ready,
        zone: None,
        slots: 0,
    };
    let shard = ShardRecord {
        epoch: Epoch(1),
        primary: CoreNode { id: NodeId(1), address: core },
        copies: 2,
        backups: Vec::new(),
        fallbacks: Vec::new(),
        learners: Vec::new(),
    };
    vec![
        encode(IN_FORCE.to_owned(), topazyard_wire::rows::encode(&in_force)),
        encode(engine_key(&name), topazyard_wire::rows::encode(&engine_row)),
        encode(shard_key(ShardId::COUNTER), topazyard_wire::rows::encode(&shard)),
    ]
}

const BODY: &str = r#"{"inputs":"one two"}"#;

fn request(path: &str, version: &str, timeout_ms: u64) -> String {
    format!(
        "POST {path} HTTP/{version}\r\nhost: relay\r\nconnection: close\r\nTopazyard-Model: m\r\n\
         Topazyard-Time-Remaining: {timeout_ms}\r\ncontent-length: {}\r\n\r\n{BODY}",
        BODY.len()
    )
}

/// Sends one prompt and checks that one hold was added, the engine received the unaltered body
/// once, and one hold was released.
async fn send_and_check_hold(action: EngineAction, path: &str, timeout_ms: u64) -> String {
    let mut relay = TestRelay::ready(action).await;
    let response = relay.send(&request(path, "1.1", timeout_ms)).await;
    let events = relay.events_until_release().await;
    let count =
        |matches: fn(&FleetEvent) -> bool| events.iter().filter(|event| matches(event)).count();
    assert_eq!(count(|event| matches!(event, FleetEvent::HoldAdded(_))), 1, "{events:?}");
    assert_eq!(
        count(|event| matches!(event, FleetEvent::RequestReceived(body) if body == BODY)),
        1,
        "{events:?}"
    );
    response
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("")
}

/// Checks a final response that abandons a prompt which may have run.
fn assert_abandoned(response: &str, expected: &str) {
    assert_eq!(status(response), expected, "{response}");
    assert!(response.contains("retry-after: 2"), "{response}");
    assert!(response.contains(r#""ran":"may_have_run""#), "{response}");
}

#[test]
fn interrupted_response_gives_only_an_error() {
    runtime().block_on(async {
        for action in [
            EngineAction::Close(""),
            EngineAction::Close("HTTP/1.1 200 OK\r\ncontent-le"),
            EngineAction::Close("HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"generated"),
            EngineAction::Close(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{\"gen\r\n",
            ),
            EngineAction::Close("HTTP/1.1 200 OK\r\n\r\n{\"generated_text\":\"till the end\"}"),
            EngineAction::Reset("HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"generated"),
            EngineAction::Reset(""),
            EngineAction::Close("SSH-2.0-nothing of ours\r\n"),
        ] {
            assert_abandoned(&send_and_check_hold(action, "/generate", 5_000).await, "502");
        }
    });
}

#[test]
fn silent_engine_is_abandoned_at_the_deadline() {
    runtime().block_on(async {
        for text in ["", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"] {
            let mut relay = TestRelay::ready(EngineAction::Hang(text)).await;
            assert_abandoned(&relay.send(&request("/generate", "1.1", 250)).await, "504");
            // The run is aborted: the engine sees the connection close.
            let mut events = relay.events_until_release().await;
            while !events.contains(&FleetEvent::Disconnected) {
                events.push(relay.next_event().await);
            }
        }
    });
}

#[test]
fn engine_response_is_forwarded_with_its_headers() {
    runtime().block_on(async {
        let text = "HTTP/1.1 429 Too Many Requests\r\nretry-after: 7\r\ncontent-encoding: gzip\r\n\
                x-one: a\r\nx-one: b\r\nx-link: c\r\nconnection: x-link\r\n\
                content-length: 4\r\n\r\nabcdHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nnot";
        for path in ["/generate", "/generate_stream"] {
            let response = send_and_check_hold(EngineAction::Close(text), path, 5_000).await;
            assert_eq!(status(&response), "429", "{response}");
            for header in ["retry-after: 7", "content-encoding: gzip", "x-one: a", "x-one: b"] {
                assert!(response.contains(header), "{header} in {response}");
            }
            assert!(!response.contains("x-link"), "{response}");
            // Data beyond the response's length is discarded.
            assert!(response.ends_with("\r\n\r\nabcd"), "{response}");
        }
        for code in ["500", "503"] {
            let text: &'static str =
                Box::leak(format!("HTTP/1.1 {code} X\r\ncontent-length: 1\r\n\r\n!").into());
            assert_eq!(
                status(&send_and_check_hold(EngineAction::Close(text), "/generate", 5_000).await),
                code
            );
        }
    });
}

const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                      transfer-encoding: chunked\r\n\r\n4\r\none \r\n";

#[test]
fn interrupted_stream_never_looks_complete() {
    runtime().block_on(async {
    for action in [EngineAction::Close(STREAM), EngineAction::Reset(STREAM), EngineAction::Hang(STREAM)] {
        let response = send_and_check_hold(action, "/generate_stream", 400).await;
        assert!(!response.contains("\r\n0\r\n"), "{response}");
    }
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf";
    let response = send_and_check_hold(EngineAction::Close(text), "/generate_stream", 5_000).await;
    assert!(response.contains("content-length: 9") && response.ends_with("half"), "{response}");
    let complete =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\none \r\n3\r\ntwo\r\n0\r\n\r\n";
    let response = send_and_check_hold(EngineAction::Close(complete), "/generate_stream", 5_000).await;
    assert!(response.contains("one ") && response.ends_with("two\r\n0\r\n\r\n"), "{response}");
    });
}

#[test]
fn http_1_0_client_gets_a_complete_stream_or_an_error() {
    runtime().block_on(async {
        let relay = TestRelay::ready(EngineAction::Close(STREAM)).await;
        assert_abandoned(&relay.send(&request("/generate_stream", "1.0", 5_000)).await, "502");
        let complete = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n";
        let relay = TestRelay::ready(EngineAction::Close(complete)).await;
        let response = relay.send(&request("/generate_stream", "1.0", 5_000)).await;
        assert!(
            response.contains("content-length: 3") && response.ends_with("\r\n\r\ntwo"),
            "{response}"
        );
    });
}

#[test]
fn client_disconnect_aborts_the_run() {
    runtime().block_on(async {
        for (path, text) in [("/generate", ""), ("/generate_stream", STREAM)] {
            let mut relay = TestRelay::ready(EngineAction::Hang(text)).await;
            let mut client = relay.connect().await;
            let request = request(path, "1.1", 60_000);
            client.write_all(request.as_bytes()).await.expect("the relay accepts the data");
            while !matches!(relay.next_event().await, FleetEvent::RequestReceived(_)) {}
            drop(client);
            let mut events = relay.events_until_release().await;
            while !events.contains(&FleetEvent::Disconnected) {
                events.push(relay.next_event().await);
            }
        }
    });
}

#[test]
fn client_that_never_reads_holds_nothing_after_its_deadline() {
    runtime().block_on(async {
        let mut relay = TestRelay::ready(EngineAction::Flood(STREAM)).await;
        let mut client = relay.connect().await;
        let request = request("/generate_stream", "1.1", 700);
        client.write_all(request.as_bytes()).await.expect("the relay accepts the data");
        let mut events = relay.events_until_release().await;
        while !events.contains(&FleetEvent::Disconnected) {
            events.push(relay.next_event().await);
        }
    });
}

#[test]
fn slow_request_is_served_and_incomplete_request_is_not_run() {
    runtime().block_on(async {
        let complete = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        let mut relay = TestRelay::ready(EngineAction::Close(complete)).await;
        let mut disconnected = relay.connect().await;
        let text = request("/generate", "1.1", 5_000);
        let (first, second) = text.split_at(text.len() - 7);
        disconnected.write_all(first.as_bytes()).await.expect("the relay accepts the data");
        drop(disconnected);
        let mut client = relay.connect().await;
        for byte in first.as_bytes().chunks(9) {
            client.write_all(byte).await.expect("the relay accepts the data");
            client.flush().await.expect("the relay accepts the data");
        }
        client.write_all(second.as_bytes()).await.expect("the relay accepts the data");
        let mut response = String::new();
        client.read_to_string(&mut response).await.expect("a complete response");
        assert!(response.ends_with("\r\n\r\nok"), "{response}");
        let events = relay.events_until_release().await;
        assert_eq!(
            events.iter().filter(|event| matches!(event, FleetEvent::RequestReceived(_))).count(),
            1,
            "{events:?}"
        );
    });
}
