//! Calls on batches: sent to the shard's primary until it returns or time is up. All of them may
//! be sent twice without harm.

use super::{MAX_FEED_AGE, Out, RelayMachine, RelayResponse};
use topazyard_spec::ModelRouteKind;
use topazyard_types::{
    BatchId, BootId, CallId, DurationMs, Epoch, MonotonicMs, RouteName, ShardId, Tokens,
};
use topazyard_wire::Effect;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::Message;
use topazyard_wire::message::batch::{
    BatchBody, BatchCall, BatchMessage, BatchResponse, Item, RoutedBatch, RoutedBatchTerms,
};

/// After how long without a return a call is sent again.
const SEND_AGAIN: DurationMs = DurationMs(400);
/// After how long a call is sent again to one that said it can't.
const SEND_AGAIN_SOON: DurationMs = DurationMs(100);
/// After how long without a return a read is asked aside, of every node that holds a copy.
const ASK_ASIDE: DurationMs = DurationMs(150);
/// How old the last word of control may be when a batch is handed to its shard. With the second
/// that it may wait there it stays below the 2 s within which a spec is in force.
const SUBMIT_FRESH_FOR: DurationMs = DurationMs(800);
/// How long a client's call may take.
pub const CLIENT_CALL_TIMEOUT: DurationMs = DurationMs(5_000);
/// Clients' calls that may be under way.
const MOST_CALLS: usize = 2_048;

/// Who waits for a return.
#[derive(Debug)]
pub(super) enum Caller {
    /// A client's call.
    Client(CallId),
    /// This relay, which leases items of a shard since that moment.
    Leasing(MonotonicMs),
    /// This relay, for a run's start.
    Starting(topazyard_wire::message::batch::Run),
    /// This relay, for a run's end.
    Finishing,
}

#[derive(Debug)]
struct Pending {
    caller: Caller,
    shard: ShardId,
    call: BatchCall,
    until: MonotonicMs,
    send_at: MonotonicMs,
    aside_at: MonotonicMs,
    /// The epoch of the primary that it was sent to last, which may have acted on it without saying so.
    sent_in: Option<Epoch>,
}

/// Calls under way.
#[derive(Debug, Default)]
pub(crate) struct BatchCalls {
    pending: std::collections::BTreeMap<u64, Pending>,
    last: u64,
}

impl BatchCalls {
    pub(super) fn new(boot_id: BootId) -> Self {
        Self { last: boot_id.first_number(), ..Self::default() }
    }

    /// Clients' calls under way.
    pub(super) fn of_clients(&self) -> usize {
        let of_client = |pending: &&Pending| matches!(pending.caller, Caller::Client(_));
        self.pending.values().filter(of_client).count()
    }

    /// Answers clients' calls under way by then.
    pub(super) fn end_calls_by(&mut self, until: MonotonicMs) {
        self.pending.values_mut().for_each(|pending| pending.end_by(until));
    }

    /// Askings for items whose answers have not come.
    pub(super) fn leases_asked(&self) -> usize {
        let is_lease = |pending: &&Pending| matches!(pending.caller, Caller::Leasing(_));
        self.pending.values().filter(is_lease).count()
    }

    /// Ends of runs that their shards have not noted.
    pub(super) fn ends_to_tell(&self) -> usize {
        let is_end = |pending: &&Pending| matches!(pending.caller, Caller::Finishing);
        self.pending.values().filter(is_end).count()
    }
}

fn shard_of(call: &BatchCall) -> Option<ShardId> {
    match call {
        BatchCall::SubmitRouted(routed) => Some(routed.batch.shard),
        BatchCall::Submit { batch, .. }
        | BatchCall::RoutedResults { batch, .. }
        | BatchCall::Body { batch, .. }
        | BatchCall::ItemResults { batch, .. }
        | BatchCall::Read(batch)
        | BatchCall::Recall(batch, _)
        | BatchCall::End(batch) => Some(batch.shard),
        BatchCall::Start(run) | BatchCall::Finish(run, _) => Some(run.batch.shard),
        BatchCall::Lease { .. } | BatchCall::Running(_) => None,
    }
}

fn is_read(call: &BatchCall) -> bool {
    matches!(
        call,
        BatchCall::Read(_)
            | BatchCall::ItemResults { .. }
            | BatchCall::RoutedResults { .. }
            | BatchCall::Body { .. }
    )
}

fn changes_state(call: &BatchCall) -> bool {
    matches!(
        call,
        BatchCall::Submit { .. }
            | BatchCall::SubmitRouted(_)
            | BatchCall::Recall(..)
            | BatchCall::End(_)
    )
}

impl Pending {
    /// Whether a refusal of that epoch's primary holds for good: a later one may take the call yet.
    fn is_refused_by(&self, epoch: Epoch) -> bool {
        self.sent_in.is_none_or(|sent_in| epoch >= sent_in)
    }

    /// Has a client's call end by then.
    fn end_by(&mut self, until: MonotonicMs) {
        if matches!(self.caller, Caller::Client(_)) {
            self.until = self.until.min(until);
        }
    }
}

impl RelayMachine {
    /// Takes a client's call on a batch.
    pub(super) fn call_batch(
        &mut self,
        call: CallId,
        request: BatchCall,
        limit: DurationMs,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        // A read reaches no engine and is confirmed by the shard itself, so that it may go on
        // while control changes hands, and until this process ends.
        let changes = !is_read(&request);
        let refused = if changes && self.draining.is_some() {
            Some(Code::Draining)
        } else if changes && now >= self.fresh_until() {
            Some(Code::StaleFeed)
        } else if self.batches.pending.len() >= MOST_CALLS {
            Some(Code::NoShard)
        } else {
            None
        };
        match (refused, shard_of(&request)) {
            (None, Some(shard)) => {
                self.send_batch(Caller::Client(call), shard, request, limit, now, out);
            }
            (code, _) => {
                let error = ApiError::not_run(code.unwrap_or(Code::NoShard));
                out.push(Effect::Respond { call, value: RelayResponse::Refused(error) });
            }
        }
    }

    /// Checks a batch against the spec in force and hands it in.
    pub(super) fn submit_batch(
        &mut self,
        call: CallId,
        batch: BatchId,
        items: Vec<Item>,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        match self.check_items(&items) {
            Ok(ceiling) => {
                let request = BatchCall::Submit { batch, items, ceiling };
                self.call_batch(call, request, CLIENT_CALL_TIMEOUT, now, out);
            }
            Err(error) => {
                self.count_refusal(error.code);
                out.push(Effect::Respond { call, value: RelayResponse::Refused(error) });
            }
        }
    }

    /// Hands in a batch of routed items.
    pub(super) fn submit_routed(
        &mut self,
        call: CallId,
        (batch, route): (BatchId, &RouteName),
        items: Vec<Item>,
        limit: DurationMs,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        let route = self.view.routes.named(route);
        let of_batches = route.and_then(|route| Some((route, route.batch.as_ref()?)));
        let Some((route, terms)) = of_batches else {
            self.count_refusal(Code::NoLane);
            let error = ApiError::not_run(Code::NoLane);
            return out.push(Effect::Respond { call, value: RelayResponse::Refused(error) });
        };
        let routed = RoutedBatch {
            batch,
            terms: RoutedBatchTerms {
                route: route.name.clone(),
                host: route.host.clone(),
                run_target: DurationMs(terms.run_target_ms),
                retention: DurationMs(terms.retention_ms),
                max_attempts: route.max_attempts,
            },
            items,
            ceiling: terms.ceiling_tokens,
        };
        self.call_batch(call, BatchCall::SubmitRouted(routed), limit, now, out);
    }

    /// Checks items against the spec in force, and gives its ceiling on waiting work.
    fn check_items(&self, items: &[Item]) -> Result<Tokens, ApiError> {
        let Some((_, bundle)) = &self.view.configuration else {
            return Err(ApiError::not_run(Code::StaleFeed));
        };
        let limits = &bundle.batches;
        if items.is_empty() || items.len() > limits.max_items as usize {
            return Err(ApiError::not_run(Code::Malformed).at("items"));
        }
        for (index, item) in items.iter().enumerate() {
            if item.body.len() > limits.max_item_bytes as usize {
                let error = ApiError::not_run(Code::BodyTooLarge);
                return Err(error.at(format!("items[{index}].body")));
            }
            if bundle.model_route_for(ModelRouteKind::Batch, &item.model).is_none() {
                return Err(ApiError::not_run(Code::NoLane).at(format!("items[{index}].model")));
            }
        }
        Ok(limits.waiting_ceiling_tokens)
    }

    pub(super) fn send_batch(
        &mut self,
        caller: Caller,
        shard: ShardId,
        call: BatchCall,
        limit: DurationMs,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        self.batches.last += 1;
        let id = self.batches.last;
        let until = now.plus(limit);
        let aside_at = now.plus(ASK_ASIDE);
        let mut pending =
            Pending { caller, shard, call, until, send_at: now, aside_at, sent_in: None };
        if let Some(draining) = &self.draining {
            pending.end_by(draining.batch_call_deadline());
        }
        self.batches.pending.insert(id, pending);
        self.send_pending(id, now, out);
    }

    fn send_pending(&mut self, id: u64, now: MonotonicMs, out: &mut Out) {
        let ceiling = self
            .view
            .configuration
            .as_ref()
            .map(|(_, bundle)| bundle.batches.waiting_ceiling_tokens);
        let heard_lately = now.plus(MAX_FEED_AGE) < self.fresh_until().plus(SUBMIT_FRESH_FOR);
        let Some(pending) = self.batches.pending.get_mut(&id) else { return };
        if let BatchCall::Submit { ceiling: told, .. } = &mut pending.call {
            // It waits at the shard only as long as it is told the ceiling in force.
            match ceiling.filter(|_| heard_lately) {
                Some(ceiling) => *told = ceiling,
                None => return pending.send_at = now.plus(SEND_AGAIN_SOON),
            }
        }
        if let BatchCall::SubmitRouted(routed) = &mut pending.call {
            // The ceiling in force comes with each sending; a route that went takes nothing more.
            match self.view.routes.named(&routed.terms.route).and_then(|r| r.batch.as_ref()) {
                Some(terms) if heard_lately => routed.ceiling = terms.ceiling_tokens,
                _ => return pending.send_at = now.plus(SEND_AGAIN_SOON),
            }
        }
        let Some(pending) = self.batches.pending.get(&id) else { return };
        let Some((to, epoch)) = self.leads(pending.shard) else { return };
        let body = BatchBody::Call(pending.call.clone());
        let shard = pending.shard;
        let message = BatchMessage { shard, epoch, call: id, body };
        out.push(Effect::Send { to, message: Message::Batch(message) });
        if let Some(pending) = self.batches.pending.get_mut(&id) {
            pending.send_at = now.plus(SEND_AGAIN);
            pending.sent_in = Some(epoch);
        }
    }

    /// Tells a shard something that needs no return.
    pub(super) fn tell_batch(&self, shard: ShardId, call: BatchCall, out: &mut Out) {
        if let Some((to, epoch)) = self.leads(shard) {
            let body = BatchBody::Call(call);
            let message = BatchMessage { shard, epoch, call: 0, body };
            out.push(Effect::Send { to, message: Message::Batch(message) });
        }
    }

    pub(super) fn receive_batch(&mut self, message: BatchMessage, now: MonotonicMs, out: &mut Out) {
        let BatchBody::Response(value) = message.body else { return };
        if value == BatchResponse::NotPrimary {
            self.tell_record(message.shard, message.epoch, out);
            if let Some(pending) = self.batches.pending.get_mut(&message.call) {
                pending.send_at = now.plus(SEND_AGAIN_SOON);
            }
            return;
        }
        if value == BatchResponse::CeilingReached
            && let Some(pending) = self.batches.pending.get(&message.call)
            && !pending.is_refused_by(message.epoch)
        {
            return;
        }
        let Some(pending) = self.batches.pending.remove(&message.call) else { return };
        match (pending.caller, value) {
            (Caller::Client(call), BatchResponse::CeilingReached) => {
                self.count_refusal(Code::BatchCeiling);
                let error = ApiError::not_run(Code::BatchCeiling);
                out.push(Effect::Respond { call, value: RelayResponse::Refused(error) });
            }
            (Caller::Client(call), value) => {
                out.push(Effect::Respond { call, value: RelayResponse::Batch(value) });
            }
            (Caller::Leasing(since), BatchResponse::Leased(items)) => {
                self.items_leased(pending.shard, items, since, now, out);
            }
            (Caller::Leasing(_), _) => self.items.lease_over(pending.shard),
            (Caller::Starting(run), BatchResponse::MayStart(may)) => {
                self.start_settled(run, may, now, out);
            }
            (Caller::Starting(run), _) => self.start_settled(run, false, now, out),
            (Caller::Finishing, _) => {}
        }
    }

    pub(super) fn batches_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        let late: Vec<u64> = self
            .batches
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.until)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            let Some(pending) = self.batches.pending.remove(&id) else { continue };
            match pending.caller {
                Caller::Client(call) => {
                    let unknown = changes_state(&pending.call) && pending.sent_in.is_some();
                    let error = if unknown {
                        ApiError::may_have_run(Code::OutcomeUnknown)
                    } else {
                        ApiError::not_run(Code::NoShard)
                    };
                    self.count_refusal(error.code);
                    out.push(Effect::Respond { call, value: RelayResponse::Refused(error) });
                }
                Caller::Leasing(_) => self.items.lease_over(pending.shard),
                Caller::Starting(run) => self.start_settled(run, false, now, out),
                Caller::Finishing => {}
            }
        }
        let due: Vec<u64> = self
            .batches
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.send_at)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.send_pending(id, now, out);
        }
        self.ask_aside(now, out);
    }

    /// Asks reads that a primary leaves unanswered of every node that holds a copy.
    fn ask_aside(&mut self, now: MonotonicMs, out: &mut Out) {
        for (id, pending) in &mut self.batches.pending {
            let Some(record) = self.view.shards.get(&pending.shard) else { continue };
            if now < pending.aside_at || !is_read(&pending.call) {
                continue;
            }
            pending.aside_at = now.plus(ASK_ASIDE);
            for holder in record.members() {
                let body = BatchBody::ReplicaRead(pending.call.clone());
                let (shard, epoch) = (pending.shard, record.epoch);
                let message = BatchMessage { shard, epoch, call: *id, body };
                out.push(Effect::Send { to: holder.address, message: Message::Batch(message) });
            }
        }
    }
}
