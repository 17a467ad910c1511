//! The routes' front and its engines, in one process over loopback: engines that break off, turn
//! away, answer with what isn't theirs, or keep and close connections.

mod loopback;

use loopback::{EngineAction, TestAdapter, TestRelay, read_all, runtime};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use topazyard_relay::front::adapter::{
    EngineHeaders, HttpAdapter, MalformedLoad, RequestMetadata, ResponseKind,
};
use topazyard_relay::front::connections::{self, SendError};
use topazyard_relay::machine::EngineLoad;
use topazyard_relay::machine::Target;
use topazyard_types::{DurationMs, EngineName, RouteName, Tokens};
use topazyard_wire::api::{ApiError, Execution};
use topazyard_wire::http::Body;
use topazyard_wire::message::batch::{Progress, RunEnd};

/// Names of the tests' own: `x-id`, `x-to`, `x-after`, `x-turned-away`.
struct Plain;

fn number(head: &hyper::HeaderMap, name: &str) -> Option<u64> {
    head.get(name)?.to_str().ok()?.parse().ok()
}

impl HttpAdapter for Plain {
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

/// A relay that is ready, with so many engines, in these names.
async fn ready(engines: usize, script: impl IntoIterator<Item = EngineAction>) -> TestRelay {
    let adapter = TestAdapter {
        adapter: std::sync::Arc::new(Plain),
        id_header: "x-id",
        engine_header: "x-to",
        last_event_header: "x-after",
    };
    TestRelay::ready(adapter, engines, script).await
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
            let mut edge = ready(2, [EngineAction::KeepAlive(stream(1..=5) + STREAM_END)]).await;
            let got = edge.send(path, "a").await;
            assert_eq!(got.status(), "200", "{got:?}");
            assert_eq!(got.chunks(), (events(1..=5), true));
            let ran = edge.engine_requests();
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
            EngineAction::Close(stream(1..=2)),
            EngineAction::Close(stream(1..=2) + half),
            // A stream that ends in order, but within an event, was cut by its engine.
            EngineAction::Close(stream(1..=2) + half + STREAM_END),
        ] {
            let rest = EngineAction::KeepAlive(stream(3..=5) + STREAM_END);
            let mut edge = ready(3, [cut, rest]).await;
            let got = edge.send("/resumable/1", "a").await;
            assert_eq!(got.chunks(), (events(1..=5), true), "{got:?}");
            let ran = edge.engine_requests();
            assert_eq!(ran.iter().map(|ran| ran.last_event).collect::<Vec<_>>(), [None, Some(2)]);
            assert_ne!(ran[0].engine, ran[1].engine, "another engine");
            assert_eq!(ran[0].body, ran[1].body);
        }
    });
}

// Else a client that takes a stream up itself gets it from the beginning.
#[test]
fn a_client_that_takes_a_stream_up_gets_what_comes_after_its_last_event() {
    runtime().block_on(async {
        let script = [
            EngineAction::Close(stream(5..=6)),
            EngineAction::KeepAlive(stream(7..=8) + STREAM_END),
        ];
        let mut edge = ready(3, script).await;
        let got = edge.send_with_headers("/resumable/1", "a", "x-after: 4\r\n").await;
        assert_eq!(got.chunks(), (events(5..=8), true), "{got:?}");
        let after: Vec<_> = edge.engine_requests().iter().map(|ran| ran.last_event).collect();
        assert_eq!(after, [Some(4), Some(6)]);
    });
}

// Else a client gets a text with a gap or a repeated part, and takes it for whole.
#[test]
fn a_stream_that_goes_on_with_a_wrong_event_is_cut() {
    runtime().block_on(async {
        for wrong in [1..=5, 2..=5, 4..=5] {
            let script = [
                EngineAction::Close(stream(1..=2)),
                EngineAction::KeepAlive(stream(wrong) + STREAM_END),
            ];
            let mut edge = ready(3, script).await;
            let got = edge.send("/resumable/1", "a").await;
            assert_eq!(got.chunks(), (events(1..=2), false), "{got:?}");
            assert_eq!(edge.engine_requests().len(), 2, "two tries are all that its route allows");
        }
    });
}

// Else a stream that may not run twice does, or a client takes a part for the whole.
#[test]
fn a_stream_that_is_not_resumable_breaks_its_clients_connection_when_cut() {
    runtime().block_on(async {
        let mut edge = ready(3, [EngineAction::Close(stream(1..=3))]).await;
        let got = edge.send("/stream/1", "a").await;
        assert_eq!(got.status(), "200");
        assert_eq!(got.chunks(), (events(1..=3), false), "what came before is passed on");
        assert_eq!(edge.engine_requests().len(), 1);
    });
}

// Else a client gets what belongs to another: the worst that can happen.
#[test]
fn a_response_to_another_request_is_never_given_to_a_client() {
    runtime().block_on(async {
        let foreign = || EngineAction::KeepAlive(whole("secret").replace("{id}", "b"));
        for path in ["/unsafe/1", "/stream/1"] {
            let mut edge = ready(3, [foreign(), EngineAction::KeepAlive(whole("own"))]).await;
            let got = edge.send(path, "a").await;
            assert!(!got.0.contains("secret"), "{got:?}");
            got.assert_refused("502", Execution::MayHaveRun);
            assert_eq!(edge.engine_requests().len(), 1, "it may have run");
        }
        let mut edge = ready(3, [foreign(), EngineAction::KeepAlive(whole("own"))]).await;
        let got = edge.send("/safe/1", "a").await;
        assert_eq!((got.status(), got.body()), ("200", "own"), "{got:?}");
        // The connection on which it came is not used again, whatever else may still come there.
        let ran = edge.engine_requests();
        assert_ne!(ran[0].connection, ran[1].connection);
        // Midway in a stream it is the same.
        let script = [
            EngineAction::Close(stream(1..=2)),
            EngineAction::KeepAlive(stream(3..=5).replace("{id}", "b")),
        ];
        let edge = ready(3, script).await;
        let got = edge.send("/resumable/1", "a").await;
        assert_eq!(got.chunks(), (events(1..=2), false), "{got:?}");
    });
}

// Else a full engine costs the client its request; or a refusal leaves it in doubt.
#[test]
fn a_request_turned_away_goes_to_other_engines_and_is_then_said_not_to_have_run() {
    runtime().block_on(async {
        let away = || EngineAction::KeepAlive(TURNED_AWAY.to_owned());
        for path in ["/safe/1", "/unsafe/1", "/stream/1"] {
            let mut edge = ready(5, [away(), away(), EngineAction::KeepAlive(whole("own"))]).await;
            let got = edge.send(path, "a").await;
            assert!(got.status() == "200" && got.0.contains("own"), "{got:?}");
            let engines: std::collections::BTreeSet<usize> =
                edge.engine_requests().iter().map(|ran| ran.engine).collect();
            assert_eq!(engines.len(), 3, "each another one");
            let mut edge = ready(5, [away(), away(), away(), away()]).await;
            edge.send(path, "a").await.assert_refused("503", Execution::NotRun);
            assert_eq!(edge.engine_requests().len(), 3, "its route allows three");
        }
    });
}

// Else a client sends again what has run already.
#[test]
fn a_request_that_may_have_run_and_must_not_twice_is_not_said_to_be_repeatable() {
    runtime().block_on(async {
        let cut = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 20\r\n\r\nhalf";
        for then in [
            EngineAction::Close(String::new()),
            EngineAction::Reset(String::new()),
            EngineAction::Close("HTTP/1.1 200 OK\r\nx-i".to_owned()),
            EngineAction::Close(cut.to_owned()),
            EngineAction::Close("no HTTP at all\r\n\r\n".to_owned()),
        ] {
            let mut edge = ready(3, [then.clone(), EngineAction::KeepAlive(whole("own"))]).await;
            edge.send("/unsafe/1", "a").await.assert_refused("502", Execution::MayHaveRun);
            assert_eq!(edge.engine_requests().len(), 1);
            // One that may be repeated is, and its client doesn't notice.
            let mut edge = ready(3, [then, EngineAction::KeepAlive(whole("own"))]).await;
            let got = edge.send("/safe/1", "a").await;
            assert_eq!((got.status(), got.body()), ("200", "own"), "{got:?}");
            assert_eq!(edge.engine_requests().len(), 2);
        }
        // Turned away first and lost then: that it did not run at the first says nothing.
        let script =
            [EngineAction::KeepAlive(TURNED_AWAY.to_owned()), EngineAction::Close(String::new())];
        let edge = ready(3, script).await;
        edge.send("/unsafe/1", "a").await.assert_refused("502", Execution::MayHaveRun);
    });
}

// Else each request pays for a connection, and engines run out of them.
#[test]
fn a_connection_is_kept_and_used_again() {
    runtime().block_on(async {
        let script = [
            EngineAction::KeepAlive(whole("1")),
            EngineAction::KeepAlive(stream(1..=2) + STREAM_END),
            EngineAction::KeepAlive(TURNED_AWAY.to_owned()),
            EngineAction::KeepAlive(whole("4")),
        ];
        let mut edge = ready(1, script).await;
        assert_eq!(edge.send("/safe/1", "a").await.body(), "1");
        assert!(edge.send("/stream/1", "b").await.chunks().1);
        edge.send("/safe/1", "c").await.assert_refused("503", Execution::NotRun);
        assert_eq!(edge.send("/unsafe/1", "d").await.body(), "4");
        let connections: Vec<usize> =
            edge.engine_requests().iter().map(|ran| ran.connection).collect();
        assert_eq!(connections, [0; 4]);
    });
}

// Else a request meets a connection that its engine is about to close, and is lost.
#[test]
fn a_connection_that_an_engine_says_it_closes_is_not_used_again() {
    runtime().block_on(async {
        let closes = |text: String| text.replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
        // The engine says so and waits for the other side to close.
        let script =
            [EngineAction::KeepAlive(closes(whole("1"))), EngineAction::KeepAlive(whole("2"))];
        let mut edge = ready(1, script).await;
        assert_eq!(edge.send("/unsafe/1", "a").await.body(), "1");
        assert_eq!(edge.send("/unsafe/1", "b").await.body(), "2");
        let connections: Vec<usize> =
            edge.engine_requests().iter().map(|ran| ran.connection).collect();
        assert_eq!(connections, [0, 1]);
    });
}

// Else the answer to one request reaches a client in the place of another's.
#[test]
fn requests_that_are_sent_ahead_are_answered_in_their_order() {
    runtime().block_on(async {
        let script = [
            EngineAction::KeepAlive(whole("first")),
            EngineAction::KeepAlive(stream(1..=2) + STREAM_END),
            EngineAction::KeepAlive(whole("third")),
        ];
        let mut edge = ready(1, script).await;
        let mut client = edge.connect().await;
        let requests = edge.request("/unsafe/1", "a", "")
            + &edge.request("/stream/1", "b", "")
            + &edge.request("/unsafe/1", "c", "connection: close\r\n");
        client.write_all(requests.as_bytes()).await.expect("the relay takes it");
        let got = read_all(&mut client).await.0;
        let ids: Vec<&str> = got.lines().filter_map(|line| line.strip_prefix("x-id: ")).collect();
        assert_eq!(ids, ["a", "b", "c"], "{got}");
        let places: Vec<_> =
            ["first", "word 1", "word 2", "third"].map(|text| got.find(text)).into();
        assert!(places.is_sorted() && places.iter().all(Option::is_some), "{got}");
        assert_eq!(edge.engine_requests().len(), 3);
    });
}

// Else what comes after a cut answer is taken for the rest of it, or a cut one for a whole.
#[test]
fn nothing_follows_on_a_connection_after_a_cut_answer() {
    runtime().block_on(async {
        let mut edge =
            ready(1, [EngineAction::Close(stream(1..=2)), EngineAction::KeepAlive(whole("next"))])
                .await;
        let mut client = edge.connect().await;
        let requests = edge.request("/stream/1", "a", "") + &edge.request("/unsafe/1", "b", "");
        client.write_all(requests.as_bytes()).await.expect("the relay takes it");
        let got = read_all(&mut client).await;
        assert_eq!(got.chunks(), (events(1..=2), false), "{got:?}");
        assert!(!got.0.contains("next"), "{got:?}");
        assert_eq!(edge.engine_requests().len(), 1);
    });
}

// Else a client of HTTP/1.0, which reads to the end of its connection, takes a cut stream for whole.
#[test]
fn a_client_that_could_not_tell_a_cut_gets_a_stream_whole_or_not_at_all() {
    runtime().block_on(async {
        for (path, status, body) in
            [("/stream/1", "502", None), ("/resumable/1", "200", Some(events(1..=5)))]
        {
            let script = [
                EngineAction::Close(stream(1..=2)),
                EngineAction::KeepAlive(stream(1..=5) + STREAM_END),
            ];
            let edge = ready(2, script).await;
            let mut client = edge.connect().await;
            let request = edge.request(path, "a", "").replace("HTTP/1.1", "HTTP/1.0");
            client.write_all(request.as_bytes()).await.expect("the relay takes it");
            let got = read_all(&mut client).await;
            assert_eq!(got.status(), status, "{got:?}");
            assert!(body.is_none_or(|body| got.body() == body), "{got:?}");
        }
    });
}

// Else an engine's answer to a client that left meets the next client's request.
#[test]
fn the_connection_of_a_request_whose_client_left_is_not_used_again() {
    runtime().block_on(async {
        for (path, begun) in [("/unsafe/1", String::new()), ("/stream/1", stream(1..=2))] {
            for half in [false, true] {
                let script =
                    [EngineAction::Hang(begun.clone()), EngineAction::KeepAlive(whole("own"))];
                let mut edge = ready(1, script).await;
                let mut client = edge.connect().await;
                let request = edge.request(path, "a", "");
                client.write_all(request.as_bytes()).await.expect("the relay takes it");
                let first = edge.next_engine_request().await;
                if half {
                    // It only says that it sends no more: the answer is its own, or there is none.
                    client.shutdown().await.expect("it is open");
                    let got = read_all(&mut client).await;
                    assert!(!got.0.contains("own"), "{got:?}");
                } else {
                    client.set_zero_linger().expect("it is open");
                    drop(client);
                }
                let got = edge.send("/unsafe/1", "b").await;
                assert_eq!((got.status(), got.body()), ("200", "own"), "{got:?}");
                let second = edge.next_engine_request().await;
                assert_eq!((first.id.as_str(), second.id.as_str()), ("a", "b"));
                assert_ne!(first.connection, second.connection);
                assert!(edge.engine_requests().is_empty());
            }
        }
    });
}

// Else the body of a refused request is read as a request, which no client sent.
#[test]
fn the_body_of_a_refused_request_is_no_request() {
    runtime().block_on(async {
        let mut edge = ready(1, [EngineAction::KeepAlive(whole("own"))]).await;
        let hidden = edge.request("/unsafe/1", "hidden", "");
        let head = "POST /nowhere/1 HTTP/1.1\r\nhost: a.example\r\nx-id: a\r\n";
        for framing in [
            format!("content-length: {}\r\n\r\n{hidden}", hidden.len()),
            format!("transfer-encoding: chunked\r\n\r\n{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len()),
            // Two ways to tell the length: whichever is believed, the other hides nothing.
            format!("content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len()),
        ] {
            let mut client = edge.connect().await;
            let request = format!("{head}connection: close\r\n{framing}");
            client.write_all(request.as_bytes()).await.expect("the relay takes it");
            let got = read_all(&mut client).await;
            assert!(got.0.matches("HTTP/1.1").count() <= 1, "{got:?}");
        }
        assert!(edge.engine_requests().is_empty());
    });
}

// Else a client gets an answer whose length is told in two ways, and reads its end as another's.
#[test]
fn an_answer_that_tells_its_length_in_two_ways_is_not_passed_on() {
    runtime().block_on(async {
        let two = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n8\r\nabcdefgh\r\n0\r\n\r\n";
        let coded = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ntransfer-encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        let endless = "HTTP/1.1 200 OK\r\nx-id: {id}\r\n\r\nabc";
        for (text, closes) in [(two, false), (coded, false), (endless, true)] {
            let then = |text: &str| match closes {
                true => EngineAction::Close(text.to_owned()),
                false => EngineAction::KeepAlive(text.to_owned()),
            };
            let mut edge = ready(2, [then(text), EngineAction::KeepAlive(whole("own"))]).await;
            edge.send("/unsafe/1", "a").await.assert_refused("502", Execution::MayHaveRun);
            let got = edge.send("/unsafe/1", "b").await;
            assert_eq!((got.status(), got.body()), ("200", "own"), "{got:?}");
            let ran = edge.engine_requests();
            assert_eq!(ran.len(), 2);
            assert_ne!(ran[0].connection, ran[1].connection);
        }
    });
}

// Else a request on a connection that its engine had forgotten, or that breaks once it was read, is
// said not to have run, or is sent again by itself.
#[test]
fn a_request_on_a_kept_connection_that_breaks_may_have_run() {
    runtime().block_on(async {
        for (first, second, read) in [
            (EngineAction::ResetOnNextRequest(whole("1")), None, 0),
            (EngineAction::KeepAlive(whole("1")), Some(EngineAction::Reset(String::new())), 1),
            (EngineAction::KeepAlive(whole("1")), Some(EngineAction::Close(String::new())), 1),
            (EngineAction::KeepAlive(whole("1")), Some(EngineAction::Hang(String::new())), 1),
        ] {
            let last = EngineAction::KeepAlive(whole("3"));
            let script: Vec<EngineAction> =
                [Some(first), second, Some(last)].into_iter().flatten().collect();
            let mut edge = ready(1, script).await;
            assert_eq!(edge.send("/unsafe/1", "a").await.body(), "1");
            let got = edge.send_with_headers("/unsafe/1", "b", "x-wait: 300\r\n").await;
            let error: ApiError = serde_json::from_str(got.body()).expect("an error");
            assert!(["502", "504"].contains(&got.status()), "{got:?}");
            assert_eq!(error.ran, Execution::MayHaveRun, "{got:?}");
            // What else was kept of that engine is not trusted either.
            assert_eq!(edge.send("/unsafe/1", "c").await.body(), "3");
            let ran = edge.engine_requests();
            assert_eq!(ran.iter().filter(|ran| ran.id == "b").count(), read);
            assert_eq!((ran[0].connection, ran.last().expect("c").connection), (0, 1));
        }
    });
}

// Else a client sends its next request on a connection that a relay at its end won't read any more.
#[test]
fn a_relay_that_ends_closes_idle_connections_without_a_word() {
    runtime().block_on(async {
        let mut edge = ready(1, [EngineAction::KeepAlive(whole("1"))]).await;
        let mut client = edge.connect().await;
        let request = edge.request("/unsafe/1", "a", "");
        client.write_all(request.as_bytes()).await.expect("the relay takes it");
        let mut got = Vec::new();
        while !got.ends_with(b"\r\n\r\n1") {
            client.read_buf(&mut got).await.expect("a response");
        }
        edge.start_ending();
        assert_eq!(read_all(&mut client).await.0, "");
        assert_eq!(edge.engine_requests().len(), 1);
    });
}

// Else a request that was never sent is lost with a connection that was closed while it was idle.
#[test]
fn a_connection_that_was_closed_while_idle_costs_no_request() {
    runtime().block_on(async {
        let mut edge =
            ready(1, [EngineAction::Close(whole("1")), EngineAction::KeepAlive(whole("2"))]).await;
        assert_eq!(edge.send("/unsafe/1", "a").await.body(), "1");
        assert_eq!(edge.send("/unsafe/1", "b").await.body(), "2");
        let connections: Vec<usize> =
            edge.engine_requests().iter().map(|ran| ran.connection).collect();
        assert_eq!(connections, [0, 1]);
    });
}

// Else a request of which bytes left is taken for one that was never sent, and is sent again.
#[test]
fn only_a_request_of_which_nothing_left_counts_as_unsent() {
    runtime().block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let engine = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut read = Vec::new();
            while !read.ends_with(b"00a") {
                stream.read_buf(&mut read).await.expect("a request");
            }
            stream.set_zero_linger().expect("it is open");
            read
        });
        let target = Target { engine: EngineName("alone".to_owned()), address };
        let mut kept = connections::connect(&target, DurationMs(5_000)).await.expect("it listens");
        let request = |body: &'static str| {
            let body = topazyard_wire::http::full_body(body);
            hyper::Request::post("/x").header("host", "a.example").body(body).expect("a request")
        };
        assert_eq!(kept.send(request("00a")).await.err(), Some(SendError::ConnectionLost));
        assert_eq!(kept.send(request("00b")).await.err(), Some(SendError::NotSent));
        let read = String::from_utf8(engine.await.expect("it ends")).expect("text");
        assert_eq!(read.matches("POST /x").count(), 1, "{read}");
    });
}

// Else a part of an item's output is its result, or the connection with the rest is used again.
#[test]
fn an_item_whose_stream_is_cut_anywhere_has_no_result() {
    runtime().block_on(async {
        let within = "11\r\nid: 3\ndata: half\n\r\n";
        for cut in [
            EngineAction::Close(stream(1..=2)),
            EngineAction::Reset(String::new()),
            EngineAction::KeepAlive(stream(1..=2) + within + STREAM_END),
        ] {
            let mut edge =
                ready(1, [cut, EngineAction::KeepAlive(stream(1..=3) + STREAM_END)]).await;
            let end = edge.run_item("a").await;
            assert!(matches!(end, RunEnd::Interrupted(_) | RunEnd::Unknown), "{end:?}");
            let text = "word 1\nword 2\nword 3".to_owned();
            assert_eq!(edge.run_item("a").await, RunEnd::StreamComplete { text });
            let ran = edge.engine_requests();
            assert_ne!(ran[0].connection, ran[1].connection);
        }
    });
}

// Else an item that its relay takes along waits for its lease to expire and runs from its beginning.
#[test]
fn a_run_that_outlasts_a_draining_relay_is_handed_back_with_what_it_has() {
    runtime().block_on(async {
        let mut edge = ready(1, [EngineAction::Hang(stream(1..=2))]).await;
        edge.submit_item("a");
        edge.next_engine_request().await;
        let told = tokio::time::Instant::now();
        edge.drain().await;
        let limit = std::time::Duration::from_millis(loopback::GRACE.0 * 7 / 8);
        let end = tokio::time::timeout(limit, edge.next_run_end()).await.expect("within the grace");
        let so_far = Progress { last_event: Some(2), text: "word 1\nword 2".to_owned() };
        assert_eq!(end, RunEnd::Interrupted(so_far));
        // It had most of the time to end by itself.
        assert!(told.elapsed() * 2 > limit, "{:?}", told.elapsed());
    });
}
