//! A control process that ends in order, over loopback: what it has read is answered.

use std::io::{Read as _, Write as _};
use topazyard_control::ExternalInterface;
use topazyard_control::external::Handle;
use topazyard_control::tuner::EngineLoad;
use topazyard_types::FleetId;
use topazyard_wire::http::{Body, json_text};

type Address = std::net::SocketAddr;

/// How long the test waits for anything.
const PATIENCE: std::time::Duration = std::time::Duration::from_secs(20);

/// Answers a call once the test says so.
struct SlowOutside;

/// The calls that were read; each is answered when its sender is used.
type Reads = std::sync::mpsc::Sender<tokio::sync::oneshot::Sender<()>>;

static READS: std::sync::OnceLock<Reads> = std::sync::OnceLock::new();

impl ExternalInterface for SlowOutside {
    async fn respond(
        _: Handle,
        request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<Body> {
        let (let_go, wait) = tokio::sync::oneshot::channel();
        READS.get().expect("it is set").send(let_go).expect("the test waits for it");
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
        // Nobody listens there: the node stays alone and needs nobody to replace it.
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
    let until = std::time::Instant::now() + PATIENCE;
    loop {
        match std::net::TcpStream::connect(address) {
            Ok(stream) => {
                stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
                return stream;
            }
            Err(error) => assert!(std::time::Instant::now() < until, "{error}"),
        }
        std::thread::yield_now();
    }
}

fn wait_until_closed(address: Address) {
    let until = std::time::Instant::now() + PATIENCE;
    while std::net::TcpStream::connect(address).is_ok() {
        assert!(std::time::Instant::now() < until, "it still takes connections");
        std::thread::yield_now();
    }
}

/// The call was read before the process was told to end, and its answer takes longer than being
/// replaced: an operator must not see its connection break.
#[test]
fn a_call_that_was_read_is_answered_before_a_control_process_ends() {
    let (reads, read) = std::sync::mpsc::channel();
    READS.set(reads).expect("one test uses it");
    let folder = std::env::temp_dir().join(format!("topazyard-ending-{}", std::process::id()));
    let http = stand_ins::loopback::free_address();
    let settings = settings(http, &folder);
    let (terminate, terminated) = tokio::sync::oneshot::channel::<()>();
    let process = std::thread::spawn(move || {
        let told = async { drop(terminated.await) };
        topazyard_control::run::run_until(settings, SlowOutside, told)
    });

    let mut operator = connect(http);
    operator.write_all(b"GET /slow HTTP/1.1\r\nHost: c\r\n\r\n").expect("it is sent");
    let let_go = read.recv_timeout(PATIENCE).expect("it is read");
    let mut idle = connect(http);
    terminate.send(()).expect("it runs");
    // It takes nothing more once it may go.
    wait_until_closed(http);
    let _ = let_go.send(());
    let mut got = String::new();
    operator.read_to_string(&mut got).expect("an answer, and a connection closed in order");
    assert!(got.starts_with("HTTP/1.1 200"), "{got:?}");
    assert!(got.to_lowercase().contains("connection: close"), "{got}");
    assert!(got.ends_with("/slow"), "{got}");
    let mut nothing = String::new();
    idle.read_to_string(&mut nothing).expect("closed in order");
    assert_eq!(nothing, "");
    process.join().expect("it ends").expect("in order");
    let _ = std::fs::remove_dir_all(&folder);
}
