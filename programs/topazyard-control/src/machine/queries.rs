//! What each query reads from the committed state.

use super::ControlMachine;
use topazyard_types::{ConfigurationVersion, MonotonicMs};
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::feed::Health;
use topazyard_wire::message::operate::{OperatorOutcome, Query};
use topazyard_wire::state::{
    CONFIGURATIONS, ConfigurationRow, FleetSnapshot, IN_FORCE, InForceRow, StorageStage,
    configuration_key,
};

impl ControlMachine {
    pub(super) fn query(&self, query: &Query, now: MonotonicMs) -> OperatorOutcome {
        let found = match query {
            Query::ReadConfiguration(version) => self.read_configuration(*version),
            Query::ReadSource => return self.read_source(),
            Query::ListConfigurations => Some(self.list_configurations()),
            Query::ListEngines => {
                let fleet = FleetSnapshot::read(self.replica.copy().rows());
                Some(serde_json::json!({ "engines": fleet.engines.values().collect::<Vec<_>>() }))
            }
            Query::ListStorage => Some(self.list_storage(now)),
            Query::Retirement(name) => return self.retirement(name, now),
            Query::FleetState => Some(self.fleet_state(now)),
            Query::Load => self.load(),
        };
        match found {
            Some(value) => OperatorOutcome::Done(value.to_string()),
            None => OperatorOutcome::Refused(ApiError::not_run(Code::NotFound).at("version")),
        }
    }

    /// The state of a retirement: `active` or `completed`.
    fn retirement(&self, name: &str, now: MonotonicMs) -> OperatorOutcome {
        let fleet = FleetSnapshot::read(self.replica.copy().rows());
        let row = self.storage_by_name(&fleet, name, now).and_then(|id| fleet.storage.get(&id));
        match row.map(|row| row.stage) {
            None => OperatorOutcome::Refused(ApiError::not_run(Code::NotFound).at("node")),
            Some(StorageStage::Retired) => OperatorOutcome::Done(r#"{"state":"completed"}"#.into()),
            Some(_) => OperatorOutcome::Done(r#"{"state":"active"}"#.into()),
        }
    }

    /// The source of the configuration in force, as submitted.
    fn read_source(&self) -> OperatorOutcome {
        let copy = self.replica.copy();
        let in_force = copy.get::<InForceRow>(IN_FORCE);
        let row =
            in_force.and_then(|row| copy.get::<ConfigurationRow>(&configuration_key(row.version)));
        let source = row.and_then(|row| String::from_utf8(row.source?.to_vec()).ok());
        match source {
            Some(source) => OperatorOutcome::Done(source),
            None => OperatorOutcome::Refused(ApiError::not_run(Code::NotFound).at("version")),
        }
    }

    fn read_configuration(
        &self,
        version: Option<ConfigurationVersion>,
    ) -> Option<serde_json::Value> {
        let copy = self.replica.copy();
        let version = match version {
            Some(version) => version,
            None => copy.get::<InForceRow>(IN_FORCE)?.version,
        };
        let row: ConfigurationRow = copy.get(&configuration_key(version))?;
        let configuration: serde_json::Value = serde_json::from_str(&row.text).ok()?;
        let mut value = Self::describe(&row);
        value["bundle"] = configuration;
        Some(value)
    }

    fn describe(row: &ConfigurationRow) -> serde_json::Value {
        serde_json::json!({
            "version": row.version,
            "base": row.base,
            "stage": row.stage,
            "signed_by": row.signed_by,
        })
    }

    fn list_configurations(&self) -> serde_json::Value {
        let copy = self.replica.copy();
        let in_force: Option<InForceRow> = copy.get(IN_FORCE);
        let configurations: Vec<_> = copy
            .with_prefix(CONFIGURATIONS)
            .filter_map(|(_, value)| topazyard_wire::rows::decode::<ConfigurationRow>(value))
            .map(|row| Self::describe(&row))
            .collect();
        serde_json::json!({ "in_force": in_force.map(|row| row.version), "specs": configurations })
    }

    fn list_storage(&self, now: MonotonicMs) -> serde_json::Value {
        let fleet = FleetSnapshot::read(self.replica.copy().rows());
        let nodes: Vec<_> = fleet
            .storage
            .iter()
            .map(|(id, row)| {
                let report = self.reports.by_node.get(id);
                let write_wait_ms = report.and_then(|report| match &report.health {
                    Health::Storage { write_wait_ms, .. } => Some(*write_wait_ms),
                    Health::Edge { .. } => None,
                });
                serde_json::json!({
                    "node": id,
                    "name": row.member.name,
                    "address": row.member.address,
                    "zone": row.member.zone,
                    "stage": row.stage,
                    "shards": crate::planner::hosted_copies(&fleet, *id),
                    "heard_ms_ago": report.map(|report| now.since(report.received_at)),
                    "disk": self.reports.disk(*id),
                    "write_wait_ms": write_wait_ms,
                })
            })
            .collect();
        let shards: Vec<_> = fleet
            .shards
            .iter()
            .map(|(shard, record)| {
                let addresses = |nodes: &[topazyard_wire::message::control::CoreNode]| {
                    nodes.iter().map(|node| node.address).collect::<Vec<_>>()
                };
                serde_json::json!({
                    "shard": shard,
                    "keeps": if shard.is_counter() { "counter" } else { "batches" },
                    "epoch": record.epoch,
                    "primary": record.primary.address,
                    "copies": record.copies,
                    "complete": record.is_complete(),
                    "backups": addresses(&record.backups),
                    "fallbacks": addresses(&record.fallbacks),
                    "learners": addresses(&record.learners),
                })
            })
            .collect();
        serde_json::json!({ "nodes": nodes, "shards": shards })
    }

    fn fleet_state(&self, now: MonotonicMs) -> serde_json::Value {
        let fleet = FleetSnapshot::read(self.replica.copy().rows());
        let members: Vec<_> = self
            .membership
            .remembered()
            .map(|known| {
                serde_json::json!({
                    "node": known.update.member.id,
                    "name": known.update.member.name,
                    "address": known.update.member.address,
                    "http": known.update.member.http,
                    "duty": known.update.member.role,
                    "zone": known.update.member.zone,
                    "standing": known.update.status,
                    "incarnation": known.update.incarnation,
                })
            })
            .collect();
        let relays: Vec<_> = self
            .reports
            .by_node
            .iter()
            .filter_map(|(id, report)| match &report.health {
                Health::Edge { ready, waiting, refused } => Some(serde_json::json!({
                    "node": id, "ready": ready, "waiting": waiting, "refused": refused,
                    "heard_ms_ago": now.since(report.received_at),
                })),
                Health::Storage { .. } => None,
            })
            .collect();
        let record = self.witness.record();
        serde_json::json!({
            "control": record.map(|record| serde_json::json!({
                "epoch": record.epoch,
                "primary": record.primary.address,
                "backups": record.backups.iter().map(|b| b.address).collect::<Vec<_>>(),
                "full": self.peers.full_nodes(),
                "witnesses": record.witnesses.iter().map(|w| w.address).collect::<Vec<_>>(),
            })),
            "place": self.replica.copy().position(),
            "spec": fleet.configuration.as_ref().map(|(version, _)| version),
            "members": members,
            "relays": relays,
            "engines": fleet.engines.values().collect::<Vec<_>>(),
            "weights": fleet.weights.iter().map(|(pool, weight)| serde_json::json!({
                "pool": pool, "live_percent": weight.live_percent })).collect::<Vec<_>>(),
            "storage": self.list_storage(now),
        })
    }
}
