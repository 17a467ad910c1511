//! Links inward: frames of this version and fleet go on, others are refused and counted.

use futures_util::StreamExt as _;

/// The most links that are open inward at once.
const MOST_LINKS: usize = 4096;
/// After how long without a frame a link is closed, so that peers that vanished without a word
/// don't use up the room. A sender opens a new one with its next frame.
const IDLE_MS: u64 = 120_000;

/// Takes links for ever; `take` gets each good frame and says whether to go on.
pub async fn listen(
    listener: tokio::net::TcpListener,
    fleet: topazyard_types::FleetId,
    take: impl Fn(crate::Frame) + Clone + Send + 'static,
) {
    let room = std::sync::Arc::new(tokio::sync::Semaphore::new(MOST_LINKS));
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else { continue };
        let take = take.clone();
        tokio::spawn(async move {
            read(stream, fleet, take).await;
            drop(permit);
        });
    }
}

async fn read(
    stream: tokio::net::TcpStream,
    fleet: topazyard_types::FleetId,
    take: impl Fn(crate::Frame),
) {
    let mut link = tokio_util::codec::FramedRead::new(stream, super::codec());
    let mut refused = 0_u64;
    let idle = std::time::Duration::from_millis(IDLE_MS);
    while let Ok(Some(Ok(bytes))) = tokio::time::timeout(idle, link.next()).await {
        match crate::Frame::decode(&bytes, fleet) {
            Ok(frame) => take(frame),
            Err(error) => {
                refused += 1;
                spdlog::warn!("frame refused ({refused} on this link): {error}");
            }
        }
    }
}
