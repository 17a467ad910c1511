//! A process's own figures in the standard text exposition format.
//!
//! Nothing is kept for them: each fetch asks the machine how it fares and writes that down. What
//! each metric means stands on the operators' page of metrics.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

/// Where metrics are served.
pub const PATH: &str = "/metrics";
/// All names but those of the process itself start so.
const PREFIX: &str = "topazyard";
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A role's figures at one moment.
pub trait MetricSource: std::fmt::Debug + Send + Sync + 'static {
    /// Writes each of them.
    ///
    /// # Errors
    /// There is no room to write to.
    fn write(&self, to: &mut Writer<'_>) -> std::fmt::Result;
}

/// Writes metrics, each with its help text.
pub struct Writer<'a>(DescriptorEncoder<'a>);

impl Writer<'_> {
    /// Writes a value that may rise and fall.
    ///
    /// # Errors
    /// There is no room to write to.
    pub fn gauge(&mut self, name: &str, help: &str, value: u64) -> std::fmt::Result {
        self.metric(name, help, &ConstGauge::new(value))
    }

    /// Writes a value that is a fraction.
    ///
    /// # Errors
    /// There is no room to write to.
    pub fn fraction(&mut self, name: &str, help: &str, value: f64) -> std::fmt::Result {
        self.metric(name, help, &ConstGauge::new(value))
    }

    /// Writes a count since the process began; `_total` is added to its name.
    ///
    /// # Errors
    /// There is no room to write to.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) -> std::fmt::Result {
        self.metric(name, help, &ConstCounter::new(value))
    }

    /// Writes one gauge for each value of a label.
    ///
    /// # Errors
    /// There is no room to write to.
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

    /// Writes one count for each value of a label; `_total` is added to its name.
    ///
    /// # Errors
    /// There is no room to write to.
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

/// Lets figures stand in a registry of the library.
#[derive(Debug)]
struct Collected<F>(F);

impl<F: MetricSource> Collector for Collected<F> {
    fn encode(&self, encoder: DescriptorEncoder<'_>) -> std::fmt::Result {
        self.0.write(&mut Writer(encoder))
    }
}

/// What every process tells of its invariants.
#[derive(Debug)]
struct Invariants;

impl MetricSource for Invariants {
    fn write(&self, to: &mut Writer<'_>) -> std::fmt::Result {
        let counts = crate::invariants::counts().map(|(at, violations)| (at.name(), violations));
        let help = "Violations of an invariant since the process began";
        to.counters("invariant_violations", help, "invariant", counts)
    }
}

/// What every process tells of itself, under the names that are usual for it.
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

/// When this process began, as far as it was noted: at the first call.
pub fn started_at() -> std::time::SystemTime {
    static STARTED: std::sync::OnceLock<std::time::SystemTime> = std::sync::OnceLock::new();
    *STARTED.get_or_init(std::time::SystemTime::now)
}

/// The text of a process's metrics. Those of the role are left out where its machine gave none.
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
/// A figure could not be written.
pub fn text(figures: Option<impl MetricSource>) -> Result<String, std::fmt::Error> {
    let mut registry = Registry::default();
    registry.register_collector(Box::new(Collected(Process)));
    let own = registry.sub_registry_with_prefix(PREFIX);
    own.register_collector(Box::new(Collected(Invariants)));
    if let Some(figures) = figures {
        own.register_collector(Box::new(Collected(figures)));
    }
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry)?;
    Ok(text)
}

/// Serves metrics at an address, if there is one, until the process ends. `fetch` asks the role's
/// machine for its figures. An address that is taken is logged and keeps nobody from service.
pub async fn serve<F, R>(
    address: Option<std::net::SocketAddr>,
    fetch: impl Fn() -> R + Clone + Send + Sync + 'static,
) where
    F: MetricSource,
    R: Future<Output = Option<F>> + Send + 'static,
{
    started_at();
    let Some(address) = address else { return };
    let listener = match crate::http::inbound::bind(address).await {
        Ok(listener) => listener,
        Err(error) => return spdlog::error!("no metrics are served: {error}"),
    };
    let answer = move |request: hyper::Request<hyper::body::Incoming>| {
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
    tokio::spawn(crate::http::inbound::serve(listener, answer));
}

fn response(figures: Option<impl MetricSource>) -> hyper::Response<crate::http::Body> {
    // Text that is cut short is no answer: a reader would take it for whole.
    let Ok(text) = text(figures) else {
        return crate::http::error(&crate::ApiError::not_run(crate::api::Code::OutcomeUnknown));
    };
    let mut response = hyper::Response::new(crate::http::full_body(text));
    let content_type = hyper::header::HeaderValue::from_static(CONTENT_TYPE);
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}
