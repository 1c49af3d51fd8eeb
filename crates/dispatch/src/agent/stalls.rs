//! Stops the runs of a stalled minion and ejects it for a while.
//!
//! The load pattern that it handles: minions answer calls while their tasks make no
//! progress. An entry sees only its own runs, and learns of stalled ones after a delay.

use std::collections::BTreeSet;

use crate::Agent;
use crate::LinkId;
use crate::OrderId;
use crate::agent::breaker::BreakerState;
use crate::agent::run_table::Phase;
use crate::agent::run_table::Run;

/// Minimum time without progress after which a run counts as stalled, in milliseconds:
/// shorter than the shortest task, so that another minion can still serve the caller in
/// time.
const MIN_STALL_MS: f64 = 40.0;
/// Minimum time without progress after which a run counts as stalled, as a fraction of
/// its expected run time. Minions report progress in hundredths, and one that is eight
/// times slower still makes progress within this time.
const STALL_FRACTION: f64 = 0.15;
/// Number of jobs whose runs must all be stalled before the minion counts as the cause.
const MIN_STALLED_JOBS: usize = 2;

impl Agent {
    /// Trips the breaker and stops the active runs if all of them are stalled and they
    /// belong to enough jobs. Called after a fresh listing.
    pub(crate) fn detect_stalls(&mut self, now_ms: u64) {
        let running = self.runs.iter().filter(|run| run.phase == Phase::Running);
        let running: Vec<&Run> = running.collect();
        if !running.iter().all(|run| is_stalled(run)) {
            return;
        }
        let jobs: BTreeSet<_> = running.iter().map(|run| &run.key.task.job).collect();
        let min_jobs = match self.breaker.state(now_ms) {
            BreakerState::Closed => MIN_STALLED_JOBS,
            BreakerState::Open | BreakerState::HalfOpen { .. } => 1,
        };
        if jobs.len() < min_jobs {
            return;
        }
        let stalled: Vec<(LinkId, OrderId)> =
            running.iter().map(|run| (run.link, run.order)).collect();
        self.breaker.trip(now_ms);
        self.event("minion-stalled", None, format!("runs={}", stalled.len()));
        for (link, order) in stalled {
            self.stop_run(now_ms, link, order);
        }
    }
}

/// Whether a run had made no progress for too long when it was last read.
fn is_stalled(run: &Run) -> bool {
    let idle_ms = run.read_ms.saturating_sub(run.changed_ms) as f64;
    idle_ms >= MIN_STALL_MS.max(f64::from(run.expected_ms) * STALL_FRACTION)
}
