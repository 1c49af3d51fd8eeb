//! Times that bound how long a task can outlive the entry that ordered it.
//!
//! A caller whose connection broke sends its job again 1,300 ms later, to any
//! entry. Before that, everything that the first entry ordered must be gone:
//!
//! ```text
//! entry's last frame --GRANT_MS--> agent stops the entry's tasks
//!   --STOP_TIMEOUT_MS--> a stop without an answer: no lease is extended any more
//!   --MINION_LEASE_MS, on a clock that may be 2% slow--> the minion kills them
//! ```

/// Time for which a frame of an entry lets its tasks run at an agent, in
/// milliseconds. Four keepalives fit, so that one late frame does no harm.
pub const GRANT_MS: u64 = 400;
/// Longest pause between two frames on a link, in milliseconds.
pub const KEEPALIVE_MS: u64 = 100;
/// Lease that an agent asks of its minion, in milliseconds. The minion kills
/// all its tasks that long after the agent went silent.
pub const MINION_LEASE_MS: u64 = 450;
/// Time after which an agent stops to extend the minion's lease because a
/// stop has no answer, in milliseconds.
pub const STOP_TIMEOUT_MS: u64 = 250;
/// Time that a minion may take to stop a task, and rounding, in milliseconds.
pub const STOP_GRACE_MS: u64 = 60;
/// Time after the last frame to an agent at which nothing that was ordered
/// there runs any more, whatever happened to the agent, in milliseconds.
pub const RUNS_GONE_AFTER_MS: u64 =
    GRANT_MS + STOP_TIMEOUT_MS + MINION_LEASE_MS + MINION_LEASE_MS / 50 + STOP_GRACE_MS;

/// Longest time after which a call without an answer is carried out, in milliseconds:
/// the platform's calls come seconds late.
pub(crate) const MAX_CALL_DELAY_MS: u64 = 12_000;

const _: () = assert!(
    RUNS_GONE_AFTER_MS < 1_300,
    "a job that is sent again must find nothing running"
);
