//! Staggered connection attempts to a host that was off and comes up again, under paused time.

use std::time::Duration;
use topazyard_wire::link::outbound::race_staggered_attempts;

/// An attempt without a response: its SYN was lost because the host was off.
async fn no_response() -> Result<u32, ()> {
    std::future::pending().await
}

#[tokio::test(start_paused = true)]
async fn host_that_comes_up_is_reached_while_an_attempt_hangs() {
    let started = tokio::time::Instant::now();
    let up_after = Duration::from_millis(150);
    let connected = race_staggered_attempts(|| async {
        if started.elapsed() < up_after { no_response().await } else { Ok(7) }
    });
    assert_eq!(connected.await, Some(7));
    assert_eq!(started.elapsed(), Duration::from_millis(200));
}

#[tokio::test(start_paused = true)]
async fn refused_connection_fails_at_once() {
    // The host is up but the process is not running. The next frame triggers a new attempt.
    let started = tokio::time::Instant::now();
    let connected = race_staggered_attempts(|| async { Err::<u32, ()>(()) });
    assert_eq!(connected.await, None);
    assert!(started.elapsed() < Duration::from_millis(10));
}

#[tokio::test(start_paused = true)]
async fn attempts_without_a_response_time_out() {
    let started = tokio::time::Instant::now();
    assert_eq!(race_staggered_attempts(no_response).await, None);
    assert_eq!(started.elapsed(), Duration::from_millis(500));
}
