//! Operators' calls. Any control node accepts them; the primary executes commands one at a time.
//!
//! A copy of a command may arrive after its caller has given up: it may be duplicated or delayed by
//! the network, or queued here. The refusal of a configuration is final, so a late copy of one is
//! harmless. Any other command is executed only while its caller is known to be waiting. The
//! primary asks the node that forwarded it; that node confirms a single copy, and the confirmation
//! is valid for a short time from when the primary requested it. No clocks are compared.

use super::{ControlMachine, Effects, Waiting};
use topazyard_types::{CallId, DurationMs, MonotonicMs, NodeId};
use topazyard_wire::Effect;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::Message;
use topazyard_wire::message::operate::{
    Command, OperatorMessage, OperatorOutcome, OperatorRequest,
};

/// How many commands may be queued.
const MAX_QUEUED_COMMANDS: usize = 256;
/// How long a forwarded call may take.
const FORWARD_TIMEOUT: DurationMs = DurationMs(4_000);
/// How long a command whose refusal is final may be queued on the primary.
const QUEUE_TIMEOUT: DurationMs = DurationMs(4_000);
/// How long after receiving a command a node confirms that its caller is still waiting.
const CALLER_CONFIRM_TIMEOUT: DurationMs = DurationMs(700);
/// How long the primary regards that confirmation as valid after requesting it. Together with
/// `CALLER_CONFIRM_TIMEOUT` this is less than the 900 ms after which an operator is told that the
/// outcome is unknown.
const CONFIRMATION_TTL: DurationMs = DurationMs(150);

/// The originator of a call.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Origin {
    /// A caller in this process.
    Local(CallId),
    /// Another control node, with the id that it gave the call.
    Forwarded(NodeId, std::net::SocketAddr, u64),
    /// The weight tuner of this node.
    Tuner,
    /// The engine list reader of this node.
    EngineList,
}

#[derive(Debug, Clone)]
struct Forwarded {
    origin: Origin,
    /// The node that the call was forwarded to. Responses of other nodes are ignored.
    to: NodeId,
    is_command: bool,
    sent_at: MonotonicMs,
    /// Whether it is executed only after a confirmation, and which copy of it was confirmed.
    must_be_fresh: bool,
    confirmed: Option<u64>,
}

impl Forwarded {
    /// The error for a call that got no response.
    fn no_response_error(&self) -> ApiError {
        let certainly_not_run =
            !self.is_command || (self.must_be_fresh && self.confirmed.is_none());
        match certainly_not_run {
            true => ApiError::not_run(Code::NoPrimary),
            false => ApiError::may_have_run(Code::OutcomeUnknown),
        }
    }
}

/// A command queued on the primary.
#[derive(Debug, Clone)]
struct Queued {
    origin: Origin,
    command: Command,
    /// The command is executed before this time or not at all.
    deadline: MonotonicMs,
}

/// A command that waits for the confirmation that its caller is still waiting.
#[derive(Debug, Clone)]
struct Unconfirmed {
    from: NodeId,
    queued: Queued,
}

/// The log line for an operator's order that was refused.
fn refusal_log(
    command: &Command,
    error: &ApiError,
) -> Option<Effect<OperatorOutcome, super::ControlTask>> {
    let order = match command {
        Command::ApplyConfiguration { base, version, .. } => {
            format!("configuration {version} on {base}")
        }
        Command::PatchConfiguration { base, version, .. } => format!("patch {version} on {base}"),
        Command::SubmitConfiguration { base, .. } | Command::SubmitPatch { base, .. } => {
            format!("submission on {base}")
        }
        Command::RetireNamed(name) => format!("retirement of {name}"),
        _ => return None,
    };
    let text = format!("{order} refused: {}", error.code);
    Some(Effect::Log { is_error: false, text })
}

/// The calls waiting on this node.
#[derive(Debug, Clone)]
pub(crate) struct OperationQueue {
    commands: std::collections::VecDeque<Queued>,
    unconfirmed: std::collections::BTreeMap<u64, Unconfirmed>,
    forwarded: std::collections::BTreeMap<u64, Forwarded>,
    last_id: u64,
}

impl OperationQueue {
    pub(super) fn new(boot_id: topazyard_types::BootId) -> Self {
        Self {
            commands: std::collections::VecDeque::new(),
            unconfirmed: std::collections::BTreeMap::new(),
            forwarded: std::collections::BTreeMap::new(),
            last_id: boot_id.first_number(),
        }
    }
}

impl OperationQueue {
    fn queued(&self) -> usize {
        self.commands.len() + self.unconfirmed.len()
    }

    /// Calls queued on this node or forwarded to another.
    pub(super) fn waiting(&self) -> usize {
        self.queued() + self.forwarded.len()
    }
}

impl ControlMachine {
    pub(super) fn handle_request(
        &mut self,
        origin: Origin,
        request: OperatorRequest,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        if self.replica.is_serving() {
            match request {
                OperatorRequest::Query(query) => {
                    self.submit(Vec::new(), Waiting::Query(origin, query));
                }
                OperatorRequest::Command(command)
                    if self.operations.queued() < MAX_QUEUED_COMMANDS =>
                {
                    self.enqueue_command(origin, command, now, effects);
                }
                OperatorRequest::Command(_) => self.refuse(origin, Code::NoPrimary, now, effects),
            }
            return;
        }
        let primary = self.witness.record().map(|record| record.primary);
        match (origin, primary) {
            (Origin::Local(_) | Origin::Tuner, Some(primary)) if primary.id != self.me.id => {
                self.operations.last_id += 1;
                let id = self.operations.last_id;
                let must_be_fresh = matches!(
                    &request,
                    OperatorRequest::Command(command) if command.must_be_fresh()
                );
                let call = Forwarded {
                    origin,
                    to: primary.id,
                    is_command: matches!(request, OperatorRequest::Command(_)),
                    sent_at: now,
                    must_be_fresh,
                    confirmed: None,
                };
                self.operations.forwarded.insert(id, call);
                let message = Message::Operate(OperatorMessage::Request { id, request });
                effects.push(Effect::Send { to: primary.address, message });
            }
            _ => self.refuse(origin, Code::NoPrimary, now, effects),
        }
    }

    /// Queues a command, after requesting a confirmation that its caller is still waiting if it
    /// needs one.
    fn enqueue_command(
        &mut self,
        origin: Origin,
        command: Command,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        let must_be_fresh = command.must_be_fresh();
        let timeout = match origin {
            _ if !must_be_fresh => QUEUE_TIMEOUT,
            Origin::Forwarded(..) => CONFIRMATION_TTL,
            Origin::Local(_) | Origin::Tuner | Origin::EngineList => CALLER_CONFIRM_TIMEOUT,
        };
        let queued = Queued { origin, command, deadline: now.plus(timeout) };
        let Origin::Forwarded(from, to, id) = origin else {
            self.operations.commands.push_back(queued);
            return;
        };
        if !must_be_fresh {
            self.operations.commands.push_back(queued);
            return;
        }
        self.operations.last_id += 1;
        let offer = self.operations.last_id;
        self.operations.unconfirmed.insert(offer, Unconfirmed { from, queued });
        let message = Message::Operate(OperatorMessage::ConfirmWaiting { id, offer });
        effects.push(Effect::Send { to, message });
    }

    pub(super) fn receive_operator_message(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: OperatorMessage,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        match message {
            OperatorMessage::Request { id, request } => {
                self.handle_request(Origin::Forwarded(sender, from, id), request, now, effects);
            }
            OperatorMessage::Response { id, outcome } => {
                let call = self.operations.forwarded.get(&id);
                if call.is_none_or(|call| call.to != sender) {
                    return;
                }
                if let Some(call) = self.operations.forwarded.remove(&id) {
                    self.respond(call.origin, outcome, now, effects);
                }
            }
            OperatorMessage::ConfirmWaiting { id, offer } => {
                if self.confirm_waiting(sender, id, offer, now) {
                    let message = Message::Operate(OperatorMessage::StillWaiting { offer });
                    effects.push(Effect::Send { to: from, message });
                }
            }
            OperatorMessage::StillWaiting { offer } => {
                self.receive_confirmation(sender, offer, now)
            }
        }
    }

    /// Whether the caller of a forwarded call is still waiting and no other copy of it was
    /// confirmed.
    fn confirm_waiting(&mut self, sender: NodeId, id: u64, offer: u64, now: MonotonicMs) -> bool {
        let Some(call) = self.operations.forwarded.get_mut(&id) else { return false };
        let is_waiting = call.to == sender && now.since(call.sent_at) < CALLER_CONFIRM_TIMEOUT;
        is_waiting && *call.confirmed.get_or_insert(offer) == offer
    }

    /// Queues a command whose caller is confirmed to be waiting, unless the confirmation took too
    /// long.
    fn receive_confirmation(&mut self, sender: NodeId, offer: u64, now: MonotonicMs) {
        let unconfirmed = self.operations.unconfirmed.get(&offer);
        if unconfirmed.is_none_or(|unconfirmed| unconfirmed.from != sender) {
            return;
        }
        if let Some(unconfirmed) = self.operations.unconfirmed.remove(&offer)
            && now < unconfirmed.queued.deadline
        {
            self.operations.commands.push_back(unconfirmed.queued);
        }
    }

    /// Executes the next command, unless changes that it could depend on are pending.
    pub(super) fn run_commands(&mut self, now: MonotonicMs, effects: &mut Effects) {
        if !self.replica.is_serving() || self.replica.has_changes_pending() {
            return;
        }
        let Some(Queued { origin, command, deadline }) = self.operations.commands.pop_front()
        else {
            return;
        };
        if now >= deadline {
            self.refuse(origin, Code::NoPrimary, now, effects);
            return;
        }
        // A refusal is committed like a read, so that the state it is based on is confirmed.
        let (changes, outcome) = match self.evaluate(&command, now) {
            Ok((changes, result)) => (changes, OperatorOutcome::Done(result.to_string())),
            Err(error) => {
                effects.extend(refusal_log(&command, &error));
                (Vec::new(), OperatorOutcome::Refused(error))
            }
        };
        let is_configuration = command.is_configuration();
        self.submit(changes, Waiting::Command { origin, outcome, is_configuration });
    }

    pub(super) fn respond(
        &mut self,
        origin: Origin,
        outcome: OperatorOutcome,
        now: MonotonicMs,
        effects: &mut Effects,
    ) {
        effects.push(match origin {
            Origin::Tuner => return self.apply_tuning(&outcome, now, effects),
            // The next list repeats the command if needed.
            Origin::EngineList => return,
            Origin::Local(call) => Effect::Respond { call, value: outcome },
            Origin::Forwarded(_, to, id) => Effect::Send {
                to,
                message: Message::Operate(OperatorMessage::Response { id, outcome }),
            },
        });
    }

    fn refuse(&mut self, origin: Origin, code: Code, now: MonotonicMs, effects: &mut Effects) {
        self.respond(origin, OperatorOutcome::Refused(ApiError::not_run(code)), now, effects);
    }

    /// Refuses commands that were never executed.
    pub(super) fn refuse_all_queued(&mut self, now: MonotonicMs, effects: &mut Effects) {
        self.operations.unconfirmed.clear();
        for queued in std::mem::take(&mut self.operations.commands) {
            self.refuse(queued.origin, Code::NoPrimary, now, effects);
        }
    }

    pub(super) fn operations_tick(&mut self, now: MonotonicMs, effects: &mut Effects) {
        // The node that forwarded one of these may have confirmed another copy of it, so no
        // response is sent.
        self.operations.unconfirmed.retain(|_, unconfirmed| now < unconfirmed.queued.deadline);
        let commands = std::mem::take(&mut self.operations.commands);
        let (waiting, expired): (std::collections::VecDeque<_>, std::collections::VecDeque<_>) =
            commands.into_iter().partition(|queued| now < queued.deadline);
        self.operations.commands = waiting;
        for queued in expired {
            self.refuse(queued.origin, Code::NoPrimary, now, effects);
        }
        let expired: Vec<u64> = self
            .operations
            .forwarded
            .iter()
            .filter(|(_, call)| now.since(call.sent_at) >= FORWARD_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if let Some(call) = self.operations.forwarded.remove(&id) {
                let outcome = OperatorOutcome::Refused(call.no_response_error());
                self.respond(call.origin, outcome, now, effects);
            }
        }
    }
}
