//! What a relay process does outside its machine: handling of prompts, with the same request state
//! machine as in the real process, and runs of batch items.

use super::engines::{EngineEvent, RunOwner};
use super::{Caller, Event, InjectedBug, NodeIndex, World};
use crate::history::{Micros, Piece, PromptEnd};
use topazyard_relay::machine::{EngineOutcome, Prompt, PromptId, Target};
use topazyard_relay::prompt::{Failure, FailureAction, RequestStateMachine, State};
use topazyard_relay::{RelayCall, RelayResponse};
use topazyard_types::{DurationMs, EngineName};
use topazyard_wire::api::{ApiError, Execution};
use topazyard_wire::message::batch::{Run, RunEnd};

/// A prompt that a relay handles.
#[derive(Debug)]
pub struct Session {
    node: NodeIndex,
    generation: u64,
    /// Index of the prompt in the history.
    prompt: usize,
    state_machine: RequestStateMachine,
    body: bytes::Bytes,
    pieces: u32,
    target: Option<Target>,
    pub(crate) attempt: u32,
    pub(crate) run: Option<usize>,
    pieces_received: u32,
    sent_at: Micros,
    is_finished: bool,
}

/// An event of a prompt; the number is the attempt it belongs to.
#[derive(Debug)]
pub enum SessionEvent {
    /// The connection to the engine was established, or failed.
    Connected(u32, bool),
    /// A piece of the response arrived.
    Piece(u32, Piece),
    /// The connection to the engine was lost.
    ConnectionLost(u32),
    /// The head of the response did not arrive in time.
    HeadTimedOut(u32),
    /// The client's deadline has passed.
    Deadline,
}

/// A run of a batch item at a relay.
#[derive(Debug)]
pub(crate) struct ItemRun {
    node: NodeIndex,
    generation: u64,
    run: Run,
    target: Target,
    body: bytes::Bytes,
    pub(crate) engine_run: Option<usize>,
    is_finished: bool,
}

/// An event of a batch item's run.
#[derive(Debug)]
pub(crate) enum ItemEvent {
    /// The connection to the engine was established, or failed.
    Connected(usize, bool),
    /// The complete response arrived.
    Complete(usize, Piece),
    /// The connection to the engine was lost.
    ConnectionLost(usize),
    /// The run timed out.
    TimedOut(usize),
}

impl World {
    /// Starts to handle a prompt that arrived at a relay.
    pub(crate) fn start_session(&mut self, node: NodeIndex, prompt: usize, pieces: u32) {
        let record = &self.history.prompts[prompt];
        let work = &self.history.works[record.work];
        let (wait, repeatable, model) = (record.wait, record.repeatable, record.model.clone());
        let (body, cost) = (work.body.clone(), work.cost);
        let deadline = self.relay_clock_after(node, wait);
        let id = PromptId(self.sessions.len() as u64 + 1);
        let prefix = vec![format!("house-{}", prompt % 5), format!("part-{}", prompt % 3)];
        let mut state_machine = RequestStateMachine::arrived(repeatable, deadline);
        state_machine.enqueue();
        self.sessions.push(Session {
            node,
            generation: self.nodes[node.0].generation,
            prompt,
            state_machine,
            body,
            pieces,
            target: None,
            attempt: 0,
            run: None,
            pieces_received: 0,
            sent_at: 0,
            is_finished: false,
        });
        let session = self.sessions.len() - 1;
        self.schedule_after(wait, Event::Session(session, SessionEvent::Deadline));
        let cost = topazyard_types::Tokens(cost);
        let prompt = Prompt { id, model: model.as_str().into(), cost, deadline, prefix };
        self.call_relay(node, RelayCall::AdmitPrompt(prompt), Caller::Session(session));
    }

    fn is_live(&self, index: usize) -> bool {
        let session = &self.sessions[index];
        !session.is_finished && self.nodes[session.node.0].generation == session.generation
    }

    fn finish_session(&mut self, index: usize, engine_outcome: EngineOutcome, end: PromptEnd) {
        let session = &mut self.sessions[index];
        session.is_finished = true;
        let (node, prompt, run) = (session.node, session.prompt, session.run.take());
        if let Some(run) = run.filter(|_| !matches!(engine_outcome, EngineOutcome::Completed(_))) {
            self.cancel_run(run);
        }
        let id = PromptId(index as u64 + 1);
        self.call_relay(node, RelayCall::PromptEnded(id, engine_outcome), Caller::Ignored);
        let delay = self.network_delay();
        self.record_client_end(prompt, self.time + delay, end);
    }

    fn record_client_end(&mut self, prompt: usize, at: Micros, end: PromptEnd) {
        let record = &mut self.history.prompts[prompt];
        if record.end.is_none() {
            let gave_up = record.sent + record.wait + 1_500_000;
            // A client that waited well past its deadline has disconnected.
            record.end =
                Some(if at > gave_up { (gave_up, PromptEnd::ConnectionLost) } else { (at, end) });
        }
    }

    fn respond_with_error(
        &mut self,
        index: usize,
        engine_outcome: EngineOutcome,
        error: &ApiError,
    ) {
        let mut ran = error.ran;
        if self.injected_bug == Some(InjectedBug::ReportNotRun) {
            ran = Execution::NotRun;
        }
        let omits_retry_after = self.injected_bug == Some(InjectedBug::OmitRetryAfter);
        let has_retry_after = error.code.retry_after_s().is_some() && !omits_retry_after;
        let end = PromptEnd::Refused { status: error.code.status(), ran, has_retry_after };
        self.finish_session(index, engine_outcome, end);
    }

    pub(crate) fn session_response(&mut self, index: usize, value: RelayResponse) {
        if !self.is_live(index) {
            return;
        }
        match value {
            RelayResponse::SendTo(target) => {
                let session = &mut self.sessions[index];
                session.state_machine.hold();
                session.attempt += 1;
                let attempt = session.attempt;
                let is_connected = self.engine_accepts_connections(&target.engine);
                self.sessions[index].target = Some(target);
                let us = if is_connected {
                    2 * self.network_delay()
                } else {
                    400_000.min(3 * self.network_delay())
                };
                self.schedule_after(
                    us,
                    Event::Session(index, SessionEvent::Connected(attempt, is_connected)),
                );
            }
            RelayResponse::SendBefore(until) => {
                if !self.is_before_deadline(self.sessions[index].node, until) {
                    let stale_feed = ApiError::not_run(topazyard_wire::api::Code::StaleFeed);
                    let error = self.sessions[index].state_machine.refuse(stale_feed);
                    self.respond_with_error(index, EngineOutcome::Aborted, &error);
                    return;
                }
                self.send_to_engine(index);
            }
            RelayResponse::Refused(error) => {
                let dispatching = self.sessions[index].target.is_some()
                    && self.sessions[index].state_machine.state() == State::Held;
                if dispatching && error.code == topazyard_wire::api::Code::NoEngine {
                    self.handle_failure(index, Failure::NotConnected);
                    return;
                }
                let error = self.sessions[index].state_machine.refuse(error);
                self.respond_with_error(index, EngineOutcome::Aborted, &error);
            }
            _ => {}
        }
    }

    fn send_to_engine(&mut self, index: usize) {
        let now = self.relay_clock_after(self.sessions[index].node, 0);
        let session = &mut self.sessions[index];
        session.state_machine.dispatch();
        session.sent_at = self.time;
        session.run = None;
        session.pieces_received = 0;
        let (body, pieces, attempt) = (session.body.clone(), session.pieces, session.attempt);
        let name = session.target.as_ref().map(|target| target.engine.clone());
        let timeout = session.state_machine.timeout(now);
        let Some(engine) = name.and_then(|name| self.engine_named(&name)) else { return };
        let owner = RunOwner::Session(index, attempt);
        let delay = self.delay_to_engine(InjectedBug::SendLate);
        self.schedule_after(
            delay,
            Event::Engine(EngineEvent::RequestArrives { engine, body, pieces, owner }),
        );
        self.schedule_after(
            timeout.0 * 1_000,
            Event::Session(index, SessionEvent::HeadTimedOut(attempt)),
        );
    }

    fn delay_to_engine(&mut self, late_bug: InjectedBug) -> Micros {
        let extra = if self.injected_bug == Some(late_bug) { 7_000_000 } else { 0 };
        extra + self.network_delay()
    }

    pub(crate) fn attach_run(&mut self, owner: RunOwner, run: usize) {
        match owner {
            RunOwner::Session(session, attempt) => {
                let known = &mut self.sessions[session];
                if known.attempt == attempt && !known.is_finished {
                    known.run = Some(run);
                } else {
                    // The relay closed the connection while the request was in flight.
                    self.cancel_run(run);
                }
            }
            RunOwner::Item(item) => self.item_runs[item].engine_run = Some(run),
        }
    }

    pub(crate) fn session_event(&mut self, index: usize, event: SessionEvent) {
        if !self.is_live(index) {
            return;
        }
        let node = self.sessions[index].node;
        if self.is_frozen(node) {
            self.defer_if_frozen(node, || Event::Session(index, event));
            return;
        }
        let (attempt, state) =
            (self.sessions[index].attempt, self.sessions[index].state_machine.state());
        match event {
            SessionEvent::Connected(event_attempt, is_connected) if event_attempt == attempt => {
                if !is_connected {
                    self.handle_failure(index, Failure::NotConnected);
                    return;
                }
                let id = PromptId(index as u64 + 1);
                let target = self.sessions[index].target.as_ref().map(|t| t.engine.clone());
                if let Some(engine) = target {
                    let call = RelayCall::DispatchPrompt(id, engine);
                    self.call_relay(node, call, Caller::Session(index));
                }
            }
            SessionEvent::Piece(event_attempt, piece) if event_attempt == attempt => {
                self.relay_piece(index, piece)
            }
            SessionEvent::ConnectionLost(event_attempt) if event_attempt == attempt => {
                let sent = matches!(state, State::Dispatched | State::Relaying);
                if sent && self.injected_bug == Some(InjectedBug::InterruptedLooksComplete) {
                    self.finish_session(index, EngineOutcome::Failed, PromptEnd::Complete);
                } else if sent {
                    self.handle_failure(index, Failure::ConnectionLost);
                }
            }
            SessionEvent::HeadTimedOut(event_attempt)
                if event_attempt == attempt && state == State::Dispatched =>
            {
                self.handle_failure(index, Failure::TimedOut);
            }
            SessionEvent::Deadline if state == State::Relaying => {
                self.handle_failure(index, Failure::TimedOut);
            }
            _ => {}
        }
    }

    fn relay_piece(&mut self, index: usize, piece: Piece) {
        let session = &mut self.sessions[index];
        if session.pieces == 1 || session.state_machine.state() == State::Dispatched {
            session.state_machine.start_relaying();
        }
        session.pieces_received += 1;
        let prompt = session.prompt;
        let took = DurationMs((self.time - session.sent_at) / 1_000);
        self.history.prompts[prompt].pieces.push(piece);
        if piece.index + 1 == piece.of {
            self.sessions[index].state_machine.complete();
            self.finish_session(index, EngineOutcome::Completed(took), PromptEnd::Complete);
        }
    }

    fn handle_failure(&mut self, index: usize, failure: Failure) {
        let node = self.sessions[index].node;
        let now = self.relay_clock_after(node, 0);
        if let Some(run) = self.sessions[index].run.take() {
            self.cancel_run(run);
        }
        match self.sessions[index].state_machine.fail(failure, now) {
            FailureAction::TryAnotherEngine => {
                let failed = self.sessions[index].target.take().map(|target| target.engine);
                let id = PromptId(index as u64 + 1);
                let call = RelayCall::RetryPrompt(id, failed.unwrap_or_default());
                self.call_relay(node, call, Caller::Session(index));
            }
            FailureAction::Respond(error) => {
                self.respond_with_error(index, EngineOutcome::Failed, &error)
            }
            FailureAction::CloseConnection => {
                self.finish_session(index, EngineOutcome::Failed, PromptEnd::ConnectionLost)
            }
        }
    }

    /// Ends all prompts and item runs of a relay process that stopped: its connections to clients
    /// and engines are lost.
    pub(crate) fn abort_sessions_of(&mut self, node: NodeIndex) {
        for index in 0..self.sessions.len() {
            let session = &mut self.sessions[index];
            if session.node == node && !session.is_finished {
                session.is_finished = true;
                let (prompt, run) = (session.prompt, session.run.take());
                if let Some(run) = run {
                    self.cancel_run(run);
                }
                self.record_client_end(prompt, self.time + 1_000, PromptEnd::ConnectionLost);
            }
        }
        for index in 0..self.item_runs.len() {
            let item = &mut self.item_runs[index];
            if item.node == node && !item.is_finished {
                item.is_finished = true;
                if let Some(run) = item.engine_run {
                    self.cancel_run(run);
                }
            }
        }
    }

    pub(crate) fn start_item(
        &mut self,
        node: NodeIndex,
        run: Run,
        target: Target,
        body: bytes::Bytes,
    ) {
        let generation = self.nodes[node.0].generation;
        let is_connected = self.engine_accepts_connections(&target.engine);
        let item =
            ItemRun { node, generation, run, target, body, engine_run: None, is_finished: false };
        self.item_runs.push(item);
        let index = self.item_runs.len() - 1;
        let us = 2 * self.network_delay();
        self.schedule_after(us, Event::Item(ItemEvent::Connected(index, is_connected)));
    }

    pub(crate) fn item_response(&mut self, index: usize, value: RelayResponse) {
        let node = self.item_runs[index].node;
        match value {
            RelayResponse::SendBefore(until) if self.is_before_deadline(node, until) => {
                let body = self.item_runs[index].body.clone();
                let name: EngineName = self.item_runs[index].target.engine.clone();
                let Some(engine) = self.engine_named(&name) else { return };
                let delay = self.delay_to_engine(InjectedBug::SendItemsLate);
                let owner = RunOwner::Item(index);
                let event = EngineEvent::RequestArrives { engine, body, pieces: 1, owner };
                self.schedule_after(delay, Event::Engine(event));
                let timeout_us = topazyard_relay::machine::items::RUN_TIMEOUT.0 * 1_000;
                self.schedule_after(timeout_us, Event::Item(ItemEvent::TimedOut(index)));
            }
            _ => self.finish_item(index, RunEnd::NotRun),
        }
    }

    fn finish_item(&mut self, index: usize, end: RunEnd) {
        let item = &mut self.item_runs[index];
        item.is_finished = true;
        let (node, run) = (item.node, item.run);
        self.call_relay(node, RelayCall::ItemEnded(run, end), Caller::Ignored);
    }

    pub(crate) fn item_event(&mut self, event: ItemEvent) {
        let index = match &event {
            ItemEvent::Connected(index, _)
            | ItemEvent::Complete(index, _)
            | ItemEvent::ConnectionLost(index)
            | ItemEvent::TimedOut(index) => *index,
        };
        let item = &self.item_runs[index];
        if item.is_finished || self.nodes[item.node.0].generation != item.generation {
            return;
        }
        let node = item.node;
        if self.is_frozen(node) {
            self.defer_if_frozen(node, || Event::Item(event));
            return;
        }
        match event {
            ItemEvent::Connected(_, false) => self.finish_item(index, RunEnd::NotRun),
            ItemEvent::Connected(_, true) => {
                let call = RelayCall::DispatchItem(
                    self.item_runs[index].run,
                    self.item_runs[index].target.engine.clone(),
                );
                self.call_relay(node, call, Caller::Item(index));
            }
            ItemEvent::Complete(_, piece) => {
                let body = format!("return of work {} run {}", piece.work, piece.run);
                self.finish_item(index, RunEnd::Complete { status: 200, body: body.into() });
            }
            ItemEvent::ConnectionLost(_) => self.finish_item(index, RunEnd::Unknown),
            ItemEvent::TimedOut(_) => {
                if let Some(run) = self.item_runs[index].engine_run {
                    self.cancel_run(run);
                }
                self.finish_item(index, RunEnd::Unknown);
            }
        }
    }
}
