//! Addresses of loopback for tests that must name a port before it is listened on.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// The first port that is handed out.
const FIRST_PORT: u16 = 10_000;

/// An address of loopback that nothing else uses, as one of [`free_addresses`].
pub fn free_address() -> SocketAddr {
    let [address] = free_addresses();
    address
}

/// Addresses of loopback on ports in a row that nothing else uses.
///
/// A port of 127.0.0.1 that was bound and given back may be taken by any connection outward before
/// it is listened on. So each process has a host of its own in 127.64.0.0/10, which its id of 22
/// bits names and from which nothing connects outward, and hands each of its ports out once.
///
/// ```
/// let [one, next] = stand_ins::loopback::free_addresses();
/// assert!(one.ip().is_loopback() && one.ip() == next.ip());
/// assert_eq!(one.port() + 1, next.port());
/// assert_ne!(stand_ins::loopback::free_address(), one);
/// ```
pub fn free_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let first = NEXT_PORT.fetch_add(COUNT as u16, Ordering::Relaxed);
    std::array::from_fn(|index| SocketAddr::from((own_host(), first + index as u16)))
}

/// The host that this process alone uses.
fn own_host() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | high, middle, low)
}
