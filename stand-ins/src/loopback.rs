//! Loopback addresses for tests that must know a port before a process listens on it.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// The first port to allocate.
const FIRST_PORT: u16 = 10_000;

/// Allocates one unused loopback address, see [`free_addresses`].
pub fn free_address() -> SocketAddr {
    let [address] = free_addresses();
    address
}

/// Allocates unused loopback addresses on consecutive ports.
///
/// A port of 127.0.0.1 that was bound and released may be taken by any outbound connection before
/// the process under test listens on it. Therefore each process has its own host in 127.64.0.0/10,
/// derived from its process id of 22 bits. No outbound connection uses that host, and each of its
/// ports is allocated only once.
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

/// The loopback host that only this process uses.
fn own_host() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | high, middle, low)
}
