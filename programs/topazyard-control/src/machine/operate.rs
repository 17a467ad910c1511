//! Operators' calls: taken at any control node, worked on by the primary, one command at a time.
//!
//! A copy of a command may travel longer than its caller waits: it may be doubled or held on its
//! way, or wait here. The refusal of a spec holds for good, so a late copy of one does no harm. Any
//! other command is worked on only while its caller is known to wait: the primary asks the node
//! that passed it on, which says so of one copy alone, and the word counts for a short time from
//! when it was asked for. No clocks are compared.

use super::{ControlMachine, Out, Waiting};
use topazyard_types::{CallId, DurationMs, MonotonicMs, NodeId};
use topazyard_wire::Effect;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::Message;
use topazyard_wire::message::operate::{
    Command, OperatorMessage, OperatorOutcome, OperatorRequest,
};

/// Commands that may wait.
const QUEUE_LIMIT: usize = 256;
/// How long a call that was passed on may take.
const PASSED_ON_LIMIT: DurationMs = DurationMs(4_000);
/// How long a command whose refusal holds for good may wait at the primary.
const QUEUED_LIMIT: DurationMs = DurationMs(4_000);
/// How long after it came a node says of a command that its caller still waits.
const CONFIRMS_WITHIN: DurationMs = DurationMs(700);
/// How long after it asked for it that word counts at the primary. Together they are less than the
/// 900 ms after which an operator is told that nothing is known.
const CONFIRMED_FOR: DurationMs = DurationMs(150);

/// Who asked.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Origin {
    /// A caller of this process.
    Local(CallId),
    /// Another control node.
    Passed(NodeId, std::net::SocketAddr, u64),
    /// This node's own duty of tuning weights.
    Tuner,
    /// This node's own duty of reading the list of engines.
    Listing,
}

#[derive(Debug, Clone)]
struct PassedOn {
    origin: Origin,
    /// Who was asked; nobody else's answer counts.
    to: NodeId,
    is_command: bool,
    since: MonotonicMs,
    /// Whether it runs only once that was confirmed, and which copy of it was.
    must_be_fresh: bool,
    confirmed: Option<u64>,
}

impl PassedOn {
    /// Why no answer came.
    fn lost(&self) -> ApiError {
        let surely_not_run = !self.is_command || (self.must_be_fresh && self.confirmed.is_none());
        match surely_not_run {
            true => ApiError::not_run(Code::NoPrimary),
            false => ApiError::may_have_run(Code::OutcomeUnknown),
        }
    }
}

/// A command that waits at the primary.
#[derive(Debug, Clone)]
struct Queued {
    origin: Origin,
    command: Command,
    /// It is worked on before then, or not at all.
    until: MonotonicMs,
}

/// A command that waits for the word that its caller still does.
#[derive(Debug, Clone)]
struct Offered {
    from: NodeId,
    queued: Queued,
}

/// The log's line for an operator's order that was not taken.
fn not_taken(
    command: &Command,
    error: &ApiError,
) -> Option<Effect<OperatorOutcome, super::ControlTask>> {
    let order = match command {
        Command::ApplyConfiguration { base, version, .. } => format!("spec {version} on {base}"),
        Command::PatchConfiguration { base, version, .. } => format!("patch {version} on {base}"),
        Command::SubmitConfiguration { base, .. } | Command::SubmitPatch { base, .. } => {
            format!("submission on {base}")
        }
        Command::RetireNamed(name) => format!("retirement of {name}"),
        _ => return None,
    };
    let text = format!("{order} not taken: {}", error.code);
    Some(Effect::Log { is_error: false, text })
}

/// Calls that wait.
#[derive(Debug, Clone)]
pub(crate) struct OperateQueue {
    commands: std::collections::VecDeque<Queued>,
    offered: std::collections::BTreeMap<u64, Offered>,
    passed_on: std::collections::BTreeMap<u64, PassedOn>,
    last_id: u64,
}

impl OperateQueue {
    pub(super) fn new(boot_id: topazyard_types::BootId) -> Self {
        Self {
            commands: std::collections::VecDeque::new(),
            offered: std::collections::BTreeMap::new(),
            passed_on: std::collections::BTreeMap::new(),
            last_id: boot_id.first_number(),
        }
    }
}

impl OperateQueue {
    fn queued(&self) -> usize {
        self.commands.len() + self.offered.len()
    }

    /// Calls that wait here, or for the node that they were passed on to.
    pub(super) fn waiting(&self) -> usize {
        self.queued() + self.passed_on.len()
    }
}

impl ControlMachine {
    pub(super) fn take_operate(
        &mut self,
        origin: Origin,
        request: OperatorRequest,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        if self.replica.is_serving() {
            match request {
                OperatorRequest::Query(query) => {
                    self.submit(Vec::new(), Waiting::Query(origin, query));
                }
                OperatorRequest::Command(command) if self.operate.queued() < QUEUE_LIMIT => {
                    self.queue(origin, command, now, out);
                }
                OperatorRequest::Command(_) => self.refuse(origin, Code::NoPrimary, now, out),
            }
            return;
        }
        let primary = self.witness.record().map(|record| record.primary);
        match (origin, primary) {
            (Origin::Local(_) | Origin::Tuner, Some(primary)) if primary.id != self.me.id => {
                self.operate.last_id += 1;
                let id = self.operate.last_id;
                let must_be_fresh = matches!(&request, OperatorRequest::Command(command) if command.must_be_fresh());
                let passed = PassedOn {
                    origin,
                    to: primary.id,
                    is_command: matches!(request, OperatorRequest::Command(_)),
                    since: now,
                    must_be_fresh,
                    confirmed: None,
                };
                self.operate.passed_on.insert(id, passed);
                let message = Message::Operate(OperatorMessage::Request { id, request });
                out.push(Effect::Send { to: primary.address, message });
            }
            _ => self.refuse(origin, Code::NoPrimary, now, out),
        }
    }

    /// Has a command wait its turn, or first for the word that its caller still waits.
    fn queue(&mut self, origin: Origin, command: Command, now: MonotonicMs, out: &mut Out) {
        let must_be_fresh = command.must_be_fresh();
        let limit = match origin {
            _ if !must_be_fresh => QUEUED_LIMIT,
            Origin::Passed(..) => CONFIRMED_FOR,
            Origin::Local(_) | Origin::Tuner | Origin::Listing => CONFIRMS_WITHIN,
        };
        let queued = Queued { origin, command, until: now.plus(limit) };
        let Origin::Passed(from, to, id) = origin else {
            self.operate.commands.push_back(queued);
            return;
        };
        if !must_be_fresh {
            self.operate.commands.push_back(queued);
            return;
        }
        self.operate.last_id += 1;
        let offer = self.operate.last_id;
        self.operate.offered.insert(offer, Offered { from, queued });
        let message = Message::Operate(OperatorMessage::ConfirmWaiting { id, offer });
        out.push(Effect::Send { to, message });
    }

    pub(super) fn receive_operate(
        &mut self,
        sender: NodeId,
        from: std::net::SocketAddr,
        message: OperatorMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        match message {
            OperatorMessage::Request { id, request } => {
                self.take_operate(Origin::Passed(sender, from, id), request, now, out);
            }
            OperatorMessage::Response { id, outcome } => {
                let passed = self.operate.passed_on.get(&id);
                if passed.is_none_or(|passed| passed.to != sender) {
                    return;
                }
                if let Some(passed) = self.operate.passed_on.remove(&id) {
                    self.answer(passed.origin, outcome, now, out);
                }
            }
            OperatorMessage::ConfirmWaiting { id, offer } => {
                if self.confirms(sender, id, offer, now) {
                    let message = Message::Operate(OperatorMessage::StillWaiting { offer });
                    out.push(Effect::Send { to: from, message });
                }
            }
            OperatorMessage::StillWaiting { offer } => self.take_confirmation(sender, offer, now),
        }
    }

    /// Whether the caller of an asking still waits, and no other copy of it was confirmed.
    fn confirms(&mut self, asked: NodeId, id: u64, offer: u64, now: MonotonicMs) -> bool {
        let Some(passed) = self.operate.passed_on.get_mut(&id) else { return false };
        let waits = passed.to == asked && now.since(passed.since) < CONFIRMS_WITHIN;
        waits && *passed.confirmed.get_or_insert(offer) == offer
    }

    /// The caller of a command waits: it is worked on next, unless the word took too long.
    fn take_confirmation(&mut self, sender: NodeId, offer: u64, now: MonotonicMs) {
        let offered = self.operate.offered.get(&offer);
        if offered.is_none_or(|offered| offered.from != sender) {
            return;
        }
        if let Some(offered) = self.operate.offered.remove(&offer)
            && now < offered.queued.until
        {
            self.operate.commands.push_back(offered.queued);
        }
    }

    /// Works on the next command, unless changes are under way on which it could depend.
    pub(super) fn run_commands(&mut self, now: MonotonicMs, out: &mut Out) {
        if !self.replica.is_serving() || self.replica.has_changes_pending() {
            return;
        }
        let Some(Queued { origin, command, until }) = self.operate.commands.pop_front() else {
            return;
        };
        if now >= until {
            self.refuse(origin, Code::NoPrimary, now, out);
            return;
        }
        // A refusal is committed like a read: what it was judged by is then confirmed state.
        let (changes, outcome) = match self.judge(&command, now) {
            Ok((changes, done)) => (changes, OperatorOutcome::Done(done.to_string())),
            Err(error) => {
                out.extend(not_taken(&command, &error));
                (Vec::new(), OperatorOutcome::Refused(error))
            }
        };
        let is_configuration = command.is_configuration();
        self.submit(changes, Waiting::Command { origin, outcome, is_configuration });
    }

    pub(super) fn answer(
        &mut self,
        origin: Origin,
        outcome: OperatorOutcome,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        out.push(match origin {
            Origin::Tuner => return self.tuner_told(&outcome, now, out),
            // The next list says it again.
            Origin::Listing => return,
            Origin::Local(call) => Effect::Respond { call, value: outcome },
            Origin::Passed(_, to, id) => Effect::Send {
                to,
                message: Message::Operate(OperatorMessage::Response { id, outcome }),
            },
        });
    }

    fn refuse(&mut self, origin: Origin, code: Code, now: MonotonicMs, out: &mut Out) {
        self.answer(origin, OperatorOutcome::Refused(ApiError::not_run(code)), now, out);
    }

    /// Refuses commands that were never worked on.
    pub(super) fn refuse_all_queued(&mut self, now: MonotonicMs, out: &mut Out) {
        self.operate.offered.clear();
        for queued in std::mem::take(&mut self.operate.commands) {
            self.refuse(queued.origin, Code::NoPrimary, now, out);
        }
    }

    pub(super) fn operate_tick(&mut self, now: MonotonicMs, out: &mut Out) {
        // Whoever passed one of these on may have confirmed another copy: nothing is said of it.
        self.operate.offered.retain(|_, offered| now < offered.queued.until);
        let commands = std::mem::take(&mut self.operate.commands);
        let (waiting, late): (std::collections::VecDeque<_>, std::collections::VecDeque<_>) =
            commands.into_iter().partition(|queued| now < queued.until);
        self.operate.commands = waiting;
        for queued in late {
            self.refuse(queued.origin, Code::NoPrimary, now, out);
        }
        let late: Vec<u64> = self
            .operate
            .passed_on
            .iter()
            .filter(|(_, passed)| now.since(passed.since) >= PASSED_ON_LIMIT)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            if let Some(passed) = self.operate.passed_on.remove(&id) {
                let outcome = OperatorOutcome::Refused(passed.lost());
                self.answer(passed.origin, outcome, now, out);
            }
        }
    }
}
