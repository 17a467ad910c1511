//! This relay's holds at the counter, and the lease that they depend on.

use super::{Outputs, RelayMachine};
use topazyard_types::{
    BootId, DurationMs, EngineName, Epoch, HoldId, MonotonicMs, PoolName, ShardId, Tokens,
};
use topazyard_wire::Effect;
use topazyard_wire::message::Message;
use topazyard_wire::message::counter::{CounterBody, CounterMessage, Hold, HoldKind, HoldTerms};

/// Interval between renewals of the lease.
const RENEWAL_INTERVAL: DurationMs = DurationMs(500);
/// How long a renewal is valid from when it was sent; below the counter's 3 s.
const RENEWAL_LEASE: DurationMs = DurationMs(2_800);
/// Time without a response after which a hold request is sent again.
const HOLD_RETRY_INTERVAL: DurationMs = DurationMs(250);

#[derive(Debug)]
struct OwnHold {
    hold: Hold,
    granted: bool,
    requested_at: MonotonicMs,
}

/// The holds that this relay has or has requested.
#[derive(Debug, Default)]
pub(crate) struct CounterClient {
    holds: std::collections::BTreeMap<HoldId, OwnHold>,
    last_id: u64,
    last_renewal_number: u64,
    renewals: std::collections::VecDeque<(u64, MonotonicMs)>,
    last_renewal_at: Option<MonotonicMs>,
    lease_start: Option<MonotonicMs>,
    epoch: Epoch,
}

impl CounterClient {
    pub(super) fn new(boot_id: BootId) -> Self {
        Self {
            last_id: boot_id.first_number(),
            last_renewal_number: boot_id.first_number(),
            ..Self::default()
        }
    }

    /// When the newest acknowledged renewal was sent.
    pub(crate) fn lease_start(&self) -> Option<MonotonicMs> {
        self.lease_start
    }

    /// Until when the holds of this relay are guaranteed to stand.
    pub(crate) fn lease_end(&self) -> MonotonicMs {
        self.lease_start.map_or(MonotonicMs(0), |from| from.plus(RENEWAL_LEASE))
    }
}

impl RelayMachine {
    fn send_counter(&self, body: CounterBody, effects: &mut Outputs) {
        if let Some((to, epoch)) = self.primary_of(ShardId::COUNTER) {
            let message = Message::Counter(CounterMessage { epoch, body });
            effects.push(Effect::Send { to, message });
        }
    }

    /// The terms of the configuration in force here.
    fn terms(&self, pool: &PoolName, kind: HoldKind) -> HoldTerms {
        let configuration =
            self.fleet.configuration.as_ref().map(|(_, configuration)| configuration);
        let known = configuration.and_then(|configuration| configuration.pool(pool));
        let limit = known.map_or(Tokens(0), |pool| self.fleet.limit(pool));
        let part = match kind {
            HoldKind::Live | HoldKind::Block => limit,
            HoldKind::Item => self.fleet.batch_share(pool, limit),
        };
        let expiry = match kind {
            HoldKind::Block => self.block_expiry,
            _ => DurationMs(known.map_or(0, |pool| pool.hold_expiry_ms)),
        };
        HoldTerms { limit, part, expiry }
    }

    /// Requests a hold; the response arrives in [`RelayMachine::hold_decided`].
    pub(super) fn request_hold(
        &mut self,
        pool: PoolName,
        cost: Tokens,
        kind: HoldKind,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) -> HoldId {
        self.request_hold_at(Vec::new(), pool, cost, kind, now, effects)
    }

    /// Requests a hold that includes one of these engines.
    pub(super) fn request_hold_at(
        &mut self,
        engines: Vec<EngineName>,
        pool: PoolName,
        cost: Tokens,
        kind: HoldKind,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) -> HoldId {
        self.counter.last_id += 1;
        let id = HoldId(self.counter.last_id);
        let terms = self.terms(&pool, kind);
        let hold = Hold { id, pool, cost, kind, engines, terms };
        self.send_counter(CounterBody::Add(hold.clone()), effects);
        self.counter.holds.insert(id, OwnHold { hold, granted: false, requested_at: now });
        id
    }

    /// Releases a hold, granted or not, exactly once: it is removed here in the same step, and a
    /// renewal that no longer lists it makes up for a lost message.
    pub(super) fn release_hold(&mut self, id: HoldId, effects: &mut Outputs) {
        if self.counter.holds.remove(&id).is_some() {
            self.send_counter(CounterBody::Release(id), effects);
        }
    }

    pub(super) fn counter_tick(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        let Some((_, epoch)) = self.primary_of(ShardId::COUNTER) else { return };
        let primary_changed = epoch != self.counter.epoch;
        self.counter.epoch = epoch;
        let due = self.counter.last_renewal_at.is_none_or(|at| now.since(at) >= RENEWAL_INTERVAL);
        if due || primary_changed {
            self.renew(now, effects);
        }
        let overdue: Vec<Hold> = self
            .counter
            .holds
            .values_mut()
            .filter(|own_hold| {
                !own_hold.granted
                    && (primary_changed || now.since(own_hold.requested_at) >= HOLD_RETRY_INTERVAL)
            })
            .map(|own_hold| {
                own_hold.requested_at = now;
                own_hold.hold.clone()
            })
            .collect();
        for hold in overdue {
            let terms = self.terms(&hold.pool, hold.kind);
            let hold = Hold { terms, ..hold };
            self.send_counter(CounterBody::Add(hold), effects);
        }
    }

    fn renew(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        let counter = &mut self.counter;
        counter.last_renewal_at = Some(now);
        counter.last_renewal_number += 1;
        counter.renewals.push_back((counter.last_renewal_number, now));
        if counter.renewals.len() > 16 {
            counter.renewals.pop_front();
        }
        let granted = counter.holds.values().filter(|own_hold| own_hold.granted);
        let holds = granted.map(|own_hold| own_hold.hold.clone()).collect();
        let pending = counter
            .holds
            .iter()
            .filter(|(_, own_hold)| !own_hold.granted)
            .map(|(id, _)| *id)
            .collect();
        let (number, up_to) = (counter.last_renewal_number, HoldId(counter.last_id));
        let used = self.requests.take_mean_used(now);
        self.send_counter(CounterBody::Renew { number, up_to, holds, pending, used }, effects);
    }

    pub(super) fn receive_counter(
        &mut self,
        message: &CounterMessage,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        match &message.body {
            CounterBody::NotPrimary => {
                self.forward_record(ShardId::COUNTER, message.epoch, effects)
            }
            CounterBody::Added { id, granted, engine } => {
                let (id, granted) = (*id, *granted);
                match self.counter.holds.get_mut(&id) {
                    None if granted => self.send_counter(CounterBody::Release(id), effects),
                    None => {}
                    // Already answered: the same request was sent twice.
                    Some(own_hold) if own_hold.granted => {}
                    Some(own_hold) => {
                        own_hold.granted = granted;
                        own_hold.hold.engines = engine.iter().cloned().collect();
                        if !granted {
                            self.counter.holds.remove(&id);
                        }
                        self.hold_decided(id, granted.then_some(engine.as_ref()), now, effects);
                    }
                }
            }
            CounterBody::Renewed { number } => {
                let sent = self.counter.renewals.iter().find(|(other, _)| other == number);
                if let Some((_, sent)) = sent {
                    self.counter.lease_start = self.counter.lease_start.max(Some(*sent));
                }
            }
            _ => {}
        }
    }

    /// A hold of a prompt, a block or an item was granted, possibly with an engine, or refused.
    fn hold_decided(
        &mut self,
        id: HoldId,
        granted: Option<Option<&EngineName>>,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        if self.admission.has_requested(id) {
            self.prompt_hold_decided(id, granted.is_some(), now, effects);
        } else if self.requests.has_requested(id) {
            self.block_decided(id, granted.is_some(), now, effects);
        } else {
            match granted {
                Some(engine) => self.item_hold_granted(id, engine, now, effects),
                None => self.item_hold_refused(id, now),
            }
        }
    }
}
