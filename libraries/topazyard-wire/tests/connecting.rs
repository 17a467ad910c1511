//! Connecting to a machine that was off and is on again; time stands still but for the attempts'.

use std::time::Duration;
use topazyard_wire::link::outbound::race_staggered_attempts;

/// An attempt that gets no word: its first packet was lost with the machine's power.
async fn no_word() -> Result<u32, ()> {
    std::future::pending().await
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_comes_on_is_reached_beside_an_attempt_that_hangs() {
    let begun = tokio::time::Instant::now();
    let on_after = Duration::from_millis(150);
    let connected = race_staggered_attempts(|| async {
        if begun.elapsed() < on_after { no_word().await } else { Ok(7) }
    });
    assert_eq!(connected.await, Some(7));
    assert_eq!(begun.elapsed(), Duration::from_millis(200));
}

#[tokio::test(start_paused = true)]
async fn a_refusal_ends_it_at_once() {
    // The machine is on and the process is not: whoever sends next tries again.
    let begun = tokio::time::Instant::now();
    let connected = race_staggered_attempts(|| async { Err::<u32, ()>(()) });
    assert_eq!(connected.await, None);
    assert!(begun.elapsed() < Duration::from_millis(10));
}

#[tokio::test(start_paused = true)]
async fn without_any_word_it_is_given_up() {
    let begun = tokio::time::Instant::now();
    assert_eq!(race_staggered_attempts(no_word).await, None);
    assert_eq!(begun.elapsed(), Duration::from_millis(500));
}
