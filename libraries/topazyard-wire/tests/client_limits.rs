//! Limits on what clients hold: the account of memory, and the connections of a server.

use std::sync::Arc;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use topazyard_wire::http::inbound::{self, ServerOptions};
use topazyard_wire::http::memory::{Account, Purpose, Reservation};
use topazyard_wire::http::server_limits::Callers;
use topazyard_wire::http::{Body, body, full_body};

const ACCOUNT_BYTES: u64 = 8_000;

/// A step of a random use of an account.
#[derive(Debug, Clone, Copy, bolero::TypeGenerator)]
enum Step {
    Reserve { purpose: u8, bytes: u16 },
    Grow { index: u8, purpose: u8, bytes: u16 },
    Drop { index: u8 },
}

fn purpose(number: u8) -> Purpose {
    [Purpose::LargeBody, Purpose::SmallBody, Purpose::Response][usize::from(number) % 3]
}

#[test]
fn an_account_never_holds_more_than_its_limit_and_gets_everything_back() {
    static ACCOUNT: Account = Account::new(ACCOUNT_BYTES);
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut reservations: Vec<(Reservation, u64)> = Vec::new();
        for step in steps {
            match *step {
                Step::Reserve { purpose: number, bytes } => {
                    let reserved = ACCOUNT.reserve(purpose(number), u64::from(bytes));
                    reservations.extend(reserved.map(|reserved| (reserved, u64::from(bytes))));
                }
                Step::Grow { index, purpose: number, bytes } => {
                    let count = reservations.len().max(1);
                    let chosen = reservations.get_mut(usize::from(index) % count);
                    if let Some((reservation, reserved_bytes)) = chosen
                        && reservation.grow(purpose(number), u64::from(bytes))
                    {
                        *reserved_bytes += u64::from(bytes);
                    }
                }
                Step::Drop { index } if !reservations.is_empty() => {
                    let index = usize::from(index) % reservations.len();
                    drop(reservations.swap_remove(index));
                }
                Step::Drop { .. } => {}
            }
            let reserved_bytes: u64 = reservations.iter().map(|(_, bytes)| bytes).sum();
            assert_eq!(ACCOUNT.held_bytes(), reserved_bytes);
            assert!(reserved_bytes <= ACCOUNT_BYTES);
        }
        drop(reservations);
        assert_eq!(ACCOUNT.held_bytes(), 0);
    });
}

/// A server whose responses to `/wait` are sent once they are allowed.
async fn start_server(allow: Arc<tokio::sync::Semaphore>) -> std::net::SocketAddr {
    let listener = inbound::bind("127.0.0.1:0".parse().expect("an address")).await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("its address");
    let respond = move |request: hyper::Request<hyper::body::Incoming>| {
        let allow = allow.clone();
        async move { respond(request, &allow).await }
    };
    tokio::spawn(inbound::serve_with(listener, respond, ServerOptions::of(Callers::Probes)));
    address
}

async fn respond(
    request: hyper::Request<hyper::body::Incoming>,
    allow: &tokio::sync::Semaphore,
) -> hyper::Response<Body> {
    let (head, body) = request.into_parts();
    if head.uri.path() == "/wait" {
        allow.acquire().await.expect("it stays open").forget();
    }
    match body::read_body(&head, body, 1_000_000).await {
        Ok(body) => hyper::Response::new(full_body(body)),
        Err(error) => topazyard_wire::http::error(&error),
    }
}

async fn connect(address: std::net::SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("a connection")
}

async fn send(client: &mut TcpStream, path: &str) {
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    client.write_all(request.as_bytes()).await.expect("sent");
}

async fn read_all(mut client: TcpStream) -> String {
    let mut received = Vec::new();
    // A reset ends it too.
    let _ = client.read_to_end(&mut received).await;
    String::from_utf8_lossy(&received).into_owned()
}

/// More connections than a server for probes has.
const MANY_CONNECTIONS: usize = 40;

#[tokio::test]
async fn a_new_connection_replaces_the_longest_idle_and_not_one_in_use() {
    let allow = Arc::new(tokio::sync::Semaphore::new(0));
    let address = start_server(allow.clone()).await;
    let mut in_use = connect(address).await;
    send(&mut in_use, "/wait").await;
    // The server has read the request once it has answered a later one.
    let mut later = connect(address).await;
    send(&mut later, "/").await;
    assert!(read_all(later).await.starts_with("HTTP/1.1 200"));
    let mut idle = Vec::new();
    for _ in 0..MANY_CONNECTIONS {
        idle.push(connect(address).await);
    }
    let mut newest = connect(address).await;
    send(&mut newest, "/").await;
    assert!(read_all(newest).await.starts_with("HTTP/1.1 200"));
    let oldest = idle.swap_remove(0);
    assert_eq!(read_all(oldest).await, "");
    allow.add_permits(1);
    assert!(read_all(in_use).await.starts_with("HTTP/1.1 200"));
}

#[tokio::test]
async fn a_connection_that_is_replaced_in_the_midst_of_a_body_gets_its_refusal() {
    let address = start_server(Arc::new(tokio::sync::Semaphore::new(0))).await;
    let mut slow = connect(address).await;
    let open = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\nabc";
    slow.write_all(open.as_bytes()).await.expect("sent");
    let mut others = Vec::new();
    for _ in 0..MANY_CONNECTIONS {
        let mut other = connect(address).await;
        other.write_all(open.as_bytes()).await.expect("sent");
        others.push(other);
    }
    let received = read_all(slow).await;
    assert!(received.starts_with("HTTP/1.1 503"), "{received}");
    assert!(received.contains("\"not_run\""), "{received}");
}

#[tokio::test]
async fn a_body_is_charged_until_its_last_clone_is_dropped() {
    let (sender, mut received) = tokio::sync::mpsc::channel(1);
    let listener = inbound::bind("127.0.0.1:0".parse().expect("an address")).await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("its address");
    let respond = move |request: hyper::Request<hyper::body::Incoming>| {
        let sender = sender.clone();
        async move {
            let (head, body) = request.into_parts();
            let body = body::read_body(&head, body, 1_000_000).await.expect("a body");
            sender.send(body.slice(1..)).await.expect("received");
            hyper::Response::new(full_body("done"))
        }
    };
    tokio::spawn(inbound::serve(listener, respond));
    let mut client = connect(address).await;
    let head = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 500000\r\n\r\n";
    client.write_all(head.as_bytes()).await.expect("sent");
    client.write_all(&[b'x'; 500_000]).await.expect("sent");
    assert!(read_all(client).await.ends_with("done"));
    let body = received.recv().await.expect("a body");
    assert_eq!(body.len(), 499_999);
    let held_bytes = Account::of_process().held_bytes();
    assert!(held_bytes >= 499_999 - 4_096, "{held_bytes}");
    drop(body);
    assert!(Account::of_process().held_bytes() < held_bytes);
}

#[tokio::test]
async fn a_response_that_announces_too_much_is_not_collected() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n";
        let _ = stream.write_all(head.as_bytes()).await;
        let mut request = Vec::new();
        let _ = stream.read_to_end(&mut request).await;
    });
    let timeout = std::time::Duration::from_secs(60);
    let exchanged = topazyard_wire::http::outbound::exchange(
        address,
        hyper::Method::GET,
        "/",
        bytes::Bytes::new(),
        timeout,
    );
    let error = exchanged.await.expect_err("no response");
    assert_eq!(error, topazyard_wire::http::outbound::OutboundError::ConnectionLost);
}
