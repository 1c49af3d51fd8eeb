//! Order in which jobs wait, and which of them will be late.

use crate::policy::WaitingJob;

/// Fraction of the expected time that must be left beyond it: run times are
/// uncertain, and the last of several tasks decides.
const MARGIN: f64 = 0.3;

/// Rank of a job among those that wait; the smallest goes first.
///
/// Jobs that have started come first, since stopping halfway wastes what was
/// done; then those that can meet their objective, by the latest start that
/// still does; then those that will be late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    is_new: bool,
    is_late: bool,
    latest_start_ms: i64,
}

/// Returns the rank of a job by its latest start.
pub(super) fn by_latest_start(now_ms: u64, job: &WaitingJob) -> Rank {
    Rank {
        is_new: !job.has_started,
        is_late: is_late(now_ms, job),
        latest_start_ms: job.objective_ms.cast_signed() - job.remaining_ms as i64,
    }
}

/// Returns whether a job that starts within `wait_ms` milliseconds is likely to
/// be late.
pub(super) fn is_late_after(now_ms: u64, job: &WaitingJob, wait_ms: f64) -> bool {
    let end_ms = now_ms as f64 + wait_ms + job.remaining_ms * (1.0 + MARGIN);
    end_ms > job.objective_ms as f64
}

/// Returns whether a job that starts now is likely to be late.
fn is_late(now_ms: u64, job: &WaitingJob) -> bool {
    is_late_after(now_ms, job, 0.0)
}
