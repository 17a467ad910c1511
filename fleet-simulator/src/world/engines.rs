//! Simulated engines: they get slower with the tokens in flight; they crash, become unresponsive,
//! slow down or cut off their responses. Each logs what it runs.

use super::{Event, InjectedBug, SessionEvent, World, sessions::ItemEvent};
use crate::history::{EngineRun, Piece};
use topazyard_types::EngineName;

/// The health of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineHealth {
    /// It works.
    Well,
    /// It is down: it accepts no connections.
    Gone,
    /// It is unresponsive: it accepts requests and never responds.
    Dark,
    /// It is slower by this factor.
    Slow(u64),
    /// It cuts off every response half way.
    Cutting,
}

/// A simulated engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its name.
    pub name: String,
    /// The address it listens on.
    pub address: std::net::SocketAddr,
    /// Its health.
    pub health: EngineHealth,
    pub(crate) generation: u64,
    pub(crate) tokens: u64,
    pub(crate) open_runs: std::collections::BTreeSet<usize>,
}

/// The relay-side owner of an engine run.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RunOwner {
    /// A prompt's session, with the attempt.
    Session(usize, u32),
    /// A run of a batch item.
    Item(usize),
}

/// An event at an engine.
#[derive(Debug)]
pub(crate) enum EngineEvent {
    /// A request arrives.
    RequestArrives { engine: usize, body: bytes::Bytes, pieces: u32, owner: RunOwner },
    /// A piece of a run's response is due.
    PieceDue { engine: usize, generation: u64, run: usize, piece: Piece, owner: RunOwner },
}

/// Tokens in flight at which an engine runs at half its speed.
const HALF_SPEED_TOKENS: u64 = 6_000;

impl World {
    /// Adds an engine.
    pub fn add_engine(&mut self, name: String, port: u16) {
        self.engines.push(Engine {
            name,
            address: std::net::SocketAddr::from(([10, 0, 0, 2], port)),
            health: EngineHealth::Well,
            generation: 1,
            tokens: 0,
            open_runs: std::collections::BTreeSet::new(),
        });
    }

    pub(crate) fn engine_named(&self, name: &EngineName) -> Option<usize> {
        self.engines.iter().position(|engine| engine.name == name.0)
    }

    /// Whether an engine accepts connections.
    pub(crate) fn engine_accepts_connections(&self, name: &EngineName) -> bool {
        self.engine_named(name)
            .is_some_and(|index| self.engines[index].health != EngineHealth::Gone)
    }

    pub(crate) fn engine_answers_health_checks(&self, name: &EngineName) -> bool {
        self.engine_named(name).is_some_and(|index| {
            !matches!(self.engines[index].health, EngineHealth::Gone | EngineHealth::Dark)
        })
    }

    /// How many requests wait inside an engine, if it responds.
    pub(crate) fn engine_queue(&self, name: &EngineName) -> Option<u64> {
        let state = &self.engines[self.engine_named(name)?];
        let is_silent = matches!(state.health, EngineHealth::Gone | EngineHealth::Dark);
        (!is_silent).then(|| state.tokens.saturating_sub(HALF_SPEED_TOKENS) / 256)
    }

    /// Changes the health of an engine. One that goes down loses all its connections.
    pub fn set_engine_health(&mut self, index: usize, health: EngineHealth) {
        self.engines[index].health = health;
        if health == EngineHealth::Gone {
            self.engines[index].generation += 1;
            self.engines[index].tokens = 0;
            let open_runs = std::mem::take(&mut self.engines[index].open_runs);
            for run in open_runs {
                self.history.runs[run].ended = Some(self.time);
                self.lose_connections_of(run);
            }
        }
    }

    /// Whether nothing runs and every accepted batch has been listed completely.
    pub fn is_idle(&self) -> bool {
        self.engines.iter().all(|engine| engine.open_runs.is_empty()) && self.batches_are_done()
    }

    fn lose_connections_of(&mut self, run: usize) {
        let sessions: Vec<(usize, u32)> = self
            .sessions
            .iter()
            .enumerate()
            .filter(|(_, session)| session.run == Some(run))
            .map(|(index, session)| (index, session.attempt))
            .collect();
        for (session, attempt) in sessions {
            let delay = self.network_delay();
            self.schedule_after(
                delay,
                Event::Session(session, SessionEvent::ConnectionLost(attempt)),
            );
        }
        let items: Vec<usize> = (0..self.item_runs.len())
            .filter(|index| self.item_runs[*index].engine_run == Some(run))
            .collect();
        for item in items {
            let delay = self.network_delay();
            self.schedule_after(delay, Event::Item(ItemEvent::ConnectionLost(item)));
        }
    }

    pub(crate) fn engine_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::RequestArrives { engine, body, pieces, owner } => {
                self.start_engine_run(engine, &body, pieces, owner);
            }
            EngineEvent::PieceDue { engine, generation, run, piece, owner } => {
                self.send_engine_piece(engine, generation, run, piece, owner);
            }
        }
    }

    fn start_engine_run(
        &mut self,
        engine: usize,
        body: &bytes::Bytes,
        pieces: u32,
        owner: RunOwner,
    ) {
        if self.engines[engine].health == EngineHealth::Gone {
            let delay = self.network_delay();
            self.schedule_after(delay, connection_lost(owner));
            return;
        }
        let known = self.workload.work_of(body);
        let is_altered =
            self.injected_bug == Some(InjectedBug::AlteredBody) && self.draw(0..200) == 0;
        let work = known.filter(|_| !is_altered);
        let cost = work.map_or(0, |work| self.history.works[work].cost);
        let name = self.engines[engine].name.clone();
        let log = EngineRun { work, engine: name, began: self.time, ended: None, cost };
        if self.injected_bug == Some(InjectedBug::RunTwice) && self.draw(0..200) == 0 {
            self.history.runs.push(log.clone());
        }
        self.history.runs.push(log);
        let run = self.history.runs.len() - 1;
        let state = &mut self.engines[engine];
        state.open_runs.insert(run);
        state.tokens += cost;
        self.attach_run(owner, run);
        let state = &mut self.engines[engine];
        if state.health == EngineHealth::Dark {
            return;
        }
        let slowdown = if let EngineHealth::Slow(factor) = state.health { factor } else { 1 };
        let load_percent =
            100 + 100 * (state.tokens * state.tokens) / (HALF_SPEED_TOKENS * HALF_SPEED_TOKENS);
        let run_us = (30_000 + cost * 250) * slowdown * load_percent / 100;
        let generation = state.generation;
        let work = work.unwrap_or(usize::MAX);
        let piece = Piece { work, run, index: 0, of: pieces };
        let first = run_us / u64::from(pieces);
        self.schedule_after(
            first,
            Event::Engine(EngineEvent::PieceDue { engine, generation, run, piece, owner }),
        );
    }

    fn send_engine_piece(
        &mut self,
        engine: usize,
        generation: u64,
        run: usize,
        piece: Piece,
        owner: RunOwner,
    ) {
        let state = &self.engines[engine];
        if state.generation != generation
            || state.health == EngineHealth::Dark
            || !state.open_runs.contains(&run)
        {
            return;
        }
        if state.health == EngineHealth::Cutting && piece.index >= piece.of / 2 {
            self.finish_run(engine, run);
            let delay = self.network_delay();
            self.schedule_after(delay, connection_lost(owner));
            return;
        }
        let delay = self.network_delay();
        let is_lost = self.injected_bug == Some(InjectedBug::LosePiece)
            && piece.of > 1
            && self.draw(0..300) == 0;
        let mut sent = piece;
        if self.injected_bug == Some(InjectedBug::WrongResponse) && self.draw(0..300) == 0 {
            sent.work = sent.work.wrapping_add(1);
        }
        let event = match owner {
            RunOwner::Session(session, attempt) => {
                Event::Session(session, SessionEvent::Piece(attempt, sent))
            }
            RunOwner::Item(item) => Event::Item(ItemEvent::Complete(item, sent)),
        };
        if !is_lost {
            // Pieces on one connection arrive in the order they were sent.
            self.schedule_after(900 + u64::from(piece.index), event);
        }
        if self.injected_bug == Some(InjectedBug::RepeatPiece)
            && piece.of > 1
            && self.draw(0..300) == 0
            && let RunOwner::Session(session, attempt) = owner
        {
            let repeated = SessionEvent::Piece(attempt, sent);
            self.schedule_after(901 + u64::from(piece.index), Event::Session(session, repeated));
        }
        if piece.index + 1 == piece.of {
            self.finish_run(engine, run);
        } else {
            let next = Piece { index: piece.index + 1, ..piece };
            let due = EngineEvent::PieceDue { engine, generation, run, piece: next, owner };
            self.schedule_after(4_000 + delay, Event::Engine(due));
        }
    }

    fn finish_run(&mut self, engine: usize, run: usize) {
        let cost = self.history.runs[run].cost;
        self.history.runs[run].ended = Some(self.time);
        let state = &mut self.engines[engine];
        if state.open_runs.remove(&run) {
            state.tokens = state.tokens.saturating_sub(cost);
        }
    }

    /// Stops a run whose connection the relay closed.
    pub(crate) fn cancel_run(&mut self, run: usize) {
        let name = self.history.runs[run].engine.clone();
        if let Some(engine) = self.engine_named(&EngineName(name))
            && self.engines[engine].open_runs.contains(&run)
        {
            self.finish_run(engine, run);
        }
    }
}

fn connection_lost(owner: RunOwner) -> Event {
    match owner {
        RunOwner::Session(session, attempt) => {
            Event::Session(session, SessionEvent::ConnectionLost(attempt))
        }
        RunOwner::Item(item) => Event::Item(ItemEvent::ConnectionLost(item)),
    }
}
