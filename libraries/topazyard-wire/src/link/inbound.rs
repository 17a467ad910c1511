//! Inbound links. Frames of this version and fleet are passed on, others are refused and counted.

use futures_util::StreamExt as _;

/// Maximum number of open inbound links.
const MAX_LINKS: usize = 4096;
/// Time after which a link without frames is closed, so that peers that disappeared without closing
/// their links don't use up all of them. A sender opens a new link with its next frame.
const IDLE_TIMEOUT_MS: u64 = 120_000;

/// The pause after a link could not be accepted.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// Accepts links forever and calls `receive` with each valid frame.
pub async fn listen(
    listener: tokio::net::TcpListener,
    fleet: topazyard_types::FleetId,
    receive: impl Fn(crate::Frame) + Clone + Send + 'static,
) {
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_LINKS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let receive = receive.clone();
        tokio::spawn(async move {
            read(stream, fleet, receive).await;
            drop(permit);
        });
    }
}

async fn read(
    stream: tokio::net::TcpStream,
    fleet: topazyard_types::FleetId,
    receive: impl Fn(crate::Frame),
) {
    let mut link = tokio_util::codec::FramedRead::new(stream, super::codec());
    let mut refused = 0_u64;
    let idle_timeout = std::time::Duration::from_millis(IDLE_TIMEOUT_MS);
    while let Ok(Some(Ok(bytes))) = tokio::time::timeout(idle_timeout, link.next()).await {
        match crate::Frame::decode(&bytes, fleet) {
            Ok(frame) => {
                crate::traffic::record_received(&frame.message, bytes.len());
                receive(frame);
            }
            Err(error) => {
                refused += 1;
                spdlog::warn!("frame refused ({refused} on this link): {error}");
            }
        }
    }
}
