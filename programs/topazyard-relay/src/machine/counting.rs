//! This relay's holds at the counter, and the lease under which they stand.

use super::{Out, RelayMachine};
use topazyard_types::{
    BootId, DurationMs, EngineName, Epoch, HoldId, MonotonicMs, PoolName, ShardId, Tokens,
};
use topazyard_wire::Effect;
use topazyard_wire::message::Message;
use topazyard_wire::message::counter::{CounterBody, CounterMessage, Hold, HoldKind, HoldTerms};

/// How often the lease is renewed.
const RENEW_EVERY: DurationMs = DurationMs(500);
/// How long a renewal counts, from when it was sent; below the counter's 3 s.
const LEASE: DurationMs = DurationMs(2_800);
/// After how long without a return an asking is sent again.
const ASK_AGAIN: DurationMs = DurationMs(250);

#[derive(Debug)]
struct Mine {
    hold: Hold,
    granted: bool,
    asked_at: MonotonicMs,
}

/// What this relay holds and asks for.
#[derive(Debug, Default)]
pub(crate) struct Counting {
    mine: std::collections::BTreeMap<HoldId, Mine>,
    last_id: u64,
    last_number: u64,
    renewals: std::collections::VecDeque<(u64, MonotonicMs)>,
    last_renewal: Option<MonotonicMs>,
    leased_from: Option<MonotonicMs>,
    epoch: Epoch,
}

impl Counting {
    pub(super) fn new(boot_id: BootId) -> Self {
        Self {
            last_id: boot_id.first_number(),
            last_number: boot_id.first_number(),
            ..Self::default()
        }
    }

    /// Until when what is held here surely stands.
    /// When the newest renewal that was acknowledged was sent.
    pub(crate) fn leased_from(&self) -> Option<MonotonicMs> {
        self.leased_from
    }

    pub(crate) fn leased_until(&self) -> MonotonicMs {
        self.leased_from.map_or(MonotonicMs(0), |from| from.plus(LEASE))
    }
}

impl RelayMachine {
    fn send_counter(&self, body: CounterBody, out: &mut Out) {
        if let Some((to, epoch)) = self.leads(ShardId::COUNTER) {
            let message = Message::Counter(CounterMessage { epoch, body });
            out.push(Effect::Send { to, message });
        }
    }

    /// The terms of the spec in force here.
    fn terms(&self, pool: &PoolName, kind: HoldKind) -> HoldTerms {
        let bundle = self.view.configuration.as_ref().map(|(_, bundle)| bundle);
        let known = bundle.and_then(|bundle| bundle.pool(pool));
        let limit = known.map_or(Tokens(0), |pool| self.view.limit(pool));
        let part = match kind {
            HoldKind::Live | HoldKind::Block => limit,
            HoldKind::Item => self.view.batch_share(pool, limit),
        };
        let expiry = match kind {
            HoldKind::Block => self.block_expiry,
            _ => DurationMs(known.map_or(0, |pool| pool.hold_expiry_ms)),
        };
        HoldTerms { limit, part, expiry }
    }

    /// Asks for a hold; the return comes by [`RelayMachine::hold_settled`].
    pub(super) fn ask_hold(
        &mut self,
        pool: PoolName,
        cost: Tokens,
        kind: HoldKind,
        now: MonotonicMs,
        out: &mut Out,
    ) -> HoldId {
        self.ask_hold_at(Vec::new(), pool, cost, kind, now, out)
    }

    /// Asks for a hold that gets one of these engines with it.
    pub(super) fn ask_hold_at(
        &mut self,
        engines: Vec<EngineName>,
        pool: PoolName,
        cost: Tokens,
        kind: HoldKind,
        now: MonotonicMs,
        out: &mut Out,
    ) -> HoldId {
        self.counting.last_id += 1;
        let id = HoldId(self.counting.last_id);
        let terms = self.terms(&pool, kind);
        let hold = Hold { id, pool, cost, kind, engines, terms };
        self.send_counter(CounterBody::Add(hold.clone()), out);
        self.counting.mine.insert(id, Mine { hold, granted: false, asked_at: now });
        id
    }

    /// Lets a hold go, granted or not. Once: it is forgotten here with the same step, and a
    /// renewal that no longer lists it makes up for a lost frame.
    pub(super) fn release_hold(&mut self, id: HoldId, out: &mut Out) {
        if self.counting.mine.remove(&id).is_some() {
            self.send_counter(CounterBody::Release(id), out);
        }
    }

    pub(super) fn counting_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        let Some((_, epoch)) = self.leads(ShardId::COUNTER) else { return };
        let moved = epoch != self.counting.epoch;
        self.counting.epoch = epoch;
        let due = self.counting.last_renewal.is_none_or(|at| now.since(at) >= RENEW_EVERY);
        if due || moved {
            self.renew(now, out);
        }
        let late: Vec<Hold> = self
            .counting
            .mine
            .values_mut()
            .filter(|mine| !mine.granted && (moved || now.since(mine.asked_at) >= ASK_AGAIN))
            .map(|mine| {
                mine.asked_at = now;
                mine.hold.clone()
            })
            .collect();
        for hold in late {
            let terms = self.terms(&hold.pool, hold.kind);
            let hold = Hold { terms, ..hold };
            self.send_counter(CounterBody::Add(hold), out);
        }
    }

    fn renew(&mut self, now: MonotonicMs, out: &mut Out) {
        let counting = &mut self.counting;
        counting.last_renewal = Some(now);
        counting.last_number += 1;
        counting.renewals.push_back((counting.last_number, now));
        if counting.renewals.len() > 16 {
            counting.renewals.pop_front();
        }
        let granted = counting.mine.values().filter(|mine| mine.granted);
        let holds = granted.map(|mine| mine.hold.clone()).collect();
        let pending =
            counting.mine.iter().filter(|(_, mine)| !mine.granted).map(|(id, _)| *id).collect();
        let (number, up_to) = (counting.last_number, HoldId(counting.last_id));
        let used = self.requests.take_mean_used(now);
        self.send_counter(CounterBody::Renew { number, up_to, holds, pending, used }, out);
    }

    pub(super) fn receive_counter(
        &mut self,
        message: &CounterMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        match &message.body {
            CounterBody::NotPrimary => self.tell_record(ShardId::COUNTER, message.epoch, out),
            CounterBody::Added { id, granted, engine } => {
                let (id, granted) = (*id, *granted);
                match self.counting.mine.get_mut(&id) {
                    None if granted => self.send_counter(CounterBody::Release(id), out),
                    None => {}
                    // Answered before: the same asking was sent twice.
                    Some(mine) if mine.granted => {}
                    Some(mine) => {
                        mine.granted = granted;
                        mine.hold.engines = engine.iter().cloned().collect();
                        if !granted {
                            self.counting.mine.remove(&id);
                        }
                        self.hold_settled(id, granted.then_some(engine.as_ref()), now, out);
                    }
                }
            }
            CounterBody::Renewed { number } => {
                let sent = self.counting.renewals.iter().find(|(n, _)| n == number);
                if let Some((_, sent)) = sent {
                    self.counting.leased_from = self.counting.leased_from.max(Some(*sent));
                }
            }
            _ => {}
        }
    }

    /// A hold was granted, maybe with an engine, or refused: it is a prompt's, a block or an item's.
    fn hold_settled(
        &mut self,
        id: HoldId,
        granted: Option<Option<&EngineName>>,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        if self.admission.asks(id) {
            self.prompt_hold_settled(id, granted.is_some(), now, out);
        } else if self.requests.asks(id) {
            self.block_settled(id, granted.is_some(), now, out);
        } else {
            match granted {
                Some(engine) => self.item_hold_granted(id, engine, now, out),
                None => self.item_hold_refused(id, now),
            }
        }
    }
}
