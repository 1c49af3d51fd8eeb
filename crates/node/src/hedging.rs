//! Hedged calls to the store: while a call may hang, entries make further identical
//! calls and take the first answer. An entry passes the answer on to the others, so
//! only some of the entries make a hedged call in each pause.

use std::future::Future;
use std::time::Duration;

/// Shortest pause between two hedged calls, in milliseconds.
const MIN_PAUSE_MS: u64 = 150;
/// Longest pause between two hedged calls, in milliseconds.
const MAX_PAUSE_MS: u64 = 450;
/// Average number of hedged calls that all entries together make within a pause.
const HEDGED_CALLS_PER_PAUSE: f64 = 6.0;

/// What an entry knows when it decides whether to make a hedged call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeContext {
    /// Whether this entry has a configuration in force.
    pub is_configured: bool,
    /// Number of entries that are known, including this one.
    pub entries: usize,
}

impl HedgeContext {
    /// Returns whether this entry makes a hedged call in this pause; `draw` is a
    /// random number from 0 to 1.
    #[expect(clippy::cast_precision_loss, reason = "entries are few")]
    fn should_hedge(self, draw: f64) -> bool {
        !self.is_configured && draw * (self.entries as f64) < HEDGED_CALLS_PER_PAUSE
    }
}

/// Makes hedged calls until one is answered, and returns that answer. Each call is
/// dropped when the pause that starts with it ends.
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
