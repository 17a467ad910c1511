//! What must hold in every state, by what operators and readers were told and by what a node that
//! serves holds.

use super::order::Order;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use topazyard_control::ControlMachine;
use topazyard_types::{ConfigurationVersion, Epoch, LogPosition, NodeId};
use topazyard_wire::message::control::EpochRecord;
use topazyard_wire::state::configuration_key;

/// What must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// One node at most serves in an epoch.
    OnePrimary,
    /// An epoch has one record.
    OneRecord,
    /// A record names as many backups as disks may be lost.
    EnoughCopies,
    /// A fleet that is whole and left alone serves.
    Recovers,
    /// What was acknowledged is in every later primary, and it or a later one is in force.
    Kept,
    /// The routes of a primary, or of a reader, are those of the version in force.
    Whole,
    /// Nothing that was refused is in force.
    RefusedStays,
    /// A number has one content, and a version one change that builds on it.
    OneContent,
    /// An order that was taken is not refused when it is sent again.
    TakenStays,
    /// A reader never sees the configuration go back.
    NeverBack,
    /// What is read was in force after the asking began.
    Fresh,
    /// A node that hears no other decides nothing.
    AloneDecidesNothing,
}

/// An invariant that does not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub invariant: Invariant,
    /// What was seen.
    pub text: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.text)
    }
}

/// An order that was acknowledged.
#[derive(Debug, Clone, Copy)]
struct Acknowledged {
    order: usize,
    /// The newest epoch in which a node had served by then.
    served_epoch: Epoch,
}

/// Remembers what was told, and compares.
#[derive(Debug, Clone, Default)]
pub struct InvariantChecker {
    orders: Vec<Arc<Order>>,
    records: BTreeMap<Epoch, EpochRecord>,
    served: BTreeMap<Epoch, NodeId>,
    acknowledged: BTreeMap<ConfigurationVersion, Acknowledged>,
    refused: BTreeSet<usize>,
    /// Orders known to be in force at some time, by version and by base.
    applied: BTreeMap<ConfigurationVersion, usize>,
    applied_bases: BTreeMap<ConfigurationVersion, usize>,
    only_invariant: Option<Invariant>,
    losses: usize,
    violation: Option<Violation>,
}

impl InvariantChecker {
    /// Looks at one invariant alone, or at all, of a fleet that may lose so many disks.
    pub fn new(only_invariant: Option<Invariant>, losses: u16) -> Self {
        Self { only_invariant, losses: usize::from(losses), ..Self::default() }
    }

    /// The first violation.
    pub fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    /// Notes a violation, if it is the first.
    pub fn report(&mut self, invariant: Invariant, text: String) {
        if self.only_invariant.is_none_or(|only_invariant| only_invariant == invariant) {
            self.violation.get_or_insert(Violation { invariant, text });
        }
    }

    /// An operator made up an order.
    pub fn add_order(
        &mut self,
        base: ConfigurationVersion,
        version: ConfigurationVersion,
    ) -> Arc<Order> {
        let order = Arc::new(Order::new(self.orders.len(), base, version));
        self.orders.push(order.clone());
        order
    }

    /// The order of that number.
    pub fn order(&self, number: usize) -> Option<&Arc<Order>> {
        self.orders.get(number)
    }

    /// The newest version acknowledged.
    pub fn newest_acknowledged(&self) -> ConfigurationVersion {
        self.acknowledged.last_key_value().map(|(version, _)| *version).unwrap_or_default()
    }

    /// The newest epoch in which a node served.
    fn newest_served_epoch(&self) -> Epoch {
        self.served.last_key_value().map(|(epoch, _)| *epoch).unwrap_or_default()
    }

    /// Looks at a node after a step of it, before which it was at a place, serving or not.
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

    /// All that a primary begins with is committed from now on, but for what the same step added.
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
                "order {} ({version}) was acknowledged by epoch {}; the primary of {epoch} has {in_force} in force",
                acknowledged.order, acknowledged.served_epoch
            );
            self.report(Invariant::Kept, text);
        }
    }

    /// Checks that rows are those of one configuration.
    fn check_rows(&mut self, holder: &str, rows: &BTreeMap<String, bytes::Bytes>) {
        let Some(version) = super::order::version_in_force(rows) else { return };
        let mut candidates = self.orders.iter().filter(|order| order.version == version);
        if !candidates.any(|order| order.has_routes(rows)) {
            let text = format!("{holder} has {version} in force with other routes");
            self.report(Invariant::Whole, text);
        }
    }

    /// An order is known to be or have been in force.
    fn record_applied(&mut self, number: usize) {
        let Some(order) = self.orders.get(number).cloned() else { return };
        if self.refused.contains(&number) {
            let text = format!("order {number} ({}) was refused and is in force", order.version);
            self.report(Invariant::RefusedStays, text);
        }
        let same_version = *self.applied.entry(order.version).or_insert(number);
        let same_base = *self.applied_bases.entry(order.base).or_insert(number);
        for other in [same_version, same_base].into_iter().filter(|other| *other != number) {
            let text = format!("orders {other} and {number} ({}) were both taken", order.version);
            self.report(Invariant::OneContent, text);
        }
    }

    /// An operator was told that its order is in force.
    pub fn record_acknowledged(&mut self, number: usize) {
        let Some(order) = self.orders.get(number).cloned() else { return };
        let served_epoch = self.newest_served_epoch();
        self.acknowledged
            .entry(order.version)
            .or_insert(Acknowledged { order: number, served_epoch });
        self.record_applied(number);
    }

    /// An operator was told that its order is refused for good.
    pub fn record_refused(&mut self, number: usize) {
        self.refused.insert(number);
        if self.applied.values().any(|applied| *applied == number) {
            let text = format!("order {number} was taken, and refused when it came again");
            self.report(Invariant::TakenStays, text);
        }
    }

    /// Something that was read says that an order is in force; the asking began when the newest
    /// version acknowledged was `since`.
    pub fn check_read(
        &mut self,
        holder: &str,
        read: Option<usize>,
        acknowledged_before: ConfigurationVersion,
    ) {
        let version = read.and_then(|number| self.orders.get(number)).map(|order| order.version);
        if version.unwrap_or_default() < acknowledged_before {
            let text = format!(
                "{holder} was shown {version:?}; {acknowledged_before} was acknowledged before"
            );
            self.report(Invariant::Fresh, text);
        }
        if let Some(number) = read {
            self.record_applied(number);
        }
    }

    /// A reader's rows changed: `before` was the version in force.
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
