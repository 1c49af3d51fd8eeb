//! The clock that decisions are made by, in milliseconds.
//!
//! The steady clock of the runtime stands still while the host is suspended. A
//! process that wakes would take its links, grants, leases and listings for as
//! fresh as they were before, and an agent would start what its entry has long
//! ordered elsewhere. So decisions go by a clock that counts that time: a
//! suspension looks like any other time in which the process stood still.
//!
//! The time that was slept away is read at each turn of a process's loop, before
//! anything that arrived is looked at. Timers of the runtime do not count it: one
//! that was set before fires that much late.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time::Instant;

/// Least difference of the two clocks that counts as a suspension: shorter ones do
/// no harm, and the two do not run at quite the same rate.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Where the time comes from that also counts suspensions.
pub trait TimeSource {
    /// Time since some moment before the process began. It never runs back.
    fn elapsed(&self) -> Duration;
}

/// The time since the host was switched on, also that in which it was suspended.
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

/// A clock that begins at zero; clones share what they learned of suspensions.
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
    /// A clock of the host that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self::with_source(Rc::new(BootTime))
    }

    /// The same with another source of time.
    #[must_use]
    pub fn with_source(source: Rc<dyn TimeSource>) -> Self {
        Self {
            start: Instant::now(),
            source_start: source.elapsed(),
            source,
            suspended: Rc::default(),
        }
    }

    /// Looks whether the host was suspended since the last call; for how long, in
    /// milliseconds, if it was.
    pub fn observe(&self) -> Option<u64> {
        // In this order, a pause between the two readings hides some of a
        // suspension until the next call, and never makes one up.
        let total_elapsed = self.source.elapsed().saturating_sub(self.source_start);
        let steady_elapsed = self.start.elapsed();
        let new_suspension = total_elapsed.saturating_sub(steady_elapsed + self.suspended.get());
        if new_suspension < MIN_SUSPENSION {
            return None;
        }
        self.suspended.set(self.suspended.get() + new_suspension);
        Some(millis(new_suspension))
    }

    /// Milliseconds since the start.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        millis(self.start.elapsed() + self.suspended.get())
    }

    /// When a timer of the runtime fires for a time in milliseconds since the
    /// start, if the host is not suspended until then.
    #[must_use]
    pub fn at(&self, time_ms: u64) -> Instant {
        let steady = Duration::from_millis(time_ms).saturating_sub(self.suspended.get());
        self.start + steady
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
