//! Links over which frames move slowly, on a clock that the test moves.

use std::time::Duration;
use tokio::io::AsyncReadExt as _;
use topazyard_wire::link::outbound::write_frames;

const FRAME_BYTES: usize = 64 * 1024;
const FRAMES: usize = 64;

fn queue_of_frames() -> tokio::sync::mpsc::Receiver<bytes::Bytes> {
    let (sender, queue) = tokio::sync::mpsc::channel(FRAMES);
    for _ in 0..FRAMES {
        sender.try_send(bytes::Bytes::from(vec![7; FRAME_BYTES])).unwrap();
    }
    queue
}

// Guards against a link that is closed, with all that is queued on it, although it makes progress.
#[tokio::test(start_paused = true)]
async fn slow_link_that_makes_progress_loses_nothing() {
    let (near, mut far) = tokio::io::duplex(16 * 1024);
    let reader = tokio::spawn(async move {
        let mut buffer = vec![0; 16 * 1024];
        let mut interval = tokio::time::interval(Duration::from_millis(50));
        let mut received = 0;
        loop {
            interval.tick().await;
            match far.read(&mut buffer).await {
                Ok(0) | Err(_) => return received,
                Ok(bytes) => received += bytes,
            }
        }
    });
    let started = tokio::time::Instant::now();
    write_frames(near, &mut queue_of_frames()).await.unwrap();
    assert!(started.elapsed() > Duration::from_secs(10), "{:?}", started.elapsed());
    let header_bytes = 4;
    assert_eq!(reader.await.unwrap(), FRAMES * (FRAME_BYTES + header_bytes));
}

#[tokio::test(start_paused = true)]
async fn link_without_progress_is_closed() {
    let (near, far) = tokio::io::duplex(16 * 1024);
    let started = tokio::time::Instant::now();
    let error = write_frames(near, &mut queue_of_frames()).await.unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
    assert_eq!(started.elapsed().as_secs(), 2);
    drop(far);
}
