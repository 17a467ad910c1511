//! The state of a client's connection, as its server follows it.

use super::clock::now_ms;
use super::inbound::LimitsInForce;
use super::overload::{CloseReason, record_closed};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use tokio_util::sync::CancellationToken;

/// Time that a message may need to arrive, beyond the time that a client has for sending it.
const DELIVERY_ALLOWANCE_MS: u64 = 2_000;
/// Time after which a connection is closed if its client takes none of a response.
const BLOCKED_WRITE_TIMEOUT_MS: u64 = 30_000;
/// How long the refusal of a request may take once its connection is being closed.
const REFUSAL_TIMEOUT_MS: u64 = 1_000;

/// What a connection is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Body,
    /// The response to a complete request.
    Response,
    /// The client, to receive the response.
    Sending,
    /// The client, to close the connection after its last response.
    Lingering,
    /// Nothing: it is closed.
    Closed,
}

impl Phase {
    const ALL: [Self; 7] = [
        Self::Idle,
        Self::Head,
        Self::Body,
        Self::Response,
        Self::Sending,
        Self::Lingering,
        Self::Closed,
    ];
}

/// The state of a connection, shared by its task, its requests and its server.
#[derive(Debug)]
pub struct Connection {
    limits: LimitsInForce,
    /// The limit on heads when it was opened, which holds until it is closed.
    max_header_bytes: u32,
    phase: AtomicU8,
    phase_since_ms: AtomicU64,
    /// When a write was first blocked since the last one that was not; 0 if none is.
    write_blocked_since_ms: AtomicU64,
    /// Whether a request's body was not read to its end.
    is_body_unread: AtomicBool,
    closing: CancellationToken,
}

impl Connection {
    /// A new connection.
    pub(super) fn new(limits: LimitsInForce) -> Self {
        let max_header_bytes = limits.borrow().max_header_bytes;
        Self {
            limits,
            max_header_bytes,
            phase: AtomicU8::new(Phase::Idle as u8),
            phase_since_ms: AtomicU64::new(now_ms()),
            write_blocked_since_ms: AtomicU64::new(0),
            is_body_unread: AtomicBool::new(false),
            closing: CancellationToken::new(),
        }
    }

    /// The maximum size of a head on this connection, in bytes.
    pub(super) fn max_header_bytes(&self) -> usize {
        self.max_header_bytes as usize
    }

    /// The maximum size of a body, in bytes.
    pub(super) fn max_body_bytes(&self) -> usize {
        self.limits.borrow().max_body_bytes as usize
    }

    /// Whether larger heads are allowed now than when the connection was opened.
    pub(super) fn has_outdated_limits(&self) -> bool {
        self.limits.borrow().max_header_bytes > self.max_header_bytes
    }

    pub(super) fn phase(&self) -> Phase {
        Phase::ALL[usize::from(self.phase.load(Ordering::Relaxed))]
    }

    pub(super) fn phase_since_ms(&self) -> u64 {
        self.phase_since_ms.load(Ordering::Relaxed)
    }

    pub(super) fn enter(&self, phase: Phase) {
        self.phase_since_ms.store(now_ms(), Ordering::Relaxed);
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// A request's head was read.
    pub(super) fn request_began(&self, has_body: bool) {
        self.is_body_unread.store(has_body, Ordering::Relaxed);
        self.enter(if has_body { Phase::Body } else { Phase::Response });
    }

    /// A request's body was read to its end.
    pub(super) fn body_was_read(&self) {
        self.is_body_unread.store(false, Ordering::Relaxed);
        self.enter(Phase::Response);
    }

    /// Whether the client may still be sending a request that will not be read.
    pub(super) fn has_unread_request(&self) -> bool {
        self.phase() == Phase::Head || self.is_body_unread.load(Ordering::Relaxed)
    }

    pub(super) fn write_progressed(&self) {
        self.write_blocked_since_ms.store(0, Ordering::Relaxed);
    }

    pub(super) fn write_blocked(&self) {
        let since = &self.write_blocked_since_ms;
        let _ = since.compare_exchange(0, now_ms(), Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Since when the client has taken nothing of a response, if it is so.
    pub(super) fn write_blocked_since_ms(&self) -> Option<u64> {
        Some(self.write_blocked_since_ms.load(Ordering::Relaxed)).filter(|since_ms| *since_ms > 0)
    }

    /// Closes the connection. A request whose body is still being read is refused before.
    pub(super) fn close(&self, reason: CloseReason) {
        if !self.closing.is_cancelled() {
            record_closed(reason);
            self.closing.cancel();
        }
    }

    /// Waits until the connection is being closed.
    pub async fn closed(&self) {
        self.closing.cancelled().await;
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing.is_cancelled()
    }

    /// When the current phase must be over, in the time of [`now_ms`], and why the connection is
    /// closed then.
    pub(super) fn deadline(&self) -> Option<Deadline> {
        let limits = self.limits.borrow().clone();
        let since_ms = self.phase_since_ms();
        let deadline = |timeout_ms, reason| Some(Deadline { at_ms: since_ms + timeout_ms, reason });
        let phase_deadline = match self.phase() {
            Phase::Idle => {
                deadline(limits.idle_timeout_ms + DELIVERY_ALLOWANCE_MS, CloseReason::Idle)
            }
            Phase::Head => {
                deadline(limits.header_timeout_ms + DELIVERY_ALLOWANCE_MS, CloseReason::SlowHead)
            }
            // Bodies have a timeout of their own, responses those of their requests.
            Phase::Body | Phase::Response | Phase::Sending | Phase::Lingering | Phase::Closed => {
                None
            }
        };
        let write_deadline = self.write_blocked_since_ms().map(|since_ms| Deadline {
            at_ms: since_ms + BLOCKED_WRITE_TIMEOUT_MS,
            reason: CloseReason::SlowReader,
        });
        phase_deadline.into_iter().chain(write_deadline).min_by_key(|deadline| deadline.at_ms)
    }

    /// How long a connection that is being closed may still take for a refusal.
    pub(super) fn refusal_timeout(&self) -> std::time::Duration {
        std::time::Duration::from_millis(match self.phase() {
            Phase::Body | Phase::Response => REFUSAL_TIMEOUT_MS,
            _ => 0,
        })
    }
}

/// When a phase must be over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Deadline {
    pub(super) at_ms: u64,
    pub(super) reason: CloseReason,
}

/// Marks a connection as closed once its task ends, whatever the reason.
pub(super) struct ClosedOnDrop(std::sync::Arc<Connection>);

impl ClosedOnDrop {
    pub(super) fn new(connection: std::sync::Arc<Connection>) -> Self {
        Self(connection)
    }
}

impl Drop for ClosedOnDrop {
    fn drop(&mut self) {
        self.0.enter(Phase::Closed);
    }
}
