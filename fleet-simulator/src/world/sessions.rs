//! What a relay's process does outside its machine: a prompt's way by the same state chart as in
//! the real process, and runs of items.

use super::engines::{EngineEvent, RunFor};
use super::{Caller, Event, InjectedBug, NodeIndex, World};
use crate::history::{Micros, Piece, PromptEnd};
use topazyard_relay::machine::{EngineOutcome, Prompt, PromptId, Target};
use topazyard_relay::prompt::{Failure, FailureAction, RequestStateMachine, State};
use topazyard_relay::{RelayCall, RelayResponse};
use topazyard_types::{DurationMs, EngineName};
use topazyard_wire::api::{ApiError, Execution};
use topazyard_wire::message::batch::{Run, RunEnd};

/// A prompt on its way through a relay.
#[derive(Debug)]
pub struct Session {
    node: NodeIndex,
    life: u64,
    /// The prompt in the history.
    prompt: usize,
    state_machine: RequestStateMachine,
    body: bytes::Bytes,
    pieces: u32,
    target: Option<Target>,
    pub(crate) tries: u32,
    pub(crate) run: Option<usize>,
    got: u32,
    sent_at: Micros,
    is_over: bool,
}

/// Something in a prompt's way; the number says at which try.
#[derive(Debug)]
pub enum SessionEvent {
    /// A connection to the engine is there, or not.
    Connected(u32, bool),
    /// A piece of the return came.
    Piece(u32, Piece),
    /// The engine's connection broke.
    Broken(u32),
    /// The head of the return was waited for long enough.
    HeadLate(u32),
    /// The client's wait is over.
    Deadline,
}

/// An item's run at a relay.
#[derive(Debug)]
pub(crate) struct ItemRun {
    node: NodeIndex,
    life: u64,
    run: Run,
    target: Target,
    body: bytes::Bytes,
    pub(crate) engine_run: Option<usize>,
    is_over: bool,
}

/// Something in an item's run.
#[derive(Debug)]
pub(crate) enum ItemEvent {
    /// A connection is there, or not.
    Connected(usize, bool),
    /// The whole return came.
    Whole(usize, Piece),
    /// The engine's connection broke.
    Broken(usize),
    /// It took too long.
    Late(usize),
}

impl World {
    /// A prompt arrives at a relay.
    pub(crate) fn begin_session(&mut self, node: NodeIndex, prompt: usize, pieces: u32) {
        let seen = &self.history.prompts[prompt];
        let work = &self.history.works[seen.work];
        let (wait, repeatable, model) = (seen.wait, seen.repeatable, seen.model.clone());
        let (body, cost) = (work.body.clone(), work.cost);
        let deadline = self.relay_moment(node, wait);
        let id = PromptId(self.sessions.len() as u64 + 1);
        let prefix = vec![format!("house-{}", prompt % 5), format!("part-{}", prompt % 3)];
        let mut state_machine = RequestStateMachine::arrived(repeatable, deadline);
        state_machine.enqueue();
        self.sessions.push(Session {
            node,
            life: self.nodes[node.0].life,
            prompt,
            state_machine,
            body,
            pieces,
            target: None,
            tries: 0,
            run: None,
            got: 0,
            sent_at: 0,
            is_over: false,
        });
        let session = self.sessions.len() - 1;
        self.after(wait, Event::Session(session, SessionEvent::Deadline));
        let cost = topazyard_types::Tokens(cost);
        let prompt = Prompt { id, model: model.as_str().into(), cost, deadline, prefix };
        self.call_relay(node, RelayCall::AdmitPrompt(prompt), Caller::Session(session));
    }

    fn is_live(&self, at: usize) -> bool {
        let session = &self.sessions[at];
        !session.is_over && self.nodes[session.node.0].life == session.life
    }

    fn end_session(&mut self, at: usize, engine_outcome: EngineOutcome, end: PromptEnd) {
        let session = &mut self.sessions[at];
        session.is_over = true;
        let (node, prompt, run) = (session.node, session.prompt, session.run.take());
        if let Some(run) = run.filter(|_| !matches!(engine_outcome, EngineOutcome::Completed(_))) {
            self.close_run(run);
        }
        let id = PromptId(at as u64 + 1);
        self.call_relay(node, RelayCall::PromptEnded(id, engine_outcome), Caller::Nobody);
        let way = self.way();
        self.client_sees(prompt, self.time + way, end);
    }

    fn client_sees(&mut self, prompt: usize, at: Micros, end: PromptEnd) {
        let seen = &mut self.history.prompts[prompt];
        if seen.end.is_none() {
            let gave_up = seen.sent + seen.wait + 1_500_000;
            // A client that waited far beyond its time has hung up.
            seen.end =
                Some(if at > gave_up { (gave_up, PromptEnd::ConnectionLost) } else { (at, end) });
        }
    }

    fn answer_error(&mut self, at: usize, engine_outcome: EngineOutcome, error: &ApiError) {
        let mut ran = error.ran;
        if self.injected_bug == Some(InjectedBug::ReportNotRun) {
            ran = Execution::NotRun;
        }
        let mute = self.injected_bug == Some(InjectedBug::OmitRetryAfter);
        let has_retry_after = error.code.retry_after_s().is_some() && !mute;
        let end = PromptEnd::Refused { status: error.code.status(), ran, has_retry_after };
        self.end_session(at, engine_outcome, end);
    }

    pub(crate) fn session_returned(&mut self, at: usize, value: RelayResponse) {
        if !self.is_live(at) {
            return;
        }
        match value {
            RelayResponse::SendTo(target) => {
                let session = &mut self.sessions[at];
                session.state_machine.hold();
                session.tries += 1;
                let tries = session.tries;
                let is_there = self.engine_connects(&target.engine);
                self.sessions[at].target = Some(target);
                let us = if is_there { 2 * self.way() } else { 400_000.min(3 * self.way()) };
                self.after(us, Event::Session(at, SessionEvent::Connected(tries, is_there)));
            }
            RelayResponse::SendBefore(until) => {
                if !self.is_ahead(self.sessions[at].node, until) {
                    let stale = ApiError::not_run(topazyard_wire::api::Code::StaleFeed);
                    let error = self.sessions[at].state_machine.refuse(stale);
                    self.answer_error(at, EngineOutcome::Aborted, &error);
                    return;
                }
                self.send_to_engine(at);
            }
            RelayResponse::Refused(error) => {
                let dispatching = self.sessions[at].target.is_some()
                    && self.sessions[at].state_machine.state() == State::Held;
                if dispatching && error.code == topazyard_wire::api::Code::NoEngine {
                    self.failed(at, Failure::NotConnected);
                    return;
                }
                let error = self.sessions[at].state_machine.refuse(error);
                self.answer_error(at, EngineOutcome::Aborted, &error);
            }
            _ => {}
        }
    }

    fn send_to_engine(&mut self, at: usize) {
        let now = self.relay_moment(self.sessions[at].node, 0);
        let session = &mut self.sessions[at];
        session.state_machine.dispatch();
        session.sent_at = self.time;
        session.run = None;
        session.got = 0;
        let (body, pieces, tries) = (session.body.clone(), session.pieces, session.tries);
        let name = session.target.as_ref().map(|target| target.engine.clone());
        let timeout = session.state_machine.timeout(now);
        let Some(engine) = name.and_then(|name| self.engine_named(&name)) else { return };
        let back = RunFor::Session(at, tries);
        let way = self.way_to_engine(InjectedBug::SendLate);
        self.after(way, Event::Engine(EngineEvent::Arrives { engine, body, pieces, back }));
        self.after(timeout.0 * 1_000, Event::Session(at, SessionEvent::HeadLate(tries)));
    }

    fn way_to_engine(&mut self, late: InjectedBug) -> Micros {
        let late = if self.injected_bug == Some(late) { 7_000_000 } else { 0 };
        late + self.way()
    }

    pub(crate) fn mark_run(&mut self, back: RunFor, run: usize) {
        match back {
            RunFor::Session(session, tries) => {
                let known = &mut self.sessions[session];
                if known.tries == tries && !known.is_over {
                    known.run = Some(run);
                } else {
                    // The relay closed the connection while the body was on its way.
                    self.close_run(run);
                }
            }
            RunFor::Item(item) => self.item_runs[item].engine_run = Some(run),
        }
    }

    pub(crate) fn session_event(&mut self, at: usize, event: SessionEvent) {
        if !self.is_live(at) {
            return;
        }
        let node = self.sessions[at].node;
        if self.is_frozen(node) {
            self.defer_if_frozen(node, || Event::Session(at, event));
            return;
        }
        let (tries, state) = (self.sessions[at].tries, self.sessions[at].state_machine.state());
        match event {
            SessionEvent::Connected(at_try, is_there) if at_try == tries => {
                if !is_there {
                    self.failed(at, Failure::NotConnected);
                    return;
                }
                let id = PromptId(at as u64 + 1);
                let target = self.sessions[at].target.as_ref().map(|t| t.engine.clone());
                if let Some(engine) = target {
                    let call = RelayCall::DispatchPrompt(id, engine);
                    self.call_relay(node, call, Caller::Session(at));
                }
            }
            SessionEvent::Piece(at_try, piece) if at_try == tries => self.relay_piece(at, piece),
            SessionEvent::Broken(at_try) if at_try == tries => {
                let sent = matches!(state, State::Dispatched | State::Relaying);
                if sent && self.injected_bug == Some(InjectedBug::InterruptedLooksComplete) {
                    self.end_session(at, EngineOutcome::Failed, PromptEnd::Complete);
                } else if sent {
                    self.failed(at, Failure::ConnectionLost);
                }
            }
            SessionEvent::HeadLate(at_try) if at_try == tries && state == State::Dispatched => {
                self.failed(at, Failure::TimedOut);
            }
            SessionEvent::Deadline if state == State::Relaying => {
                self.failed(at, Failure::TimedOut);
            }
            _ => {}
        }
    }

    fn relay_piece(&mut self, at: usize, piece: Piece) {
        let session = &mut self.sessions[at];
        if session.pieces == 1 || session.state_machine.state() == State::Dispatched {
            session.state_machine.start_relaying();
        }
        session.got += 1;
        let prompt = session.prompt;
        let took = DurationMs((self.time - session.sent_at) / 1_000);
        self.history.prompts[prompt].pieces.push(piece);
        if piece.index + 1 == piece.of {
            self.sessions[at].state_machine.complete();
            self.end_session(at, EngineOutcome::Completed(took), PromptEnd::Complete);
        }
    }

    fn failed(&mut self, at: usize, failure: Failure) {
        let node = self.sessions[at].node;
        let now = self.relay_moment(node, 0);
        if let Some(run) = self.sessions[at].run.take() {
            self.close_run(run);
        }
        match self.sessions[at].state_machine.fail(failure, now) {
            FailureAction::TryAnotherEngine => {
                let failed = self.sessions[at].target.take().map(|target| target.engine);
                let id = PromptId(at as u64 + 1);
                let call = RelayCall::RetryPrompt(id, failed.unwrap_or_default());
                self.call_relay(node, call, Caller::Session(at));
            }
            FailureAction::Respond(error) => self.answer_error(at, EngineOutcome::Failed, &error),
            FailureAction::CloseConnection => {
                self.end_session(at, EngineOutcome::Failed, PromptEnd::ConnectionLost)
            }
        }
    }

    /// A relay's process ended: its connections break on both sides.
    pub(crate) fn break_sessions_of(&mut self, node: NodeIndex) {
        for at in 0..self.sessions.len() {
            let session = &mut self.sessions[at];
            if session.node == node && !session.is_over {
                session.is_over = true;
                let (prompt, run) = (session.prompt, session.run.take());
                if let Some(run) = run {
                    self.close_run(run);
                }
                self.client_sees(prompt, self.time + 1_000, PromptEnd::ConnectionLost);
            }
        }
        for at in 0..self.item_runs.len() {
            let item = &mut self.item_runs[at];
            if item.node == node && !item.is_over {
                item.is_over = true;
                if let Some(run) = item.engine_run {
                    self.close_run(run);
                }
            }
        }
    }

    pub(crate) fn begin_item(
        &mut self,
        node: NodeIndex,
        run: Run,
        target: Target,
        body: bytes::Bytes,
    ) {
        let life = self.nodes[node.0].life;
        let is_there = self.engine_connects(&target.engine);
        let item = ItemRun { node, life, run, target, body, engine_run: None, is_over: false };
        self.item_runs.push(item);
        let at = self.item_runs.len() - 1;
        let us = 2 * self.way();
        self.after(us, Event::Item(ItemEvent::Connected(at, is_there)));
    }

    pub(crate) fn item_returned(&mut self, at: usize, value: RelayResponse) {
        let node = self.item_runs[at].node;
        match value {
            RelayResponse::SendBefore(until) if self.is_ahead(node, until) => {
                let body = self.item_runs[at].body.clone();
                let name: EngineName = self.item_runs[at].target.engine.clone();
                let Some(engine) = self.engine_named(&name) else { return };
                let way = self.way_to_engine(InjectedBug::SendItemsLate);
                let back = RunFor::Item(at);
                let event = EngineEvent::Arrives { engine, body, pieces: 1, back };
                self.after(way, Event::Engine(event));
                let limit_us = topazyard_relay::machine::items::RUN_TIMEOUT.0 * 1_000;
                self.after(limit_us, Event::Item(ItemEvent::Late(at)));
            }
            _ => self.end_item(at, RunEnd::NotRun),
        }
    }

    fn end_item(&mut self, at: usize, end: RunEnd) {
        let item = &mut self.item_runs[at];
        item.is_over = true;
        let (node, run) = (item.node, item.run);
        self.call_relay(node, RelayCall::ItemEnded(run, end), Caller::Nobody);
    }

    pub(crate) fn item_event(&mut self, event: ItemEvent) {
        let at = match &event {
            ItemEvent::Connected(at, _)
            | ItemEvent::Whole(at, _)
            | ItemEvent::Broken(at)
            | ItemEvent::Late(at) => *at,
        };
        let item = &self.item_runs[at];
        if item.is_over || self.nodes[item.node.0].life != item.life {
            return;
        }
        let node = item.node;
        if self.is_frozen(node) {
            self.defer_if_frozen(node, || Event::Item(event));
            return;
        }
        match event {
            ItemEvent::Connected(_, false) => self.end_item(at, RunEnd::NotRun),
            ItemEvent::Connected(_, true) => {
                let call = RelayCall::DispatchItem(
                    self.item_runs[at].run,
                    self.item_runs[at].target.engine.clone(),
                );
                self.call_relay(node, call, Caller::Item(at));
            }
            ItemEvent::Whole(_, piece) => {
                let body = format!("return of work {} run {}", piece.work, piece.run);
                self.end_item(at, RunEnd::Complete { status: 200, body: body.into() });
            }
            ItemEvent::Broken(_) => self.end_item(at, RunEnd::Unknown),
            ItemEvent::Late(_) => {
                if let Some(run) = self.item_runs[at].engine_run {
                    self.close_run(run);
                }
                self.end_item(at, RunEnd::Unknown);
            }
        }
    }
}
