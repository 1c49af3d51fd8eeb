//! Grants, leases and timeouts: they bound how long a run can outlive the entry that
//! ordered it.
//!
//! A caller whose connection broke sends its job again 1,300 ms later, to any entry. All
//! runs that the first entry ordered must have ended by then:
//!
//! ```text
//! entry's last frame --GRANT_MS--> agent stops the entry's runs
//!   --STOP_TIMEOUT_MS--> a stop is unanswered: agent no longer extends the lease
//!   --MINION_LEASE_MS, on a clock that may be 2% slow--> minion kills all its runs
//! ```

/// Length of the grant that each frame of an entry gives its runs at an agent, in
/// milliseconds. It spans four keepalives, so that one delayed frame doesn't end it.
pub const GRANT_MS: u64 = 400;
/// Maximum time between two frames on a link, in milliseconds.
pub const KEEPALIVE_MS: u64 = 100;
/// Length of the lease that an agent requests from its minion, in milliseconds. The minion
/// kills all its runs this long after the agent's last call.
pub const MINION_LEASE_MS: u64 = 450;
/// Time for which a stop may be unanswered before the agent no longer extends the minion's
/// lease, in milliseconds.
pub const STOP_TIMEOUT_MS: u64 = 250;
/// Time for a minion to end a run whose lease has expired, and for rounding, in
/// milliseconds.
pub const STOP_GRACE_MS: u64 = 60;
/// Time after an entry's last frame to an agent at which no run that the entry ordered there
/// is left, whatever happened to the agent, in milliseconds.
pub const RUNS_GONE_AFTER_MS: u64 =
    GRANT_MS + STOP_TIMEOUT_MS + longest_ms(MINION_LEASE_MS) + STOP_GRACE_MS;

/// Time that a minion must have run a suspect task before an isolated suspect starts beside
/// it, in milliseconds. Most tasks that crash their minions do so as they start, and a crash
/// is seen within a few milliseconds.
pub const PROBATION_MS: u64 = 100;

/// Longest time after which a minion may still carry out an unanswered call, in
/// milliseconds. The platform can deliver calls seconds after they were sent.
pub(crate) const MAX_CALL_DELAY_MS: u64 = 12_000;

/// Fraction of the time by which the clock of a minion may be off, as a divisor: 2%.
pub(crate) const DRIFT_DIVISOR: u64 = 50;

/// Returns the longest time that passes while the slow clock of a minion advances by
/// `clock_ms`, in milliseconds.
pub(crate) const fn longest_ms(clock_ms: u64) -> u64 {
    clock_ms + clock_ms.div_ceil(DRIFT_DIVISOR - 1)
}

/// Returns the longest time for which a run may go on although no process controls its
/// minion, in milliseconds, if the minion grants leases of `max_lease_ms`.
pub(crate) fn max_uncontrolled_ms(max_lease_ms: u64) -> u64 {
    longest_ms(max_lease_ms) + STOP_GRACE_MS
}

const _: () = assert!(
    RUNS_GONE_AFTER_MS < 1_300,
    "a job that is sent again must find nothing running"
);
