//! Metrics of an agent.

use crate::machine::{AgentCall, AgentHealth, AgentMachine};
use topazyard_types::DurationMs;
use topazyard_wire::driver::Handle;
use topazyard_wire::metrics::{MetricSource, Writer};

/// The metrics of an agent, from one health report.
#[derive(Debug)]
pub struct AgentFigures(pub AgentHealth);

/// Serves the metrics if the settings name an address for them.
pub(crate) async fn serve(address: Option<std::net::SocketAddr>, handle: &Handle<AgentMachine>) {
    let handle = handle.clone();
    let fetch = move || fetch(handle.clone());
    topazyard_wire::metrics::serve(address, fetch).await;
}

async fn fetch(handle: Handle<AgentMachine>) -> Option<AgentFigures> {
    handle.call(AgentCall::Health).await.ok().map(AgentFigures)
}

impl MetricSource for AgentFigures {
    fn write(&self, to: &mut Writer<'_>) -> std::fmt::Result {
        let health = &self.0;
        let knows_primary = u64::from(health.knows_primary);
        to.gauge("agent_knows_primary", "Whether it knows the control primary", knows_primary)?;
        let nodes = health.control_nodes as u64;
        to.gauge("agent_control_nodes", "Control nodes that it knows", nodes)?;
        if let Some(ago) = health.relay_heard_ago {
            let help = "Time since its relay last asked";
            to.fraction("agent_relay_heard_seconds", help, seconds(ago))?;
        }
        let unanswered_s = health.unanswered_for.map_or(0.0, seconds);
        let help = "How long control has left the relay's asking without an answer";
        to.fraction("agent_unanswered_seconds", help, unanswered_s)
    }
}

fn seconds(duration: DurationMs) -> f64 {
    duration.0 as f64 / 1_000.0
}
