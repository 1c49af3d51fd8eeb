//! Decisions on how work waits, is refused and is placed, as plain functions
//! over small views of the backlog and the fleet: no input, output or clock.
//!
//! [`OverloadPolicy`] is the interface: the dispatcher builds the views, asks
//! for decisions and carries them out. The policy can be replaced, so that two
//! policies can be measured under the same load.

mod backlog;
mod decaying_rate;
mod fair_share;
pub(crate) mod placement;
mod rank;
mod uplink;

use std::fmt::Debug;

use gannetvane_wire::Name;

pub(crate) use decaying_rate::MIN_RATE_MILLI;
pub(crate) use decaying_rate::WorkRate;
pub use fair_share::FairShare;
pub use rank::Rank;
pub use uplink::Uplink;

use crate::Queue;

/// A job that has just arrived.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Queue of the job.
    pub queue: &'a Queue,
    /// Work of the job, in thousandths of a core times milliseconds.
    pub work: f64,
    /// Time that the job can wait and still meet its objective, in
    /// milliseconds.
    pub slack_ms: f64,
}

/// A job that waits for free resources.
#[derive(Clone, Copy, Debug)]
pub struct WaitingJob {
    /// Time by which the job should be complete, in milliseconds.
    pub objective_ms: u64,
    /// Expected time from the next start to the end of the job, in
    /// milliseconds.
    pub remaining_ms: f64,
    /// Whether some task of the job was started.
    pub has_started: bool,
}

/// A service as one entry sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceView {
    /// Capacity of the minions that accept starts, weighted by their speed, in
    /// thousandths of a core.
    pub capacity_milli: f64,
    /// Rate of the recent work that arrived at all entries, in thousandths of a
    /// core.
    pub offered_milli: f64,
    /// Work that waits at all entries, in cores times milliseconds.
    pub waiting_core_ms: f64,
    /// Whether the capacity is known: there are agents, and all of them have
    /// recently reported their free resources.
    pub is_capacity_known: bool,
}

/// Decides what happens to jobs under load.
pub trait OverloadPolicy: Debug {
    /// Returns whether a job that has just arrived is admitted; otherwise it is
    /// refused at once.
    fn admits(&mut self, now_ms: u64, arrival: &Arrival<'_>, view: &ServiceView) -> bool;

    /// Returns the rate of the recent work that arrived at this entry, in
    /// thousandths of a core.
    fn offered_milli(&self, now_ms: u64, service: &Name) -> f64;

    /// Notes that a job which was received at `received_ms` and admitted is
    /// refused after all, since it cannot meet its objective any more.
    fn note_shed(&mut self, now_ms: u64, service: &Name, received_ms: u64);

    /// Returns whether a job of which nothing has run can meet its objective if
    /// `wait_ms` milliseconds pass until all of its tasks have started.
    fn can_meet_objective(&self, now_ms: u64, job: &WaitingJob, wait_ms: f64) -> bool;

    /// Returns the rank of a job among those that wait; the smallest goes
    /// first.
    fn rank(&self, now_ms: u64, job: &WaitingJob) -> Rank;

    /// Returns the time until the retry of a refused caller, in milliseconds;
    /// `jitter` is a random number from 0 to 1, drawn for each caller.
    fn retry_after_ms(&self, view: &ServiceView, jitter: f64) -> u64;
}

/// A policy that a dispatcher owns.
pub type BoxedPolicy = Box<dyn OverloadPolicy>;
