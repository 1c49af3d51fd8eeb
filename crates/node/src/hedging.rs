//! Repeats a call to the store beside one that may hang. Entries pass on what one of
//! them learns, so they share the repeated calls out among themselves.

use std::future::Future;
use std::time::Duration;

/// Shortest and longest pause between two repeated calls, in milliseconds.
const MIN_PAUSE_MS: u64 = 150;
const MAX_PAUSE_MS: u64 = 450;
/// Repeated calls of all entries together within a pause, on average.
const HEDGED_CALLS_PER_PAUSE: f64 = 6.0;

/// What an entry knows without the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeContext {
    /// Whether a configuration is in force here.
    pub is_configured: bool,
    /// Entries that are known, this one included.
    pub entries: usize,
}

impl HedgeContext {
    /// Whether this entry is among those that repeat the call; `draw` is a random
    /// number from 0 to 1.
    #[expect(clippy::cast_precision_loss, reason = "entries are few")]
    fn should_hedge(self, draw: f64) -> bool {
        !self.is_configured && draw * (self.entries as f64) < HEDGED_CALLS_PER_PAUSE
    }
}

/// The first answer to a repeated call. A call ends with the pause after it.
pub(crate) async fn first_answer<T, E, R>(
    hedge_context: impl Fn() -> HedgeContext,
    attempt: impl Fn() -> R,
) -> T
where
    R: Future<Output = Result<T, E>>,
{
    tokio::time::sleep(pause()).await;
    loop {
        let pause_end = tokio::time::sleep(pause());
        if !hedge_context().should_hedge(rand::random()) {
            pause_end.await;
            continue;
        }
        tokio::select! {
            Ok(answer) = attempt() => return answer,
            () = pause_end => {}
        }
    }
}

fn pause() -> Duration {
    Duration::from_millis(rand::random_range(MIN_PAUSE_MS..=MAX_PAUSE_MS))
}
