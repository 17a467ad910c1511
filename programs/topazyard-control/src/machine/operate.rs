//! Operators' calls: taken at any control node, worked on by the primary, one command at a time.

use super::{ControlMachine, Out, Waiting};
use topazyard_types::{CallId, DurationMs, MonotonicMs};
use topazyard_wire::Effect;
use topazyard_wire::api::{ApiError, Code};
use topazyard_wire::message::Message;
use topazyard_wire::message::operate::{Command, Operate, OperateMessage, OperateOutcome};

/// Commands that may wait.
const INBOX: usize = 256;
/// How long a call that was passed on may take.
const PASSED_ON_LIMIT: DurationMs = DurationMs(4_000);
/// How long a command or query may wait at the primary.
const QUEUED_LIMIT: DurationMs = DurationMs(4_000);

/// Who asked.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Origin {
    /// A caller of this process.
    Local(CallId),
    /// Another control node.
    Passed(std::net::SocketAddr, u64),
    /// This node's own duty of tuning weights.
    Tuner,
    /// This node's own duty of reading the list of engines.
    Listing,
}

#[derive(Debug, Clone)]
struct PassedOn {
    origin: Origin,
    is_command: bool,
    since: MonotonicMs,
}

/// Calls that wait.
#[derive(Debug, Clone)]
pub(crate) struct OperateInbox {
    commands: std::collections::VecDeque<(Origin, Command, MonotonicMs)>,
    passed_on: std::collections::BTreeMap<u64, PassedOn>,
    last_id: u64,
}

impl OperateInbox {
    pub(super) fn new(life: topazyard_types::Life) -> Self {
        Self {
            commands: std::collections::VecDeque::new(),
            passed_on: std::collections::BTreeMap::new(),
            last_id: life.first_number(),
        }
    }
}

impl ControlMachine {
    pub(super) fn take_operate(
        &mut self,
        origin: Origin,
        request: Operate,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        if self.pair.is_serving() {
            match request {
                Operate::Query(query) => {
                    self.submit(Vec::new(), Waiting::Query(origin, query));
                }
                Operate::Command(command) if self.operate.commands.len() < INBOX => {
                    self.operate.commands.push_back((origin, command, now));
                }
                Operate::Command(_) => self.refuse(origin, Code::NoPrimary, now, out),
            }
            return;
        }
        let primary = self.witness.record().map(|record| record.primary);
        match (origin, primary) {
            (Origin::Local(_) | Origin::Tuner, Some(primary)) if primary.id != self.me.id => {
                self.operate.last_id += 1;
                let id = self.operate.last_id;
                let is_command = matches!(request, Operate::Command(_));
                self.operate.passed_on.insert(id, PassedOn { origin, is_command, since: now });
                let message = Message::Operate(OperateMessage::Ask { id, request });
                out.push(Effect::Send { to: primary.address, message });
            }
            _ => self.refuse(origin, Code::NoPrimary, now, out),
        }
    }

    pub(super) fn receive_operate(
        &mut self,
        from: std::net::SocketAddr,
        message: OperateMessage,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        match message {
            OperateMessage::Ask { id, request } => {
                self.take_operate(Origin::Passed(from, id), request, now, out);
            }
            OperateMessage::Answer { id, outcome } => {
                if let Some(passed) = self.operate.passed_on.remove(&id) {
                    self.answer(passed.origin, outcome, now, out);
                }
            }
        }
    }

    /// Works on the next command, unless changes are under way on which it could depend.
    pub(super) fn run_commands(&mut self, now: MonotonicMs) {
        if !self.pair.is_serving() || self.pair.has_changes_pending() {
            return;
        }
        let Some((origin, command, _)) = self.operate.commands.pop_front() else { return };
        // A refusal is committed like a read: what it was judged by is then confirmed state.
        let (changes, outcome) = match self.judge(&command, now) {
            Ok((changes, done)) => (changes, OperateOutcome::Done(done.to_string())),
            Err(error) => (Vec::new(), OperateOutcome::Refused(error)),
        };
        self.submit(changes, Waiting::Command(origin, outcome));
    }

    pub(super) fn answer(
        &mut self,
        origin: Origin,
        outcome: OperateOutcome,
        now: MonotonicMs,
        out: &mut Out,
    ) {
        out.push(match origin {
            Origin::Tuner => return self.tuner_told(&outcome, now, out),
            // The next list says it again.
            Origin::Listing => return,
            Origin::Local(call) => Effect::Return { call, value: outcome },
            Origin::Passed(to, id) => Effect::Send {
                to,
                message: Message::Operate(OperateMessage::Answer { id, outcome }),
            },
        });
    }

    fn refuse(&mut self, origin: Origin, code: Code, now: MonotonicMs, out: &mut Out) {
        self.answer(origin, OperateOutcome::Refused(ApiError::not_run(code)), now, out);
    }

    /// Refuses commands that were never worked on.
    pub(super) fn refuse_all_queued(&mut self, now: MonotonicMs, out: &mut Out) {
        for (origin, _, _) in std::mem::take(&mut self.operate.commands) {
            self.refuse(origin, Code::NoPrimary, now, out);
        }
    }

    pub(super) fn operate_beat(&mut self, now: MonotonicMs, out: &mut Out) {
        while let Some((origin, _, since)) = self.operate.commands.front().cloned() {
            if now.since(since) < QUEUED_LIMIT {
                break;
            }
            self.operate.commands.pop_front();
            self.refuse(origin, Code::NoPrimary, now, out);
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
                let error = if passed.is_command {
                    ApiError::may_have_run(Code::OutcomeUnknown)
                } else {
                    ApiError::not_run(Code::NoPrimary)
                };
                self.answer(passed.origin, OperateOutcome::Refused(error), now, out);
            }
        }
    }
}
