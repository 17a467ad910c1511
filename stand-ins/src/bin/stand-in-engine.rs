//! A stand-in engine in the published text-generation form. Its pace falls with the tokens in
//! flight, and it can be told to fail.

use clap::Parser as _;
use http_body_util::BodyExt as _;
use topazyard_wire::http::{Body, BodyError, full_body, json};

/// A stand-in engine
#[derive(clap::Parser, Clone)]
struct Flags {
    /// Where to listen
    #[arg(long)]
    address: std::net::SocketAddr,
    /// The least time a prompt takes
    #[arg(long, default_value_t = 20)]
    base_ms: u64,
    /// Microseconds a new token takes when nothing else runs
    #[arg(long, default_value_t = 200)]
    token_us: u64,
    /// Tokens in flight at which the pace is halved
    #[arg(long, default_value_t = 8_000)]
    knee_tokens: u64,
}

/// How it misbehaves.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Dark,
    Cut,
    Slow,
}

/// What the owner task is asked.
enum Ask {
    Begin(String, u64, tokio::sync::oneshot::Sender<(u64, Fault)>),
    End(u64),
    Fault(Fault),
    Report(tokio::sync::oneshot::Sender<serde_json::Value>),
    Load(tokio::sync::oneshot::Sender<(u64, u64)>),
}

type Owner = tokio::sync::mpsc::Sender<Ask>;

#[tokio::main]
async fn main() -> std::process::ExitCode {
    let flags = Flags::parse();
    let (owner, asks) = tokio::sync::mpsc::channel(1_024);
    tokio::spawn(own(asks));
    let listener = match topazyard_wire::http::inbound::bind(flags.address).await {
        Ok(listener) => listener,
        Err(error) => return topazyard_wire::driver::exit_code(Err(error)),
    };
    topazyard_wire::http::inbound::serve(listener, move |request| {
        answer(flags.clone(), owner.clone(), request)
    })
    .await;
    std::process::ExitCode::SUCCESS
}

async fn own(mut asks: tokio::sync::mpsc::Receiver<Ask>) {
    let mut in_flight = 0_u64;
    let mut running = 0_u64;
    let mut fault = Fault::None;
    let mut runs: Vec<String> = Vec::new();
    while let Some(ask) = asks.recv().await {
        match ask {
            Ask::Begin(digest, tokens, back) => {
                in_flight += tokens;
                running += 1;
                runs.push(digest);
                let _ = back.send((in_flight, fault));
            }
            Ask::End(tokens) => {
                in_flight = in_flight.saturating_sub(tokens);
                running = running.saturating_sub(1);
            }
            Ask::Fault(new) => fault = new,
            Ask::Report(back) => {
                let _ = back.send(serde_json::json!({ "runs": runs }));
            }
            Ask::Load(back) => {
                let _ = back.send((running, in_flight));
            }
        }
    }
}

async fn answer(
    flags: Flags,
    owner: Owner,
    request: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<Body> {
    let path = request.uri().path().to_owned();
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return json(400, &serde_json::json!({ "error": "body" })),
    };
    match path.as_str() {
        "/health" => {
            let (back, load) = tokio::sync::oneshot::channel();
            let _ = owner.send(Ask::Load(back)).await;
            let _ = load.await;
            json(200, &serde_json::json!({}))
        }
        "/metrics" => {
            let (back, load) = tokio::sync::oneshot::channel();
            let _ = owner.send(Ask::Load(back)).await;
            let (running, tokens) = load.await.unwrap_or_default();
            let text = format!(
                "# TYPE tgi_batch_current_size gauge\ntgi_batch_current_size {running}\n\
                 # TYPE tgi_batch_current_max_tokens gauge\ntgi_batch_current_max_tokens {tokens}\n\
                 # TYPE tgi_queue_size gauge\ntgi_queue_size 0\n"
            );
            hyper::Response::new(full_body(text))
        }
        "/generate" => generate(&flags, owner, body, false).await,
        "/generate_stream" => generate(&flags, owner, body, true).await,
        "/stand-in/runs" => {
            let (back, report) = tokio::sync::oneshot::channel();
            let _ = owner.send(Ask::Report(back)).await;
            json(200, &report.await.unwrap_or_default())
        }
        "/stand-in/fault" => {
            let fault = match body.as_ref() {
                b"dark" => Fault::Dark,
                b"cut" => Fault::Cut,
                b"slow" => Fault::Slow,
                _ => Fault::None,
            };
            let _ = owner.send(Ask::Fault(fault)).await;
            json(200, &serde_json::json!({}))
        }
        _ => json(404, &serde_json::json!({ "error": "path" })),
    }
}

/// Takes the tokens out of flight however the run ends.
struct InFlight(Owner, u64);

impl Drop for InFlight {
    fn drop(&mut self) {
        let (owner, tokens) = (self.0.clone(), self.1);
        tokio::spawn(async move { drop(owner.send(Ask::End(tokens)).await) });
    }
}

async fn generate(
    flags: &Flags,
    owner: Owner,
    body: bytes::Bytes,
    stream: bool,
) -> hyper::Response<Body> {
    let asked: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let new_tokens = asked["parameters"]["max_new_tokens"].as_u64().unwrap_or(256);
    let words = asked["inputs"].as_str().map_or(0, |text| text.split_whitespace().count());
    let tokens = new_tokens + words as u64 * 13 / 10;
    let digest = stand_ins::prompt::digest(&body);
    let (back, begun) = tokio::sync::oneshot::channel();
    let _ = owner.send(Ask::Begin(digest.clone(), tokens, back)).await;
    let (in_flight, fault) = begun.await.unwrap_or((0, Fault::None));
    let guard = InFlight(owner, tokens);
    let crowding = 1.0 + (in_flight as f64 / flags.knee_tokens as f64).powi(2);
    let slow = if fault == Fault::Slow { 20.0 } else { 1.0 };
    let took_us = (flags.base_ms * 1_000 + new_tokens * flags.token_us) as f64 * crowding * slow;
    let took = std::time::Duration::from_micros(took_us as u64);
    if fault == Fault::Dark {
        std::future::pending::<()>().await;
    }
    if !stream {
        tokio::time::sleep(took).await;
        drop(guard);
        if fault == Fault::Cut {
            let pieces =
                vec![Ok(hyper::body::Frame::data(bytes::Bytes::from("{\"gen"))), Err(BodyError)];
            let stream = futures_util::stream::iter(pieces);
            return hyper::Response::new(http_body_util::StreamBody::new(stream).boxed_unsync());
        }
        return json(200, &serde_json::json!({ "generated_text": digest }));
    }
    let count = (new_tokens as usize / 8).clamp(1, 64);
    let events = stand_ins::prompt::events(&body, count);
    let pause = took / count as u32;
    let cut_at = if fault == Fault::Cut { count / 2 } else { usize::MAX };
    let state = (events.into_iter().enumerate(), guard);
    let frames = futures_util::stream::unfold(state, move |(mut events, guard)| async move {
        let (index, event) = events.next()?;
        tokio::time::sleep(pause).await;
        let piece = if index >= cut_at {
            Err(BodyError)
        } else {
            Ok(hyper::body::Frame::data(bytes::Bytes::from(event)))
        };
        Some((piece, (events, guard)))
    });
    let mut response = hyper::Response::new(http_body_util::StreamBody::new(frames).boxed_unsync());
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    response
}
