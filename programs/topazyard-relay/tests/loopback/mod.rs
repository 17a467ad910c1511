//! A relay on routes and its engines in one process over loopback, for any outer adapter. Engines
//! act by a script and report the requests that they receive.
//!
//! Engines share one script: the engine that receives the next request performs the next action.

mod core;

use self::core::{DEFAULT_CLIENT_LIMITS, FLEET, HOST, ShardStub, run_core};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use topazyard_relay::front::routed::SharedAdapter;
use topazyard_types::{DurationMs, EngineName, NodeId};
use topazyard_wire::api::{ApiError, Execution};
use topazyard_wire::http::inbound;
use topazyard_wire::message::batch::RunEnd;

type Address = std::net::SocketAddr;

/// The grace period of the relays in these tests.
pub const GRACE: DurationMs = DurationMs(1_600);

/// One runtime for all tests: a relay's machine runs on its own thread, and ends the process if the
/// runtime that it uses shuts down. One thread, since each thread has its own connection pool.
pub fn runtime() -> &'static tokio::runtime::Runtime {
    topazyard_wire::invariants::panic_on_violation(true);
    static RUNTIME: std::sync::OnceLock<tokio::runtime::Runtime> = std::sync::OnceLock::new();
    RUNTIME.get_or_init(|| {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(1).enable_all().build().expect("a runtime")
    })
}

/// Starts a relay's machine and links on a free port.
fn spawn_relay(
    agent: Address,
) -> (topazyard_relay::front::Handle, tokio::sync::mpsc::Receiver<topazyard_relay::RelayTask>) {
    let bounds = topazyard_spec::Bounds { grace: GRACE, ..Default::default() };
    let address = stand_ins::loopback::free_address();
    let start = topazyard_relay::Start { node: NodeId(9), agent, bounds };
    let identity = topazyard_wire::driver::NodeIdentity { fleet: FLEET, node: NodeId(9), address };
    let (tasks, task_queue) = tokio::sync::mpsc::channel(64);
    let new_machine = move |_| (topazyard_relay::RelayMachine::new(&start), Vec::new());
    let handle =
        topazyard_wire::driver::spawn(new_machine, identity, None, tasks).expect("a relay");
    (handle, task_queue)
}

/// An outer adapter, and the request headers that engines and clients use.
#[derive(Clone)]
pub struct TestAdapter {
    pub adapter: SharedAdapter,
    /// The header with the request id.
    pub id_header: &'static str,
    /// The header with the target engine.
    pub engine_header: &'static str,
    /// The header with the last event already received.
    pub last_event_header: &'static str,
}

/// What an engine does with a request. `{id}` stands for the request's id.
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
    /// Sends this and then nothing more until the other side closes.
    Hang(String),
}

/// A request as received by an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequest {
    pub engine: usize,
    /// Number of the connection, counted over all engines.
    pub connection: usize,
    pub id: String,
    pub last_event: Option<u64>,
    pub body: String,
}

/// Requests the next action of the script.
type Script = tokio::sync::mpsc::UnboundedSender<tokio::sync::oneshot::Sender<EngineAction>>;

/// Hands out a script's actions until no more are requested.
fn run_script(script: Vec<EngineAction>) -> Script {
    let (sender, mut requests) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        for action in script {
            let Some(reply): Option<tokio::sync::oneshot::Sender<EngineAction>> =
                requests.recv().await
            else {
                return;
            };
            let _ = reply.send(action);
        }
    });
    sender
}

/// A relay with its engines.
pub struct TestRelay {
    adapter: TestAdapter,
    handle: topazyard_relay::front::Handle,
    address: Address,
    requests: tokio::sync::mpsc::UnboundedReceiver<EngineRequest>,
    stage: tokio::sync::watch::Sender<inbound::Stage>,
    item_sender: tokio::sync::mpsc::UnboundedSender<String>,
    ended_runs: tokio::sync::mpsc::UnboundedReceiver<RunEnd>,
}

impl TestRelay {
    /// A ready relay with a stand-in agent and counter and this number of engines.
    pub async fn ready(
        adapter: TestAdapter,
        engines: usize,
        script: impl IntoIterator<Item = EngineAction>,
    ) -> Self {
        static LAST_ENGINE: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let script = run_script(script.into_iter().collect());
        let connections = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let (request_sender, requests) = tokio::sync::mpsc::unbounded_channel();
        let mut engine_addresses = Vec::new();
        for index in 0..engines {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
            // The connection pool is shared by all relays of this process and keyed by engine name.
            let number = LAST_ENGINE.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let address = listener.local_addr().expect("its address");
            engine_addresses.push((EngineName(format!("e{number}")), address));
            let engine = EngineStub {
                adapter: adapter.clone(),
                index,
                name: format!("e{number}"),
                script: script.clone(),
                connections: connections.clone(),
                request_sender: request_sender.clone(),
            };
            tokio::spawn(engine.listen(listener));
        }
        let core = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let agent = core.local_addr().expect("its address");
        let (item_sender, submitted) = tokio::sync::mpsc::unbounded_channel();
        let (run_ends, ended_runs) = tokio::sync::mpsc::unbounded_channel();
        let shard = ShardStub { submitted, run_ends, last_lease: 0 };
        tokio::spawn(run_core(core, agent, engine_addresses, shard, DEFAULT_CLIENT_LIMITS));
        let (handle, task_queue) = spawn_relay(agent);
        let http_adapter = adapter.adapter.clone();
        let (client_limits, limits) = tokio::sync::watch::channel(Default::default());
        let tasks = topazyard_relay::front::tasks::run(
            handle.clone(),
            task_queue,
            Some(http_adapter.clone()),
            client_limits,
        );
        tokio::spawn(tasks);
        let http = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = http.local_addr().expect("its address");
        let machine = handle.clone();
        let (stage, drain) = tokio::sync::watch::channel(inbound::Stage::Serving);
        let stage_updates = drain.clone();
        let respond = move |request| {
            let (handle, http_adapter, stage_updates) =
                (handle.clone(), http_adapter.clone(), stage_updates.clone());
            topazyard_relay::front::routed::serve_request(
                handle,
                http_adapter,
                stage_updates,
                request,
            )
        };
        let callers = topazyard_wire::http::server_limits::Callers::Clients;
        let options = inbound::ServerOptions { callers, limits, drain };
        tokio::spawn(inbound::serve_with(http, respond, options));
        while !matches!(
            machine.call(topazyard_relay::RelayCall::Ready).await,
            Ok(topazyard_relay::RelayResponse::Done)
        ) {
            tokio::task::yield_now().await;
        }
        Self { adapter, handle: machine, address, requests, stage, item_sender, ended_runs }
    }

    /// Sends a request and reads until the relay closes the connection.
    pub async fn send(&self, path: &str, id: &str) -> ReceivedResponse {
        self.send_with_headers(path, id, "").await
    }

    /// The same with additional headers.
    pub async fn send_with_headers(&self, path: &str, id: &str, headers: &str) -> ReceivedResponse {
        let request = self.request(path, id, &format!("connection: close\r\n{headers}"));
        let mut client = self.connect().await;
        client.write_all(request.as_bytes()).await.expect("the relay accepts the data");
        read_all(&mut client).await
    }

    /// A client's request; its body is its id, padded to three characters.
    pub fn request(&self, path: &str, id: &str, headers: &str) -> String {
        let id_header = self.adapter.id_header;
        format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\n{id_header}: {id}\r\n\
             {headers}content-length: 3\r\n\r\n{id:0>3}"
        )
    }

    /// Opens a client's connection.
    pub async fn connect(&self) -> tokio::net::TcpStream {
        tokio::net::TcpStream::connect(self.address).await.expect("the relay listens")
    }

    /// Submits an item with this id and waits for the end of its run.
    pub async fn run_item(&mut self, id: &str) -> RunEnd {
        self.submit_item(id);
        self.next_run_end().await
    }

    /// Submits an item with this id.
    pub fn submit_item(&self, id: &str) {
        self.item_sender.send(id.to_owned()).expect("the shard outlives the relay");
    }

    /// The next end of a run that is reported to the shard.
    pub async fn next_run_end(&mut self) -> RunEnd {
        self.ended_runs.recv().await.expect("the shard outlives the relay")
    }

    /// Starts a drain of the relay.
    pub async fn drain(&self) {
        let times = topazyard_relay::drain::DrainTimes::within(GRACE, DurationMs(0));
        let call = topazyard_relay::RelayCall::Drain(times);
        self.handle.call(call).await.expect("the machine runs");
    }

    /// Enters the drain's last serving stage: the relay accepts nothing new and responds to the
    /// requests that it has started to read.
    pub fn start_ending(&self) {
        self.stage.send(inbound::Stage::Ending).expect("the relay is serving");
    }

    /// All requests that engines received since the last call.
    pub fn engine_requests(&mut self) -> Vec<EngineRequest> {
        std::iter::from_fn(|| self.requests.try_recv().ok()).collect()
    }

    /// The next request that an engine receives.
    pub async fn next_engine_request(&mut self) -> EngineRequest {
        self.requests.recv().await.expect("engines outlive the relay")
    }
}

/// Reads until the relay closes the connection or the connection is lost.
pub async fn read_all(client: &mut tokio::net::TcpStream) -> ReceivedResponse {
    let mut received = Vec::new();
    let _ = client.read_to_end(&mut received).await;
    ReceivedResponse(String::from_utf8(received).expect("UTF-8 text"))
}

/// What a client received.
#[derive(Debug)]
pub struct ReceivedResponse(pub String);

impl ReceivedResponse {
    /// The status code.
    pub fn status(&self) -> &str {
        self.0.split(' ').nth(1).unwrap_or("")
    }

    /// The body.
    pub fn body(&self) -> &str {
        self.0.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }

    /// The data of its chunks, and whether the final chunk was received.
    pub fn chunks(&self) -> (String, bool) {
        let mut rest = self.body();
        let mut all = String::new();
        while let Some((size, after)) = rest.split_once("\r\n") {
            let size = usize::from_str_radix(size, 16).expect("a chunk's size");
            if size == 0 {
                return (all, after == "\r\n");
            }
            let chunk = after.get(..size).unwrap_or(after);
            all.push_str(chunk);
            rest = after.get(size + 2..).unwrap_or("");
        }
        (all, false)
    }

    /// Checks a refusal's status and its report of whether the request may have run.
    pub fn assert_refused(&self, status: &str, execution: Execution) {
        assert_eq!(self.status(), status, "{}", self.0);
        let error: ApiError = serde_json::from_str(self.body()).expect("an error");
        assert_eq!(error.ran, execution, "{}", self.0);
    }
}

/// An engine that acts by the script.
#[derive(Clone)]
struct EngineStub {
    adapter: TestAdapter,
    index: usize,
    name: String,
    script: Script,
    connections: std::sync::Arc<std::sync::atomic::AtomicUsize>,
    request_sender: tokio::sync::mpsc::UnboundedSender<EngineRequest>,
}

impl EngineStub {
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
                if let Some((end, length)) = parse_head(&read)
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
            let header = |name| header_value(&head, name).unwrap_or("");
            assert_eq!(
                header(self.adapter.engine_header),
                self.name,
                "the request is for this engine"
            );
            let (reply, next) = tokio::sync::oneshot::channel();
            let _ = self.script.send(reply);
            let next = next.await.ok();
            let request = EngineRequest {
                engine: self.index,
                connection,
                id: header(self.adapter.id_header).to_owned(),
                last_event: header(self.adapter.last_event_header).parse().ok(),
                body: String::from_utf8_lossy(&request[end..]).into_owned(),
            };
            let _ = self.request_sender.send(request);
            let Some(next) = next else { return };
            let (EngineAction::KeepAlive(text)
            | EngineAction::Close(text)
            | EngineAction::Reset(text)
            | EngineAction::ResetOnNextRequest(text)
            | EngineAction::Hang(text)) = &next;
            let text = text.replace("{id}", header(self.adapter.id_header));
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

fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

fn parse_head(request: &[u8]) -> Option<(usize, usize)> {
    let text = std::str::from_utf8(request).ok()?;
    let end = text.find("\r\n\r\n")? + 4;
    let length =
        header_value(&text[..end], "content-length").and_then(|length| length.parse().ok());
    Some((end, length.unwrap_or(0)))
}
