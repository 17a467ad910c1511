//! The metrics that a process serves, fetched over loopback.

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use topazyard_wire::metrics::{MetricSource, Writer, serve};

#[derive(Debug)]
struct Queue(u64);

impl MetricSource for Queue {
    fn write(&self, to: &mut Writer<'_>) -> std::fmt::Result {
        to.gauge("queue_requests", "Requests that wait", self.0)?;
        to.counters("queue_refused", "Requests refused, by code", "code", [("budget", 2)])?;
        to.counters::<&str>("queue_lost", "Requests lost, by code", "code", [])
    }
}

async fn fetch(from: std::net::SocketAddr, path: &str) -> String {
    let mut stream = tokio::net::TcpStream::connect(from).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

#[tokio::test]
async fn figures_are_asked_for_at_each_fetch() {
    let address = stand_ins::loopback::free_address();
    let asked = std::sync::Arc::new(std::sync::atomic::AtomicU64::new(0));
    let counted = asked.clone();
    let next = move || {
        let count = counted.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        async move { Some(Queue(10 + count)) }
    };
    serve(Some(address), next).await;
    assert_eq!(asked.load(std::sync::atomic::Ordering::Relaxed), 0);
    let first = fetch(address, "/metrics").await;
    assert!(first.starts_with("HTTP/1.1 200 OK\r\n"), "{first}");
    assert!(first.contains("content-type: application/openmetrics-text; version=1.0.0"));
    assert!(
        first.contains("\n# TYPE topazyard_queue_requests gauge\ntopazyard_queue_requests 10\n")
    );
    assert!(first.contains("\ntopazyard_queue_refused_total{code=\"budget\"} 2\n"));
    assert!(!first.contains("queue_lost"));
    assert!(first.contains("\nprocess_start_time_seconds 1"));
    assert!(first.ends_with("# EOF\n"));
    let second = fetch(address, "/metrics").await;
    assert!(second.contains("\ntopazyard_queue_requests 11\n"));
}

#[tokio::test]
async fn a_machine_that_gives_nothing_leaves_the_process_its_own_figures() {
    let address = stand_ins::loopback::free_address();
    serve(Some(address), || async { None::<Queue> }).await;
    let text = fetch(address, "/metrics").await;
    assert!(text.contains(
        "\ntopazyard_invariant_violations_total{invariant=\"epoch_has_one_record\"} 0\n"
    ));
    assert!(!text.contains("queue_requests"));
}

#[tokio::test]
async fn another_path_is_not_found() {
    let address = stand_ins::loopback::free_address();
    serve(Some(address), || async { Some(Queue(1)) }).await;
    assert!(fetch(address, "/").await.starts_with("HTTP/1.1 404 "));
}

#[tokio::test]
async fn an_address_that_is_taken_ends_nothing() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    serve(Some(taken.local_addr().unwrap()), || async { Some(Queue(1)) }).await;
}
