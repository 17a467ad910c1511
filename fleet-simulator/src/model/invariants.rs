//! Invariants of every state, checked against the responses that operators and readers received and
//! the state of serving nodes.

use super::order::Order;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use topazyard_control::ControlMachine;
use topazyard_types::{ConfigurationVersion, Epoch, LogPosition, NodeId};
use topazyard_wire::message::control::EpochRecord;
use topazyard_wire::state::configuration_key;

/// A property that must hold in every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// At most one node serves in an epoch.
    OnePrimary,
    /// An epoch has one record.
    OneRecord,
    /// A record names at least as many backups as disks may be lost at once.
    EnoughCopies,
    /// A fleet without faults serves again after some time.
    Recovers,
    /// Every later primary has each acknowledged order, and that order or a later one is in force.
    Kept,
    /// The routes of a primary or a reader are those of the version in force.
    Whole,
    /// A refused order is never in force.
    RefusedStays,
    /// A version has one content, and at most one order is applied on a base version.
    OneContent,
    /// An applied order is not refused when it is sent again.
    TakenStays,
    /// A reader never sees the configuration revert to an older one.
    NeverBack,
    /// A read returns nothing older than what was acknowledged before the request.
    Fresh,
    /// A node that receives nothing from other nodes makes no decisions.
    AloneDecidesNothing,
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// What was observed.
    pub text: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.text)
    }
}

/// An acknowledged order.
#[derive(Debug, Clone, Copy)]
struct Acknowledged {
    order: usize,
    /// The newest epoch in which a node had served at that time.
    served_epoch: Epoch,
}

/// Records what was observed and checks it against the invariants.
#[derive(Debug, Clone, Default)]
pub struct InvariantChecker {
    orders: Vec<Arc<Order>>,
    records: BTreeMap<Epoch, EpochRecord>,
    served: BTreeMap<Epoch, NodeId>,
    acknowledged: BTreeMap<ConfigurationVersion, Acknowledged>,
    refused: BTreeSet<usize>,
    /// Orders known to have been in force at some time, by version and by base.
    applied: BTreeMap<ConfigurationVersion, usize>,
    applied_bases: BTreeMap<ConfigurationVersion, usize>,
    only_invariant: Option<Invariant>,
    losses: usize,
    violation: Option<Violation>,
}

impl InvariantChecker {
    /// Checks one invariant or all of them, for a fleet that tolerates this many lost disks.
    pub fn new(only_invariant: Option<Invariant>, losses: u16) -> Self {
        Self { only_invariant, losses: usize::from(losses), ..Self::default() }
    }

    /// The first violation.
    pub fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    /// Keeps a violation if it is the first one of a checked invariant.
    pub fn report(&mut self, invariant: Invariant, text: String) {
        if self.only_invariant.is_none_or(|only_invariant| only_invariant == invariant) {
            self.violation.get_or_insert(Violation { invariant, text });
        }
    }

    /// Registers a new order of an operator.
    pub fn add_order(
        &mut self,
        base: ConfigurationVersion,
        version: ConfigurationVersion,
    ) -> Arc<Order> {
        let order = Arc::new(Order::new(self.orders.len(), base, version));
        self.orders.push(order.clone());
        order
    }

    /// The order of a number.
    pub fn order(&self, number: usize) -> Option<&Arc<Order>> {
        self.orders.get(number)
    }

    /// The newest acknowledged version.
    pub fn newest_acknowledged(&self) -> ConfigurationVersion {
        self.acknowledged.last_key_value().map(|(version, _)| *version).unwrap_or_default()
    }

    /// The newest epoch in which a node served.
    fn newest_served_epoch(&self) -> Epoch {
        self.served.last_key_value().map(|(epoch, _)| *epoch).unwrap_or_default()
    }

    /// Checks a node after a step; `before` is its log position and whether it served before the
    /// step.
    pub fn check_node(
        &mut self,
        id: NodeId,
        machine: &ControlMachine,
        before: (LogPosition, bool),
    ) {
        let Some(record) = machine.record() else { return };
        self.check_record(record);
        if !machine.is_serving() {
            return;
        }
        self.check_primary(id, record.epoch, machine);
        let (position, served) = before;
        if !served {
            self.record_committed_orders(
                machine,
                machine.copy().position().sequence != position.sequence,
            );
        }
    }

    /// Everything a new primary starts with is committed, except for what the same step added.
    fn record_committed_orders(&mut self, machine: &ControlMachine, step_added_rows: bool) {
        let copy = machine.copy();
        let added: BTreeSet<&str> = copy.last_changed_keys().filter(|_| step_added_rows).collect();
        let applied = self.orders.iter().filter(|order| order.is_applied(copy.rows()));
        let applied =
            applied.filter(|order| !added.contains(configuration_key(order.version).as_str()));
        let applied: Vec<usize> = applied.map(|order| order.number).collect();
        applied.into_iter().for_each(|number| self.record_applied(number));
    }

    fn check_record(&mut self, record: &EpochRecord) {
        if record.backups.len() < self.losses {
            let text = format!("epoch {} has {} backups", record.epoch, record.backups.len());
            self.report(Invariant::EnoughCopies, text);
        }
        match self.records.get(&record.epoch) {
            Some(known) if known != record => {
                let text = format!("epoch {}: {known:?} and {record:?}", record.epoch);
                self.report(Invariant::OneRecord, text);
            }
            Some(_) => {}
            None => drop(self.records.insert(record.epoch, record.clone())),
        }
    }

    fn check_primary(&mut self, id: NodeId, epoch: Epoch, machine: &ControlMachine) {
        let first = *self.served.entry(epoch).or_insert(id);
        if first != id {
            let text = format!("{first} and {id} both served in epoch {epoch}");
            self.report(Invariant::OnePrimary, text);
        }
        let rows = machine.copy().rows();
        self.check_rows("the primary", rows);
        let in_force = super::order::version_in_force(rows).unwrap_or_default();
        let lost = self.acknowledged.iter().find(|(version, acknowledged)| {
            let holds = self.orders[acknowledged.order].is_applied(rows);
            acknowledged.served_epoch <= epoch && (!holds || in_force < **version)
        });
        if let Some((version, acknowledged)) = lost {
            let text = format!(
                "order {} ({version}) was acknowledged when epoch {} served; \
                 the primary of {epoch} has {in_force} in force",
                acknowledged.order, acknowledged.served_epoch
            );
            self.report(Invariant::Kept, text);
        }
    }

    /// Checks that all route rows belong to the configuration in force.
    fn check_rows(&mut self, holder: &str, rows: &BTreeMap<String, bytes::Bytes>) {
        let Some(version) = super::order::version_in_force(rows) else { return };
        let mut candidates = self.orders.iter().filter(|order| order.version == version);
        if !candidates.any(|order| order.has_routes(rows)) {
            let text = format!("{holder} has {version} in force with other routes");
            self.report(Invariant::Whole, text);
        }
    }

    /// Records that an order is or was in force.
    fn record_applied(&mut self, number: usize) {
        let Some(order) = self.orders.get(number).cloned() else { return };
        if self.refused.contains(&number) {
            let text = format!("order {number} ({}) was refused and is in force", order.version);
            self.report(Invariant::RefusedStays, text);
        }
        let same_version = *self.applied.entry(order.version).or_insert(number);
        let same_base = *self.applied_bases.entry(order.base).or_insert(number);
        for other in [same_version, same_base].into_iter().filter(|other| *other != number) {
            let text = format!("orders {other} and {number} ({}) were both applied", order.version);
            self.report(Invariant::OneContent, text);
        }
    }

    /// Records that an operator was told that its order is in force.
    pub fn record_acknowledged(&mut self, number: usize) {
        let Some(order) = self.orders.get(number).cloned() else { return };
        let served_epoch = self.newest_served_epoch();
        self.acknowledged
            .entry(order.version)
            .or_insert(Acknowledged { order: number, served_epoch });
        self.record_applied(number);
    }

    /// Records that an operator was told that its order is finally refused.
    pub fn record_refused(&mut self, number: usize) {
        self.refused.insert(number);
        if self.applied.values().any(|applied| *applied == number) {
            let text = format!("order {number} was applied, and refused when it was sent again");
            self.report(Invariant::TakenStays, text);
        }
    }

    /// Checks a read that returned an order; `acknowledged_before` is the newest version that was
    /// acknowledged when the request was sent.
    pub fn check_read(
        &mut self,
        holder: &str,
        read: Option<usize>,
        acknowledged_before: ConfigurationVersion,
    ) {
        let version = read.and_then(|number| self.orders.get(number)).map(|order| order.version);
        if version.unwrap_or_default() < acknowledged_before {
            let text =
                format!("{holder} read {version:?}; {acknowledged_before} was acknowledged before");
            self.report(Invariant::Fresh, text);
        }
        if let Some(number) = read {
            self.record_applied(number);
        }
    }

    /// Checks a reader whose rows were confirmed; `before` is the version it had in force until
    /// then.
    pub fn check_reader(
        &mut self,
        holder: &str,
        rows: &BTreeMap<String, bytes::Bytes>,
        before: Option<ConfigurationVersion>,
        acknowledged_before: ConfigurationVersion,
    ) {
        let version = super::order::version_in_force(rows);
        if version < before {
            let text = format!("{holder} saw {before:?} and then {version:?}");
            self.report(Invariant::NeverBack, text);
        }
        self.check_rows(holder, rows);
        let held = self
            .orders
            .iter()
            .find(|order| Some(order.version) == version && order.has_routes(rows));
        let held = held.map(|order| order.number);
        self.check_read(holder, held, acknowledged_before);
    }
}
