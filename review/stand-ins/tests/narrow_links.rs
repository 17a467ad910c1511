//! Links between machines, where the link of each storage machine takes so many bits a second of
//! what is sent to it, and all that is sent is on its way for a while.

use fleet_soak::layout::{Class, Layout};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::time::Instant;

/// How long a byte is on its way.
const DELAY: Duration = Duration::from_micros(1_400);
/// How much is read at once, and how much a socket holds back.
const PIECE: usize = 16 * 1024;
const WINDOW: u32 = 64 * 1024;

/// When a link is free again.
type Free = Arc<tokio::sync::Mutex<Instant>>;

/// Listens at all addresses that machines send to.
pub fn start(layout: Layout, megabits: f64) -> std::io::Result<()> {
    for machine in layout.machines() {
        let is_narrow = layout.class(machine) == Class::Storage;
        let bits = if is_narrow { megabits * 1e6 } else { 1e9 };
        let free = Free::new(tokio::sync::Mutex::new(Instant::now()));
        for port in layout.frame_ports(machine) {
            let socket = tokio::net::TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.set_recv_buffer_size(WINDOW)?;
            socket.bind((layout.advertised(machine), port).into())?;
            let listener = socket.listen(1_024)?;
            let bound = (layout.bound(machine), port).into();
            tokio::spawn(listen(listener, bound, free.clone(), bits));
        }
    }
    Ok(())
}

async fn listen(listener: tokio::net::TcpListener, to: SocketAddr, free: Free, bits: f64) {
    loop {
        let Ok((link, _)) = listener.accept().await else { continue };
        let free = free.clone();
        tokio::spawn(async move { drop(forward(link, to, free, bits).await) });
    }
}

async fn forward(
    mut link: tokio::net::TcpStream,
    to: SocketAddr,
    free: Free,
    bits: f64,
) -> std::io::Result<()> {
    link.set_nodelay(true)?;
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_send_buffer_size(WINDOW)?;
    let mut onward = socket.connect(to).await?;
    onward.set_nodelay(true)?;
    let mut piece = vec![0; PIECE];
    let mut answer = [0; 1];
    loop {
        let read = tokio::select! {
            read = link.read(&mut piece) => read?,
            // Nothing comes back on a link but its end.
            _ = onward.read(&mut answer) => return Ok(()),
        };
        if read == 0 {
            return Ok(());
        }
        let takes = Duration::from_secs_f64(read as f64 * 8.0 / bits);
        let sent = {
            let mut free = free.lock().await;
            *free = (*free).max(Instant::now()) + takes;
            *free
        };
        // The runtime's timer is a millisecond coarse: short waits add up in `free` first.
        if sent > Instant::now() + DELAY {
            tokio::time::sleep_until(sent).await;
        }
        onward.write_all(&piece[..read]).await?;
    }
}
