//! A circuit breaker for a minion that fails what it starts.
//!
//! The load pattern it answers: a minion that fails at once all that it is
//! given, and so has room all the time, in a fleet in which each entry sees few
//! of its ends. The agent sees all of them and closes for all entries.

use gannetvane_wire::Name;

/// Jobs that must fail here before the minion is taken for the cause: a single
/// one may be at fault itself.
const TRIP_JOBS: usize = 2;
/// Good ends in a row that outweigh a job that failed: with one, a minion that
/// fails every second run would never be closed.
const SUCCESSES_PER_FAILED_JOB: u32 = 2;
/// First time without starts, in milliseconds: a few sub-second tasks.
const FIRST_PAUSE_MS: u64 = 300;
/// Longest such time, in milliseconds: a minion that recovers serves again
/// within that.
const MAX_PAUSE_MS: u64 = 2_400;

/// Judges a minion by the ends of its runs.
#[derive(Debug, Default)]
pub(crate) struct Breaker {
    /// Jobs that failed here and were not outweighed.
    failed_jobs: Vec<Name>,
    /// Good ends since the last bad one.
    successes: u32,
    is_tripped: bool,
    /// Times that it tripped without a good end between.
    trips: u32,
    /// When the minion gets its first start again.
    paused_until_ms: u64,
}

/// Whether a minion gets starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BreakerState {
    /// It does.
    Closed,
    /// It does not.
    Open,
    /// It gets one at a time, to show that it has recovered; none that began
    /// before this time tells.
    HalfOpen {
        /// Since when.
        since_ms: u64,
    },
}

impl Breaker {
    /// A run ended well that began at this time.
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

    /// A run of a job failed that began at this time; true if the minion gets
    /// no starts from now on.
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

    /// The minion gets no starts for a while.
    pub(crate) fn trip(&mut self, now_ms: u64) {
        let doubled_ms = FIRST_PAUSE_MS << self.trips.min(3);
        self.paused_until_ms = now_ms + doubled_ms.min(MAX_PAUSE_MS);
        self.trips += 1;
        self.is_tripped = true;
    }

    /// The failures of a job turned out to be its own.
    pub(crate) fn discount_failures(&mut self, job: &Name) {
        let Some(position) = self.failed_jobs.iter().position(|suspect| suspect == job) else {
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

    /// When the minion gets a start again.
    pub(crate) fn due_ms(&self, now_ms: u64) -> Option<u64> {
        (self.is_tripped && now_ms < self.paused_until_ms).then_some(self.paused_until_ms)
    }
}
