//! What each command changes, evaluated on the committed state.

use super::ControlMachine;
use super::orders::{OrderStatus, outcome_unknown};
use topazyard_types::{ConfigurationVersion, Digest, MonotonicMs, NodeId};
use topazyard_wire::RowChange;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::operate::{Command, SourcePatch};
use topazyard_wire::state::{
    CONFIGURATIONS, ConfigurationRow, ConfigurationStage, ENGINES, FleetSnapshot, IN_FORCE,
    InForceRow, ROUTES, StorageRow, StorageStage, WeightRow, configuration_key, engine_key,
    route_key, storage_key, weight_key,
};

/// The changes to commit, and the value to return once they are committed.
type CommandResult = Result<Accepted, ApiError>;
type Accepted = (Vec<RowChange>, serde_json::Value);

/// Digest that identifies a submitted configuration.
fn digest_of_submission(text: &str) -> Digest {
    Digest::of(&[b"submitted", text.as_bytes()])
}

/// Digest that identifies a submitted patch.
fn digest_of_submitted_patch(patch: &str) -> Digest {
    Digest::of(&[b"submitted patch", patch.as_bytes()])
}

/// Digest that identifies a patch order that brings its own version.
fn digest_of_patch(order: &[u8]) -> Digest {
    Digest::of(&[b"patch", order])
}

/// Digest that identifies an order that brings its own version.
fn digest_of_source(source: &[u8]) -> Digest {
    Digest::of(&[b"source", source])
}

/// Applies a patch to the text of a configuration.
fn apply_patch(text: &str, patch: &str) -> Result<topazyard_spec::Configuration, ApiError> {
    let patch = topazyard_spec::Patch::read(patch).map_err(ApiError::from_read_error)?;
    let configuration =
        topazyard_spec::Configuration::read(text).map_err(ApiError::from_read_error)?;
    configuration.patched(&patch).map_err(ApiError::from_read_error)
}

/// Applies a patch to the source text that operators read back.
fn apply_source_patch(
    before: Option<&[u8]>,
    change: &SourcePatch,
) -> Result<bytes::Bytes, ApiError> {
    let invalid = || ApiError::not_run(Code::InvalidSpec).at("source");
    let before: serde_json::Value =
        before.and_then(|text| serde_json::from_slice(text).ok()).ok_or_else(invalid)?;
    let patch = topazyard_spec::Patch::read(&change.patch).map_err(ApiError::from_read_error)?;
    let after = patch
        .apply(&before)
        .map_err(|faults| ApiError::from_read_error(topazyard_spec::ReadError::Faults(faults)))?;
    let after = bytes::Bytes::from(after.to_string());
    if after.len() as u64 > change.max_bytes {
        return Err(ApiError::not_run(Code::BodyTooLarge).at("source"));
    }
    Ok(after)
}

impl ControlMachine {
    pub(super) fn evaluate(&self, command: &Command, now: MonotonicMs) -> CommandResult {
        match command {
            Command::SubmitConfiguration { base, text } => self.submit_configuration(*base, text),
            Command::SignOff { version, by } => self.sign_off(*version, by),
            Command::RollOut { version } => self.roll_out(*version),
            Command::ApplyConfiguration { base, version, text, source } => {
                self.apply_configuration(*base, *version, text, source)
            }
            Command::SubmitPatch { base, patch } => self.submit_patch(*base, patch),
            Command::PatchConfiguration { base, version, patch, source } => {
                self.patch_configuration(*base, *version, patch, source)
            }
            Command::ListEngines(engines) => Ok(self.replace_engines(engines)),
            Command::PutEngines { text } => self.put_engines(text),
            Command::EmptyStorage(id) => self.empty_storage(*id, now),
            Command::RetireNamed(name) => self.retire_named(name, now),
            Command::AddStorage(id) => self.add_storage(*id),
            Command::RetireStorage(id) => self.retire_storage(*id),
            Command::SetWeight { epoch, pool, live_percent } => {
                self.set_weight(*epoch, pool, *live_percent)
            }
        }
    }

    pub(super) fn newest_version(&self) -> ConfigurationVersion {
        let newest = self.replica.copy().with_prefix(CONFIGURATIONS).last();
        let row =
            newest.and_then(|(_, value)| topazyard_wire::rows::decode::<ConfigurationRow>(value));
        row.map(|row| row.version).unwrap_or_default()
    }

    /// Looks up a version. If its text was dropped, how far it got is unknown.
    fn stored_configuration(
        &self,
        version: ConfigurationVersion,
    ) -> Result<ConfigurationRow, ApiError> {
        let missing = || match self.may_be_accepted(version) {
            true => outcome_unknown(),
            false => ApiError::not_run(Code::NotFound).at("version"),
        };
        self.replica.copy().get(&configuration_key(version)).ok_or_else(missing)
    }

    /// Checks that an order is based on the newest version. An older base is refused for good,
    /// since versions only increase. A newer base may still be committed, or this node lags behind:
    /// an order on it could be accepted later.
    fn check_base(
        base: ConfigurationVersion,
        newest: ConfigurationVersion,
    ) -> Result<(), ApiError> {
        match base.cmp(&newest) {
            std::cmp::Ordering::Equal => Ok(()),
            std::cmp::Ordering::Less => Err(ApiError::not_run(Code::StaleBase).at("base")),
            std::cmp::Ordering::Greater => Err(outcome_unknown()),
        }
    }

    fn submit_configuration(&self, base: ConfigurationVersion, text: &str) -> CommandResult {
        let version = ConfigurationVersion(base.0.saturating_add(1));
        let result = serde_json::json!({ "version": version });
        let digest = digest_of_submission(text);
        match self.order_status(version, digest) {
            OrderStatus::Accepted => return Ok((Vec::new(), result)),
            OrderStatus::Forgotten => return Err(outcome_unknown()),
            OrderStatus::NotAccepted => {}
        }
        topazyard_spec::Configuration::read(text).map_err(ApiError::from_read_error)?;
        Self::check_base(base, self.newest_version())?;
        Ok((self.submission_changes(base, text, digest), result))
    }

    /// Applies a patch to the newest version and submits the resulting configuration as its
    /// successor.
    fn submit_patch(&self, base: ConfigurationVersion, patch: &str) -> CommandResult {
        let version = ConfigurationVersion(base.0.saturating_add(1));
        let result = serde_json::json!({ "version": version });
        let digest = digest_of_submitted_patch(patch);
        match self.order_status(version, digest) {
            OrderStatus::Accepted => return Ok((Vec::new(), result)),
            OrderStatus::Forgotten => return Err(outcome_unknown()),
            OrderStatus::NotAccepted => {}
        }
        Self::check_base(base, self.newest_version())?;
        let configuration = apply_patch(&self.patch_base(base)?.text, patch)?;
        let text = serde_json::to_string(&configuration).unwrap_or_default();
        Ok((self.submission_changes(base, &text, digest), result))
    }

    /// The changes that submit a configuration as the successor of its base.
    fn submission_changes(
        &self,
        base: ConfigurationVersion,
        text: &str,
        digest: Digest,
    ) -> Vec<RowChange> {
        let version = ConfigurationVersion(base.0.saturating_add(1));
        let row = ConfigurationRow {
            version,
            base,
            stage: ConfigurationStage::Submitted,
            signed_by: None,
            text: text.to_owned(),
            source: None,
        };
        let change = RowChange::put(configuration_key(version), &row);
        let mut changes = self.drop_old_texts(&change, self.version_in_force());
        changes.push(change);
        changes.extend(self.remember_order(version, digest));
        changes
    }

    /// Checks, accepts and activates a configuration in one step. A source that was accepted under
    /// its version before is acknowledged again, even after newer ones.
    fn apply_configuration(
        &self,
        base: ConfigurationVersion,
        version: ConfigurationVersion,
        text: &str,
        source: &bytes::Bytes,
    ) -> CommandResult {
        let result = serde_json::json!({ "version": version, "in_force": true });
        let digest = digest_of_source(source);
        match self.order_status(version, digest) {
            OrderStatus::Accepted => return Ok((Vec::new(), result)),
            OrderStatus::Forgotten => return Err(outcome_unknown()),
            OrderStatus::NotAccepted => {}
        }
        let configuration =
            topazyard_spec::Configuration::read(text).map_err(ApiError::from_read_error)?;
        Self::check_base(base, self.version_in_force())?;
        self.check_version_increases(version)?;
        let row = ConfigurationRow {
            version,
            base,
            stage: ConfigurationStage::RolledOut,
            signed_by: None,
            text: text.to_owned(),
            source: Some(source.clone()),
        };
        Ok((self.acceptance_changes(&row, configuration, digest), result))
    }

    /// Applies a patch to the configuration in force and to the source that is read back, and
    /// activates the result in one step.
    fn patch_configuration(
        &self,
        base: ConfigurationVersion,
        version: ConfigurationVersion,
        patch: &str,
        source: &SourcePatch,
    ) -> CommandResult {
        let result = serde_json::json!({ "version": version, "in_force": true });
        let digest = digest_of_patch(&source.order);
        match self.order_status(version, digest) {
            OrderStatus::Accepted => return Ok((Vec::new(), result)),
            OrderStatus::Forgotten => return Err(outcome_unknown()),
            OrderStatus::NotAccepted => {}
        }
        Self::check_base(base, self.version_in_force())?;
        let before = self.patch_base(base)?;
        let configuration = apply_patch(&before.text, patch)?;
        let source = apply_source_patch(before.source.as_deref(), source)?;
        self.check_version_increases(version)?;
        let row = ConfigurationRow {
            version,
            base,
            stage: ConfigurationStage::RolledOut,
            signed_by: None,
            text: serde_json::to_string(&configuration).unwrap_or_default(),
            source: Some(source),
        };
        Ok((self.acceptance_changes(&row, configuration, digest), result))
    }

    /// The version that a patch is based on.
    fn patch_base(&self, base: ConfigurationVersion) -> Result<ConfigurationRow, ApiError> {
        match base {
            ConfigurationVersion(0) => Err(ApiError::not_run(Code::InvalidSpec).at("base")),
            _ => self.stored_configuration(base),
        }
    }

    /// Checks that an order's own version is greater than all versions before it.
    fn check_version_increases(&self, version: ConfigurationVersion) -> Result<(), ApiError> {
        if version > self.version_in_force() && version > self.newest_version() {
            return Ok(());
        }
        let reason = "a version is above all before it".to_owned();
        let fault = topazyard_spec::Fault {
            place: "version".to_owned(),
            reason: topazyard_spec::FaultReason::OutOfBounds(reason),
        };
        let refused = ApiError::not_run(Code::InvalidSpec).at("version");
        Err(ApiError { faults: vec![fault], ..refused })
    }

    /// The changes that accept a version and activate it in one step.
    fn acceptance_changes(
        &self,
        row: &ConfigurationRow,
        configuration: topazyard_spec::Configuration,
        digest: Digest,
    ) -> Vec<RowChange> {
        let change = RowChange::put(configuration_key(row.version), row);
        let mut changes = self.drop_old_texts(&change, row.version);
        changes.push(change);
        changes.extend(self.remember_order(row.version, digest));
        changes.extend(self.activation_changes(row.version, configuration));
        changes
    }

    /// The changes that activate a configuration. Each route has a row of its own, so that
    /// followers receive only the routes that changed.
    fn activation_changes(
        &self,
        version: ConfigurationVersion,
        mut configuration: topazyard_spec::Configuration,
    ) -> Vec<RowChange> {
        let routes = std::mem::take(&mut configuration.routes);
        let text = serde_json::to_string(&configuration).unwrap_or_default();
        let mut changes = vec![RowChange::put(IN_FORCE, &InForceRow { version, text })];
        let mut removed: std::collections::BTreeSet<String> =
            self.replica.copy().with_prefix(ROUTES).map(|(key, _)| key.to_owned()).collect();
        for route in &routes {
            let change = RowChange::put(route_key(&route.name), route);
            removed.remove(&change.key);
            if self.replica.copy().rows().get(&change.key) != change.value.as_ref() {
                changes.push(change);
            }
        }
        changes.extend(removed.into_iter().map(RowChange::delete));
        changes
    }

    fn sign_off(&self, version: ConfigurationVersion, by: &str) -> CommandResult {
        let row = self.stored_configuration(version)?;
        let result = serde_json::json!({ "version": version, "signed_by": by });
        match row.stage {
            ConfigurationStage::Submitted => {
                let signed = ConfigurationRow {
                    stage: ConfigurationStage::Signed,
                    signed_by: Some(by.to_owned()),
                    ..row
                };
                Ok((vec![RowChange::put(configuration_key(version), &signed)], result))
            }
            // Repeated by the same person, as after a lost response.
            ConfigurationStage::Signed | ConfigurationStage::RolledOut
                if row.signed_by.as_deref() == Some(by) =>
            {
                Ok((Vec::new(), result))
            }
            ConfigurationStage::Signed | ConfigurationStage::RolledOut => {
                Err(ApiError::not_run(Code::WrongState).at("version"))
            }
        }
    }

    fn roll_out(&self, version: ConfigurationVersion) -> CommandResult {
        let row = self.stored_configuration(version)?;
        let in_force_version = self.version_in_force();
        match row.stage {
            // Repeated, as after a lost response, possibly after a newer version was activated.
            ConfigurationStage::RolledOut => {
                let is_in_force = version == in_force_version;
                let result = serde_json::json!({ "version": version, "in_force": is_in_force });
                Ok((Vec::new(), result))
            }
            ConfigurationStage::Signed if version > in_force_version => {
                let configuration = topazyard_spec::Configuration::read(&row.text)
                    .map_err(ApiError::from_read_error)?;
                let rolled_out = ConfigurationRow { stage: ConfigurationStage::RolledOut, ..row };
                let change = RowChange::put(configuration_key(version), &rolled_out);
                let mut changes = self.drop_old_texts(&change, version);
                changes.push(change);
                changes.extend(self.activation_changes(version, configuration));
                let result = serde_json::json!({ "version": version, "in_force": true });
                Ok((changes, result))
            }
            // Unsigned, or older than the version in force. An older text must be submitted as a
            // new version.
            _ => Err(ApiError::not_run(Code::WrongState).at("version")),
        }
    }

    fn put_engines(&self, text: &str) -> CommandResult {
        let list = topazyard_spec::EngineList::read(text).map_err(ApiError::from_read_error)?;
        Ok(self.replace_engines(&list.engines))
    }

    fn replace_engines(&self, engines: &[topazyard_spec::Engine]) -> Accepted {
        let mut changes = Vec::new();
        let kept_keys: std::collections::BTreeSet<String> =
            engines.iter().map(|engine| engine_key(&engine.name)).collect();
        for (key, _) in self.replica.copy().with_prefix(ENGINES) {
            if !kept_keys.contains(key) {
                changes.push(RowChange::delete(key));
            }
        }
        for engine in engines {
            let key = engine_key(&engine.name);
            if self.replica.copy().get::<topazyard_spec::Engine>(&key).as_ref() != Some(engine) {
                changes.push(RowChange::put(key, engine));
            }
        }
        let result = serde_json::json!({ "engines": engines.len(), "changed": changes.len() });
        (changes, result)
    }

    /// Whether a list differs from the committed one.
    pub(super) fn changes_engines(&self, engines: &[topazyard_spec::Engine]) -> bool {
        !self.replace_engines(engines).0.is_empty()
    }

    fn storage(&self, id: NodeId) -> Result<StorageRow, ApiError> {
        let missing = || ApiError::not_run(Code::NotFound).at("node");
        self.replica.copy().get(&storage_key(id)).ok_or_else(missing)
    }

    fn empty_storage(&self, id: NodeId, now: MonotonicMs) -> CommandResult {
        let row = self.storage(id)?;
        let fleet = FleetSnapshot::read(self.replica.copy().rows());
        let status = self.storage_status(&fleet, self.serving_since.unwrap_or(now), now);
        if !crate::planner::has_capacity_without(&fleet, &status, id, self.backups() + 1) {
            return Err(ApiError::not_run(Code::NoRoom).at("node"));
        }
        let row = StorageRow { stage: StorageStage::Emptying, ..row };
        let result = serde_json::json!({ "node": id, "stage": row.stage });
        Ok((vec![RowChange::put(storage_key(id), &row)], result))
    }

    /// Starts emptying the storage node of that name; it is then retired automatically.
    fn retire_named(&self, name: &str, now: MonotonicMs) -> CommandResult {
        let fleet = FleetSnapshot::read(self.replica.copy().rows());
        let missing = || ApiError::not_run(Code::NotFound).at("node");
        let id = self.storage_by_name(&fleet, name, now).ok_or_else(missing)?;
        let row = self.storage(id)?;
        let result = serde_json::json!({ "node": id, "stage": StorageStage::Retiring });
        match row.stage {
            StorageStage::Retired => return Ok((Vec::new(), result)),
            StorageStage::Retiring => return Err(ApiError::not_run(Code::WrongState).at("node")),
            StorageStage::Active | StorageStage::Emptying => {}
        }
        let status = self.storage_status(&fleet, self.serving_since.unwrap_or(now), now);
        let needed = self.backups() + 1;
        if !crate::planner::has_capacity_without(&fleet, &status, id, needed) {
            return Err(ApiError::not_run(Code::NoRoom).at("node"));
        }
        let row = StorageRow { stage: StorageStage::Retiring, ..row };
        Ok((vec![RowChange::put(storage_key(id), &row)], result))
    }

    /// The storage node of that name. If several ids share the name, as after a lost disk, the one
    /// heard from last.
    pub(super) fn storage_by_name(
        &self,
        fleet: &FleetSnapshot,
        name: &str,
        now: MonotonicMs,
    ) -> Option<NodeId> {
        let named =
            fleet.storage.iter().filter(|(_, row)| row.member.name.as_deref() == Some(name));
        let silence =
            |id: &NodeId| self.reports.by_node.get(id).map(|report| now.since(report.received_at));
        let never = topazyard_types::DurationMs(u64::MAX);
        named.min_by_key(|(id, _)| silence(id).unwrap_or(never)).map(|(id, _)| *id)
    }

    fn add_storage(&self, id: NodeId) -> CommandResult {
        let row = match self.storage(id) {
            Ok(row) => row,
            Err(missing) => {
                let member = self.storage_member(id).ok_or(missing)?.clone();
                StorageRow { member, stage: StorageStage::Active }
            }
        };
        let row = StorageRow { stage: StorageStage::Active, ..row };
        let result = serde_json::json!({ "node": id, "stage": row.stage });
        Ok((vec![RowChange::put(storage_key(id), &row)], result))
    }

    fn retire_storage(&self, id: NodeId) -> CommandResult {
        let row = self.storage(id)?;
        let fleet = FleetSnapshot::read(self.replica.copy().rows());
        if crate::planner::hosted_copies(&fleet, id) > 0 {
            return Err(ApiError::not_run(Code::HoldsCopies).at("node"));
        }
        // The row stays while the node runs: without it the node would be registered as a new one.
        let row = StorageRow { stage: StorageStage::Retired, ..row };
        let result = serde_json::json!({ "node": id, "stage": row.stage });
        Ok((vec![RowChange::put(storage_key(id), &row)], result))
    }

    fn set_weight(
        &self,
        epoch: topazyard_types::Epoch,
        pool: &topazyard_types::PoolName,
        live_percent: u8,
    ) -> CommandResult {
        if epoch < self.replica.epoch() {
            return Err(ApiError::not_run(Code::StaleBase).at("epoch"));
        }
        let in_force: Option<InForceRow> = self.replica.copy().get(IN_FORCE);
        let configuration = in_force
            .and_then(|row| serde_json::from_str::<topazyard_spec::Configuration>(&row.text).ok());
        let missing = || ApiError::not_run(Code::NotFound).at("pool");
        let configuration = configuration
            .filter(|configuration| configuration.pool(pool).is_some())
            .ok_or_else(missing)?;
        let bounds = &configuration.weights;
        let live_percent =
            live_percent.clamp(bounds.live_floor_percent, bounds.live_ceiling_percent);
        let change = RowChange::put(weight_key(pool), &WeightRow { live_percent });
        Ok((vec![change], serde_json::json!({ "pool": pool, "live_percent": live_percent })))
    }
}
