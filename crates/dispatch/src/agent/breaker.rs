//! A circuit breaker for a minion on which runs fail.
//!
//! The load pattern that it handles: a minion fails all its runs at once and therefore
//! always has free resources, in a fleet in which each entry sees few of these ends.
//! The agent sees all ends and refuses starts of all entries.

use gannetvane_wire::Name;

/// Number of jobs that must fail on the minion before the minion counts as the cause: a
/// single job may be at fault itself.
const TRIP_JOBS: usize = 2;
/// Consecutive successful runs that cancel one failed job. With one, the breaker would
/// never open for a minion that fails every second run.
const SUCCESSES_PER_FAILED_JOB: u32 = 2;
/// First period without starts, in milliseconds: a few sub-second tasks.
const FIRST_PAUSE_MS: u64 = 300;
/// Longest period without starts, in milliseconds: a minion that recovers gets starts
/// again within that time.
const MAX_PAUSE_MS: u64 = 2_400;

/// Time that a half-open trial has to fail or stall before the next start, in milliseconds.
/// A run may take many times as long, and would hold up all others.
pub(crate) const TRIAL_MS: u64 = 300;

/// Circuit breaker that counts the successful and failed runs of a minion.
#[derive(Debug, Default)]
pub(crate) struct Breaker {
    /// Jobs that failed here and were not cancelled by successful runs.
    failed_jobs: Vec<Name>,
    /// Consecutive successful runs since a run last failed or cancelled a failed job.
    successes: u32,
    /// Whether the breaker is open or half-open.
    is_tripped: bool,
    /// Number of times that the breaker tripped without a successful trial in between.
    trips: u32,
    /// When the breaker becomes half-open.
    paused_until_ms: u64,
}

/// Whether a minion gets starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BreakerState {
    /// The minion gets starts.
    Closed,
    /// The minion gets no starts.
    Open,
    /// The minion gets a start each [`TRIAL_MS`], to show that it has recovered. The ends of
    /// runs that started before `since_ms` don't change the state.
    HalfOpen {
        /// When the breaker became half-open.
        since_ms: u64,
    },
}

impl Breaker {
    /// Records that a run which started at `started_ms` was successful.
    pub(crate) fn succeeded(&mut self, started_ms: u64) {
        if self.is_tripped {
            if started_ms >= self.paused_until_ms {
                *self = Self::default();
            }
            return;
        }
        self.successes += 1;
        if self.successes >= SUCCESSES_PER_FAILED_JOB && !self.failed_jobs.is_empty() {
            self.failed_jobs.remove(0);
            self.successes = 0;
        }
    }

    /// Records that a run of a job failed which started at `started_ms`. Returns true
    /// if the minion gets no starts from now on.
    pub(crate) fn failed(&mut self, now_ms: u64, job: &Name, started_ms: u64) -> bool {
        self.successes = 0;
        if !self.failed_jobs.contains(job) {
            self.failed_jobs.push(job.clone());
        }
        let is_trial = started_ms >= self.paused_until_ms;
        if self.failed_jobs.len() < TRIP_JOBS || !is_trial {
            return false;
        }
        self.trip(now_ms);
        true
    }

    /// Opens the breaker: the minion gets no starts for a while.
    pub(crate) fn trip(&mut self, now_ms: u64) {
        let doubled_ms = FIRST_PAUSE_MS << self.trips.min(3);
        self.paused_until_ms = now_ms + doubled_ms.min(MAX_PAUSE_MS);
        self.trips += 1;
        self.is_tripped = true;
    }

    /// Removes the failures of a job, which turned out to be caused by the job itself.
    pub(crate) fn discount_failures(&mut self, job: &Name) {
        let Some(position) = self.failed_jobs.iter().position(|failed| failed == job) else {
            return;
        };
        self.failed_jobs.remove(position);
        if self.failed_jobs.len() < TRIP_JOBS {
            self.is_tripped = false;
            self.trips = 0;
            self.paused_until_ms = 0;
        }
    }

    pub(crate) fn state(&self, now_ms: u64) -> BreakerState {
        match self.is_tripped {
            false => BreakerState::Closed,
            true if now_ms < self.paused_until_ms => BreakerState::Open,
            true => BreakerState::HalfOpen {
                since_ms: self.paused_until_ms,
            },
        }
    }

    /// When an open breaker becomes half-open.
    pub(crate) fn due_ms(&self, now_ms: u64) -> Option<u64> {
        (self.is_tripped && now_ms < self.paused_until_ms).then_some(self.paused_until_ms)
    }
}
