//! A relay on routes and its engines in one process over loopback, in whatever names an outer
//! adapter has: engines do what a script says, and tell what they got.
//!
//! Engines share one script: whichever is asked next does what comes next in it.

mod core;

use self::core::{FLEET, HOST, ShardStub, run_core};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use topazyard_relay::front::routed::SharedAdapter;
use topazyard_types::{DurationMs, EngineName, NodeId};
use topazyard_wire::api::{ApiError, Execution};
use topazyard_wire::http::inbound;
use topazyard_wire::message::batch::RunEnd;

type Address = std::net::SocketAddr;

/// How long a relay here may take to end.
pub const GRACE: DurationMs = DurationMs(1_600);

/// One runtime for all tests, as in those of the own interface. One thread, as each thread keeps
/// its own connections to engines.
pub fn runtime() -> &'static tokio::runtime::Runtime {
    topazyard_wire::invariants::panic_on_violation(true);
    static RUNTIME: std::sync::OnceLock<tokio::runtime::Runtime> = std::sync::OnceLock::new();
    RUNTIME.get_or_init(|| {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(1).enable_all().build().expect("a runtime")
    })
}

/// A relay's machine and links, on a port that is free.
fn spawn_relay(
    agent: Address,
) -> (topazyard_relay::front::Handle, tokio::sync::mpsc::Receiver<topazyard_relay::RelayTask>) {
    let bounds = topazyard_spec::Bounds { grace: GRACE, ..Default::default() };
    let address = stand_ins::loopback::free_address();
    let start = topazyard_relay::Start { node: NodeId(9), agent, bounds };
    let place = topazyard_wire::driver::NodeIdentity { fleet: FLEET, node: NodeId(9), address };
    let (tasks, begun) = tokio::sync::mpsc::channel(64);
    let make = move |_| (topazyard_relay::RelayMachine::new(&start), Vec::new());
    let handle = topazyard_wire::driver::spawn(make, place, None, tasks).expect("a relay");
    (handle, begun)
}

/// An outer adapter, and the headers of requests that engines and clients need to know.
#[derive(Clone)]
pub struct TestAdapter {
    pub adapter: SharedAdapter,
    /// The header with a request's id.
    pub id_header: &'static str,
    /// The header with the engine that is meant.
    pub engine_header: &'static str,
    /// The header with the last event that is there already.
    pub last_event_header: &'static str,
}

/// What the engine that is asked next does. `{id}` stands for the request's id.
#[derive(Clone)]
pub enum EngineAction {
    /// Sends this and keeps the connection.
    KeepAlive(String),
    /// Sends this and closes.
    Close(String),
    /// Sends this and resets the connection.
    Reset(String),
    /// Sends this, and resets the connection when the next request arrives, without reading it.
    ResetOnNextRequest(String),
    /// Sends this and says nothing more until the other side closes.
    Hang(String),
}

/// A request as an engine got it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequest {
    pub engine: usize,
    /// The how manieth connection of all engines it came on.
    pub connection: usize,
    pub id: String,
    pub last_event: Option<u64>,
    pub body: String,
}

/// Asks for what comes next in the script.
type Script = tokio::sync::mpsc::UnboundedSender<tokio::sync::oneshot::Sender<EngineAction>>;

/// Owns a script until nobody asks any more.
fn read_out(script: Vec<EngineAction>) -> Script {
    let (sender, mut askings) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        for then in script {
            let Some(asking): Option<tokio::sync::oneshot::Sender<EngineAction>> =
                askings.recv().await
            else {
                return;
            };
            let _ = asking.send(then);
        }
    });
    sender
}

/// A relay with its engines.
pub struct TestRelay {
    adapter: TestAdapter,
    handle: topazyard_relay::front::Handle,
    relay: Address,
    saw: tokio::sync::mpsc::UnboundedReceiver<EngineRequest>,
    stage: tokio::sync::watch::Sender<inbound::Stage>,
    items: tokio::sync::mpsc::UnboundedSender<String>,
    ended: tokio::sync::mpsc::UnboundedReceiver<RunEnd>,
}

impl TestRelay {
    /// A relay that is ready, beside a stand-in agent and counter, with so many engines.
    pub async fn ready(
        adapter: TestAdapter,
        engines: usize,
        script: impl IntoIterator<Item = EngineAction>,
    ) -> Self {
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
                adapter: adapter.clone(),
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
        let (items, submitted) = tokio::sync::mpsc::unbounded_channel();
        let (run_ends, ended) = tokio::sync::mpsc::unbounded_channel();
        let shard = ShardStub { submitted, run_ends, last_lease: 0 };
        tokio::spawn(run_core(core, agent, listed, shard));
        let (handle, begun) = spawn_relay(agent);
        let names = adapter.adapter.clone();
        let tasks = topazyard_relay::front::tasks::run(handle.clone(), begun, Some(names.clone()));
        tokio::spawn(tasks);
        let http = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let relay = http.local_addr().expect("its address");
        let asked = handle.clone();
        let (stage, drain) = tokio::sync::watch::channel(inbound::Stage::Serving);
        let told = drain.clone();
        let answer = move |request| {
            let (handle, names, told) = (handle.clone(), names.clone(), told.clone());
            topazyard_relay::front::routed::serve_request(handle, names, told, request)
        };
        tokio::spawn(inbound::serve_draining(http, answer, drain));
        while !matches!(
            asked.call(topazyard_relay::RelayCall::Ready).await,
            Ok(topazyard_relay::RelayResponse::Done)
        ) {
            tokio::task::yield_now().await;
        }
        Self { adapter, handle: asked, relay, saw, stage, items, ended }
    }

    /// Sends a request and reads until the relay closes.
    pub async fn send(&self, path: &str, id: &str) -> ReceivedResponse {
        self.send_with_headers(path, id, "").await
    }

    /// The same with more headers.
    pub async fn send_with_headers(&self, path: &str, id: &str, more: &str) -> ReceivedResponse {
        let request = self.request(path, id, &format!("connection: close\r\n{more}"));
        let mut client = self.connect().await;
        client.write_all(request.as_bytes()).await.expect("the relay takes it");
        read_all(&mut client).await
    }

    /// A request as a client writes it; its body is its id, in three letters.
    pub fn request(&self, path: &str, id: &str, more: &str) -> String {
        let id_header = self.adapter.id_header;
        format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\n{id_header}: {id}\r\n\
             {more}content-length: 3\r\n\r\n{id:0>3}"
        )
    }

    /// A client's connection.
    pub async fn connect(&self) -> tokio::net::TcpStream {
        tokio::net::TcpStream::connect(self.relay).await.expect("it listens")
    }

    /// Hands in an item under that id, and waits for the end of its run.
    pub async fn run_item(&mut self, id: &str) -> RunEnd {
        self.submit_item(id);
        self.next_run_end().await
    }

    /// Hands in an item under that id.
    pub fn submit_item(&self, id: &str) {
        self.items.send(id.to_owned()).expect("the shard outlives the relay");
    }

    /// The end of a run as its shard is told.
    pub async fn next_run_end(&mut self) -> RunEnd {
        self.ended.recv().await.expect("the shard outlives the relay")
    }

    /// The relay was told to end.
    pub async fn drain(&self) {
        let times = topazyard_relay::drain::DrainTimes::within(GRACE, DurationMs(0));
        let told = topazyard_relay::RelayCall::Drain(times);
        self.handle.call(told).await.expect("it runs");
    }

    /// The relay is about to end: it takes nothing new and answers what it has read.
    pub fn start_ending(&self) {
        self.stage.send(inbound::Stage::Ending).expect("it serves");
    }

    /// All that engines got so far.
    pub fn engine_requests(&mut self) -> Vec<EngineRequest> {
        std::iter::from_fn(|| self.saw.try_recv().ok()).collect()
    }

    /// The next that an engine gets.
    pub async fn next_engine_request(&mut self) -> EngineRequest {
        self.saw.recv().await.expect("engines outlive the relay")
    }
}

/// Reads until the relay closes; a connection that breaks ends the reading too.
pub async fn read_all(client: &mut tokio::net::TcpStream) -> ReceivedResponse {
    let mut got = Vec::new();
    let _ = client.read_to_end(&mut got).await;
    ReceivedResponse(String::from_utf8(got).expect("text"))
}

/// What a client got.
#[derive(Debug)]
pub struct ReceivedResponse(pub String);

impl ReceivedResponse {
    /// Its status.
    pub fn status(&self) -> &str {
        self.0.split(' ').nth(1).unwrap_or("")
    }

    /// Its body.
    pub fn body(&self) -> &str {
        self.0.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }

    /// What its chunks hold, and whether the last one is there.
    pub fn chunks(&self) -> (String, bool) {
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
    pub fn assert_refused(&self, status: &str, ran: Execution) {
        assert_eq!(self.status(), status, "{}", self.0);
        let error: ApiError = serde_json::from_str(self.body()).expect("an error");
        assert_eq!(error.ran, ran, "{}", self.0);
    }
}

/// An engine.
#[derive(Clone)]
struct Engine {
    adapter: TestAdapter,
    index: usize,
    name: String,
    script: Script,
    connections: std::sync::Arc<std::sync::atomic::AtomicUsize>,
    tell: tokio::sync::mpsc::UnboundedSender<EngineRequest>,
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
            let said = |name| value(&head, name).unwrap_or("");
            assert_eq!(said(self.adapter.engine_header), self.name, "it is meant");
            let (asking, next) = tokio::sync::oneshot::channel();
            let _ = self.script.send(asking);
            let next = next.await.ok();
            let ran = EngineRequest {
                engine: self.index,
                connection,
                id: said(self.adapter.id_header).to_owned(),
                last_event: said(self.adapter.last_event_header).parse().ok(),
                body: String::from_utf8_lossy(&request[end..]).into_owned(),
            };
            let _ = self.tell.send(ran);
            let Some(next) = next else { return };
            let (EngineAction::KeepAlive(text)
            | EngineAction::Close(text)
            | EngineAction::Reset(text)
            | EngineAction::ResetOnNextRequest(text)
            | EngineAction::Hang(text)) = &next;
            let text = text.replace("{id}", said(self.adapter.id_header));
            let _ = stream.write_all(text.as_bytes()).await;
            match next {
                EngineAction::KeepAlive(_) => {}
                EngineAction::Close(_) => return,
                EngineAction::Reset(_) => {
                    let _ = stream.set_zero_linger();
                    return;
                }
                EngineAction::ResetOnNextRequest(_) => {
                    let _ = stream.readable().await;
                    let _ = stream.set_zero_linger();
                    return;
                }
                EngineAction::Hang(_) => {
                    let _ = stream.read_to_end(&mut Vec::new()).await;
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
