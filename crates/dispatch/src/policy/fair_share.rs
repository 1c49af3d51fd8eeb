//! Policy for overload: all entries admit the same share of each queue's jobs
//! and refuse the rest at once.
//!
//! It is made for loads that exceed the capacity for more than a moment.
//! Without a common share, each entry guesses how much of the capacity it will
//! get, jobs wait until they would be late, and the entry with most callers
//! refuses most.

use std::collections::BTreeMap;

use gannetvane_wire::Name;

use crate::policy::Arrival;
use crate::policy::OverloadPolicy;
use crate::policy::Rank;
use crate::policy::ServiceView;
use crate::policy::WaitingJob;
use crate::policy::WorkRate;
use crate::policy::backlog::BacklogFraction;
use crate::policy::rank;

/// Smallest backlog during an overload, in milliseconds of the whole capacity.
/// Less would leave capacity idle between two arrivals.
const MIN_BACKLOG_MS: f64 = 10.0;
/// Time within which a backlog is brought to its target size, in milliseconds:
/// twice the time that reports of it take through the agents.
const CORRECTION_MS: f64 = 200.0;
/// Initial credit of a queue, in jobs.
const INITIAL_CREDIT: f64 = 0.5;
/// Largest credit of a queue, in jobs.
const MAX_CREDIT: f64 = 1.5;
/// Time until the retry of a refused caller when there is no backlog, in
/// milliseconds: a burst of sub-second tasks is worked off in that time.
const MIN_RETRY_MS: f64 = 500.0;
/// Longest time until the retry of a refused caller, in milliseconds: when more
/// than nine in ten are refused, the load is not expected to fall soon.
const MAX_RETRY_MS: f64 = 10_000.0;
/// Smallest share of admitted jobs used to calculate the time until a retry.
const MIN_SHARE: f64 = 0.05;

/// Policy that admits the same share of each queue's jobs at all entries.
#[derive(Debug, Default)]
pub struct FairShare {
    services: BTreeMap<Name, Load>,
    /// Credit of each queue: the number of its jobs that may be admitted.
    credits: BTreeMap<Name, f64>,
}

/// Load of one service at this entry.
#[derive(Debug, Default)]
struct Load {
    /// Rate at which work arrives.
    offered: WorkRate,
    /// Rate at which work arrives, weighted by its slack in milliseconds.
    weighted_slack: WorkRate,
    fraction: BacklogFraction,
    /// Time at which a job was last admitted while the capacity was unknown, in
    /// milliseconds.
    last_unchecked_admit_ms: u64,
}

impl Load {
    /// Adds a job that has just arrived.
    fn add(&mut self, now_ms: u64, arrival: &Arrival<'_>) {
        self.offered.add(now_ms, arrival.work);
        let weighted_slack = arrival.work * arrival.slack_ms.max(0.0);
        self.weighted_slack.add(now_ms, weighted_slack);
    }

    /// Returns the target size of the backlog, in milliseconds of the whole
    /// capacity.
    fn backlog_ms(&mut self, now_ms: u64) -> f64 {
        let mean_slack_ms = self.weighted_slack.rate() / self.offered.rate().max(1.0);
        MIN_BACKLOG_MS + self.fraction.at(now_ms) * mean_slack_ms
    }
}

impl OverloadPolicy for FairShare {
    fn admits(&mut self, now_ms: u64, arrival: &Arrival<'_>, view: &ServiceView) -> bool {
        let service = &arrival.queue.service;
        let load = self.services.entry(service.clone()).or_default();
        load.add(now_ms, arrival);
        if !view.is_capacity_known {
            load.last_unchecked_admit_ms = now_ms;
            return true;
        }
        let share = share(view, load.backlog_ms(now_ms));
        spend_credit(&mut self.credits, &arrival.queue.name, share)
    }

    fn offered_milli(&self, now_ms: u64, service: &Name) -> f64 {
        let load = self.services.get(service);
        load.map_or(0.0, |load| load.offered.rate_at(now_ms))
    }

    fn note_shed(&mut self, now_ms: u64, service: &Name, received_ms: u64) {
        let load = self.services.entry(service.clone()).or_default();
        // Jobs admitted before the capacity was known say nothing about the
        // backlog.
        if received_ms > load.last_unchecked_admit_ms {
            load.fraction.shrink(now_ms);
        }
    }

    fn can_meet_objective(&self, now_ms: u64, job: &WaitingJob, wait_ms: f64) -> bool {
        !rank::is_late_after(now_ms, job, wait_ms)
    }

    fn rank(&self, now_ms: u64, job: &WaitingJob) -> Rank {
        rank::by_latest_start(now_ms, job)
    }

    fn retry_after_ms(&self, view: &ServiceView, jitter: f64) -> u64 {
        let share = share(view, MIN_BACKLOG_MS).max(MIN_SHARE);
        let pause_ms = (MIN_RETRY_MS + waiting_ms(view)) / share;
        // The retries are spread over the length of the pause, so that callers
        // do not return together.
        let jittered_ms = pause_ms * (0.5 + jitter);
        jittered_ms.min(MAX_RETRY_MS) as u64
    }
}

/// Returns the share of arriving jobs to admit: what the capacity can process,
/// corrected by what brings the backlog to its target size.
fn share(view: &ServiceView, backlog_ms: f64) -> f64 {
    let missing_ms = backlog_ms - waiting_ms(view);
    let admitted_milli = view.capacity_milli * (1.0 + missing_ms / CORRECTION_MS);
    (admitted_milli / view.offered_milli.max(1.0)).clamp(0.0, 1.0)
}

/// Returns the work that waits at all entries, in milliseconds of the whole
/// capacity.
fn waiting_ms(view: &ServiceView) -> f64 {
    view.waiting_core_ms * 1_000.0 / view.capacity_milli.max(1.0)
}

/// Adds the share to the credit of a queue and spends one job of it; returns
/// `false` if there is not enough credit. The admitted share is thus exact over
/// a few jobs, also for a queue with few jobs.
fn spend_credit(credits: &mut BTreeMap<Name, f64>, queue: &Name, share: f64) -> bool {
    let credit = credits.entry(queue.clone()).or_insert(INITIAL_CREDIT);
    *credit = (*credit + share).min(MAX_CREDIT);
    let is_admitted = *credit >= 1.0;
    if is_admitted {
        *credit -= 1.0;
    }
    is_admitted
}
