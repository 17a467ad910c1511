//! The account of the memory that this process holds for clients.
//!
//! All servers of a process charge one account for bodies, for what is made of them and for
//! responses that are being sent. A charge is given back when the [`Reservation`] is dropped. A part
//! of the account is out of reach for large or incomplete bodies, so that small requests and the
//! responses to what has run still find room.

use std::sync::atomic::{AtomicU64, Ordering};

/// What bytes are held for. It determines how full the account may be with them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The part of a body beyond [`SMALL_BODY_BYTES`], and what is decoded from it.
    LargeBody,
    /// The first [`SMALL_BODY_BYTES`] of a body, and heads.
    SmallBody,
    /// A response.
    Response,
}

/// The first bytes of a body, for which room is kept that larger bodies can't take.
pub const SMALL_BODY_BYTES: usize = 64 * 1_024;
/// The account of a process whose memory is not known, in bytes.
const DEFAULT_LIMIT_BYTES: u64 = 64 * 1_024 * 1_024;
/// The account's share of the memory of a process is one in this number.
const MEMORY_DIVISOR: u64 = 4;

impl Purpose {
    /// The share of the account that may be in use after such a reservation, in eighths.
    fn eighths(self) -> u64 {
        match self {
            Self::LargeBody => 4,
            Self::SmallBody => 6,
            Self::Response => 8,
        }
    }
}

/// An account of bytes.
#[derive(Debug)]
pub struct Account {
    limit_bytes: AtomicU64,
    held_bytes: AtomicU64,
}

static PROCESS: Account = Account::new(DEFAULT_LIMIT_BYTES);

impl Account {
    /// An empty account.
    pub const fn new(limit_bytes: u64) -> Self {
        Self { limit_bytes: AtomicU64::new(limit_bytes), held_bytes: AtomicU64::new(0) }
    }

    /// The account of this process.
    pub fn of_process() -> &'static Self {
        &PROCESS
    }

    /// Sets the limit from the memory of the process, in bytes.
    pub fn set_memory(&self, memory_bytes: u64) {
        self.limit_bytes.store(memory_bytes / MEMORY_DIVISOR, Ordering::Relaxed);
    }

    /// The bytes that are held.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// The bytes that may be held at most.
    pub fn limit_bytes(&self) -> u64 {
        self.limit_bytes.load(Ordering::Relaxed)
    }

    /// Reserves bytes, or none if there is no room for that purpose.
    ///
    /// ```
    /// use topazyard_wire::http::memory::{Account, Purpose};
    /// static ACCOUNT: Account = Account::new(800);
    /// let body = ACCOUNT.reserve(Purpose::LargeBody, 400).unwrap();
    /// assert!(ACCOUNT.reserve(Purpose::LargeBody, 1).is_none());
    /// assert!(ACCOUNT.reserve(Purpose::SmallBody, 200).is_some());
    /// drop(body);
    /// assert_eq!(ACCOUNT.held_bytes(), 0);
    /// ```
    pub fn reserve(&'static self, purpose: Purpose, bytes: u64) -> Option<Reservation> {
        let mut reservation = Reservation { account: self, bytes: 0 };
        reservation.grow(purpose, bytes).then_some(reservation)
    }
}

/// Reserved bytes of an account, given back on drop.
#[derive(Debug)]
pub struct Reservation {
    account: &'static Account,
    bytes: u64,
}

impl Reservation {
    /// Reserves further bytes and returns whether there was room. A shortage is counted.
    pub fn grow(&mut self, purpose: Purpose, bytes: u64) -> bool {
        let limit_bytes = self.account.limit_bytes() / 8 * purpose.eighths();
        let reserve = |held_bytes: u64| {
            let next_bytes = held_bytes.saturating_add(bytes);
            (next_bytes <= limit_bytes).then_some(next_bytes)
        };
        let held = &self.account.held_bytes;
        let is_reserved = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, reserve).is_ok();
        if is_reserved {
            self.bytes += bytes;
        } else {
            super::overload::record_shortage();
        }
        is_reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes with the reservation for them.
struct Charged<B> {
    bytes: B,
    _reservation: Reservation,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for Charged<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Bytes that hold their reservation until the last clone of them is dropped.
pub fn with_reservation<B>(bytes: B, reservation: Reservation) -> bytes::Bytes
where
    B: AsRef<[u8]> + Send + 'static,
{
    bytes::Bytes::from_owner(Charged { bytes, _reservation: reservation })
}

/// The reservation for bytes that grow: it is enlarged in steps.
#[derive(Debug)]
pub struct GrowingReservation {
    reservation: Option<Reservation>,
    covered_bytes: usize,
    step_bytes: usize,
}

impl GrowingReservation {
    /// A reservation in steps of `step_bytes`, of which the first `free_bytes` are not charged.
    pub fn new(free_bytes: usize, step_bytes: usize) -> Self {
        Self { reservation: None, covered_bytes: free_bytes, step_bytes }
    }

    /// Charges the account of the process, so that at least `bytes` are covered. Returns whether
    /// there was room.
    pub fn cover(&mut self, purpose: Purpose, bytes: usize) -> bool {
        if bytes <= self.covered_bytes {
            return true;
        }
        // Small buffers grow by doubling.
        let target_bytes = match bytes < self.step_bytes {
            true => bytes.next_power_of_two(),
            false => bytes.next_multiple_of(self.step_bytes),
        };
        let more_bytes = (target_bytes - self.covered_bytes) as u64;
        let is_covered = match &mut self.reservation {
            Some(reservation) => reservation.grow(purpose, more_bytes),
            None => {
                self.reservation = Account::of_process().reserve(purpose, more_bytes);
                self.reservation.is_some()
            }
        };
        if is_covered {
            self.covered_bytes = target_bytes;
        }
        is_covered
    }

    /// What was reserved, if anything was.
    pub fn into_reservation(self) -> Option<Reservation> {
        self.reservation
    }
}

/// How many bytes are reserved for each byte of a body while it is decoded and passed on.
const DECODING_FACTOR: u64 = 2;

/// Reserves what decoding a body takes, and what is made of it until the response, or returns none
/// if there is no room for that. `extra_bytes` is what its parts take beside their text.
pub fn reserve_for_decoding(body_bytes: usize, extra_bytes: usize) -> Option<Reservation> {
    let purpose = match body_bytes + extra_bytes {
        0..=SMALL_BODY_BYTES => Purpose::SmallBody,
        _ => Purpose::LargeBody,
    };
    let bytes = DECODING_FACTOR * body_bytes as u64 + extra_bytes as u64;
    Account::of_process().reserve(purpose, bytes)
}

/// Charges the account of the process with the body of a response, or returns none if there is no
/// room for it.
pub fn charge_response<B>(bytes: B) -> Option<bytes::Bytes>
where
    B: AsRef<[u8]> + Send + 'static,
{
    let length = bytes.as_ref().len() as u64;
    let reservation = Account::of_process().reserve(Purpose::Response, length)?;
    Some(with_reservation(bytes, reservation))
}
