//! Batch calls: sent to the shard's primary until a response arrives or the call times out. All of
//! them are idempotent and may be sent twice.

use super::shard_primaries::ShardPrimaries;
use super::{MAX_FEED_AGE, Outputs, RelayMachine, RelayResponse};
use topazyard_spec::ModelRouteKind;
use topazyard_types::{
    BatchId, BootId, CallId, DurationMs, Epoch, ItemNumber, MonotonicMs, NodeId, ShardId, Tokens,
};
use topazyard_wire::Effect;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::Message;
use topazyard_wire::message::batch::{
    BatchBody, BatchCall, BatchMessage, BatchResponse, Item, RoutedBatch, RoutedBatchTerms,
    WaitingCeiling,
};
use topazyard_wire::routes::RouteTable;

/// Time without a response after which a call is sent again, once its receiver has confirmed that
/// it serves. It doubles with each attempt.
const RETRY_INTERVAL: DurationMs = DurationMs(400);
/// Maximum time between two attempts of a call.
const MAX_RETRY_INTERVAL: DurationMs = DurationMs(3_200);
/// Minimum time after which a call is sent again when its receiver could not handle it.
const REFUSED_RETRY_INTERVAL: DurationMs = DurationMs(100);
/// Time without a response after which a read is also sent to every node that holds a replica. It
/// doubles with each attempt.
const REPLICA_READ_DELAY: DurationMs = DurationMs(150);
/// Maximum age of the last update from control when a batch is submitted to its shard. Together
/// with the second that it may wait there, it stays below the 2 s within which a configuration
/// applies.
const MAX_SUBMIT_FEED_AGE: DurationMs = DurationMs(800);
/// Timeout of a client's call.
pub const CLIENT_CALL_TIMEOUT: DurationMs = DurationMs(5_000);
/// Maximum number of calls under way.
const MAX_PENDING_CALLS: usize = 2_048;

/// A client's submission of a batch of routed items.
#[derive(Debug)]
pub struct RoutedSubmission {
    /// The batch.
    pub batch: BatchId,
    /// The host that it was submitted to.
    pub host: String,
    /// The path that it was submitted to. Together with the host it decides the route whose terms
    /// the batch is accepted under.
    pub path: String,
    /// Its items.
    pub items: Vec<Item>,
    /// The timeout of the call.
    pub timeout: DurationMs,
}

/// Who waits for the response.
#[derive(Debug)]
pub(super) enum Caller {
    /// A client's call.
    Client(CallId),
    /// This relay, which requested a lease of a shard's items at this time.
    Leasing(MonotonicMs),
    /// This relay, for the start of a run.
    Starting(topazyard_wire::message::batch::Run),
    /// This relay, for the end of a run.
    Finishing,
}

#[derive(Debug)]
struct PendingCall {
    caller: Caller,
    shard: ShardId,
    call: BatchCall,
    deadline: MonotonicMs,
    send_at: MonotonicMs,
    retry_interval: DurationMs,
    replica_read_at: MonotonicMs,
    replica_read_interval: DurationMs,
    /// The epoch of the primary that the call was last sent to; it may have applied the call
    /// without responding.
    last_sent_epoch: Option<Epoch>,
}

/// Batch calls under way.
#[derive(Debug)]
pub(crate) struct BatchCalls {
    pending: std::collections::BTreeMap<u64, PendingCall>,
    primaries: ShardPrimaries,
    last_id: u64,
}

impl BatchCalls {
    pub(super) fn new(relay: NodeId, boot_id: BootId) -> Self {
        Self {
            pending: std::collections::BTreeMap::new(),
            primaries: ShardPrimaries::new(relay),
            last_id: boot_id.first_number(),
        }
    }

    /// Postpones the retries of calls that the primary of the epoch has received.
    fn postpone_retries(&mut self, received: &[u64], epoch: Epoch, now: MonotonicMs) {
        for id in received {
            if let Some(pending) = self.pending.get_mut(id) {
                pending.sent(epoch, now);
            }
        }
    }

    /// The calls to a shard, oldest first.
    fn calls_to(&self, shard: ShardId) -> Vec<u64> {
        let to_shard = self.pending.iter().filter(|(_, pending)| pending.shard == shard);
        to_shard.map(|(id, _)| *id).collect()
    }

    /// Clients' calls under way.
    pub(super) fn client_calls(&self) -> usize {
        let is_client = |pending: &&PendingCall| matches!(pending.caller, Caller::Client(_));
        self.pending.values().filter(is_client).count()
    }

    /// Limits the deadlines of the clients' calls under way to this time.
    pub(super) fn limit_client_deadlines(&mut self, deadline: MonotonicMs) {
        self.pending.values_mut().for_each(|pending| pending.limit_deadline(deadline));
    }

    /// Lease requests without a response.
    pub(super) fn pending_leases(&self) -> usize {
        let is_lease = |pending: &&PendingCall| matches!(pending.caller, Caller::Leasing(_));
        self.pending.values().filter(is_lease).count()
    }

    /// Ends of runs that their shards have not acknowledged.
    pub(super) fn unreported_ends(&self) -> usize {
        let is_end = |pending: &&PendingCall| matches!(pending.caller, Caller::Finishing);
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

/// Sets the ceilings that a batch's items come under, and the first item without a batch route.
fn set_ceilings(routed: &mut RoutedBatch, routes: &RouteTable) {
    routed.ceilings.clear();
    routed.unrouted_item = None;
    let host = &routed.terms.host;
    for (number, item) in (0..).map(ItemNumber).zip(&routed.items) {
        let path = item.routing.as_ref().map_or("", |routing| &routing.path);
        let route = routes.find_batch(host, path);
        let Some((route, terms)) = route.and_then(|route| Some((route, route.batch.as_ref()?)))
        else {
            routed.unrouted_item.get_or_insert(number);
            continue;
        };
        let tokens = terms.ceiling_tokens;
        let is_listed = routed.ceilings.iter().any(|ceiling| ceiling.paths.contains(host, path));
        if tokens > Tokens(0) && !is_listed {
            routed.ceilings.push(WaitingCeiling { paths: routes.paths_of(route), tokens });
        }
    }
}

impl PendingCall {
    /// Whether a refusal by the primary of that epoch is final: a later primary may still accept
    /// the call.
    fn is_refusal_final(&self, epoch: Epoch) -> bool {
        self.last_sent_epoch.is_none_or(|last_sent_epoch| epoch >= last_sent_epoch)
    }

    /// Whether the call is to be sent to the primary of the epoch, if that serves.
    fn is_due(&self, epoch: Epoch, now: MonotonicMs) -> bool {
        now >= self.send_at || self.last_sent_epoch.is_some_and(|last_sent| last_sent != epoch)
    }

    /// Whether the primary of the epoch has left the call unanswered for too long.
    fn is_overdue(&self, epoch: Epoch, now: MonotonicMs) -> bool {
        self.last_sent_epoch == Some(epoch) && now >= self.send_at
    }

    /// Records that the call was sent to the primary of the epoch.
    fn sent(&mut self, epoch: Epoch, now: MonotonicMs) {
        self.send_at = now.plus(self.retry_interval);
        self.last_sent_epoch = Some(epoch);
        // A submission that waits for the ceiling is kept only while its relay repeats it.
        if !matches!(self.call, BatchCall::Submit { .. }) {
            self.retry_interval = DurationMs((self.retry_interval.0 * 2).min(MAX_RETRY_INTERVAL.0));
        }
    }

    /// Limits the deadline of a client's call to this time.
    fn limit_deadline(&mut self, deadline: MonotonicMs) {
        if matches!(self.caller, Caller::Client(_)) {
            self.deadline = self.deadline.min(deadline);
        }
    }
}

impl RelayMachine {
    /// Accepts a client's batch call.
    pub(super) fn call_batch(
        &mut self,
        call: CallId,
        request: BatchCall,
        timeout: DurationMs,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        // A read reaches no engine and is confirmed by the shard itself, so it is allowed while
        // control changes hands and until this process exits.
        let changes = !is_read(&request);
        let refused = if changes && self.draining.is_some() {
            Some(Code::Draining)
        } else if changes && now >= self.fresh_until() {
            Some(Code::StaleFeed)
        } else if self.batches.pending.len() >= MAX_PENDING_CALLS {
            Some(Code::NoShard)
        } else {
            None
        };
        match (refused, shard_of(&request)) {
            (None, Some(shard)) => {
                self.send_batch(Caller::Client(call), shard, request, timeout, now, effects);
            }
            (code, _) => {
                let error = ApiError::not_run(code.unwrap_or(Code::NoShard));
                effects.push(Effect::Respond { call, value: RelayResponse::Refused(error) });
            }
        }
    }

    /// Checks a batch against the configuration in force and submits it.
    pub(super) fn submit_batch(
        &mut self,
        call: CallId,
        batch: BatchId,
        items: Vec<Item>,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        match self.check_items(&items) {
            Ok(ceiling) => {
                let request = BatchCall::Submit { batch, items, ceiling };
                self.call_batch(call, request, CLIENT_CALL_TIMEOUT, now, effects);
            }
            Err(error) => {
                self.record_refusal(error.code);
                effects.push(Effect::Respond { call, value: RelayResponse::Refused(error) });
            }
        }
    }

    /// Submits a batch of routed items.
    pub(super) fn submit_routed(
        &mut self,
        call: CallId,
        submission: RoutedSubmission,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        let RoutedSubmission { batch, host, path, items, timeout } = submission;
        let route = self.fleet.routes.find_batch(&host, &path);
        let batch_route = route.and_then(|route| Some((route, route.batch.as_ref()?)));
        let Some((route, terms)) = batch_route else {
            self.record_refusal(Code::NoLane);
            let error = ApiError::not_run(Code::NoLane);
            return effects.push(Effect::Respond { call, value: RelayResponse::Refused(error) });
        };
        let routed = RoutedBatch {
            batch,
            terms: RoutedBatchTerms {
                submitted_route: route.name.clone(),
                host,
                run_target: DurationMs(terms.run_target_ms),
                retention: DurationMs(terms.retention_ms),
                max_attempts: route.max_attempts,
            },
            items,
            // Each attempt carries the ceilings in force when it is sent.
            ceilings: Vec::new(),
            unrouted_item: None,
        };
        self.call_batch(call, BatchCall::SubmitRouted(routed), timeout, now, effects);
    }

    /// Checks items against the configuration in force and returns its ceiling on waiting work.
    fn check_items(&self, items: &[Item]) -> Result<Tokens, ApiError> {
        let Some((_, configuration)) = &self.fleet.configuration else {
            return Err(ApiError::not_run(Code::StaleFeed));
        };
        let limits = &configuration.batches;
        if items.is_empty() || items.len() > limits.max_items as usize {
            return Err(ApiError::not_run(Code::Malformed).at("items"));
        }
        for (index, item) in items.iter().enumerate() {
            if item.body.len() > limits.max_item_bytes as usize {
                let error = ApiError::not_run(Code::BodyTooLarge);
                return Err(error.at(format!("items[{index}].body")));
            }
            if configuration.model_route_for(ModelRouteKind::Batch, &item.model).is_none() {
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
        timeout: DurationMs,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        self.batches.last_id += 1;
        let id = self.batches.last_id;
        let deadline = now.plus(timeout);
        let replica_read_at = now.plus(REPLICA_READ_DELAY);
        let mut pending = PendingCall {
            caller,
            shard,
            call,
            deadline,
            send_at: now,
            retry_interval: RETRY_INTERVAL,
            replica_read_at,
            replica_read_interval: REPLICA_READ_DELAY,
            last_sent_epoch: None,
        };
        if let Some(draining) = &self.draining {
            pending.limit_deadline(draining.batch_call_deadline());
        }
        self.batches.pending.insert(id, pending);
        self.send_or_query(shard, &[id], now, effects);
    }

    /// Sends those of the calls that are due if the shard's primary is known to serve, or else
    /// queries the primary when that is due.
    fn send_or_query(
        &mut self,
        shard: ShardId,
        calls: &[u64],
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        let Some((to, epoch)) = self.primary_of(shard) else { return };
        if self.batches.primaries.is_serving(shard, epoch) {
            let due = |id: &&u64| {
                self.batches.pending.get(id).is_some_and(|pending| pending.is_due(epoch, now))
            };
            let due: Vec<u64> = calls.iter().filter(due).copied().collect();
            due.into_iter().for_each(|id| self.send_pending(id, now, effects));
        } else if self.batches.primaries.start_query(shard, epoch, now) {
            let message = BatchMessage { shard, epoch, call: 0, body: BatchBody::CheckServing };
            effects.push(Effect::Send { to, message: Message::Batch(message) });
        }
    }

    /// Sends the calls that are due to each shard, after a change of its primary or as time passes.
    pub(super) fn send_due_batch_calls(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        let shards: std::collections::BTreeSet<ShardId> =
            self.batches.pending.values().map(|pending| pending.shard).collect();
        for shard in shards {
            let calls = self.batches.calls_to(shard);
            self.send_or_query(shard, &calls, now, effects);
        }
    }

    /// Doubts each primary that has left a call unanswered for too long.
    fn doubt_silent_primaries(&mut self, now: MonotonicMs) {
        let records = &self.fleet.shards;
        let is_overdue = |pending: &&PendingCall| {
            let record = records.get(&pending.shard);
            record.is_some_and(|record| pending.is_overdue(record.epoch, now))
        };
        let silent: std::collections::BTreeSet<ShardId> =
            self.batches.pending.values().filter(is_overdue).map(|pending| pending.shard).collect();
        silent.into_iter().for_each(|shard| self.batches.primaries.doubt(shard));
    }

    fn send_pending(&mut self, id: u64, now: MonotonicMs, effects: &mut Outputs) {
        let ceiling = self
            .fleet
            .configuration
            .as_ref()
            .map(|(_, configuration)| configuration.batches.waiting_ceiling_tokens);
        let is_feed_recent = now.plus(MAX_FEED_AGE) < self.fresh_until().plus(MAX_SUBMIT_FEED_AGE);
        let Some(pending) = self.batches.pending.get_mut(&id) else { return };
        if let BatchCall::Submit { ceiling: current_ceiling, .. } = &mut pending.call {
            // The shard keeps the batch waiting only while it is sent the ceiling in force.
            match ceiling.filter(|_| is_feed_recent) {
                Some(ceiling) => *current_ceiling = ceiling,
                None => return pending.send_at = now.plus(REFUSED_RETRY_INTERVAL),
            }
        }
        if let BatchCall::SubmitRouted(routed) = &mut pending.call {
            // Each attempt carries the ceilings in force; a route that was removed accepts no more
            // batches.
            if !is_feed_recent {
                return pending.send_at = now.plus(REFUSED_RETRY_INTERVAL);
            }
            set_ceilings(routed, &self.fleet.routes);
        }
        let Some(pending) = self.batches.pending.get(&id) else { return };
        let Some((to, epoch)) = self.primary_of(pending.shard) else { return };
        let body = BatchBody::Call(pending.call.clone());
        let shard = pending.shard;
        let message = BatchMessage { shard, epoch, call: id, body };
        effects.push(Effect::Send { to, message: Message::Batch(message) });
        if let Some(pending) = self.batches.pending.get_mut(&id) {
            pending.sent(epoch, now);
        }
    }

    /// Sends a shard that serves a call that needs no response.
    pub(super) fn notify_shard(&self, shard: ShardId, call: BatchCall, effects: &mut Outputs) {
        if let Some((to, epoch)) = self.primary_of(shard)
            && self.batches.primaries.is_serving(shard, epoch)
        {
            let body = BatchBody::Call(call);
            let message = BatchMessage { shard, epoch, call: 0, body };
            effects.push(Effect::Send { to, message: Message::Batch(message) });
        }
    }

    pub(super) fn receive_batch(
        &mut self,
        message: BatchMessage,
        now: MonotonicMs,
        effects: &mut Outputs,
    ) {
        let (shard, epoch) = (message.shard, message.epoch);
        let value = match message.body {
            BatchBody::Response(value) => value,
            BatchBody::Serving { pending_calls } => {
                self.batches.primaries.reported_serving(shard, epoch);
                self.batches.postpone_retries(&pending_calls, epoch, now);
                let calls = self.batches.calls_to(shard);
                return self.send_or_query(shard, &calls, now, effects);
            }
            _ => return,
        };
        if value == BatchResponse::NotPrimary {
            self.forward_record(shard, epoch, effects);
            self.batches.primaries.reported_not_serving(shard, epoch, now);
            if let Some(pending) = self.batches.pending.get_mut(&message.call) {
                pending.send_at = now.plus(REFUSED_RETRY_INTERVAL);
            }
            return;
        }
        if matches!(value, BatchResponse::CeilingReached | BatchResponse::Unrouted(_))
            && let Some(pending) = self.batches.pending.get(&message.call)
            && !pending.is_refusal_final(message.epoch)
        {
            return;
        }
        let Some(pending) = self.batches.pending.remove(&message.call) else { return };
        match (pending.caller, value) {
            (Caller::Client(call), BatchResponse::CeilingReached) => {
                self.record_refusal(Code::BatchCeiling);
                let error = ApiError::not_run(Code::BatchCeiling);
                effects.push(Effect::Respond { call, value: RelayResponse::Refused(error) });
            }
            (Caller::Client(call), BatchResponse::Unrouted(item)) => {
                self.record_refusal(Code::NoRoute);
                let error = ApiError::not_run(Code::NoRoute).at(format!("items[{item}].path"));
                effects.push(Effect::Respond { call, value: RelayResponse::Refused(error) });
            }
            (Caller::Client(call), value) => {
                effects.push(Effect::Respond { call, value: RelayResponse::Batch(value) });
            }
            (Caller::Leasing(requested_at), BatchResponse::Leased(items)) => {
                self.items_leased(pending.shard, items, requested_at, now, effects);
            }
            (Caller::Leasing(_), _) => self.items.lease_request_ended(pending.shard),
            (Caller::Starting(run), BatchResponse::MayStart(may_start)) => {
                self.start_decided(run, may_start, now, effects);
            }
            (Caller::Starting(run), _) => self.start_decided(run, false, now, effects),
            (Caller::Finishing, _) => {}
        }
    }

    pub(super) fn batches_tick(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        let expired: Vec<u64> = self
            .batches
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.deadline)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let Some(pending) = self.batches.pending.remove(&id) else { continue };
            match pending.caller {
                Caller::Client(call) => {
                    let outcome_unknown =
                        changes_state(&pending.call) && pending.last_sent_epoch.is_some();
                    let error = if outcome_unknown {
                        ApiError::may_have_run(Code::OutcomeUnknown)
                    } else {
                        ApiError::not_run(Code::NoShard)
                    };
                    self.record_refusal(error.code);
                    effects.push(Effect::Respond { call, value: RelayResponse::Refused(error) });
                }
                Caller::Leasing(_) => self.items.lease_request_ended(pending.shard),
                Caller::Starting(run) => self.start_decided(run, false, now, effects),
                Caller::Finishing => {}
            }
        }
        self.doubt_silent_primaries(now);
        self.send_due_batch_calls(now, effects);
        self.send_replica_reads(now, effects);
    }

    /// Sends reads that the primary left unanswered to every node that holds a replica.
    fn send_replica_reads(&mut self, now: MonotonicMs, effects: &mut Outputs) {
        for (id, pending) in &mut self.batches.pending {
            let Some(record) = self.fleet.shards.get(&pending.shard) else { continue };
            if now < pending.replica_read_at || !is_read(&pending.call) {
                continue;
            }
            pending.replica_read_interval = DurationMs(pending.replica_read_interval.0 * 2);
            pending.replica_read_at = now.plus(pending.replica_read_interval);
            for member in record.members() {
                let body = BatchBody::ReplicaRead(pending.call.clone());
                let (shard, epoch) = (pending.shard, record.epoch);
                let message = BatchMessage { shard, epoch, call: *id, body };
                effects.push(Effect::Send { to: member.address, message: Message::Batch(message) });
            }
        }
    }
}
