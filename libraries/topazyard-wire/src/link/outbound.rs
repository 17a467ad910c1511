//! Links outward: one task per address with a bounded queue. What doesn't fit or can't be sent is
//! dropped; every protocol here asks again.

use futures_util::{SinkExt as _, StreamExt as _};

/// The most frames that wait for one address.
const QUEUE_LIMIT: usize = 2048;
const CONNECT_MS: u64 = 500;
/// After how long without a word of the other machine another attempt is made beside the first: the
/// kernel repeats its own only after a second, and a machine that was off may be on again.
const CONNECT_BESIDE_MS: u64 = 100;
const WRITE_MS: u64 = 2_000;
/// After how long a link over which nothing is confirmed is given up and made anew: what waits in
/// it would come late, and after a cut only once the kernel tries again.
const UNCONFIRMED_MS: u32 = 1_000;

/// All links outward, owned by the driver.
#[derive(Default)]
pub struct Links {
    senders:
        std::collections::HashMap<std::net::SocketAddr, tokio::sync::mpsc::Sender<bytes::Bytes>>,
}

impl Links {
    /// Sends a frame's bytes, opening a link where there is none.
    pub fn send(&mut self, to: std::net::SocketAddr, frame: bytes::Bytes) {
        let frame = match self.senders.get(&to) {
            Some(sender) => match sender.try_send(frame) {
                Ok(()) | Err(tokio::sync::mpsc::error::TrySendError::Full(_)) => return,
                Err(tokio::sync::mpsc::error::TrySendError::Closed(frame)) => frame,
            },
            None => frame,
        };
        let (sender, receiver) = tokio::sync::mpsc::channel(QUEUE_LIMIT);
        // The queue is new and empty, so the first frame always fits.
        let _ = sender.try_send(frame);
        self.senders.insert(to, sender);
        tokio::spawn(run(to, receiver));
    }
}

/// Makes attempts, each a while after the one before, until one of them has any outcome: that of the
/// first to end. Gives up after a while.
pub async fn race_staggered_attempts<T, E, F>(attempt: impl Fn() -> F) -> Option<T>
where
    F: Future<Output = Result<T, E>>,
{
    let attempts = futures_util::stream::FuturesUnordered::new();
    for number in 0..CONNECT_MS / CONNECT_BESIDE_MS {
        let begins = std::time::Duration::from_millis(number * CONNECT_BESIDE_MS);
        let attempt = &attempt;
        attempts.push(async move {
            tokio::time::sleep(begins).await;
            attempt().await
        });
    }
    let limit = std::time::Duration::from_millis(CONNECT_MS);
    let mut attempts = std::pin::pin!(attempts);
    let first = tokio::time::timeout(limit, attempts.next()).await;
    first.ok().flatten()?.ok()
}

/// Writes frames until the link breaks or nobody sends any more.
async fn run(to: std::net::SocketAddr, mut queue: tokio::sync::mpsc::Receiver<bytes::Bytes>) {
    let connected = race_staggered_attempts(|| tokio::net::TcpStream::connect(to)).await;
    let Some(stream) = connected else { return };
    let _ = stream.set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(&stream, UNCONFIRMED_MS);
    let mut link = tokio_util::codec::FramedWrite::new(stream, super::codec());
    let limit = std::time::Duration::from_millis(WRITE_MS);
    while let Some(frame) = queue.recv().await {
        let batch = async {
            link.feed(frame).await?;
            while let Ok(frame) = queue.try_recv() {
                link.feed(frame).await?;
            }
            futures_util::SinkExt::<bytes::Bytes>::flush(&mut link).await
        };
        if !matches!(tokio::time::timeout(limit, batch).await, Ok(Ok(()))) {
            return;
        }
    }
}
