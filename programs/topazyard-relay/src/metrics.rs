//! Metrics of a relay.

use crate::front::{Handle, engine_loads, outcomes};
use crate::machine::RelayHealth;
use crate::{RelayCall, RelayResponse};
use topazyard_wire::http::inbound::{Drain, Stage};
use topazyard_wire::metrics::{MetricSource, Writer};

/// The metrics of a relay, from one health report.
#[derive(Debug)]
pub struct RelayFigures {
    health: RelayHealth,
    stage: Stage,
    ended: Vec<(&'static str, u64)>,
    malformed_loads: u64,
}

/// Serves the metrics if the settings name an address for them.
pub(crate) async fn serve(address: Option<std::net::SocketAddr>, handle: &Handle, drain: &Drain) {
    let (handle, drain) = (handle.clone(), drain.clone());
    let fetch = move || fetch(handle.clone(), drain.clone());
    topazyard_wire::metrics::serve(address, fetch).await;
}

async fn fetch(handle: Handle, drain: Drain) -> Option<RelayFigures> {
    let stage = *drain.borrow();
    match handle.call(RelayCall::Health).await {
        Ok(RelayResponse::Health(health)) => Some(RelayFigures::new(*health, stage)),
        _ => None,
    }
}

impl RelayFigures {
    /// The metrics for this health and drain stage, with the process's counters.
    pub fn new(health: RelayHealth, stage: Stage) -> Self {
        Self {
            health,
            stage,
            ended: outcomes::counts(),
            malformed_loads: engine_loads::malformed_count(),
        }
    }
}

impl MetricSource for RelayFigures {
    fn write(&self, to: &mut Writer<'_>) -> std::fmt::Result {
        self.write_requests(to)?;
        self.write_drain(to)?;
        let health = &self.health;
        to.gauge("relay_ready", "Whether the relay takes new work", u64::from(health.ready))?;
        if let Some(age) = health.feed_age_ms {
            let help = "Age of the last confirmation of the feed";
            to.fraction("relay_feed_age_seconds", help, seconds(age.0))?;
        }
        let version = health.configuration.map_or(0, |version| version.0);
        to.gauge("relay_configuration_version", "Version in force, 0 before the first", version)?;
        to.gauge("relay_engines", "Engines that may be used", health.engines as u64)
    }
}

impl RelayFigures {
    fn write_requests(&self, to: &mut Writer<'_>) -> std::fmt::Result {
        let health = &self.health;
        let under_way = [
            ("waiting", health.waiting),
            ("holding", health.holding),
            ("items", health.items),
            ("batch_calls", health.batch_calls),
            ("ends_to_tell", health.unacknowledged_run_ends),
        ];
        let under_way = under_way.map(|(work, count)| (work, count as u64));
        let help = "Work under way, by what it is";
        to.gauges("relay_under_way", help, "work", under_way)?;
        to.counter("relay_requests_taken", "Requests that were let in", health.admitted)?;
        let refused = health.refused.iter().map(|(code, count)| (code, *count));
        to.counters("relay_requests_refused", "Requests refused, by code", "code", refused)?;
        let help =
            "Requests that ended after they were let in; cut and dropped: without a whole answer";
        to.counters("relay_requests_ended", help, "outcome", self.ended.iter().copied())?;
        let help = "What engines said of their load and could not be read";
        to.counter("relay_engine_loads_malformed", help, self.malformed_loads)
    }

    fn write_drain(&self, to: &mut Writer<'_>) -> std::fmt::Result {
        let stage = match self.stage {
            Stage::Serving => 0,
            Stage::Closing => 1,
            Stage::ClosingIdle => 2,
            Stage::Ending => 3,
            Stage::Overdue => 4,
        };
        let help = "Stage of the drain: 0 serving, 1 closing, 2 closing idle, 3 ending, 4 overdue";
        to.gauge("relay_drain_stage", help, stage)?;
        let Some(drained_for) = self.health.drained_for_ms else { return Ok(()) };
        to.fraction("relay_drain_seconds", "Time since the drain began", seconds(drained_for.0))
    }
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}
