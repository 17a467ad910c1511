//! The metrics of a process in the OpenMetrics text format.
//!
//! No samples are stored: each scrape requests the machine's current state and encodes it. The
//! operators' page of metrics documents the meaning of each metric.

use crate::http::inbound::ServerOptions;
use crate::http::overload;
use crate::http::server_limits::Callers;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

/// The path at which metrics are served.
pub const PATH: &str = "/metrics";
/// The prefix of all metric names but those of the process itself.
const PREFIX: &str = "topazyard";
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The metrics of a role at one time.
pub trait MetricSource: std::fmt::Debug + Send + Sync + 'static {
    /// Writes all metrics.
    ///
    /// # Errors
    /// The output could not be written.
    fn write(&self, to: &mut Writer<'_>) -> std::fmt::Result;
}

/// Writes metrics, each with its help text.
pub struct Writer<'a>(DescriptorEncoder<'a>);

impl Writer<'_> {
    /// Writes a gauge.
    ///
    /// # Errors
    /// The output could not be written.
    pub fn gauge(&mut self, name: &str, help: &str, value: u64) -> std::fmt::Result {
        self.metric(name, help, &ConstGauge::new(value))
    }

    /// Writes a gauge with a fractional value.
    ///
    /// # Errors
    /// The output could not be written.
    pub fn fraction(&mut self, name: &str, help: &str, value: f64) -> std::fmt::Result {
        self.metric(name, help, &ConstGauge::new(value))
    }

    /// Writes a counter since the process start; `_total` is appended to its name.
    ///
    /// # Errors
    /// The output could not be written.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) -> std::fmt::Result {
        self.metric(name, help, &ConstCounter::new(value))
    }

    /// Writes one gauge for each value of a label.
    ///
    /// # Errors
    /// The output could not be written.
    pub fn gauges<L: AsRef<str>>(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        values: impl IntoIterator<Item = (L, u64)>,
    ) -> std::fmt::Result {
        let values = values.into_iter().map(|(at, value)| (at, ConstGauge::new(value)));
        self.family(name, help, label, values)
    }

    /// Writes one counter for each value of a label; `_total` is appended to its name.
    ///
    /// # Errors
    /// The output could not be written.
    pub fn counters<L: AsRef<str>>(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        values: impl IntoIterator<Item = (L, u64)>,
    ) -> std::fmt::Result {
        let values = values.into_iter().map(|(at, value)| (at, ConstCounter::new(value)));
        self.family(name, help, label, values)
    }

    fn metric(&mut self, name: &str, help: &str, metric: &impl EncodeMetric) -> std::fmt::Result {
        metric.encode(self.0.encode_descriptor(name, help, None, metric.metric_type())?)
    }

    fn family<L: AsRef<str>, M: EncodeMetric>(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        metrics: impl Iterator<Item = (L, M)>,
    ) -> std::fmt::Result {
        let mut metrics = metrics.peekable();
        let Some((_, first)) = metrics.peek() else { return Ok(()) };
        let kind = first.metric_type();
        let mut encoder = self.0.encode_descriptor(name, help, None, kind)?;
        for (value, metric) in metrics {
            metric.encode(encoder.encode_family(&[(label, value.as_ref())])?)?;
        }
        Ok(())
    }
}

/// Adapts a source of metrics to a registry.
#[derive(Debug)]
struct SourceCollector<S>(S);

impl<S: MetricSource> Collector for SourceCollector<S> {
    fn encode(&self, encoder: DescriptorEncoder<'_>) -> std::fmt::Result {
        self.0.write(&mut Writer(encoder))
    }
}

/// The violation counts of a process.
#[derive(Debug)]
struct Invariants;

impl MetricSource for Invariants {
    fn write(&self, to: &mut Writer<'_>) -> std::fmt::Result {
        let counts = crate::invariants::counts().map(|(at, violations)| (at.name(), violations));
        let help = "Violations of an invariant since the process began";
        to.counters("invariant_violations", help, "invariant", counts)
    }
}

/// The traffic of a process.
#[derive(Debug)]
struct Traffic;

impl MetricSource for Traffic {
    fn write(&self, to: &mut Writer<'_>) -> std::fmt::Result {
        let frames = crate::traffic::received().map(|one| (one.kind.name(), one.frames));
        to.counters("frames_received", "Frames received, by kind of message", "kind", frames)?;
        let bytes = crate::traffic::received().map(|one| (one.kind.name(), one.bytes));
        to.counters("received_bytes", "Bytes received, by kind of message", "kind", bytes)?;
        let lost = crate::traffic::lost().map(|(reason, frames)| (reason.name(), frames));
        let help = "Frames that were lost on the way out, by reason";
        to.counters("frames_lost", help, "reason", lost)
    }
}

/// What the servers of a process hold for clients, and what they refused or closed.
#[derive(Debug)]
struct Clients;

impl MetricSource for Clients {
    fn write(&self, to: &mut Writer<'_>) -> std::fmt::Result {
        let account = crate::http::memory::Account::of_process();
        let help = "Bytes that are held for clients";
        to.gauge("client_held_bytes", help, account.held_bytes())?;
        let help = "Bytes that may be held for clients at most";
        to.gauge("client_limit_bytes", help, account.limit_bytes())?;
        let help = "Requests for memory for a client that were refused";
        to.counter("client_memory_shortages", help, overload::shortages())?;
        let help = "Connections of clients that were closed, by reason";
        to.counters("client_connections_closed", help, "reason", overload::closed())
    }
}

/// The metrics of the process itself, under their conventional names.
#[derive(Debug)]
struct Process;

impl MetricSource for Process {
    fn write(&self, to: &mut Writer<'_>) -> std::fmt::Result {
        let start_s = started_at().duration_since(std::time::UNIX_EPOCH);
        let start_s = start_s.map_or(0.0, |since| since.as_secs_f64());
        let help = "When the process began, in seconds since 1970-01-01";
        to.fraction("process_start_time_seconds", help, start_s)
    }
}

/// The start time of this process, recorded at the first call.
pub fn started_at() -> std::time::SystemTime {
    static STARTED: std::sync::OnceLock<std::time::SystemTime> = std::sync::OnceLock::new();
    *STARTED.get_or_init(std::time::SystemTime::now)
}

/// Encodes the metrics of a process, without those of the role if its machine gave none.
///
/// ```
/// #[derive(Debug)]
/// struct Queue(u64);
/// impl topazyard_wire::metrics::MetricSource for Queue {
///     fn write(&self, to: &mut topazyard_wire::metrics::Writer<'_>) -> std::fmt::Result {
///         to.gauge("queue_requests", "Requests that wait", self.0)
///     }
/// }
/// let text = topazyard_wire::metrics::text(Some(Queue(3))).unwrap();
/// assert!(text.contains("\ntopazyard_queue_requests 3\n"));
/// ```
///
/// # Errors
/// A metric could not be encoded.
pub fn text(source: Option<impl MetricSource>) -> Result<String, std::fmt::Error> {
    let mut registry = Registry::default();
    registry.register_collector(Box::new(SourceCollector(Process)));
    let prefixed = registry.sub_registry_with_prefix(PREFIX);
    prefixed.register_collector(Box::new(SourceCollector(Invariants)));
    prefixed.register_collector(Box::new(SourceCollector(Traffic)));
    prefixed.register_collector(Box::new(SourceCollector(Clients)));
    if let Some(source) = source {
        prefixed.register_collector(Box::new(SourceCollector(source)));
    }
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry)?;
    Ok(text)
}

/// Serves metrics at an address, if one is set, until the process ends. `fetch` requests the
/// metrics of the role's machine. If the address is in use, that is logged and the process runs
/// without.
pub async fn serve<S, R>(
    address: Option<std::net::SocketAddr>,
    fetch: impl Fn() -> R + Clone + Send + Sync + 'static,
) where
    S: MetricSource,
    R: Future<Output = Option<S>> + Send + 'static,
{
    started_at();
    let Some(address) = address else { return };
    let listener = match crate::http::inbound::bind(address).await {
        Ok(listener) => listener,
        Err(error) => return spdlog::error!("metrics are not served: {error}"),
    };
    let respond = move |request: hyper::Request<hyper::body::Incoming>| {
        let fetch = fetch.clone();
        async move {
            match request.uri().path() {
                PATH => response(fetch().await),
                other => {
                    let code = crate::api::Code::NoSuchPath;
                    crate::http::error(&crate::ApiError::not_run(code).at(other))
                }
            }
        }
    };
    let options = ServerOptions::of(Callers::Probes);
    tokio::spawn(crate::http::inbound::serve_with(listener, respond, options));
}

fn response(source: Option<impl MetricSource>) -> hyper::Response<crate::http::Body> {
    // A scraper would take a truncated text for a complete one, so an error is returned instead.
    let Ok(text) = text(source) else {
        return crate::http::error(&crate::ApiError::not_run(crate::api::Code::OutcomeUnknown));
    };
    let mut response = hyper::Response::new(crate::http::full_body(text));
    let content_type = hyper::header::HeaderValue::from_static(CONTENT_TYPE);
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}
