//! Reading bodies whole, within limits on each and on all of them together.

use super::connection::Connection;
use super::memory::{GrowingReservation, Purpose, SMALL_BODY_BYTES, with_reservation};
use crate::ApiError;
use crate::api::Code;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use std::sync::Arc;

/// The time within which a body must arrive.
const BODY_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(30_000);
/// The first bytes of a body, which are part of what a connection may take.
const FREE_BYTES: usize = 4 * 1_024;
/// The steps in which a large body is charged.
const CHARGE_STEP_BYTES: usize = 64 * 1_024;

/// Why a body was not collected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum CollectError {
    /// the body is larger than allowed
    TooLarge,
    /// there is no memory for the body
    NoMemory,
    /// the body ended early
    Incomplete,
}

impl std::error::Error for CollectError {}

/// Reads the complete body of a client's request, of at most `max_bytes`. The memory for it is
/// charged as it arrives, and given back when the last clone of the returned bytes is dropped.
///
/// # Errors
/// The body is too large, ended early, took too long, or there is no memory for it.
pub async fn read_body(
    head: &hyper::http::request::Parts,
    body: Incoming,
    max_bytes: usize,
) -> Result<bytes::Bytes, ApiError> {
    let refused = |code| Err(ApiError::not_run(code).at("body"));
    let connection = head.extensions.get::<Arc<Connection>>();
    let closed = async {
        match connection {
            Some(connection) => connection.closed().await,
            None => std::future::pending().await,
        }
    };
    let reading = collect(body, max_bytes, BodyKind::Request);
    let collected = tokio::select! {
        biased;
        collected = tokio::time::timeout(BODY_TIMEOUT, reading) => collected,
        () = closed => return refused(Code::Overloaded),
    };
    match collected {
        Ok(Ok(bytes)) => {
            if let Some(connection) = connection {
                connection.body_was_read();
            }
            Ok(bytes)
        }
        Ok(Err(CollectError::TooLarge)) => refused(Code::BodyTooLarge),
        Ok(Err(CollectError::NoMemory)) => refused(Code::Overloaded),
        Ok(Err(CollectError::Incomplete)) => refused(Code::Malformed),
        Err(_) => {
            super::overload::record_closed(super::overload::CloseReason::SlowBody);
            refused(Code::BodyTimeout)
        }
    }
}

/// Reads the complete body of a client's request within the limits in force on what clients send.
///
/// # Errors
/// Those of [`read_body`].
pub async fn read_body_within_limits(
    head: &hyper::http::request::Parts,
    body: Incoming,
) -> Result<bytes::Bytes, ApiError> {
    let connection = head.extensions.get::<Arc<Connection>>();
    let max_bytes = match connection {
        Some(connection) => connection.max_body_bytes(),
        None => topazyard_spec::ClientLimits::default().max_body_bytes as usize,
    };
    read_body(head, body, max_bytes).await
}

/// Collects the complete body of a response, of at most `max_bytes`. Its memory is charged like that of
/// a request's body.
///
/// # Errors
/// The body is too large, ended early, or there is no memory for it.
pub async fn collect_response(
    body: Incoming,
    max_bytes: usize,
) -> Result<bytes::Bytes, CollectError> {
    collect(body, max_bytes, BodyKind::Response).await
}

/// Reads and discards a body. Returns whether it was complete and had at most `max_bytes`.
pub async fn discard(mut body: Incoming, max_bytes: usize) -> bool {
    let mut discarded_bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        discarded_bytes += frame.data_ref().map_or(0, bytes::Bytes::len);
        if discarded_bytes > max_bytes {
            return false;
        }
    }
    true
}

/// Whose body is collected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyKind {
    Request,
    Response,
}

impl BodyKind {
    /// What a body of that length is held for.
    fn purpose(self, length: usize) -> Purpose {
        match self {
            Self::Response => Purpose::Response,
            Self::Request if length <= SMALL_BODY_BYTES => Purpose::SmallBody,
            Self::Request => Purpose::LargeBody,
        }
    }
}

async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    kind: BodyKind,
) -> Result<bytes::Bytes, CollectError> {
    let announced_bytes = body.size_hint().lower();
    if announced_bytes > max_bytes as u64 {
        return Err(CollectError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(bytes::Bytes::new());
    }
    let capacity_bytes = match body.size_hint().exact() {
        Some(exact_bytes) => exact_bytes as usize,
        None => max_bytes,
    };
    let mut buffer = Buffer::new(capacity_bytes, kind);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CollectError::Incomplete)?;
        let Some(data) = frame.data_ref() else { continue };
        if buffer.len() + data.len() > max_bytes {
            return Err(CollectError::TooLarge);
        }
        buffer.push(data)?;
    }
    Ok(buffer.into_bytes())
}

/// A body that arrives. Large ones are kept in memory of their own, which goes back to the system as
/// soon as it is dropped.
struct Buffer {
    /// The largest length that the body may reach.
    capacity_bytes: usize,
    kind: BodyKind,
    reservation: GrowingReservation,
    storage: Storage,
}

enum Storage {
    Small(Vec<u8>),
    Large { pages: memmap2::MmapMut, length: usize },
}

/// The filled part of pages.
struct Filled {
    pages: memmap2::MmapMut,
    length: usize,
}

impl AsRef<[u8]> for Filled {
    fn as_ref(&self) -> &[u8] {
        &self.pages[..self.length]
    }
}

impl Buffer {
    fn new(capacity_bytes: usize, kind: BodyKind) -> Self {
        Self {
            capacity_bytes,
            kind,
            reservation: GrowingReservation::new(FREE_BYTES, CHARGE_STEP_BYTES),
            storage: Storage::Small(Vec::new()),
        }
    }

    fn len(&self) -> usize {
        match &self.storage {
            Storage::Small(bytes) => bytes.len(),
            Storage::Large { length, .. } => *length,
        }
    }

    fn push(&mut self, data: &[u8]) -> Result<(), CollectError> {
        let length = self.len() + data.len();
        if !self.reservation.cover(self.kind.purpose(length), length) {
            return Err(CollectError::NoMemory);
        }
        if length > SMALL_BODY_BYTES {
            self.move_to_pages()?;
        }
        match &mut self.storage {
            Storage::Small(bytes) => {
                reserve_small(bytes, data.len(), self.capacity_bytes);
                bytes.extend_from_slice(data);
            }
            Storage::Large { pages, length } => {
                let end = *length + data.len();
                pages[*length..end].copy_from_slice(data);
                *length = end;
            }
        }
        Ok(())
    }

    fn move_to_pages(&mut self) -> Result<(), CollectError> {
        let Storage::Small(bytes) = &mut self.storage else { return Ok(()) };
        // Pages are not taken from the system before they are written to.
        let capacity_bytes = self.capacity_bytes.max(SMALL_BODY_BYTES);
        let mut pages =
            memmap2::MmapMut::map_anon(capacity_bytes).map_err(|_| CollectError::NoMemory)?;
        let length = bytes.len();
        pages[..length].copy_from_slice(bytes);
        self.storage = Storage::Large { pages, length };
        Ok(())
    }

    fn into_bytes(self) -> bytes::Bytes {
        match (self.storage, self.reservation.into_reservation()) {
            (Storage::Small(bytes), None) => bytes.into(),
            (Storage::Small(bytes), Some(reservation)) => with_reservation(bytes, reservation),
            (Storage::Large { pages, length }, Some(reservation)) => {
                with_reservation(Filled { pages, length }, reservation)
            }
            (Storage::Large { pages, length }, None) => {
                bytes::Bytes::from_owner(Filled { pages, length })
            }
        }
    }
}

/// Makes room for more bytes, by doubling up to the final length.
fn reserve_small(bytes: &mut Vec<u8>, more_bytes: usize, final_bytes: usize) {
    let needed_bytes = bytes.len() + more_bytes;
    if needed_bytes > bytes.capacity() {
        let capacity_bytes = needed_bytes.next_power_of_two().min(final_bytes).max(needed_bytes);
        bytes.reserve_exact(capacity_bytes - bytes.len());
    }
}
