//! Simulated engines: their pace falls with the tokens in flight; they crash, go dark, slow down
//! or cut their returns. Each logs what it runs.

use super::{Event, InjectedBug, SessionEvent, World, sessions::ItemEvent};
use crate::history::{EngineRun, Piece};
use topazyard_types::EngineName;

/// How an engine fares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineHealth {
    /// Well.
    Well,
    /// Gone: it takes no connection.
    Gone,
    /// Dark: it takes everything and returns nothing.
    Dark,
    /// Slow, by that factor.
    Slow(u64),
    /// It cuts every return half way.
    Cutting,
}

/// An engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// How it fares.
    pub health: EngineHealth,
    pub(crate) life: u64,
    pub(crate) tokens: u64,
    pub(crate) open: std::collections::BTreeSet<usize>,
}

/// Who waits for a run.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RunFor {
    /// A prompt's session, at that try.
    Session(usize, u32),
    /// An item's run.
    Item(usize),
}

/// Something at an engine.
#[derive(Debug)]
pub(crate) enum EngineEvent {
    /// A body arrives.
    Arrives { engine: usize, body: bytes::Bytes, pieces: u32, back: RunFor },
    /// A piece of a run's return is due.
    Due { engine: usize, life: u64, run: usize, piece: Piece, back: RunFor },
}

/// Tokens in flight at which an engine's pace is halved.
const KNEE_TOKENS: u64 = 6_000;

impl World {
    /// Adds an engine.
    pub fn add_engine(&mut self, name: String, port: u16) {
        self.engines.push(Engine {
            name,
            address: std::net::SocketAddr::from(([10, 0, 0, 2], port)),
            health: EngineHealth::Well,
            life: 1,
            tokens: 0,
            open: std::collections::BTreeSet::new(),
        });
    }

    pub(crate) fn engine_named(&self, name: &EngineName) -> Option<usize> {
        self.engines.iter().position(|engine| engine.name == name.0)
    }

    /// Whether an engine takes connections.
    pub(crate) fn engine_connects(&self, name: &EngineName) -> bool {
        self.engine_named(name).is_some_and(|at| self.engines[at].health != EngineHealth::Gone)
    }

    pub(crate) fn engine_takes_looks(&self, name: &EngineName) -> bool {
        self.engine_named(name).is_some_and(|at| {
            !matches!(self.engines[at].health, EngineHealth::Gone | EngineHealth::Dark)
        })
    }

    /// How many requests wait inside an engine, if it says so.
    pub(crate) fn engine_queue(&self, name: &EngineName) -> Option<u64> {
        let state = &self.engines[self.engine_named(name)?];
        let silent = matches!(state.health, EngineHealth::Gone | EngineHealth::Dark);
        (!silent).then(|| state.tokens.saturating_sub(KNEE_TOKENS) / 256)
    }

    /// Changes how an engine fares. One that goes breaks all its connections.
    pub fn set_engine_health(&mut self, at: usize, health: EngineHealth) {
        self.engines[at].health = health;
        if health == EngineHealth::Gone {
            self.engines[at].life += 1;
            self.engines[at].tokens = 0;
            let open = std::mem::take(&mut self.engines[at].open);
            for run in open {
                self.history.runs[run].ended = Some(self.time);
                self.break_run(run);
            }
        }
    }

    /// Whether nothing runs and no batch waits.
    pub fn is_idle(&self) -> bool {
        self.engines.iter().all(|engine| engine.open.is_empty()) && self.batches_are_done()
    }

    fn break_run(&mut self, run: usize) {
        let sessions: Vec<(usize, u32)> = self
            .sessions
            .iter()
            .enumerate()
            .filter(|(_, session)| session.run == Some(run))
            .map(|(at, session)| (at, session.tries))
            .collect();
        for (session, tries) in sessions {
            let way = self.way();
            self.after(way, Event::Session(session, SessionEvent::Broken(tries)));
        }
        let items: Vec<usize> = (0..self.item_runs.len())
            .filter(|at| self.item_runs[*at].engine_run == Some(run))
            .collect();
        for item in items {
            let way = self.way();
            self.after(way, Event::Item(ItemEvent::Broken(item)));
        }
    }

    pub(crate) fn engine_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Arrives { engine, body, pieces, back } => {
                self.engine_runs(engine, &body, pieces, back);
            }
            EngineEvent::Due { engine, life, run, piece, back } => {
                self.engine_returns(engine, life, run, piece, back);
            }
        }
    }

    fn engine_runs(&mut self, engine: usize, body: &bytes::Bytes, pieces: u32, back: RunFor) {
        if self.engines[engine].health == EngineHealth::Gone {
            let way = self.way();
            self.after(way, broken(back));
            return;
        }
        let known = self.workload.work_of(body);
        let altered = self.injected_bug == Some(InjectedBug::AlteredBody) && self.draw(0..200) == 0;
        let work = known.filter(|_| !altered);
        let cost = work.map_or(0, |work| self.history.works[work].cost);
        let name = self.engines[engine].name.clone();
        let log = EngineRun { work, engine: name, began: self.time, ended: None, cost };
        if self.injected_bug == Some(InjectedBug::RunTwice) && self.draw(0..200) == 0 {
            self.history.runs.push(log.clone());
        }
        self.history.runs.push(log);
        let run = self.history.runs.len() - 1;
        let state = &mut self.engines[engine];
        state.open.insert(run);
        state.tokens += cost;
        self.mark_run(back, run);
        let state = &mut self.engines[engine];
        if state.health == EngineHealth::Dark {
            return;
        }
        let slow = if let EngineHealth::Slow(factor) = state.health { factor } else { 1 };
        let crowding = 100 + 100 * (state.tokens * state.tokens) / (KNEE_TOKENS * KNEE_TOKENS);
        let took = (30_000 + cost * 250) * slow * crowding / 100;
        let life = state.life;
        let work = work.unwrap_or(usize::MAX);
        let piece = Piece { work, run, index: 0, of: pieces };
        let first = took / u64::from(pieces);
        self.after(first, Event::Engine(EngineEvent::Due { engine, life, run, piece, back }));
    }

    fn engine_returns(&mut self, engine: usize, life: u64, run: usize, piece: Piece, back: RunFor) {
        let state = &self.engines[engine];
        if state.life != life || state.health == EngineHealth::Dark || !state.open.contains(&run) {
            return;
        }
        if state.health == EngineHealth::Cutting && piece.index >= piece.of / 2 {
            self.end_run(engine, run);
            let way = self.way();
            self.after(way, broken(back));
            return;
        }
        let way = self.way();
        let lost = self.injected_bug == Some(InjectedBug::LosePiece)
            && piece.of > 1
            && self.draw(0..300) == 0;
        let mut shown = piece;
        if self.injected_bug == Some(InjectedBug::WrongResponse) && self.draw(0..300) == 0 {
            shown.work = shown.work.wrapping_add(1);
        }
        let event = match back {
            RunFor::Session(session, tries) => {
                Event::Session(session, SessionEvent::Piece(tries, shown))
            }
            RunFor::Item(item) => Event::Item(ItemEvent::Whole(item, shown)),
        };
        if !lost {
            // Pieces of one connection arrive in the order they were sent.
            self.after(900 + u64::from(piece.index), event);
        }
        if self.injected_bug == Some(InjectedBug::RepeatPiece)
            && piece.of > 1
            && self.draw(0..300) == 0
            && let RunFor::Session(session, tries) = back
        {
            let again = SessionEvent::Piece(tries, shown);
            self.after(901 + u64::from(piece.index), Event::Session(session, again));
        }
        if piece.index + 1 == piece.of {
            self.end_run(engine, run);
        } else {
            let next = Piece { index: piece.index + 1, ..piece };
            let due = EngineEvent::Due { engine, life, run, piece: next, back };
            self.after(4_000 + way, Event::Engine(due));
        }
    }

    fn end_run(&mut self, engine: usize, run: usize) {
        let cost = self.history.runs[run].cost;
        self.history.runs[run].ended = Some(self.time);
        let state = &mut self.engines[engine];
        if state.open.remove(&run) {
            state.tokens = state.tokens.saturating_sub(cost);
        }
    }

    /// The relay closed the connection of a run: the engine stops it.
    pub(crate) fn close_run(&mut self, run: usize) {
        let name = self.history.runs[run].engine.clone();
        if let Some(engine) = self.engine_named(&EngineName(name))
            && self.engines[engine].open.contains(&run)
        {
            self.end_run(engine, run);
        }
    }
}

fn broken(back: RunFor) -> Event {
    match back {
        RunFor::Session(session, tries) => Event::Session(session, SessionEvent::Broken(tries)),
        RunFor::Item(item) => Event::Item(ItemEvent::Broken(item)),
    }
}
