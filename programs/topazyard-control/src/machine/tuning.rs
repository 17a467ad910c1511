//! The duty of tuning weights: done by the first live core node in the order in which the epoch
//! record names its witnesses, under that record's epoch. The primary refuses a lower one.

use super::{ControlMachine, ControlTask, Out};
use crate::tuner::{Demand, EngineLoad};
use topazyard_types::{DurationMs, Epoch, MonotonicMs, PoolName};
use topazyard_wire::Effect;
use topazyard_wire::message::feed::Health;
use topazyard_wire::message::operate::{Command, OperatorOutcome, OperatorRequest, Query};
use topazyard_wire::state::FleetSnapshot;

/// How often weights are looked at.
const EVERY: DurationMs = DurationMs(1_000);
/// How old what engines said may be.
const LOADS_FRESH: DurationMs = DurationMs(3_000);

/// What the primary tells whoever tunes.
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

/// What this node keeps while the duty is its own.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tuning {
    last: MonotonicMs,
    loads: Vec<EngineLoad>,
    loads_at: Option<MonotonicMs>,
}

impl ControlMachine {
    /// Whether the duty is this node's: nobody before it in the agreed order is heard.
    fn tunes(&self, now: MonotonicMs) -> bool {
        let Some(record) = self.witness.record() else { return false };
        let live = |id| id == self.me.id || self.core.is_heard(id, now);
        let first = record.witnesses.iter().find(|witness| live(witness.id));
        first.is_some_and(|first| first.id == self.me.id)
    }

    pub(super) fn tuning_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        if now.since(self.tuning.last) < EVERY || !self.tunes(now) {
            return;
        }
        self.tuning.last = now;
        let request = OperatorRequest::Query(Query::Load);
        self.take_operate(super::operate::Origin::Tuner, request, now, out);
    }

    /// What the primary knows of demand.
    pub(super) fn load(&self) -> Option<serde_json::Value> {
        let view = FleetSnapshot::read(self.replica.copy().rows());
        let (_, bundle) = view.configuration.as_ref()?;
        let mut demand = Demand::default();
        for seen in self.seen.nodes.values() {
            match &seen.health {
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
        // Waiting and refused prompts are not told apart by pool: a fleet has few pools, and
        // raising the live share of one too many only slows batches.
        let pools = bundle.pools.iter().filter_map(|pool| {
            let weight = view.weights.get(&pool.name)?;
            let demand = Demand {
                limit_tokens: view.limit(pool).0,
                floor_percent: bundle.weights.live_floor_percent,
                ceiling_percent: bundle.weights.live_ceiling_percent,
                ..demand.clone()
            };
            Some(PoolLoad { pool: pool.name.clone(), live_percent: weight.live_percent, demand })
        });
        let load = Load {
            epoch: self.replica.epoch(),
            pools: pools.collect(),
            engines: view.engines.values().cloned().collect(),
        };
        serde_json::to_value(load).ok()
    }

    /// The primary's answer to the duty's question: work out each pool's share and ask for it.
    pub(super) fn tuner_told(
        &mut self,
        outcome: &OperatorOutcome,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let OperatorOutcome::Done(text) = outcome else { return };
        // The return of a weight that was set is of another shape, and needs nothing more.
        let Ok(load) = serde_json::from_str::<Load>(text) else { return };
        if !self.tunes(now) {
            return;
        }
        let fresh = self.tuning.loads_at.is_some_and(|at| now.since(at) < LOADS_FRESH);
        for pool in &load.pools {
            let engines: Vec<&EngineLoad> = self
                .tuning
                .loads
                .iter()
                .filter(|_| fresh)
                .filter(|known| {
                    load.engines.iter().any(|e| e.name == known.engine && e.pool == pool.pool)
                })
                .collect();
            let share = crate::tuner::next_share(pool.live_percent, &pool.demand, &engines);
            if share != pool.live_percent {
                let command = Command::SetWeight {
                    epoch: load.epoch,
                    pool: pool.pool.clone(),
                    live_percent: share,
                };
                let origin = super::operate::Origin::Tuner;
                self.take_operate(origin, OperatorRequest::Command(command), now, out);
            }
        }
        out.push(Effect::StartTask(ControlTask::FetchLoads(load.engines)));
    }

    pub(super) fn take_loads(&mut self, loads: Vec<EngineLoad>, now: MonotonicMs) {
        self.tuning.loads = loads;
        self.tuning.loads_at = Some(now);
    }
}
