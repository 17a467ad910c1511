//! The HTTP front end for routes with its engines, in one process over loopback. Engines interrupt
//! responses, turn requests away, send mismatched responses, and keep or close connections.

mod loopback;

use loopback::{EngineAction, TestAdapter, TestRelay, read_all, runtime};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use topazyard_relay::front::adapter::{
    BatchCallKind, EngineHeaders, HttpAdapter, MalformedLoad, RequestMetadata, ResponseKind,
};
use topazyard_relay::front::connections::{self, SendError};
use topazyard_relay::machine::EngineLoad;
use topazyard_relay::machine::Target;
use topazyard_types::{DurationMs, EngineName, Tokens};
use topazyard_wire::api::{ApiError, Execution};
use topazyard_wire::http::Body;
use topazyard_wire::message::batch::{Progress, RunEnd};

/// An adapter with plain header names: `x-id`, `x-to`, `x-after`, `x-turned-away`.
struct PlainAdapter;

fn number(head: &hyper::HeaderMap, name: &str) -> Option<u64> {
    head.get(name)?.to_str().ok()?.parse().ok()
}

impl HttpAdapter for PlainAdapter {
    fn request_metadata(
        &self,
        head: &hyper::http::request::Parts,
    ) -> Result<RequestMetadata, ApiError> {
        Ok(RequestMetadata {
            request_id: head.headers.get("x-id").cloned().expect("an id"),
            timeout: number(&head.headers, "x-wait").map(DurationMs),
            cost: Some(Tokens(1)),
            prefix: Vec::new(),
            last_event: number(&head.headers, "x-after"),
        })
    }

    fn set_request_id(&self, headers: &mut hyper::HeaderMap, id: &hyper::header::HeaderValue) {
        headers.insert("x-id", id.clone());
    }

    fn set_engine_headers(&self, headers: &mut hyper::HeaderMap, to: &EngineHeaders<'_>) {
        headers.insert("x-to", to.engine.0.parse().expect("a name"));
        if let Some(last_event) = to.last_event {
            headers.insert("x-after", last_event.into());
        }
    }

    fn classify_response(
        &self,
        head: &hyper::http::response::Parts,
        request_id: &hyper::header::HeaderValue,
    ) -> ResponseKind {
        if head.headers.get("x-id") != Some(request_id) {
            ResponseKind::Mismatched
        } else if head.headers.contains_key("x-turned-away") {
            ResponseKind::TurnedAway
        } else if head.status.is_server_error() {
            ResponseKind::Failure
        } else {
            ResponseKind::Response
        }
    }

    fn reported_load(&self, _: &hyper::HeaderMap) -> Result<Option<EngineLoad>, MalformedLoad> {
        Ok(None)
    }

    fn refusal_response(&self, error: &ApiError) -> hyper::Response<Body> {
        topazyard_wire::http::error(error)
    }

    fn serve_batch_call<'a>(
        &'a self,
        _: &'a topazyard_relay::front::Handle,
        _: BatchCallKind,
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

/// A ready relay with this adapter and number of engines.
async fn ready(engines: usize, script: impl IntoIterator<Item = EngineAction>) -> TestRelay {
    let adapter = TestAdapter {
        adapter: std::sync::Arc::new(PlainAdapter),
        id_header: "x-id",
        engine_header: "x-to",
        last_event_header: "x-after",
    };
    TestRelay::ready(adapter, engines, script).await
}

fn complete(body: &str) -> String {
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

/// A stream's head and these events, one per chunk, without the final chunk.
fn stream(ids: std::ops::RangeInclusive<u64>) -> String {
    let chunk = |id| format!("{:x}\r\n{}\r\n", event(id).len(), event(id));
    STREAM_HEAD.to_owned() + &ids.map(chunk).collect::<String>()
}

// Guards against a stream that loses data on the way, or never ends for the client.
#[test]
fn complete_stream_is_forwarded_completely() {
    runtime().block_on(async {
        for path in ["/stream/1", "/resumable/1"] {
            let mut relay = ready(2, [EngineAction::KeepAlive(stream(1..=5) + STREAM_END)]).await;
            let received = relay.send(path, "a").await;
            assert_eq!(received.status(), "200", "{received:?}");
            assert_eq!(received.chunks(), (events(1..=5), true));
            let requests = relay.engine_requests();
            assert_eq!((requests.len(), requests[0].body.as_str()), (1, "00a"));
        }
    });
}

// Guards against lost or duplicate events when an engine fails during a stream.
#[test]
fn interrupted_resumable_stream_continues_after_its_last_event() {
    runtime().block_on(async {
        let half = "11\r\nid: 3\ndata: half\n\r\n";
        for interrupted in [
            EngineAction::Close(stream(1..=2)),
            EngineAction::Close(stream(1..=2) + half),
            // A stream whose body is complete but ends within an event was interrupted by the
            // engine.
            EngineAction::Close(stream(1..=2) + half + STREAM_END),
        ] {
            let rest = EngineAction::KeepAlive(stream(3..=5) + STREAM_END);
            let mut relay = ready(3, [interrupted, rest]).await;
            let received = relay.send("/resumable/1", "a").await;
            assert_eq!(received.chunks(), (events(1..=5), true), "{received:?}");
            let requests = relay.engine_requests();
            assert_eq!(
                requests.iter().map(|request| request.last_event).collect::<Vec<_>>(),
                [None, Some(2)]
            );
            assert_ne!(requests[0].engine, requests[1].engine, "another engine");
            assert_eq!(requests[0].body, requests[1].body);
        }
    });
}

// Guards against a client that resumes a stream getting it from the beginning.
#[test]
fn client_resumes_a_stream_after_its_last_event() {
    runtime().block_on(async {
        let script = [
            EngineAction::Close(stream(5..=6)),
            EngineAction::KeepAlive(stream(7..=8) + STREAM_END),
        ];
        let mut relay = ready(3, script).await;
        let received = relay.send_with_headers("/resumable/1", "a", "x-after: 4\r\n").await;
        assert_eq!(received.chunks(), (events(5..=8), true), "{received:?}");
        let after: Vec<_> =
            relay.engine_requests().iter().map(|request| request.last_event).collect();
        assert_eq!(after, [Some(4), Some(6)]);
    });
}

// Guards against a text with a gap or a repeated part that looks complete.
#[test]
fn stream_resumed_at_the_wrong_event_is_interrupted() {
    runtime().block_on(async {
        for wrong in [1..=5, 2..=5, 4..=5] {
            let script = [
                EngineAction::Close(stream(1..=2)),
                EngineAction::KeepAlive(stream(wrong) + STREAM_END),
            ];
            let mut relay = ready(3, script).await;
            let received = relay.send("/resumable/1", "a").await;
            assert_eq!(received.chunks(), (events(1..=2), false), "{received:?}");
            assert_eq!(relay.engine_requests().len(), 2, "the route allows two attempts");
        }
    });
}

// Guards against running such a stream twice, and against a partial stream that looks complete.
#[test]
fn interrupted_non_resumable_stream_closes_the_client_connection() {
    runtime().block_on(async {
        let mut relay = ready(3, [EngineAction::Close(stream(1..=3))]).await;
        let received = relay.send("/stream/1", "a").await;
        assert_eq!(received.status(), "200");
        assert_eq!(received.chunks(), (events(1..=3), false), "earlier events are forwarded");
        assert_eq!(relay.engine_requests().len(), 1);
    });
}

// Guards against the worst failure: a client receives another client's response.
#[test]
fn response_to_another_request_is_never_forwarded() {
    runtime().block_on(async {
        let mismatched = || EngineAction::KeepAlive(complete("secret").replace("{id}", "b"));
        for path in ["/unsafe/1", "/stream/1"] {
            let mut relay =
                ready(3, [mismatched(), EngineAction::KeepAlive(complete("own"))]).await;
            let received = relay.send(path, "a").await;
            assert!(!received.0.contains("secret"), "{received:?}");
            received.assert_refused("502", Execution::MayHaveRun);
            assert_eq!(relay.engine_requests().len(), 1, "it may have run");
        }
        let mut relay = ready(3, [mismatched(), EngineAction::KeepAlive(complete("own"))]).await;
        let received = relay.send("/safe/1", "a").await;
        assert_eq!((received.status(), received.body()), ("200", "own"), "{received:?}");
        // The connection is not reused, whatever else is still received on it.
        let requests = relay.engine_requests();
        assert_ne!(requests[0].connection, requests[1].connection);
        // The same applies to a stream that is resumed.
        let script = [
            EngineAction::Close(stream(1..=2)),
            EngineAction::KeepAlive(stream(3..=5).replace("{id}", "b")),
        ];
        let relay = ready(3, script).await;
        let received = relay.send("/resumable/1", "a").await;
        assert_eq!(received.chunks(), (events(1..=2), false), "{received:?}");
    });
}

// Guards against losing a request to a full engine, and against a refusal that leaves open whether
// the request ran.
#[test]
fn request_turned_away_tries_other_engines_and_then_reports_not_run() {
    runtime().block_on(async {
        let turned_away = || EngineAction::KeepAlive(TURNED_AWAY.to_owned());
        for path in ["/safe/1", "/unsafe/1", "/stream/1"] {
            let mut relay =
                ready(5, [turned_away(), turned_away(), EngineAction::KeepAlive(complete("own"))])
                    .await;
            let received = relay.send(path, "a").await;
            assert!(received.status() == "200" && received.0.contains("own"), "{received:?}");
            let engines: std::collections::BTreeSet<usize> =
                relay.engine_requests().iter().map(|request| request.engine).collect();
            assert_eq!(engines.len(), 3, "a different engine each time");
            let mut relay =
                ready(5, [turned_away(), turned_away(), turned_away(), turned_away()]).await;
            relay.send(path, "a").await.assert_refused("503", Execution::NotRun);
            assert_eq!(relay.engine_requests().len(), 3, "the route allows three attempts");
        }
    });
}

// Guards against a client repeating a request that already ran.
#[test]
fn unsafe_request_that_may_have_run_is_not_retried() {
    runtime().block_on(async {
        let interrupted = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 20\r\n\r\nhalf";
        for action in [
            EngineAction::Close(String::new()),
            EngineAction::Reset(String::new()),
            EngineAction::Close("HTTP/1.1 200 OK\r\nx-i".to_owned()),
            EngineAction::Close(interrupted.to_owned()),
            EngineAction::Close("no HTTP at all\r\n\r\n".to_owned()),
        ] {
            let mut relay =
                ready(3, [action.clone(), EngineAction::KeepAlive(complete("own"))]).await;
            relay.send("/unsafe/1", "a").await.assert_refused("502", Execution::MayHaveRun);
            assert_eq!(relay.engine_requests().len(), 1);
            // A repeatable request is retried without the client noticing.
            let mut relay = ready(3, [action, EngineAction::KeepAlive(complete("own"))]).await;
            let received = relay.send("/safe/1", "a").await;
            assert_eq!((received.status(), received.body()), ("200", "own"), "{received:?}");
            assert_eq!(relay.engine_requests().len(), 2);
        }
        // The first engine turns the request away and the second loses it: that it did not run at
        // the first proves nothing.
        let script =
            [EngineAction::KeepAlive(TURNED_AWAY.to_owned()), EngineAction::Close(String::new())];
        let relay = ready(3, script).await;
        relay.send("/unsafe/1", "a").await.assert_refused("502", Execution::MayHaveRun);
    });
}

// Guards against opening a connection per request, until engines run out of connections.
#[test]
fn connections_are_reused() {
    runtime().block_on(async {
        let script = [
            EngineAction::KeepAlive(complete("1")),
            EngineAction::KeepAlive(stream(1..=2) + STREAM_END),
            EngineAction::KeepAlive(TURNED_AWAY.to_owned()),
            EngineAction::KeepAlive(complete("4")),
        ];
        let mut relay = ready(1, script).await;
        assert_eq!(relay.send("/safe/1", "a").await.body(), "1");
        assert!(relay.send("/stream/1", "b").await.chunks().1);
        relay.send("/safe/1", "c").await.assert_refused("503", Execution::NotRun);
        assert_eq!(relay.send("/unsafe/1", "d").await.body(), "4");
        let connections: Vec<usize> =
            relay.engine_requests().iter().map(|request| request.connection).collect();
        assert_eq!(connections, [0; 4]);
    });
}

// Guards against losing a request on a connection that its engine is about to close.
#[test]
fn connection_announced_as_closing_is_not_reused() {
    runtime().block_on(async {
        let closes = |text: String| text.replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
        // The engine announces the close and waits for the other side to close.
        let script = [
            EngineAction::KeepAlive(closes(complete("1"))),
            EngineAction::KeepAlive(complete("2")),
        ];
        let mut relay = ready(1, script).await;
        assert_eq!(relay.send("/unsafe/1", "a").await.body(), "1");
        assert_eq!(relay.send("/unsafe/1", "b").await.body(), "2");
        let connections: Vec<usize> =
            relay.engine_requests().iter().map(|request| request.connection).collect();
        assert_eq!(connections, [0, 1]);
    });
}

// Guards against responses to pipelined requests in the wrong order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    runtime().block_on(async {
        let script = [
            EngineAction::KeepAlive(complete("first")),
            EngineAction::KeepAlive(stream(1..=2) + STREAM_END),
            EngineAction::KeepAlive(complete("third")),
        ];
        let mut relay = ready(1, script).await;
        let mut client = relay.connect().await;
        let requests = relay.request("/unsafe/1", "a", "")
            + &relay.request("/stream/1", "b", "")
            + &relay.request("/unsafe/1", "c", "connection: close\r\n");
        client.write_all(requests.as_bytes()).await.expect("the relay accepts the data");
        let received = read_all(&mut client).await.0;
        let ids: Vec<&str> =
            received.lines().filter_map(|line| line.strip_prefix("x-id: ")).collect();
        assert_eq!(ids, ["a", "b", "c"], "{received}");
        let positions: Vec<_> =
            ["first", "word 1", "word 2", "third"].map(|text| received.find(text)).into();
        assert!(positions.is_sorted() && positions.iter().all(Option::is_some), "{received}");
        assert_eq!(relay.engine_requests().len(), 3);
    });
}

// Guards against a client taking the next response for the rest of an interrupted one, or an
// interrupted response for a complete one.
#[test]
fn nothing_follows_an_interrupted_response_on_its_connection() {
    runtime().block_on(async {
        let mut relay = ready(
            1,
            [EngineAction::Close(stream(1..=2)), EngineAction::KeepAlive(complete("next"))],
        )
        .await;
        let mut client = relay.connect().await;
        let requests = relay.request("/stream/1", "a", "") + &relay.request("/unsafe/1", "b", "");
        client.write_all(requests.as_bytes()).await.expect("the relay accepts the data");
        let received = read_all(&mut client).await;
        assert_eq!(received.chunks(), (events(1..=2), false), "{received:?}");
        assert!(!received.0.contains("next"), "{received:?}");
        assert_eq!(relay.engine_requests().len(), 1);
    });
}

// An HTTP/1.0 client reads until the connection closes, so it would take an interrupted stream for
// a complete one.
#[test]
fn http_1_0_client_gets_a_complete_stream_or_none() {
    runtime().block_on(async {
        for (path, status, body) in
            [("/stream/1", "502", None), ("/resumable/1", "200", Some(events(1..=5)))]
        {
            let script = [
                EngineAction::Close(stream(1..=2)),
                EngineAction::KeepAlive(stream(1..=5) + STREAM_END),
            ];
            let relay = ready(2, script).await;
            let mut client = relay.connect().await;
            let request = relay.request(path, "a", "").replace("HTTP/1.1", "HTTP/1.0");
            client.write_all(request.as_bytes()).await.expect("the relay accepts the data");
            let received = read_all(&mut client).await;
            assert_eq!(received.status(), status, "{received:?}");
            assert!(body.is_none_or(|body| received.body() == body), "{received:?}");
        }
    });
}

// Guards against the next client receiving the response to a request whose client disconnected.
#[test]
fn connection_of_an_aborted_request_is_not_reused() {
    runtime().block_on(async {
        for (path, partial) in [("/unsafe/1", String::new()), ("/stream/1", stream(1..=2))] {
            for half_close in [false, true] {
                let script =
                    [EngineAction::Hang(partial.clone()), EngineAction::KeepAlive(complete("own"))];
                let mut relay = ready(1, script).await;
                let mut client = relay.connect().await;
                let request = relay.request(path, "a", "");
                client.write_all(request.as_bytes()).await.expect("the relay accepts the data");
                let first = relay.next_engine_request().await;
                if half_close {
                    // The client closes only its sending side: it gets its own response or none.
                    client.shutdown().await.expect("the connection is open");
                    let received = read_all(&mut client).await;
                    assert!(!received.0.contains("own"), "{received:?}");
                } else {
                    client.set_zero_linger().expect("the connection is open");
                    drop(client);
                }
                let received = relay.send("/unsafe/1", "b").await;
                assert_eq!((received.status(), received.body()), ("200", "own"), "{received:?}");
                let second = relay.next_engine_request().await;
                assert_eq!((first.id.as_str(), second.id.as_str()), ("a", "b"));
                assert_ne!(first.connection, second.connection);
                assert!(relay.engine_requests().is_empty());
            }
        }
    });
}

// Guards against request smuggling through the body of a refused request.
#[test]
fn body_of_a_refused_request_is_not_parsed_as_a_request() {
    runtime().block_on(async {
        let mut relay = ready(1, [EngineAction::KeepAlive(complete("own"))]).await;
        let hidden = relay.request("/unsafe/1", "hidden", "");
        let head = "POST /nowhere/1 HTTP/1.1\r\nhost: a.example\r\nx-id: a\r\n";
        for framing in [
            format!("content-length: {}\r\n\r\n{hidden}", hidden.len()),
            format!("transfer-encoding: chunked\r\n\r\n{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len()),
            // Two lengths: whichever of them applies, the other must not hide a request.
            format!("content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len()),
        ] {
            let mut client = relay.connect().await;
            let request = format!("{head}connection: close\r\n{framing}");
            client.write_all(request.as_bytes()).await.expect("the relay accepts the data");
            let received = read_all(&mut client).await;
            assert!(received.0.matches("HTTP/1.1").count() <= 1, "{received:?}");
        }
        assert!(relay.engine_requests().is_empty());
    });
}

// Guards against a client that parses the end of a response with an ambiguous length as the next
// response.
#[test]
fn response_with_an_ambiguous_length_is_not_forwarded() {
    runtime().block_on(async {
        let two = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n8\r\nabcdefgh\r\n0\r\n\r\n";
        let coded = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ntransfer-encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        let endless = "HTTP/1.1 200 OK\r\nx-id: {id}\r\n\r\nabc";
        for (text, closes) in [(two, false), (coded, false), (endless, true)] {
            let then = |text: &str| match closes {
                true => EngineAction::Close(text.to_owned()),
                false => EngineAction::KeepAlive(text.to_owned()),
            };
            let mut relay = ready(2, [then(text), EngineAction::KeepAlive(complete("own"))]).await;
            relay.send("/unsafe/1", "a").await.assert_refused("502", Execution::MayHaveRun);
            let received = relay.send("/unsafe/1", "b").await;
            assert_eq!((received.status(), received.body()), ("200", "own"), "{received:?}");
            let requests = relay.engine_requests();
            assert_eq!(requests.len(), 2);
            assert_ne!(requests[0].connection, requests[1].connection);
        }
    });
}

// A reused connection may be reset by the engine before or after it reads the request. Guards
// against reporting that request as not run, and against sending it again.
#[test]
fn request_on_a_lost_idle_connection_may_have_run() {
    runtime().block_on(async {
        for (first, second, read) in [
            (EngineAction::ResetOnNextRequest(complete("1")), None, 0),
            (EngineAction::KeepAlive(complete("1")), Some(EngineAction::Reset(String::new())), 1),
            (EngineAction::KeepAlive(complete("1")), Some(EngineAction::Close(String::new())), 1),
            (EngineAction::KeepAlive(complete("1")), Some(EngineAction::Hang(String::new())), 1),
        ] {
            let last = EngineAction::KeepAlive(complete("3"));
            let script: Vec<EngineAction> =
                [Some(first), second, Some(last)].into_iter().flatten().collect();
            let mut relay = ready(1, script).await;
            assert_eq!(relay.send("/unsafe/1", "a").await.body(), "1");
            let received = relay.send_with_headers("/unsafe/1", "b", "x-wait: 300\r\n").await;
            let error: ApiError = serde_json::from_str(received.body()).expect("an error");
            assert!(["502", "504"].contains(&received.status()), "{received:?}");
            assert_eq!(error.ran, Execution::MayHaveRun, "{received:?}");
            // The other idle connections to that engine are closed too.
            assert_eq!(relay.send("/unsafe/1", "c").await.body(), "3");
            let requests = relay.engine_requests();
            assert_eq!(requests.iter().filter(|request| request.id == "b").count(), read);
            assert_eq!((requests[0].connection, requests.last().expect("c").connection), (0, 1));
        }
    });
}

// Guards against a client sending its next request on a connection that a relay in its last drain
// stage no longer reads.
#[test]
fn ending_relay_closes_idle_connections_silently() {
    runtime().block_on(async {
        let mut relay = ready(1, [EngineAction::KeepAlive(complete("1"))]).await;
        let mut client = relay.connect().await;
        let request = relay.request("/unsafe/1", "a", "");
        client.write_all(request.as_bytes()).await.expect("the relay accepts the data");
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n1") {
            client.read_buf(&mut received).await.expect("a response");
        }
        relay.start_ending();
        assert_eq!(read_all(&mut client).await.0, "");
        assert_eq!(relay.engine_requests().len(), 1);
    });
}

// Guards against losing an unsent request with a connection that was closed while idle.
#[test]
fn connection_closed_while_idle_loses_no_request() {
    runtime().block_on(async {
        let mut relay =
            ready(1, [EngineAction::Close(complete("1")), EngineAction::KeepAlive(complete("2"))])
                .await;
        assert_eq!(relay.send("/unsafe/1", "a").await.body(), "1");
        assert_eq!(relay.send("/unsafe/1", "b").await.body(), "2");
        let connections: Vec<usize> =
            relay.engine_requests().iter().map(|request| request.connection).collect();
        assert_eq!(connections, [0, 1]);
    });
}

// Guards against treating a partly sent request as not sent, and sending it again.
#[test]
fn only_a_request_with_no_bytes_sent_counts_as_not_sent() {
    runtime().block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let engine = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut read = Vec::new();
            while !read.ends_with(b"00a") {
                stream.read_buf(&mut read).await.expect("a request");
            }
            stream.set_zero_linger().expect("the connection is open");
            read
        });
        let target = Target { engine: EngineName("alone".to_owned()), address };
        let mut connection =
            connections::connect(&target, DurationMs(5_000)).await.expect("the engine listens");
        let request = |body: &'static str| {
            let body = topazyard_wire::http::full_body(body);
            hyper::Request::post("/x").header("host", "a.example").body(body).expect("a request")
        };
        assert_eq!(connection.send(request("00a")).await.err(), Some(SendError::ConnectionLost));
        assert_eq!(connection.send(request("00b")).await.err(), Some(SendError::NotSent));
        let read =
            String::from_utf8(engine.await.expect("the engine task ends")).expect("UTF-8 text");
        assert_eq!(read.matches("POST /x").count(), 1, "{read}");
    });
}

// Guards against a partial output as the item's result, and against reusing the connection that
// carries the rest.
#[test]
fn item_with_an_interrupted_stream_has_no_result() {
    runtime().block_on(async {
        let within = "11\r\nid: 3\ndata: half\n\r\n";
        for interrupted in [
            EngineAction::Close(stream(1..=2)),
            EngineAction::Reset(String::new()),
            EngineAction::KeepAlive(stream(1..=2) + within + STREAM_END),
        ] {
            let mut relay =
                ready(1, [interrupted, EngineAction::KeepAlive(stream(1..=3) + STREAM_END)]).await;
            let end = relay.run_item("a").await;
            assert!(matches!(end, RunEnd::Interrupted(_) | RunEnd::Unknown), "{end:?}");
            let text = "word 1\nword 2\nword 3".to_owned();
            assert_eq!(relay.run_item("a").await, RunEnd::StreamComplete { text });
            let requests = relay.engine_requests();
            assert_ne!(requests[0].connection, requests[1].connection);
        }
    });
}

// Guards against an item whose relay exits: without its progress it would wait for its lease to
// expire and run from the beginning.
#[test]
fn run_that_outlasts_a_drain_is_returned_with_its_progress() {
    runtime().block_on(async {
        let mut relay = ready(1, [EngineAction::Hang(stream(1..=2))]).await;
        relay.submit_item("a");
        relay.next_engine_request().await;
        let started = tokio::time::Instant::now();
        relay.drain().await;
        let limit = std::time::Duration::from_millis(loopback::GRACE.0 * 7 / 8);
        let end = tokio::time::timeout(limit, relay.next_run_end())
            .await
            .expect("an end within the grace period");
        let so_far = Progress {
            last_event: Some(2),
            text: "word 1\nword 2".to_owned(),
            pool: Some("main".into()),
        };
        assert_eq!(end, RunEnd::Interrupted(so_far));
        // The run had most of the grace period to finish by itself.
        assert!(started.elapsed() * 2 > limit, "{:?}", started.elapsed());
    });
}
