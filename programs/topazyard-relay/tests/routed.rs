//! The routes' front and its engines, in one process over loopback: engines that break off, turn
//! away, answer with what isn't theirs, or keep and close connections.
//!
//! Engines share one script: whichever is asked next does what comes next in it.

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use topazyard_relay::front::dialect::{Addressed, Dialect, RequestFacts, Verdict};
use topazyard_types::{
    DurationMs, EngineName, Epoch, FleetId, NodeId, Place, RouteName, Sequence, ShardId,
    SpecVersion, Tokens,
};
use topazyard_wire::api::{ApiError, Ran};
use topazyard_wire::http::Body;
use topazyard_wire::message::control::{CoreNode, ShardRecord};
use topazyard_wire::message::counter::{CounterBody, CounterMessage};
use topazyard_wire::message::feed::{FeedMessage, Matter};
use topazyard_wire::message::{FRAME_VERSION, Frame, Message};
use topazyard_wire::state::{IN_FORCE, InForceRow, engine_key, route_key, shard_key};

type Address = std::net::SocketAddr;

const FLEET: FleetId = FleetId(4);
const HOST: &str = "a.example";

/// One runtime for all tests, as in those of the own interface. One thread, as each thread keeps
/// its own connections to engines.
fn runtime() -> &'static tokio::runtime::Runtime {
    static RUNTIME: std::sync::OnceLock<tokio::runtime::Runtime> = std::sync::OnceLock::new();
    RUNTIME.get_or_init(|| {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(1).enable_all().build().expect("a runtime")
    })
}

fn free_address() -> Address {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

/// A relay's machine and links, on a port that is free.
fn spawn_relay(
    agent: Address,
) -> (topazyard_relay::front::Handle, tokio::sync::mpsc::Receiver<topazyard_relay::RelayTask>) {
    let bounds = topazyard_spec::Bounds::default;
    let spawned = (0..10).find_map(|_| {
        // Between the look and the use another may take it.
        let address = free_address();
        let start = topazyard_relay::Start { node: NodeId(9), agent, bounds: bounds() };
        let place = topazyard_wire::driver::Place { fleet: FLEET, node: NodeId(9), address };
        let (tasks, begun) = tokio::sync::mpsc::channel(64);
        let make = move |_| (topazyard_relay::RelayMachine::new(&start), Vec::new());
        let handle = topazyard_wire::driver::spawn(make, place, None, tasks).ok()?;
        Some((handle, begun))
    });
    spawned.expect("a relay")
}

/// Names of the tests' own: `x-id`, `x-to`, `x-after`, `x-turned-away`.
struct Plain;

fn number(head: &hyper::HeaderMap, name: &str) -> Option<u64> {
    head.get(name)?.to_str().ok()?.parse().ok()
}

impl Dialect for Plain {
    fn read(&self, head: &hyper::http::request::Parts) -> Result<RequestFacts, ApiError> {
        Ok(RequestFacts {
            request_id: head.headers.get("x-id").cloned().expect("an id"),
            wait: number(&head.headers, "x-wait").map(DurationMs),
            cost: Some(Tokens(1)),
            prefix: Vec::new(),
            last_event: number(&head.headers, "x-after"),
        })
    }

    fn identify(&self, headers: &mut hyper::HeaderMap, id: &hyper::header::HeaderValue) {
        headers.insert("x-id", id.clone());
    }

    fn address(&self, headers: &mut hyper::HeaderMap, to: &Addressed<'_>) {
        headers.insert("x-to", to.engine.0.parse().expect("a name"));
        if let Some(last_event) = to.last_event {
            headers.insert("x-after", last_event.into());
        }
    }

    fn judge(
        &self,
        head: &hyper::http::response::Parts,
        request_id: &hyper::header::HeaderValue,
    ) -> Verdict {
        if head.headers.get("x-id") != Some(request_id) {
            Verdict::Foreign
        } else if head.headers.contains_key("x-turned-away") {
            Verdict::TurnedAway
        } else if head.status.is_server_error() {
            Verdict::Failure
        } else {
            Verdict::Response
        }
    }

    fn refuse(&self, error: &ApiError) -> hyper::Response<Body> {
        topazyard_wire::http::error(error)
    }

    fn batch_call<'a>(
        &'a self,
        _: &'a topazyard_relay::front::Handle,
        _: Option<RouteName>,
        _: &'a hyper::http::request::Parts,
        _: bytes::Bytes,
    ) -> std::pin::Pin<Box<dyn Future<Output = hyper::Response<Body>> + Send + 'a>> {
        Box::pin(async { topazyard_wire::http::json(202, &"batch") })
    }

    fn is_batch_path(&self, _: &str) -> bool {
        false
    }

    fn is_ready_path(&self, _: &str) -> bool {
        false
    }
}

/// What the engine that is asked next does. `{id}` stands for the request's id.
#[derive(Clone)]
enum Then {
    /// Sends this and keeps the connection.
    Keep(String),
    /// Sends this and closes.
    Close(String),
    /// Sends this and resets the connection.
    Reset(String),
}

/// A request as an engine got it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Seen {
    engine: usize,
    /// The how manieth connection of all engines it came on.
    connection: usize,
    after: Option<u64>,
    body: String,
}

/// Asks for what comes next in the script.
type Script = tokio::sync::mpsc::UnboundedSender<tokio::sync::oneshot::Sender<Then>>;

/// Owns a script until nobody asks any more.
fn read_out(script: Vec<Then>) -> Script {
    let (sender, mut askings) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        for then in script {
            let Some(asking): Option<tokio::sync::oneshot::Sender<Then>> = askings.recv().await
            else {
                return;
            };
            let _ = asking.send(then);
        }
    });
    sender
}

struct Edge {
    relay: Address,
    saw: tokio::sync::mpsc::UnboundedReceiver<Seen>,
}

impl Edge {
    /// A relay that is ready, beside a stand-in agent and counter, with so many engines.
    async fn ready(engines: usize, script: impl IntoIterator<Item = Then>) -> Self {
        static LAST: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let script = read_out(script.into_iter().collect());
        let connections = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let (tell, saw) = tokio::sync::mpsc::unbounded_channel();
        let mut listed = Vec::new();
        for index in 0..engines {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
            // Connections are kept by an engine's name, for all relays of this process.
            let number = LAST.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let address = listener.local_addr().expect("its address");
            listed.push((EngineName(format!("e{number}")), address));
            let engine = Engine {
                index,
                name: format!("e{number}"),
                script: script.clone(),
                connections: connections.clone(),
                tell: tell.clone(),
            };
            tokio::spawn(engine.listen(listener));
        }
        let core = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let agent = core.local_addr().expect("its address");
        tokio::spawn(be_core(core, agent, listed));
        let (handle, begun) = spawn_relay(agent);
        let names: topazyard_relay::front::routed::Names = std::sync::Arc::new(Plain);
        let tasks = topazyard_relay::front::tasks::run(handle.clone(), begun, Some(names.clone()));
        tokio::spawn(tasks);
        let http = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let relay = http.local_addr().expect("its address");
        let asked = handle.clone();
        tokio::spawn(topazyard_wire::http::inward::serve(http, move |request| {
            topazyard_relay::front::routed::answer(handle.clone(), names.clone(), request)
        }));
        while !matches!(
            asked.call(topazyard_relay::RelayCall::Ready).await,
            Ok(topazyard_relay::RelayReturn::Noted)
        ) {
            tokio::task::yield_now().await;
        }
        Self { relay, saw }
    }

    /// Sends a request and reads until the relay closes.
    async fn ask(&self, path: &str, id: &str) -> Got {
        self.ask_more(path, id, "").await
    }

    async fn ask_more(&self, path: &str, id: &str, more: &str) -> Got {
        let mut client = tokio::net::TcpStream::connect(self.relay).await.expect("it listens");
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\nx-id: {id}\r\n\
             x-wait: 5000\r\n{more}content-length: 3\r\n\r\n{id:0>3}"
        );
        client.write_all(request.as_bytes()).await.expect("the relay takes it");
        let mut got = Vec::new();
        // A connection that breaks ends the reading too.
        let _ = client.read_to_end(&mut got).await;
        Got(String::from_utf8(got).expect("text"))
    }

    /// All that engines got so far.
    fn ran(&mut self) -> Vec<Seen> {
        std::iter::from_fn(|| self.saw.try_recv().ok()).collect()
    }
}

/// What a client got.
#[derive(Debug)]
struct Got(String);

impl Got {
    fn status(&self) -> &str {
        self.0.split(' ').nth(1).unwrap_or("")
    }

    fn body(&self) -> &str {
        self.0.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }

    /// What its chunks hold, and whether the last one is there.
    fn chunks(&self) -> (String, bool) {
        let mut rest = self.body();
        let mut all = String::new();
        while let Some((size, after)) = rest.split_once("\r\n") {
            let size = usize::from_str_radix(size, 16).expect("a chunk's size");
            if size == 0 {
                return (all, after == "\r\n");
            }
            let piece = after.get(..size).unwrap_or(after);
            all.push_str(piece);
            rest = after.get(size + 2..).unwrap_or("");
        }
        (all, false)
    }

    /// A final answer that says whether the request may have run.
    fn refused(&self, status: &str, ran: Ran) {
        assert_eq!(self.status(), status, "{}", self.0);
        let error: ApiError = serde_json::from_str(self.body()).expect("an error");
        assert_eq!(error.ran, ran, "{}", self.0);
    }
}

/// An engine.
#[derive(Clone)]
struct Engine {
    index: usize,
    name: String,
    script: Script,
    connections: std::sync::Arc<std::sync::atomic::AtomicUsize>,
    tell: tokio::sync::mpsc::UnboundedSender<Seen>,
}

impl Engine {
    async fn listen(self, listener: tokio::net::TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let number = self.connections.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            tokio::spawn(self.clone().serve(stream, number));
        }
    }

    async fn serve(self, mut stream: tokio::net::TcpStream, connection: usize) {
        let mut read = Vec::new();
        loop {
            let (end, length) = loop {
                if let Some((end, length)) = head_of(&read)
                    && read.len() >= end + length
                {
                    break (end, length);
                }
                match stream.read_buf(&mut read).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                }
            };
            let request: Vec<u8> = read.drain(..end + length).collect();
            let head = String::from_utf8_lossy(&request[..end]).into_owned();
            assert_eq!(value(&head, "x-to"), Some(self.name.as_str()), "it is meant");
            let (asking, next) = tokio::sync::oneshot::channel();
            let _ = self.script.send(asking);
            let next = next.await.ok();
            let ran = Seen {
                engine: self.index,
                connection,
                after: value(&head, "x-after").and_then(|after| after.parse().ok()),
                body: String::from_utf8_lossy(&request[end..]).into_owned(),
            };
            let _ = self.tell.send(ran);
            let Some(next) = next else { return };
            let (Then::Keep(text) | Then::Close(text) | Then::Reset(text)) = &next;
            let text = text.replace("{id}", value(&head, "x-id").unwrap_or(""));
            let _ = stream.write_all(text.as_bytes()).await;
            match next {
                Then::Keep(_) => {}
                Then::Close(_) => return,
                Then::Reset(_) => {
                    let _ = stream.set_zero_linger();
                    return;
                }
            }
        }
    }
}

fn value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

fn head_of(request: &[u8]) -> Option<(usize, usize)> {
    let text = std::str::from_utf8(request).ok()?;
    let end = text.find("\r\n\r\n")? + 4;
    let length = value(&text[..end], "content-length").and_then(|length| length.parse().ok());
    Some((end, length.unwrap_or(0)))
}

/// The agent beside the relay, and the counter's primary, which grants all.
async fn be_core(
    listener: tokio::net::TcpListener,
    address: Address,
    engines: Vec<(EngineName, Address)>,
) {
    let (sender, mut frames) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(topazyard_wire::link::inward::listen(listener, FLEET, move |frame| {
        let _ = sender.send(frame);
    }));
    let mut links = topazyard_wire::link::Links::default();
    while let Some(frame) = frames.recv().await {
        let Frame { address: to, message, .. } = frame;
        let message = match message {
            Message::Feed(FeedMessage::Ask { nonce, .. }) => {
                let place = Place { epoch: Epoch(1), sequence: Sequence(1) };
                let matter = Matter::View(rows(address, &engines));
                Message::Feed(FeedMessage::News { nonce, place, matter })
            }
            Message::Counter(CounterMessage { epoch, body }) => {
                let body = match body {
                    CounterBody::Add(hold) => CounterBody::Added { id: hold.id, granted: true },
                    CounterBody::Renew { number, .. } => CounterBody::Renewed { number },
                    _ => continue,
                };
                Message::Counter(CounterMessage { epoch, body })
            }
            _ => continue,
        };
        let frame =
            Frame { version: FRAME_VERSION, fleet: FLEET, sender: NodeId(1), address, message };
        links.send(to, frame.encode());
    }
}

fn rows(core: Address, engines: &[(EngineName, Address)]) -> Vec<(String, bytes::Bytes)> {
    use topazyard_wire::rows::encode;
    let text = r#"{"pools":[{"name":"main","limit_tokens":100000}]}"#.to_owned();
    let in_force = InForceRow { version: SpecVersion(1), text };
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
    ];
    for (name, kind, most) in [
        ("safe", "safe", 3),
        ("unsafe", "unsafe", 3),
        ("stream", "streaming", 3),
        ("resumable", "streaming", 2),
    ] {
        let text = format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","kind":"{kind}",
            "timeout_ms":10000,"target_latency_ms":4000,"max_attempts":{most},
            "resumable":{},"pools":[{{"pool":"main","weight":1}}]}}"#,
            name == "resumable"
        );
        let route: topazyard_spec::Route = serde_json::from_str(&text).expect("a route");
        rows.push((route_key(&route.name), encode(&route)));
    }
    for (name, address) in engines {
        let engine = topazyard_spec::Engine {
            name: name.clone(),
            address: *address,
            pool: "main".into(),
            models: Vec::new(),
            state: topazyard_spec::EngineState::Ready,
            domain: None,
            slots: 0,
        };
        rows.push((engine_key(name), encode(&engine)));
    }
    rows
}

fn whole(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nx-id: {{id}}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const STREAM_END: &str = "0\r\n\r\n";
const TURNED_AWAY: &str =
    "HTTP/1.1 503 X\r\nx-id: {id}\r\nx-turned-away: 1\r\ncontent-length: 0\r\n\r\n";

fn event(id: u64) -> String {
    format!("id: {id}\ndata: word {id}\n\n")
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

/// A stream's head and these events, each in a chunk of its own, without an end.
fn stream(ids: std::ops::RangeInclusive<u64>) -> String {
    let chunk = |id| format!("{:x}\r\n{}\r\n", event(id).len(), event(id));
    STREAM_HEAD.to_owned() + &ids.map(chunk).collect::<String>()
}

// Else a client of any stream gets less than its engine sent, or waits for more.
#[test]
fn a_whole_stream_is_passed_on_whole() {
    runtime().block_on(async {
        for path in ["/stream/1", "/resumable/1"] {
            let mut edge = Edge::ready(2, [Then::Keep(stream(1..=5) + STREAM_END)]).await;
            let got = edge.ask(path, "a").await;
            assert_eq!(got.status(), "200", "{got:?}");
            assert_eq!(got.chunks(), (events(1..=5), true));
            let ran = edge.ran();
            assert_eq!((ran.len(), ran[0].body.as_str()), (1, "00a"));
        }
    });
}

// Else a client loses events, or gets some twice, whenever an engine dies under its stream.
#[test]
fn a_resumable_stream_cut_anywhere_goes_on_after_the_right_event() {
    runtime().block_on(async {
        let half = "11\r\nid: 3\ndata: half\n\r\n";
        for cut in [
            Then::Close(stream(1..=2)),
            Then::Close(stream(1..=2) + half),
            // A stream that ends in order, but within an event, was cut by its engine.
            Then::Close(stream(1..=2) + half + STREAM_END),
        ] {
            let rest = Then::Keep(stream(3..=5) + STREAM_END);
            let mut edge = Edge::ready(3, [cut, rest]).await;
            let got = edge.ask("/resumable/1", "a").await;
            assert_eq!(got.chunks(), (events(1..=5), true), "{got:?}");
            let ran = edge.ran();
            assert_eq!(ran.iter().map(|ran| ran.after).collect::<Vec<_>>(), [None, Some(2)]);
            assert_ne!(ran[0].engine, ran[1].engine, "another engine");
            assert_eq!(ran[0].body, ran[1].body);
        }
    });
}

// Else a client that takes a stream up itself gets it from the beginning.
#[test]
fn a_client_that_takes_a_stream_up_gets_what_comes_after_its_last_event() {
    runtime().block_on(async {
        let script = [Then::Close(stream(5..=6)), Then::Keep(stream(7..=8) + STREAM_END)];
        let mut edge = Edge::ready(3, script).await;
        let got = edge.ask_more("/resumable/1", "a", "x-after: 4\r\n").await;
        assert_eq!(got.chunks(), (events(5..=8), true), "{got:?}");
        let after: Vec<_> = edge.ran().iter().map(|ran| ran.after).collect();
        assert_eq!(after, [Some(4), Some(6)]);
    });
}

// Else a client gets a text with a gap or a repeated part, and takes it for whole.
#[test]
fn a_stream_that_goes_on_with_a_wrong_event_is_cut() {
    runtime().block_on(async {
        for wrong in [1..=5, 2..=5, 4..=5] {
            let script = [Then::Close(stream(1..=2)), Then::Keep(stream(wrong) + STREAM_END)];
            let mut edge = Edge::ready(3, script).await;
            let got = edge.ask("/resumable/1", "a").await;
            assert_eq!(got.chunks(), (events(1..=2), false), "{got:?}");
            assert_eq!(edge.ran().len(), 2, "two tries are all that its route allows");
        }
    });
}

// Else a stream that may not run twice does, or a client takes a part for the whole.
#[test]
fn a_stream_that_is_not_resumable_breaks_its_clients_connection_when_cut() {
    runtime().block_on(async {
        let mut edge = Edge::ready(3, [Then::Close(stream(1..=3))]).await;
        let got = edge.ask("/stream/1", "a").await;
        assert_eq!(got.status(), "200");
        assert_eq!(got.chunks(), (events(1..=3), false), "what came before is passed on");
        assert_eq!(edge.ran().len(), 1);
    });
}

// Else a client gets what belongs to another: the worst that can happen.
#[test]
fn a_response_to_another_request_is_never_given_to_a_client() {
    runtime().block_on(async {
        let foreign = || Then::Keep(whole("secret").replace("{id}", "b"));
        for path in ["/unsafe/1", "/stream/1"] {
            let mut edge = Edge::ready(3, [foreign(), Then::Keep(whole("own"))]).await;
            let got = edge.ask(path, "a").await;
            assert!(!got.0.contains("secret"), "{got:?}");
            got.refused("502", Ran::MayHaveRun);
            assert_eq!(edge.ran().len(), 1, "it may have run");
        }
        let mut edge = Edge::ready(3, [foreign(), Then::Keep(whole("own"))]).await;
        let got = edge.ask("/safe/1", "a").await;
        assert_eq!((got.status(), got.body()), ("200", "own"), "{got:?}");
        // The connection on which it came is not used again, whatever else may still come there.
        let ran = edge.ran();
        assert_ne!(ran[0].connection, ran[1].connection);
        // Midway in a stream it is the same.
        let script = [Then::Close(stream(1..=2)), Then::Keep(stream(3..=5).replace("{id}", "b"))];
        let edge = Edge::ready(3, script).await;
        let got = edge.ask("/resumable/1", "a").await;
        assert_eq!(got.chunks(), (events(1..=2), false), "{got:?}");
    });
}

// Else a full engine costs the client its request; or a refusal leaves it in doubt.
#[test]
fn a_request_turned_away_goes_to_other_engines_and_is_then_said_not_to_have_run() {
    runtime().block_on(async {
        let away = || Then::Keep(TURNED_AWAY.to_owned());
        for path in ["/safe/1", "/unsafe/1", "/stream/1"] {
            let mut edge = Edge::ready(5, [away(), away(), Then::Keep(whole("own"))]).await;
            let got = edge.ask(path, "a").await;
            assert!(got.status() == "200" && got.0.contains("own"), "{got:?}");
            let engines: std::collections::BTreeSet<usize> =
                edge.ran().iter().map(|ran| ran.engine).collect();
            assert_eq!(engines.len(), 3, "each another one");
            let mut edge = Edge::ready(5, [away(), away(), away(), away()]).await;
            edge.ask(path, "a").await.refused("503", Ran::NotRun);
            assert_eq!(edge.ran().len(), 3, "its route allows three");
        }
    });
}

// Else a client sends again what has run already.
#[test]
fn a_request_that_may_have_run_and_must_not_twice_is_not_said_to_be_repeatable() {
    runtime().block_on(async {
        let cut = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 20\r\n\r\nhalf";
        for then in [
            Then::Close(String::new()),
            Then::Reset(String::new()),
            Then::Close("HTTP/1.1 200 OK\r\nx-i".to_owned()),
            Then::Close(cut.to_owned()),
            Then::Close("no HTTP at all\r\n\r\n".to_owned()),
        ] {
            let mut edge = Edge::ready(3, [then.clone(), Then::Keep(whole("own"))]).await;
            edge.ask("/unsafe/1", "a").await.refused("502", Ran::MayHaveRun);
            assert_eq!(edge.ran().len(), 1);
            // One that may be repeated is, and its client doesn't notice.
            let mut edge = Edge::ready(3, [then, Then::Keep(whole("own"))]).await;
            let got = edge.ask("/safe/1", "a").await;
            assert_eq!((got.status(), got.body()), ("200", "own"), "{got:?}");
            assert_eq!(edge.ran().len(), 2);
        }
        // Turned away first and lost then: that it did not run at the first says nothing.
        let script = [Then::Keep(TURNED_AWAY.to_owned()), Then::Close(String::new())];
        let edge = Edge::ready(3, script).await;
        edge.ask("/unsafe/1", "a").await.refused("502", Ran::MayHaveRun);
    });
}

// Else each request pays for a connection, and engines run out of them.
#[test]
fn a_connection_is_kept_and_used_again() {
    runtime().block_on(async {
        let script = [
            Then::Keep(whole("1")),
            Then::Keep(stream(1..=2) + STREAM_END),
            Then::Keep(TURNED_AWAY.to_owned()),
            Then::Keep(whole("4")),
        ];
        let mut edge = Edge::ready(1, script).await;
        assert_eq!(edge.ask("/safe/1", "a").await.body(), "1");
        assert!(edge.ask("/stream/1", "b").await.chunks().1);
        edge.ask("/safe/1", "c").await.refused("503", Ran::NotRun);
        assert_eq!(edge.ask("/unsafe/1", "d").await.body(), "4");
        let connections: Vec<usize> = edge.ran().iter().map(|ran| ran.connection).collect();
        assert_eq!(connections, [0; 4]);
    });
}

// Else a request meets a connection that its engine is about to close, and is lost.
#[test]
fn a_connection_that_an_engine_says_it_closes_is_not_used_again() {
    runtime().block_on(async {
        let closes = |text: String| text.replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
        // The engine says so and waits for the other side to close.
        let script = [Then::Keep(closes(whole("1"))), Then::Keep(whole("2"))];
        let mut edge = Edge::ready(1, script).await;
        assert_eq!(edge.ask("/unsafe/1", "a").await.body(), "1");
        assert_eq!(edge.ask("/unsafe/1", "b").await.body(), "2");
        let connections: Vec<usize> = edge.ran().iter().map(|ran| ran.connection).collect();
        assert_eq!(connections, [0, 1]);
    });
}
