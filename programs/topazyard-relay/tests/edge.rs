//! The relay's front and the engines' side, in one process over loopback: engines that break off,
//! lie about length, hang or refuse, and clients that leave, dawdle or never read.
//!
//! Every prompt must end with the right final answer, with one release of its hold, and without a
//! run that nobody waits for.

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

/// One runtime for all tests: a relay's machine lives on a thread of its own, and ends the process
/// if what it works with goes away under it.
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
    /// Sends this, and then pieces of a stream without end.
    Flood(&'static str),
}

/// What the rest of the fleet saw.
#[derive(Debug, PartialEq, Eq)]
enum Saw {
    Added(HoldId),
    Released(HoldId),
    /// The engine got a request with that body.
    Ran(String),
    /// The engine's connection ended from the relay's side.
    Left,
}

struct TestRelay {
    relay: Address,
    saw: tokio::sync::mpsc::UnboundedReceiver<Saw>,
}

impl TestRelay {
    /// A relay that is ready, beside a stand-in agent and counter, with one engine.
    async fn ready(then: EngineAction) -> Self {
        let (tell, saw) = tokio::sync::mpsc::unbounded_channel();
        let engine = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let engine_at = engine.local_addr().expect("its address");
        tokio::spawn(be_engine(engine, then, tell.clone()));
        let (agent, own) = (free_address(), free_address());
        tokio::spawn(be_core(agent, engine_at, tell));
        let start = topazyard_relay::Start {
            node: NodeId(9),
            agent,
            bounds: topazyard_spec::Bounds::default(),
        };
        let place =
            topazyard_wire::driver::NodeIdentity { fleet: FLEET, node: NodeId(9), address: own };
        let (tasks, begun) = tokio::sync::mpsc::channel(64);
        let make = move |_| (topazyard_relay::RelayMachine::new(&start), Vec::new());
        let handle = topazyard_wire::driver::spawn(make, place, None, tasks).expect("a relay");
        tokio::spawn(topazyard_relay::front::tasks::run(handle.clone(), begun, None));
        let http = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let relay = http.local_addr().expect("its address");
        let asked = handle.clone();
        let serving = topazyard_wire::http::inbound::Stage::Serving;
        let (_, told) = tokio::sync::watch::channel(serving);
        tokio::spawn(topazyard_wire::http::inbound::serve(http, move |request| {
            topazyard_relay::front::serve_request(handle.clone(), told.clone(), request)
        }));
        while !matches!(
            asked.call(topazyard_relay::RelayCall::Ready).await,
            Ok(topazyard_relay::RelayResponse::Done)
        ) {
            tokio::task::yield_now().await;
        }
        Self { relay, saw }
    }

    async fn connect(&self) -> tokio::net::TcpStream {
        tokio::net::TcpStream::connect(self.relay).await.expect("the relay listens")
    }

    /// Sends a prompt and reads until the relay closes.
    async fn send(&self, request: &str) -> String {
        let mut client = self.connect().await;
        client.write_all(request.as_bytes()).await.expect("the relay takes it");
        let mut got = Vec::new();
        // A connection that breaks ends the reading too.
        let _ = client.read_to_end(&mut got).await;
        String::from_utf8(got).expect("text")
    }

    /// The next that the rest of the fleet saw.
    async fn next(&mut self) -> Saw {
        self.saw.recv().await.expect("the fleet is there")
    }

    /// Waits for the release of a hold; gives all that was seen until then.
    async fn until_released(&mut self) -> Vec<Saw> {
        let mut all = Vec::new();
        loop {
            let saw = self.next().await;
            let over = matches!(saw, Saw::Released(_));
            all.push(saw);
            if over {
                return all;
            }
        }
    }
}

fn head_of(request: &[u8]) -> Option<(usize, usize)> {
    let text = std::str::from_utf8(request).ok()?;
    let end = text.find("\r\n\r\n")? + 4;
    let length = text[..end].to_ascii_lowercase();
    let length = length.split("content-length: ").nth(1)?.split("\r\n").next()?.parse().ok()?;
    Some((end, length))
}

async fn be_engine(
    listener: tokio::net::TcpListener,
    then: EngineAction,
    tell: tokio::sync::mpsc::UnboundedSender<Saw>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { return };
        tokio::spawn(serve_once(stream, then, tell.clone()));
    }
}

async fn serve_once(
    mut stream: tokio::net::TcpStream,
    then: EngineAction,
    tell: tokio::sync::mpsc::UnboundedSender<Saw>,
) {
    let mut request = Vec::new();
    let (end, length) = loop {
        match stream.read_buf(&mut request).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        if let Some((end, length)) = head_of(&request)
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
    let _ = tell.send(Saw::Ran(body));
    let (EngineAction::Close(text)
    | EngineAction::Reset(text)
    | EngineAction::Hang(text)
    | EngineAction::Flood(text)) = then;
    let _ = stream.write_all(text.as_bytes()).await;
    match then {
        EngineAction::Close(_) => {}
        EngineAction::Reset(_) => {
            let _ = stream.set_zero_linger();
        }
        EngineAction::Hang(_) => {
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
            let _ = tell.send(Saw::Left);
        }
        EngineAction::Flood(_) => {
            let piece = format!("10000\r\n{}\r\n", "x".repeat(0x1_0000));
            while stream.write_all(piece.as_bytes()).await.is_ok() {}
            let _ = tell.send(Saw::Left);
        }
    }
}

/// The agent beside the relay, and the counter's primary.
async fn be_core(address: Address, engine: Address, tell: tokio::sync::mpsc::UnboundedSender<Saw>) {
    let listener = tokio::net::TcpListener::bind(address).await.expect("a free port");
    let (sender, mut frames) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(topazyard_wire::link::inbound::listen(listener, FLEET, move |frame| {
        let _ = sender.send(frame);
    }));
    let mut links = topazyard_wire::link::Links::default();
    while let Some(frame) = frames.recv().await {
        let Frame { address: to, message, .. } = frame;
        let Some(message) = core_says(message, address, engine, &tell) else { continue };
        let frame =
            Frame { version: FRAME_VERSION, fleet: FLEET, sender: NodeId(1), address, message };
        links.send(to, frame.encode());
    }
}

fn core_says(
    message: Message,
    address: Address,
    engine: Address,
    tell: &tokio::sync::mpsc::UnboundedSender<Saw>,
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
                    let _ = tell.send(Saw::Added(hold.id));
                    CounterBody::Added { id: hold.id, granted: true, engine: None }
                }
                CounterBody::Release(id) => {
                    let _ = tell.send(Saw::Released(id));
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
    let listed = topazyard_spec::Engine {
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
        encode(engine_key(&name), topazyard_wire::rows::encode(&listed)),
        encode(shard_key(ShardId::COUNTER), topazyard_wire::rows::encode(&shard)),
    ]
}

const BODY: &str = r#"{"inputs":"one two"}"#;

fn request(path: &str, version: &str, wait_ms: u64) -> String {
    format!(
        "POST {path} HTTP/{version}\r\nhost: relay\r\nconnection: close\r\nTopazyard-Model: m\r\n\
         Topazyard-Time-Remaining: {wait_ms}\r\ncontent-length: {}\r\n\r\n{BODY}",
        BODY.len()
    )
}

/// Asks once and checks that one hold was added, one body ran unaltered, and one hold released.
async fn ends(then: EngineAction, path: &str, wait_ms: u64) -> String {
    let mut edge = TestRelay::ready(then).await;
    let got = edge.send(&request(path, "1.1", wait_ms)).await;
    let saw = edge.until_released().await;
    let count = |what: fn(&Saw) -> bool| saw.iter().filter(|saw| what(saw)).count();
    assert_eq!(count(|saw| matches!(saw, Saw::Added(_))), 1, "{saw:?}");
    assert_eq!(count(|saw| matches!(saw, Saw::Ran(body) if body == BODY)), 1, "{saw:?}");
    got
}

fn status(got: &str) -> &str {
    got.split(' ').nth(1).unwrap_or("")
}

/// A final answer that gives up on a prompt which may have run.
fn gave_up(got: &str, expected: &str) {
    assert_eq!(status(got), expected, "{got}");
    assert!(got.contains("retry-after: 2"), "{got}");
    assert!(got.contains(r#""ran":"may_have_run""#), "{got}");
}

#[test]
fn a_return_cut_anywhere_is_an_error_and_nothing_else() {
    runtime().block_on(async {
        for then in [
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
            gave_up(&ends(then, "/generate", 5_000).await, "502");
        }
    });
}

#[test]
fn an_engine_that_says_nothing_is_given_up_at_the_deadline() {
    runtime().block_on(async {
        for text in ["", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"] {
            let mut edge = TestRelay::ready(EngineAction::Hang(text)).await;
            gave_up(&edge.send(&request("/generate", "1.1", 250)).await, "504");
            // The run is broken off: its engine sees the connection end.
            let mut saw = edge.until_released().await;
            while !saw.contains(&Saw::Left) {
                saw.push(edge.next().await);
            }
        }
    });
}

#[test]
fn whatever_the_engine_says_is_passed_on_with_its_headers() {
    runtime().block_on(async {
        let text = "HTTP/1.1 429 Too Many Requests\r\nretry-after: 7\r\ncontent-encoding: gzip\r\n\
                x-one: a\r\nx-one: b\r\nx-link: c\r\nconnection: x-link\r\n\
                content-length: 4\r\n\r\nabcdHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nnot";
        for path in ["/generate", "/generate_stream"] {
            let got = ends(EngineAction::Close(text), path, 5_000).await;
            assert_eq!(status(&got), "429", "{got}");
            for header in ["retry-after: 7", "content-encoding: gzip", "x-one: a", "x-one: b"] {
                assert!(got.contains(header), "{header} in {got}");
            }
            assert!(!got.contains("x-link"), "{got}");
            // What an engine sends beyond its length is nobody's.
            assert!(got.ends_with("\r\n\r\nabcd"), "{got}");
        }
        for code in ["500", "503"] {
            let text: &'static str =
                Box::leak(format!("HTTP/1.1 {code} X\r\ncontent-length: 1\r\n\r\n!").into());
            assert_eq!(status(&ends(EngineAction::Close(text), "/generate", 5_000).await), code);
        }
    });
}

const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                      transfer-encoding: chunked\r\n\r\n4\r\none \r\n";

#[test]
fn a_stream_never_looks_complete_when_it_is_cut() {
    runtime().block_on(async {
    for then in [EngineAction::Close(STREAM), EngineAction::Reset(STREAM), EngineAction::Hang(STREAM)] {
        let got = ends(then, "/generate_stream", 400).await;
        assert!(!got.contains("\r\n0\r\n"), "{got}");
    }
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf";
    let got = ends(EngineAction::Close(text), "/generate_stream", 5_000).await;
    assert!(got.contains("content-length: 9") && got.ends_with("half"), "{got}");
    let whole =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\none \r\n3\r\ntwo\r\n0\r\n\r\n";
    let got = ends(EngineAction::Close(whole), "/generate_stream", 5_000).await;
    assert!(got.contains("one ") && got.ends_with("two\r\n0\r\n\r\n"), "{got}");
    });
}

#[test]
fn a_client_of_http_1_0_gets_a_stream_whole_or_an_error() {
    runtime().block_on(async {
        let edge = TestRelay::ready(EngineAction::Close(STREAM)).await;
        gave_up(&edge.send(&request("/generate_stream", "1.0", 5_000)).await, "502");
        let whole = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n";
        let edge = TestRelay::ready(EngineAction::Close(whole)).await;
        let got = edge.send(&request("/generate_stream", "1.0", 5_000)).await;
        assert!(got.contains("content-length: 3") && got.ends_with("\r\n\r\ntwo"), "{got}");
    });
}

#[test]
fn a_client_that_leaves_ends_its_run() {
    runtime().block_on(async {
        for (path, text) in [("/generate", ""), ("/generate_stream", STREAM)] {
            let mut edge = TestRelay::ready(EngineAction::Hang(text)).await;
            let mut client = edge.connect().await;
            let request = request(path, "1.1", 60_000);
            client.write_all(request.as_bytes()).await.expect("the relay takes it");
            while !matches!(edge.next().await, Saw::Ran(_)) {}
            drop(client);
            let mut saw = edge.until_released().await;
            while !saw.contains(&Saw::Left) {
                saw.push(edge.next().await);
            }
        }
    });
}

#[test]
fn a_client_that_never_reads_keeps_nothing_beyond_its_time() {
    runtime().block_on(async {
        let mut edge = TestRelay::ready(EngineAction::Flood(STREAM)).await;
        let mut client = edge.connect().await;
        let request = request("/generate_stream", "1.1", 700);
        client.write_all(request.as_bytes()).await.expect("the relay takes it");
        let mut saw = edge.until_released().await;
        while !saw.contains(&Saw::Left) {
            saw.push(edge.next().await);
        }
    });
}

#[test]
fn a_client_that_sends_in_pieces_is_served_and_one_that_stops_runs_nothing() {
    runtime().block_on(async {
        let whole = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        let mut edge = TestRelay::ready(EngineAction::Close(whole)).await;
        let mut gone = edge.connect().await;
        let text = request("/generate", "1.1", 5_000);
        let (first, second) = text.split_at(text.len() - 7);
        gone.write_all(first.as_bytes()).await.expect("the relay takes it");
        drop(gone);
        let mut client = edge.connect().await;
        for byte in first.as_bytes().chunks(9) {
            client.write_all(byte).await.expect("the relay takes it");
            client.flush().await.expect("the relay takes it");
        }
        client.write_all(second.as_bytes()).await.expect("the relay takes it");
        let mut got = String::new();
        client.read_to_string(&mut got).await.expect("a whole answer");
        assert!(got.ends_with("\r\n\r\nok"), "{got}");
        let saw = edge.until_released().await;
        assert_eq!(saw.iter().filter(|saw| matches!(saw, Saw::Ran(_))).count(), 1, "{saw:?}");
    });
}
