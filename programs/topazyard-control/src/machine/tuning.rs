//! Tuning of weights. The tuner is the first reachable control node in the order in which the epoch
//! record names its witnesses. It acts under that record's epoch, and the primary refuses a lower
//! one.

use super::{ControlMachine, ControlTask, Effects};
use crate::tuner::{Demand, EngineLoad};
use topazyard_types::{DurationMs, Epoch, MonotonicMs, PoolName};
use topazyard_wire::Effect;
use topazyard_wire::message::feed::Health;
use topazyard_wire::message::operate::{Command, OperatorOutcome, OperatorRequest, Query};
use topazyard_wire::state::FleetSnapshot;

/// How often the weights are tuned.
const TUNING_INTERVAL: DurationMs = DurationMs(1_000);
/// How long the load reported by engines remains valid.
const LOADS_TTL: DurationMs = DurationMs(3_000);

/// The load that the primary reports to the tuner.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) struct Load {
    epoch: Epoch,
    pools: Vec<PoolLoad>,
    engines: Vec<topazyard_spec::Engine>,
}

#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct PoolLoad {
    pool: PoolName,
    live_percent: u8,
    demand: Demand,
}

/// State of the tuner on this node.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tuning {
    last_run: MonotonicMs,
    loads: Vec<EngineLoad>,
    loads_received_at: Option<MonotonicMs>,
}

impl ControlMachine {
    /// Whether this node is the tuner: no witness before it in the record is reachable.
    fn is_tuner(&self, now: MonotonicMs) -> bool {
        let Some(record) = self.witness.record() else { return false };
        let live = |id| id == self.me.id || self.peers.is_reachable(id, now);
        let first = record.witnesses.iter().find(|witness| live(witness.id));
        first.is_some_and(|first| first.id == self.me.id)
    }

    pub(super) fn tuning_tick(&mut self, now: MonotonicMs, effects: &mut Effects) {
        if now.since(self.tuning.last_run) < TUNING_INTERVAL || !self.is_tuner(now) {
            return;
        }
        self.tuning.last_run = now;
        let request = OperatorRequest::Query(Query::Load);
        self.handle_request(super::operations::Origin::Tuner, request, now, effects);
    }

    /// The demand known to the primary.
    pub(super) fn load(&self) -> Option<serde_json::Value> {
        let fleet = FleetSnapshot::read(self.replica.copy().rows());
        let (_, configuration) = fleet.configuration.as_ref()?;
        let mut demand = Demand::default();
        for report in self.reports.by_node.values() {
            match &report.health {
                Health::Edge { waiting, refused, .. } => {
                    demand.live_waiting += u64::from(*waiting);
                    demand.live_refused += u64::from(*refused);
                }
                Health::Storage { waiting, live_tokens, .. } => {
                    demand.batch_tokens += waiting.iter().map(|(_, cost)| cost).sum::<u64>();
                    demand.live_tokens = demand.live_tokens.max(live_tokens.unwrap_or(0));
                }
            }
        }
        // Waiting and refused prompts are not broken down by pool: a fleet has few pools, and
        // raising the live share of one too many only slows down batches.
        let pools = configuration.pools.iter().filter_map(|pool| {
            let weight = fleet.weights.get(&pool.name)?;
            let demand = Demand {
                limit_tokens: fleet.limit(pool).0,
                floor_percent: configuration.weights.live_floor_percent,
                ceiling_percent: configuration.weights.live_ceiling_percent,
                ..demand.clone()
            };
            Some(PoolLoad { pool: pool.name.clone(), live_percent: weight.live_percent, demand })
        });
        let load = Load {
            epoch: self.replica.epoch(),
            pools: pools.collect(),
            engines: fleet.engines.values().cloned().collect(),
        };
        serde_json::to_value(load).ok()
    }

    /// Computes each pool's share from the primary's load report and requests the shares that
    /// change.
    pub(super) fn apply_tuning(
        &mut self,
        outcome: &OperatorOutcome,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        let OperatorOutcome::Done(text) = outcome else { return };
        // The response to a weight that was set has another shape and needs no action.
        let Ok(load) = serde_json::from_str::<Load>(text) else { return };
        if !self.is_tuner(now) {
            return;
        }
        let fresh = self.tuning.loads_received_at.is_some_and(|at| now.since(at) < LOADS_TTL);
        for pool in &load.pools {
            let engines: Vec<&EngineLoad> = self
                .tuning
                .loads
                .iter()
                .filter(|_| fresh)
                .filter(|load_report| {
                    load.engines.iter().any(|e| e.name == load_report.engine && e.pool == pool.pool)
                })
                .collect();
            let share = crate::tuner::next_share(pool.live_percent, &pool.demand, &engines);
            if share != pool.live_percent {
                let command = Command::SetWeight {
                    epoch: load.epoch,
                    pool: pool.pool.clone(),
                    live_percent: share,
                };
                let origin = super::operations::Origin::Tuner;
                self.handle_request(origin, OperatorRequest::Command(command), now, effects);
            }
        }
        effects.push(Effect::StartTask(ControlTask::FetchLoads(load.engines)));
    }

    pub(super) fn receive_loads(&mut self, loads: Vec<EngineLoad>, now: MonotonicMs) {
        self.tuning.loads = loads;
        self.tuning.loads_received_at = Some(now);
    }
}
