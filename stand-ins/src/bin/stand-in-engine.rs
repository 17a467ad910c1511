//! A stand-in engine with the published text-generation API. It gets slower as tokens in flight
//! increase, and faults can be injected over HTTP.

use clap::Parser as _;
use http_body_util::BodyExt as _;
use topazyard_wire::http::{Body, BodyError, full_body, json};

/// Serves the text-generation API with responses that clients can check
#[derive(clap::Parser, Clone)]
struct Flags {
    /// Address to listen on
    #[arg(long)]
    address: std::net::SocketAddr,
    /// Minimum time for a prompt, in milliseconds
    #[arg(long, default_value_t = 20)]
    base_ms: u64,
    /// Time per new token without other load, in microseconds
    #[arg(long, default_value_t = 200)]
    token_us: u64,
    /// Tokens in flight at which a prompt takes twice as long
    #[arg(long, default_value_t = 8_000)]
    knee_tokens: u64,
}

/// The injected fault.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Requests get no response.
    Unresponsive,
    /// Responses break off.
    Interrupted,
    /// Prompts take 20 times as long.
    Slow,
}

/// Messages to the task that owns the engine's state.
enum StateMessage {
    Start(String, u64, tokio::sync::oneshot::Sender<(u64, Fault)>),
    End(u64),
    Fault(Fault),
    Report(tokio::sync::oneshot::Sender<serde_json::Value>),
    Load(tokio::sync::oneshot::Sender<(u64, u64)>),
}

type StateSender = tokio::sync::mpsc::Sender<StateMessage>;

#[tokio::main]
async fn main() -> std::process::ExitCode {
    let flags = Flags::parse();
    let (state, messages) = tokio::sync::mpsc::channel(1_024);
    tokio::spawn(run_state(messages));
    let listener = match topazyard_wire::http::inbound::bind(flags.address).await {
        Ok(listener) => listener,
        Err(error) => return topazyard_wire::driver::exit_code(Err(error)),
    };
    topazyard_wire::http::inbound::serve(listener, move |request| {
        handle_request(flags.clone(), state.clone(), request)
    })
    .await;
    std::process::ExitCode::SUCCESS
}

/// Owns the requests in flight, the injected fault and the digests of all prompts run.
async fn run_state(mut messages: tokio::sync::mpsc::Receiver<StateMessage>) {
    let mut in_flight = 0_u64;
    let mut running = 0_u64;
    let mut fault = Fault::None;
    let mut runs: Vec<String> = Vec::new();
    while let Some(message) = messages.recv().await {
        match message {
            StateMessage::Start(digest, tokens, reply) => {
                in_flight += tokens;
                running += 1;
                runs.push(digest);
                let _ = reply.send((in_flight, fault));
            }
            StateMessage::End(tokens) => {
                in_flight = in_flight.saturating_sub(tokens);
                running = running.saturating_sub(1);
            }
            StateMessage::Fault(new) => fault = new,
            StateMessage::Report(reply) => {
                let _ = reply.send(serde_json::json!({ "runs": runs }));
            }
            StateMessage::Load(reply) => {
                let _ = reply.send((running, in_flight));
            }
        }
    }
}

async fn handle_request(
    flags: Flags,
    state: StateSender,
    request: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<Body> {
    let path = request.uri().path().to_owned();
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return json(400, &serde_json::json!({ "error": "body" })),
    };
    match path.as_str() {
        "/health" => {
            let (reply, load) = tokio::sync::oneshot::channel();
            let _ = state.send(StateMessage::Load(reply)).await;
            let _ = load.await;
            json(200, &serde_json::json!({}))
        }
        "/metrics" => {
            let (reply, load) = tokio::sync::oneshot::channel();
            let _ = state.send(StateMessage::Load(reply)).await;
            let (running, tokens) = load.await.unwrap_or_default();
            let text = format!(
                "# TYPE tgi_batch_current_size gauge\ntgi_batch_current_size {running}\n\
                 # TYPE tgi_batch_current_max_tokens gauge\ntgi_batch_current_max_tokens {tokens}\n\
                 # TYPE tgi_queue_size gauge\ntgi_queue_size 0\n"
            );
            hyper::Response::new(full_body(text))
        }
        "/generate" => generate(&flags, state, body, false).await,
        "/generate_stream" => generate(&flags, state, body, true).await,
        "/stand-in/runs" => {
            let (reply, report) = tokio::sync::oneshot::channel();
            let _ = state.send(StateMessage::Report(reply)).await;
            json(200, &report.await.unwrap_or_default())
        }
        "/stand-in/fault" => {
            let fault = match body.as_ref() {
                b"dark" => Fault::Unresponsive,
                b"cut" => Fault::Interrupted,
                b"slow" => Fault::Slow,
                _ => Fault::None,
            };
            let _ = state.send(StateMessage::Fault(fault)).await;
            json(200, &serde_json::json!({}))
        }
        _ => json(404, &serde_json::json!({ "error": "path" })),
    }
}

/// Removes the tokens of a prompt from those in flight when dropped, however the prompt ends.
struct InFlightGuard(StateSender, u64);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let (state, tokens) = (self.0.clone(), self.1);
        tokio::spawn(async move { drop(state.send(StateMessage::End(tokens)).await) });
    }
}

async fn generate(
    flags: &Flags,
    state: StateSender,
    body: bytes::Bytes,
    stream: bool,
) -> hyper::Response<Body> {
    let prompt: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let new_tokens = prompt["parameters"]["max_new_tokens"].as_u64().unwrap_or(256);
    let words = prompt["inputs"].as_str().map_or(0, |text| text.split_whitespace().count());
    let tokens = new_tokens + words as u64 * 13 / 10;
    let digest = stand_ins::prompt::digest(&body);
    let (reply, started) = tokio::sync::oneshot::channel();
    let _ = state.send(StateMessage::Start(digest.clone(), tokens, reply)).await;
    let (in_flight, fault) = started.await.unwrap_or((0, Fault::None));
    let guard = InFlightGuard(state, tokens);
    let load_factor = 1.0 + (in_flight as f64 / flags.knee_tokens as f64).powi(2);
    let fault_factor = if fault == Fault::Slow { 20.0 } else { 1.0 };
    let duration_us =
        (flags.base_ms * 1_000 + new_tokens * flags.token_us) as f64 * load_factor * fault_factor;
    let duration = std::time::Duration::from_micros(duration_us as u64);
    if fault == Fault::Unresponsive {
        std::future::pending::<()>().await;
    }
    if !stream {
        tokio::time::sleep(duration).await;
        drop(guard);
        if fault == Fault::Interrupted {
            let frames =
                vec![Ok(hyper::body::Frame::data(bytes::Bytes::from("{\"gen"))), Err(BodyError)];
            let stream = futures_util::stream::iter(frames);
            return hyper::Response::new(http_body_util::StreamBody::new(stream).boxed_unsync());
        }
        return json(200, &serde_json::json!({ "generated_text": digest }));
    }
    let count = (new_tokens as usize / 8).clamp(1, 64);
    let events = stand_ins::prompt::events(&body, count);
    let event_interval = duration / count as u32;
    let interrupted_at = if fault == Fault::Interrupted { count / 2 } else { usize::MAX };
    let events_and_guard = (events.into_iter().enumerate(), guard);
    let frames =
        futures_util::stream::unfold(events_and_guard, move |(mut events, guard)| async move {
            let (index, event) = events.next()?;
            tokio::time::sleep(event_interval).await;
            let frame = if index >= interrupted_at {
                Err(BodyError)
            } else {
                Ok(hyper::body::Frame::data(bytes::Bytes::from(event)))
            };
            Some((frame, (events, guard)))
        });
    let mut response = hyper::Response::new(http_body_util::StreamBody::new(frames).boxed_unsync());
    let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}
