//! Outbound links: one task with a bounded queue per address. Frames that don't fit into the queue
//! or can't be sent are dropped, because every protocol retries.

use crate::traffic::{LinkLoss, record_lost};
use futures_util::{SinkExt as _, StreamExt as _};

/// Maximum number of frames queued for one address.
const MAX_QUEUED: usize = 2048;
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Delay between parallel connection attempts. The kernel retransmits a lost SYN only after a
/// second, and a host that was off may be up again before.
const CONNECT_STAGGER_MS: u64 = 100;
/// Time without progress after which a write fails, however much is queued behind it.
const WRITE_STALL_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(2_000);
/// Time without TCP acknowledgements after which a link is closed and opened again. Its queued data
/// would arrive late, and after a network partition only at the kernel's next retransmission.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 1_000;

/// All outbound links, owned by the driver.
#[derive(Default)]
pub struct Links {
    senders:
        std::collections::HashMap<std::net::SocketAddr, tokio::sync::mpsc::Sender<bytes::Bytes>>,
}

impl Links {
    /// Sends an encoded frame, opening a link if there is none.
    pub fn send(&mut self, to: std::net::SocketAddr, frame: bytes::Bytes) {
        let frame = match self.senders.get(&to) {
            Some(sender) => match sender.try_send(frame) {
                Ok(()) => return,
                Err(tokio::sync::mpsc::error::TrySendError::Full(_)) => {
                    return record_lost(LinkLoss::QueueFull, 1);
                }
                Err(tokio::sync::mpsc::error::TrySendError::Closed(frame)) => frame,
            },
            None => frame,
        };
        let (sender, receiver) = tokio::sync::mpsc::channel(MAX_QUEUED);
        // The queue is new and empty, so the first frame always fits.
        let _ = sender.try_send(frame);
        self.senders.insert(to, sender);
        tokio::spawn(run(to, receiver));
    }
}

/// Starts attempts at a fixed stagger until one of them succeeds or fails, and returns its success.
/// Returns `None` after a failure or the connect timeout.
pub async fn race_staggered_attempts<T, E, F>(attempt: impl Fn() -> F) -> Option<T>
where
    F: Future<Output = Result<T, E>>,
{
    let attempts = futures_util::stream::FuturesUnordered::new();
    for number in 0..CONNECT_TIMEOUT_MS / CONNECT_STAGGER_MS {
        let delay = std::time::Duration::from_millis(number * CONNECT_STAGGER_MS);
        let attempt = &attempt;
        attempts.push(async move {
            tokio::time::sleep(delay).await;
            attempt().await
        });
    }
    let timeout = std::time::Duration::from_millis(CONNECT_TIMEOUT_MS);
    let mut attempts = std::pin::pin!(attempts);
    let first = tokio::time::timeout(timeout, attempts.next()).await;
    first.ok().flatten()?.ok()
}

/// Writes frames until the link fails or its sender is dropped.
async fn run(to: std::net::SocketAddr, mut queue: tokio::sync::mpsc::Receiver<bytes::Bytes>) {
    let connected = race_staggered_attempts(|| tokio::net::TcpStream::connect(to)).await;
    let Some(stream) = connected else {
        return record_lost(LinkLoss::NotConnected, queue.len());
    };
    let _ = stream.set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(&stream, UNACKNOWLEDGED_TIMEOUT_MS);
    if let Err(error) = write_frames(stream, &mut queue).await {
        let reason = match error.kind() {
            std::io::ErrorKind::TimedOut => LinkLoss::Stalled,
            _ => LinkLoss::Failed,
        };
        // The frame being written is lost too.
        record_lost(reason, queue.len() + 1);
    }
}

/// Writes frames until the sender of the queue is dropped.
///
/// # Errors
/// A write failed, or made no progress for too long.
pub async fn write_frames(
    stream: impl tokio::io::AsyncWrite,
    queue: &mut tokio::sync::mpsc::Receiver<bytes::Bytes>,
) -> std::io::Result<()> {
    let mut stream = tokio_io_timeout::TimeoutWriter::new(stream);
    stream.set_timeout(Some(WRITE_STALL_TIMEOUT));
    let mut link = tokio_util::codec::FramedWrite::new(Box::pin(stream), super::codec());
    while let Some(frame) = queue.recv().await {
        link.feed(frame).await?;
        while let Ok(frame) = queue.try_recv() {
            link.feed(frame).await?;
        }
        futures_util::SinkExt::<bytes::Bytes>::flush(&mut link).await?;
    }
    Ok(())
}
