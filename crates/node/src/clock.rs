//! A clock in milliseconds that includes the time in which the host is suspended.
//!
//! The monotonic clock of the runtime does not advance during a suspension. With
//! it alone, a process would consider its links, grants, leases and listings as
//! fresh after a suspension as before, and an agent would start tasks that its
//! entry has since ordered elsewhere. Decisions therefore use a clock that
//! includes suspensions: to the core, a suspension looks like any other time in
//! which the process did not run.
//!
//! Each iteration of a process's event loop reads the time of a suspension before
//! it handles inputs that arrived meanwhile. Timers of the runtime do not include
//! it: one that was set before a suspension fires later by the suspension's length.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time::Instant;

/// Smallest difference between the two clocks that counts as a suspension. Shorter
/// suspensions do no harm, and the clocks run at slightly different rates.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// A time source that includes suspensions of the host.
pub trait TimeSource {
    /// Returns the time since a fixed moment before the process started. It never
    /// decreases.
    fn elapsed(&self) -> Duration;
}

/// The time since the host booted, including the time in which it was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootTime;

impl TimeSource for BootTime {
    fn elapsed(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        Duration::new(seconds, nanoseconds)
    }
}

/// A clock that starts at zero. Clones share the suspensions that were observed.
#[derive(Clone)]
pub struct Clock {
    start: Instant,
    source: Rc<dyn TimeSource>,
    source_start: Duration,
    suspended: Rc<Cell<Duration>>,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").finish_non_exhaustive()
    }
}

impl Clock {
    /// Creates a clock that starts now and uses [`BootTime`].
    #[must_use]
    pub fn start() -> Self {
        Self::with_source(Rc::new(BootTime))
    }

    /// Creates a clock that starts now and uses `source`.
    #[must_use]
    pub fn with_source(source: Rc<dyn TimeSource>) -> Self {
        Self {
            start: Instant::now(),
            source_start: source.elapsed(),
            source,
            suspended: Rc::default(),
        }
    }

    /// Checks whether the host was suspended since the last call, and adds the time
    /// to the clock. Returns the length of the suspension in milliseconds, if there
    /// was one.
    pub fn observe(&self) -> Option<u64> {
        // In this order, a delay between the two readings can hide a part of a
        // suspension until the next call, but can never report one that did not
        // happen.
        let total_elapsed = self.source.elapsed().saturating_sub(self.source_start);
        let steady_elapsed = self.start.elapsed();
        let new_suspension = total_elapsed.saturating_sub(steady_elapsed + self.suspended.get());
        if new_suspension < MIN_SUSPENSION {
            return None;
        }
        self.suspended.set(self.suspended.get() + new_suspension);
        Some(millis(new_suspension))
    }

    /// Returns the milliseconds since the clock started, including the suspensions
    /// that were observed.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        millis(self.start.elapsed() + self.suspended.get())
    }

    /// Returns the runtime's instant for a time in milliseconds since the start,
    /// provided that the host is not suspended until then.
    #[must_use]
    pub fn at(&self, time_ms: u64) -> Instant {
        let steady = Duration::from_millis(time_ms).saturating_sub(self.suspended.get());
        self.start + steady
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
