//! Graceful shutdown of a control process, over loopback: the calls it has read get a response.

use std::io::{Read as _, Write as _};
use topazyard_control::ExternalInterface;
use topazyard_control::external::Handle;
use topazyard_control::tuner::EngineLoad;
use topazyard_types::FleetId;
use topazyard_wire::http::{Body, json_text};

type Address = std::net::SocketAddr;

/// How long the test waits for any event.
const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(20);

/// Responds to a call when the test asks for it.
struct SlowInterface;

/// The calls that were read. Each gets its response when its sender is used.
type Reads = std::sync::mpsc::Sender<tokio::sync::oneshot::Sender<()>>;

static READS: std::sync::OnceLock<Reads> = std::sync::OnceLock::new();

impl ExternalInterface for SlowInterface {
    async fn respond(
        _: Handle,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<Body> {
        let (release, wait) = tokio::sync::oneshot::channel();
        READS.get().expect("it is initialized").send(release).expect("the test receives it");
        let _ = wait.await;
        json_text(200, request.uri().path().to_owned())
    }

    fn engine_list_interval(&self) -> Option<topazyard_types::DurationMs> {
        None
    }

    async fn list_engines(&mut self) -> Option<Vec<topazyard_spec::Engine>> {
        None
    }

    async fn fetch_loads(_: Vec<topazyard_spec::Engine>) -> Vec<EngineLoad> {
        Vec::new()
    }
}

fn settings(http: Address, folder: &std::path::Path) -> topazyard_spec::NodeSettings {
    topazyard_spec::NodeSettings {
        metrics: None,
        listen: None,
        name: None,
        fleet: FleetId(4),
        address: stand_ins::loopback::free_address(),
        http: Some(http),
        ready: None,
        zone: "north".into(),
        // Nobody listens there: the node stays alone and needs no replacement.
        seeds: vec![stand_ins::loopback::free_address()],
        data: Some(folder.to_owned()),
        beside: None,
        bounds: topazyard_spec::Bounds::default(),
        resources: topazyard_spec::Resources::default(),
        may_bootstrap: false,
        reread: topazyard_spec::Reread::by(|| None),
    }
}

fn connect(address: Address) -> std::net::TcpStream {
    let deadline = std::time::Instant::now() + TIMEOUT;
    loop {
        match std::net::TcpStream::connect(address) {
            Ok(stream) => {
                stream.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
                return stream;
            }
            Err(error) => assert!(std::time::Instant::now() < deadline, "{error}"),
        }
        std::thread::yield_now();
    }
}

fn wait_until_closed(address: Address) {
    let deadline = std::time::Instant::now() + TIMEOUT;
    while std::net::TcpStream::connect(address).is_ok() {
        assert!(std::time::Instant::now() < deadline, "it still accepts connections");
        std::thread::yield_now();
    }
}

/// The call is read before the process is told to stop, and its response takes longer than being
/// replaced: an operator's connection must not be cut off.
#[test]
fn call_that_was_read_gets_a_response_before_shutdown() {
    let (reads, read) = std::sync::mpsc::channel();
    READS.set(reads).expect("one test uses it");
    let folder = std::env::temp_dir().join(format!("topazyard-ending-{}", std::process::id()));
    let http = stand_ins::loopback::free_address();
    let settings = settings(http, &folder);
    let (terminate, terminated) = tokio::sync::oneshot::channel::<()>();
    let process = std::thread::spawn(move || {
        let terminated = async { drop(terminated.await) };
        topazyard_control::run::run_until(settings, SlowInterface, terminated)
    });

    let mut operator = connect(http);
    operator.write_all(b"GET /slow HTTP/1.1\r\nHost: c\r\n\r\n").expect("the request is sent");
    let release = read.recv_timeout(TIMEOUT).expect("the call is read");
    let mut idle = connect(http);
    terminate.send(()).expect("the process runs");
    // It accepts no more connections once it may stop.
    wait_until_closed(http);
    let _ = release.send(());
    let mut response = String::new();
    operator.read_to_string(&mut response).expect("a response, and a connection closed gracefully");
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert!(response.to_lowercase().contains("connection: close"), "{response}");
    assert!(response.ends_with("/slow"), "{response}");
    let mut idle_response = String::new();
    idle.read_to_string(&mut idle_response).expect("closed gracefully");
    assert_eq!(idle_response, "");
    process.join().expect("the thread ends").expect("a graceful shutdown");
    let _ = std::fs::remove_dir_all(&folder);
}
