//! An agent whose minion stands still stops what hangs there and takes no
//! starts for a while.
//!
//! The load pattern it answers: minions that answer calls while their tasks make
//! no progress. An entry sees only its own runs, and learns of them late.

use std::collections::BTreeSet;

use crate::Agent;
use crate::LinkId;
use crate::OrderId;
use crate::agent::breaker::BreakerState;
use crate::agent::run_table::Phase;
use crate::agent::run_table::Run;

/// Least time without progress from which a run stands still, in milliseconds:
/// shorter than the least task, so that a caller is still served in time elsewhere.
const MIN_STALL_MS: f64 = 40.0;
/// The same as a part of its expected time: minions tell progress in hundredths,
/// and one that works eight times slower still advances within it.
const STALL_FRACTION: f64 = 0.15;
/// Jobs whose runs must all stand still before the minion is taken for the
/// cause.
const MIN_STALLED_JOBS: usize = 2;

impl Agent {
    /// Looks whether everything on the minion stands still, after a fresh listing.
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

/// Whether a run has made no progress for too long, as of its last reading.
fn is_stalled(run: &Run) -> bool {
    let idle_ms = run.read_ms.saturating_sub(run.changed_ms) as f64;
    idle_ms >= MIN_STALL_MS.max(f64::from(run.expected_ms) * STALL_FRACTION)
}
