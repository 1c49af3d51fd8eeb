//! Decisions on how work waits, is refused and is placed, as plain functions
//! over small views of the backlog and the fleet: no input, output or clock.
//!
//! [`OverloadPolicy`] is the border: the dispatcher builds the views, asks, and
//! carries out what is decided. Another policy can be put in its place, so that
//! two are measured on the same load.

mod backlog;
mod fair_share;
pub(crate) mod placement;
mod rank;
mod work_rate;

use std::fmt::Debug;

use gannetvane_wire::Name;

pub use fair_share::FairShare;
pub use rank::Rank;
pub(crate) use work_rate::MIN_RATE_MILLI;
pub(crate) use work_rate::WorkRate;

use crate::Queue;

/// A job that has just come.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Its queue.
    pub queue: &'a Queue,
    /// Its work, in thousandths of a core by milliseconds.
    pub work: f64,
    /// Time that it can wait and still be in time, in milliseconds.
    pub slack_ms: f64,
}

/// A job that waits for room.
#[derive(Clone, Copy, Debug)]
pub struct WaitingJob {
    /// When it should be complete.
    pub objective_ms: u64,
    /// Expected time from the next start to its end, in milliseconds.
    pub remaining_ms: f64,
    /// Whether some of it was started.
    pub has_started: bool,
}

/// A service as an entry sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceView {
    /// Room of the minions that take starts, by their speed, in thousandths of
    /// a core.
    pub capacity_milli: f64,
    /// Work that came of late to all entries, in thousandths of a core.
    pub offered_milli: f64,
    /// Work that waits at all entries, in cores by milliseconds.
    pub waiting_core_ms: f64,
    /// Whether the room is known: there are agents, all of them have told their
    /// room, and lately.
    pub is_capacity_known: bool,
}

/// Decides what becomes of jobs under load.
pub trait OverloadPolicy: Debug {
    /// Whether a job that has just come is taken in; otherwise it is refused
    /// at once.
    fn admits(&mut self, now_ms: u64, arrival: &Arrival<'_>, view: &ServiceView) -> bool;

    /// Work that came of late to this entry, in thousandths of a core.
    fn offered_milli(&self, now_ms: u64, service: &Name) -> f64;

    /// Notes that a job that came then and was taken in waited in vain and is
    /// refused.
    fn note_shed(&mut self, now_ms: u64, service: &Name, received_ms: u64);

    /// Whether a job of which nothing has started is of use when all of its
    /// tasks start within `wait_ms`.
    fn can_meet_objective(&self, now_ms: u64, job: &WaitingJob, wait_ms: f64) -> bool;

    /// The place of a job among those that wait; the least goes first.
    fn rank(&self, now_ms: u64, job: &WaitingJob) -> Rank;

    /// When a caller that is refused should come back, in milliseconds;
    /// `spread` is a number from 0 to 1, new for each caller.
    fn retry_after_ms(&self, view: &ServiceView, jitter: f64) -> u64;
}

/// A policy that a dispatcher owns.
pub type BoxedPolicy = Box<dyn OverloadPolicy>;
