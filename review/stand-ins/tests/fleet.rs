//! A small deployment of the project's own programs on loopback, with a stand-in for the platform's
//! list of engines, stand-in engines, and the calls of a client and of an operator.
#![allow(dead_code)]

#[path = "narrow_links.rs"]
mod narrow_links;

use base64::Engine as _;
use fleet_soak::http::{CallEnd, Message, call};
use fleet_soak::layout::{Class, Layout, Role, Size};
use fleet_soak::processes::{Action, Process, RunPaths};
use serde_json::{Value, json};
use std::io::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;

/// Requests that an engine works on at once.
pub const SLOTS: usize = 32;

/// One run of a request at an engine.
#[derive(Debug, Clone)]
pub struct Run {
    pub began: u64,
    pub ended: Option<u64>,
    pub engine: String,
    pub service: String,
    pub id: String,
    pub path: String,
    pub after: Option<u64>,
}

/// An entry of the platform's list.
#[derive(Debug, Clone)]
pub struct Listed {
    pub instance: String,
    pub service: String,
    pub address: SocketAddr,
    pub state: &'static str,
}

/// What engines and the list share.
#[derive(Debug, Default)]
pub struct World {
    pub listed: Vec<Listed>,
    pub runs: Vec<Run>,
    /// Events of a run, how long the data of each is, and the pause before each.
    pub events: u64,
    pub event_bytes: usize,
    pub pause: Duration,
    /// Engines turn all work away while this is set.
    pub turns_away: bool,
}

pub type Shared = Arc<Mutex<World>>;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// The record of a case.
pub struct Record {
    file: std::fs::File,
    begun: Instant,
}

impl Record {
    pub fn say(&mut self, text: impl AsRef<str>) {
        let at = self.begun.elapsed().as_millis();
        let line = format!("{at:>6} ms  {}", text.as_ref());
        println!("{line}");
        let _ = writeln!(self.file, "{line}");
    }
}

pub struct Fleet {
    pub layout: Layout,
    pub world: Shared,
    pub begun: Instant,
    processes: Vec<Vec<(Role, Process)>>,
    folder: std::path::PathBuf,
}

/// Whether the script is to make its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case: the first argument is the platform's program, the second the file of the record.
pub fn run_case<F, R>(case: F) -> ExitCode
where
    F: FnOnce(std::path::PathBuf, Record) -> R,
    R: Future<Output = Verdict>,
{
    let mut arguments = std::env::args_os().skip(1);
    let (Some(program), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let file = match std::fs::File::create(&record) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    let record = Record { file, begun: Instant::now() };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("no runtime: {error}");
            return ExitCode::from(2);
        }
    };
    let limit = Duration::from_secs(115);
    let verdict = runtime.block_on(async {
        let case = case(program.into(), record);
        tokio::time::timeout(limit, case).await
    });
    match verdict {
        Ok(Verdict::Held) => ExitCode::from(0),
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun(why)) => {
            eprintln!("the case could not run: {why}");
            ExitCode::from(2)
        }
        Err(_) => {
            eprintln!("the case could not run: it took too long");
            ExitCode::from(2)
        }
    }
}

/// A part of the loopback network on which nothing listens.
fn free_network() -> Option<u8> {
    let first = 100 + (std::process::id() % 100) as u8;
    (0..100).map(|step| 100 + (first - 100 + step) % 100).find(|network| {
        let layout = Layout::new(Size::Small, *network);
        let machines =
            layout.machines().map(|machine| SocketAddr::from((layout.advertised(machine), 7720)));
        let all = machines.chain([layout.engine_list(), layout.engine(0)]);
        all.into_iter().all(|address| std::net::TcpListener::bind(address).is_ok())
    })
}

impl Fleet {
    /// Starts three machines of each class and one engine of each of these services.
    pub async fn start(program: std::path::PathBuf, services: &[&str]) -> Result<Self, String> {
        Self::start_on(program, services, None).await
    }

    /// The same where the link of each storage machine takes so many megabits a second.
    pub async fn start_on(
        program: std::path::PathBuf,
        services: &[&str],
        megabits: Option<f64>,
    ) -> Result<Self, String> {
        let network = free_network().ok_or("no free network")?;
        let layout = Layout::new(Size::Small, network);
        let folder = std::env::temp_dir().join(format!("review-{}-{network}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let begun = Instant::now();
        let world = Shared::default();
        lock(&world).events = 10;
        lock(&world).pause = Duration::from_millis(20);
        for (number, service) in services.iter().enumerate() {
            let address = layout.engine(number);
            let instance = format!("i-{service}-{number}");
            let listener = tokio::net::TcpListener::bind(address).await;
            let listener = listener.map_err(|error| format!("{address}: {error}"))?;
            let entry =
                Listed { instance, service: (*service).to_owned(), address, state: "in_service" };
            lock(&world).listed.push(entry.clone());
            tokio::spawn(serve_engine(listener, entry, world.clone(), begun));
        }
        let list = tokio::net::TcpListener::bind(layout.engine_list()).await;
        let list = list.map_err(|error| error.to_string())?;
        tokio::spawn(serve_list(list, world.clone()));
        match megabits {
            Some(megabits) => narrow_links::start(layout, megabits),
            None => {
                let cuts = fleet_soak::links::Cuts::default();
                let (cuts, receiver) = tokio::sync::watch::channel(cuts);
                // Links stay as they are as long as the program runs.
                std::mem::forget(cuts);
                fleet_soak::links::start(layout, receiver).await
            }
        }
        .map_err(|error| error.to_string())?;
        let (recorder, _) = tokio::sync::mpsc::unbounded_channel();
        let clock = fleet_soak::history::Clock::start();
        let places = RunPaths {
            has_metrics: fleet_soak::processes::has_metrics(&program),
            program,
            folder: folder.clone(),
        };
        let mut processes = Vec::new();
        for machine in layout.machines() {
            let start = |role: &Role| {
                fleet_soak::processes::start(
                    layout,
                    machine,
                    *role,
                    &places,
                    clock,
                    recorder.clone(),
                )
                .map(|process| (*role, process))
            };
            let started: Result<Vec<_>, _> = layout.roles(machine).iter().map(start).collect();
            processes.push(started.map_err(|error| error.to_string())?);
        }
        Ok(Self { layout, world, begun, processes, folder })
    }

    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Waits until all relays are ready.
    pub async fn all_ready(&self) -> Result<(), String> {
        let mut ready = fleet_soak::readiness::start(self.layout);
        let all = ready.wait_for(|ready| ready.iter().all(|ready| *ready));
        match tokio::time::timeout(Duration::from_secs(40), all).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err("the relays did not become ready".to_owned()),
        }
    }

    /// Does something to all processes of a machine.
    pub async fn each(&self, machine: usize, action: Action) {
        for (_, process) in &self.processes[machine] {
            process.apply(action).await;
        }
    }

    pub fn relays(&self) -> Vec<SocketAddr> {
        self.layout.machines_of(Class::Edge).map(|machine| self.layout.front(machine)).collect()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.layout
            .machines_of(Class::Control)
            .map(|machine| self.layout.control(machine))
            .collect()
    }

    /// Sends a configuration to one control node after the other until one answers it.
    pub async fn put_configuration(&self, base: u64, text: &str) -> Result<u16, String> {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            for control in self.controls() {
                let request = format!(
                    "PUT /api/configuration HTTP/1.1\r\nHost: control\r\nIf-Match: {base}\r\n\
                     Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                    text.len()
                );
                let (end, _) = call(control, request.as_bytes(), Duration::from_secs(1)).await;
                if let Some(status) = end.response().and_then(|answer| answer.status())
                    && status < 500
                {
                    return Ok(status);
                }
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        Err("no control node answered".to_owned())
    }

    /// The newest configuration as control reads it back.
    pub async fn read_configuration(&self) -> Option<String> {
        for control in self.controls() {
            let request = b"GET /api/configuration HTTP/1.1\r\nHost: control\r\n\r\n";
            let (end, _) = call(control, request, Duration::from_secs(1)).await;
            if let Some(answer) = end.response().filter(|answer| answer.status() == Some(200)) {
                return Some(answer.text());
            }
        }
        None
    }

    /// One call of a client on a lot, on a new connection.
    pub async fn lot_call(&self, relay: SocketAddr, head: &str, host: &str, body: &str) -> CallEnd {
        let request = format!(
            "{head} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
             Topazyard-Time-Remaining: 4000\r\nContent-Length: {}\r\n",
            body.len()
        );
        let id = head.strip_prefix("POST ").and_then(|path| path.rsplit('/').next());
        let id = id.map_or(String::new(), |id| format!("Topazyard-Attempt-Id: {id}\r\n"));
        let request = format!("{request}{id}\r\n{body}");
        call(relay, request.as_bytes(), Duration::from_millis(5_500)).await.0
    }

    /// Reads a lot from its start at one relay after the other; the results once one answers.
    pub async fn read_lot(&self, id: &str, host: &str) -> Result<(u16, Value), String> {
        let mut last = String::new();
        for relay in self.relays() {
            let end = self.lot_call(relay, &format!("GET /api/lots/{id}?after=0"), host, "").await;
            match end.response() {
                Some(answer) if answer.status() == Some(200) => {
                    let value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
                    return Ok((200, value));
                }
                Some(answer) => last = answer.first_line,
                None => last = "no answer".to_owned(),
            }
        }
        Err(last)
    }

    /// Runs so far of requests with this id.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        lock(&self.world).runs.iter().filter(|run| run.id == id).cloned().collect()
    }

    /// Ends all processes and removes their files.
    pub async fn end(self) {
        for machine in 0..self.processes.len() {
            self.each(machine, Action::End).await;
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn lock(world: &Shared) -> std::sync::MutexGuard<'_, World> {
    world.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The body of a lot of items with these ids and paths.
pub fn lot_body(items: &[(String, String)]) -> String {
    let body = base64::engine::general_purpose::STANDARD.encode(b"report");
    let items: Vec<Value> = items
        .iter()
        .map(|(id, path)| {
            json!({
                "instance_id": id, "path": path, "body": body, "tokens": 700,
                "headers": {
                    "Topazyard-Model-Name": "m", "Topazyard-Token-Count": "500,200",
                    "Topazyard-Prompt-Prefix": format!("5c1e07a2:300,{id}:200"),
                },
            })
        })
        .collect();
    json!({ "batch_items": items }).to_string()
}

/// A bulk route on the terms of the small deployments.
pub fn bulk_route(name: &str, host: &str, prefix: &str, service: &str) -> Value {
    json!({
        "name": name, "host": host, "path_prefix": prefix, "kind": "bulk", "timeout_ms": 8000,
        "target_latency_ms": 400, "priority": 2, "target_service": service, "max_attempts": 3,
        "session_affinity": true, "resumable": true, "gap_target_ms": 150,
        "max_queued_tokens": 1_200_000, "run_target_ms": 10_000, "retention_s": 40,
    })
}

/// A route of live streams.
pub fn live_route(name: &str, host: &str, prefix: &str, service: &str) -> Value {
    json!({
        "name": name, "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 5000,
        "target_latency_ms": 300, "priority": 0, "target_service": service, "max_attempts": 2,
        "session_affinity": true, "resumable": true, "gap_target_ms": 150,
    })
}

/// A whole configuration.
pub fn configuration(revision: u64, routes: &[Value], services: &[&str]) -> String {
    let services: Vec<Value> = services
        .iter()
        .map(|name| {
            json!({
                "name": name, "health_path": "/health", "max_connections": 210, "protocol": "h1",
                "tls": false,
                "engine": {"capacity_slots": SLOTS, "kv_capacity_tokens": 305_000,
                    "model_list": [{"name": "m"}]},
            })
        })
        .collect();
    json!({
        "revision": revision, "route_table": routes, "service_table": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
    .to_string()
}

/// The data of an event of a run at a service.
pub fn event_data(service: &str, id: &str, number: u64) -> String {
    format!("{service}.{id}.{number}")
}

async fn serve_list(listener: tokio::net::TcpListener, world: Shared) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else { continue };
        let world = world.clone();
        tokio::spawn(async move {
            let mut kept = Vec::new();
            while fleet_soak::http::read(&mut stream, &mut kept).await.is_ok() {
                let entries: Vec<Value> = lock(&world)
                    .listed
                    .iter()
                    .map(|entry| {
                        json!({
                            "instance_id": entry.instance, "target_service": entry.service,
                            "address": entry.address.to_string(), "zone": "zone-0",
                            "revision": "v1", "capacity_slots": SLOTS, "state": entry.state,
                            "cold_left_ms": 0, "stage": "both",
                            "model_list": [{"name": "m", "revision": 1, "adapter_list": []}],
                        })
                    })
                    .collect();
                let page = json!({"instance_list": entries, "next_token": null}).to_string();
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{page}",
                    page.len()
                );
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

async fn serve_engine(
    listener: tokio::net::TcpListener,
    own: Listed,
    world: Shared,
    begun: Instant,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, own.clone(), world.clone(), begun));
    }
}

async fn serve_connection(
    mut stream: tokio::net::TcpStream,
    own: Listed,
    world: Shared,
    begun: Instant,
) {
    let mut kept = Vec::new();
    while let Ok(request) = fleet_soak::http::read(&mut stream, &mut kept).await {
        if !answer(&mut stream, &request, &own, &world, begun).await {
            return;
        }
    }
}

/// Answers one request as a sound engine does; says whether the connection goes on.
async fn answer(
    stream: &mut tokio::net::TcpStream,
    request: &Message,
    own: &Listed,
    world: &Shared,
    begun: Instant,
) -> bool {
    let id = request.header("topazyard-attempt-id").unwrap_or_default().to_owned();
    let is_other = request.header("topazyard-target-instance").is_some_and(|to| to != own.instance);
    let turns_away = lock(world).turns_away;
    let short = match () {
        () if request.first_line.starts_with("GET ") => Some(200),
        () if is_other => Some(421),
        () if turns_away => Some(503),
        () => None,
    };
    if let Some(status) = short {
        let mark = if status == 503 { "Topazyard-Not-Executed: 1\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 {status} X\r\nTopazyard-Attempt-Id: {id}\r\nTopazyard-Instance-Id: {}\r\n\
             {mark}Content-Length: 0\r\n\r\n",
            own.instance
        );
        return stream.write_all(head.as_bytes()).await.is_ok();
    }
    let after = request.header("last-event-id").and_then(|after| after.parse::<u64>().ok());
    let path = request.first_line.split(' ').nth(1).unwrap_or_default().to_owned();
    let (number, events, event_bytes, pause) = {
        let mut world = lock(world);
        let began = begun.elapsed().as_millis() as u64;
        world.runs.push(Run {
            began,
            ended: None,
            engine: own.instance.clone(),
            service: own.service.clone(),
            id: id.clone(),
            path,
            after,
        });
        (world.runs.len() - 1, world.events, world.event_bytes, world.pause)
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nTopazyard-Attempt-Id: {id}\r\nTopazyard-Server-Seal: s.{id}\r\n\
         Topazyard-Weight-Versions: 1\r\nKeep-Alive: timeout=10\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    for event in after.map_or(1, |after| after + 1)..=events {
        tokio::time::sleep(pause).await;
        let mut data = event_data(&own.service, &id, event);
        while data.len() < event_bytes {
            data.push('x');
        }
        let text = format!("id: {event}\ndata: {data}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return false;
        }
    }
    let is_whole = stream.write_all(b"0\r\n\r\n").await.is_ok();
    if is_whole && let Some(run) = lock(world).runs.get_mut(number) {
        run.ended = Some(begun.elapsed().as_millis() as u64);
    }
    is_whole
}
