//! The open connections of a server, and which of them give way to others.

use super::clock::now_ms;
use super::connection::{Connection, Phase};
use super::inbound::LimitsInForce;
use super::overload::CloseReason;
use std::sync::Arc;

/// The share of connections that are closed when a server is full is one in this number.
const REPLACED_DIVISOR: usize = 16;
/// How long a body or a blocked response is left alone when memory is short.
const MIN_SHED_AGE_MS: u64 = 1_000;
/// Minimum interval between two searches for memory.
const SHED_INTERVAL_MS: u64 = 100;
/// The share of such connections that are closed at once is one in this number.
const SHED_DIVISOR: usize = 4;
/// Closed connections are forgotten when the table has at least this many.
const MIN_PRUNED: usize = 64;

/// The open connections of a server.
#[derive(Debug, Default)]
pub(super) struct ConnectionTable {
    connections: Vec<Arc<Connection>>,
    prune_at: usize,
    shed_at_ms: u64,
}

impl ConnectionTable {
    /// Adds a new connection.
    pub(super) fn open(&mut self, limits: LimitsInForce) -> Arc<Connection> {
        if self.connections.len() >= self.prune_at.max(MIN_PRUNED) {
            self.connections.retain(|connection| connection.phase() != Phase::Closed);
            self.prune_at = 2 * self.connections.len();
        }
        let connection = Arc::new(Connection::new(limits));
        self.connections.push(connection.clone());
        connection
    }

    /// Closes the connections whose place is needed least: those after their last response, then
    /// those that have been idle for longest, then those whose requests have been arriving for
    /// longest, then those whose clients have taken nothing for longest. Connections with a request
    /// in progress stay.
    pub(super) fn make_place(&mut self) {
        let mut candidates: Vec<(u8, u64, &Arc<Connection>)> = self
            .open_connections()
            .filter_map(|connection| {
                let since_ms = connection.phase_since_ms();
                match connection.phase() {
                    Phase::Lingering => Some((0, since_ms, connection)),
                    Phase::Idle => Some((1, since_ms, connection)),
                    Phase::Head | Phase::Body => Some((2, since_ms, connection)),
                    Phase::Response | Phase::Sending => {
                        Some((3, connection.write_blocked_since_ms()?, connection))
                    }
                    Phase::Closed => None,
                }
            })
            .collect();
        let count = (self.connections.len() / REPLACED_DIVISOR).max(1);
        candidates.sort_by_key(|(rank, since_ms, _)| (*rank, *since_ms));
        for (_, _, connection) in candidates.into_iter().take(count) {
            connection.close(CloseReason::Replaced);
        }
    }

    /// Closes connections that hold memory and for longest have neither sent their whole body nor
    /// taken their response.
    pub(super) fn free_memory(&mut self) {
        let now_ms = now_ms();
        if now_ms < self.shed_at_ms + SHED_INTERVAL_MS {
            return;
        }
        self.shed_at_ms = now_ms;
        let mut candidates: Vec<(u64, &Arc<Connection>)> = self
            .open_connections()
            .filter_map(|connection| {
                let since_ms = match connection.phase() {
                    Phase::Body => connection.phase_since_ms(),
                    _ => connection.write_blocked_since_ms()?,
                };
                (now_ms >= since_ms + MIN_SHED_AGE_MS).then_some((since_ms, connection))
            })
            .collect();
        let count = candidates.len().div_ceil(SHED_DIVISOR);
        candidates.sort_by_key(|(since_ms, _)| *since_ms);
        for (_, connection) in candidates.into_iter().take(count) {
            connection.close(CloseReason::OutOfMemory);
        }
    }

    fn open_connections(&self) -> impl Iterator<Item = &Arc<Connection>> {
        self.connections.iter().filter(|connection| !connection.is_closing())
    }
}
