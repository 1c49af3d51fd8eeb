//! Jobs that have expired, because they are of no use any more, are answered at
//! once. Jobs of which nothing has run are refused when the policy finds that
//! they cannot meet their objective.

use std::collections::BTreeMap;

use gannetvane_wire::Name;
use rand::RngExt;

use crate::JobOutcome;
use crate::Refusal;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::jobs::JobState;
use crate::dispatcher::pools::Pool;
use crate::policy::MIN_RATE_MILLI;

/// A job waits for the first minion of its service for its objective divided by
/// this. Agents greet within that time after a restart.
pub(crate) const MINION_WAIT_DIVISOR: u64 = 3;
/// Interval between two searches for jobs that cannot meet their objective, in
/// milliseconds.
pub(crate) const SHED_INTERVAL_MS: u64 = 10;

impl Dispatcher {
    /// Answers the jobs that have expired.
    pub(crate) fn expire_jobs(&mut self, now_ms: u64) {
        let expired: Vec<Name> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_open() && !job.is_stored)
            .filter(|(_, job)| self.is_expired(now_ms, job))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let reason = if self.has_minions(&job.job.queue.service) {
                Refusal::Overloaded
            } else {
                Refusal::NoMinion
            };
            let outcome = if !job.has_never_run() {
                JobOutcome::TooLate
            } else {
                let view = self.view_for(now_ms, job);
                let jitter = self.rng.random::<f64>();
                JobOutcome::Refused {
                    reason,
                    retry_after_ms: self.policy.retry_after_ms(&view, jitter),
                }
            };
            self.finish(now_ms, &id, outcome, "too-late");
        }
    }

    /// Returns whether a job is of no use any more, or has waited too long for
    /// the first minion of its service.
    pub(crate) fn is_expired(&self, now_ms: u64, job: &JobState) -> bool {
        let waited_ms = now_ms.saturating_sub(job.received_ms);
        let objective_ms = job.objective_ms.saturating_sub(job.received_ms);
        let is_wait_over = waited_ms * MINION_WAIT_DIVISOR >= objective_ms;
        let has_waited_without_minion =
            job.has_never_run() && is_wait_over && !self.has_minions(&job.job.queue.service);
        now_ms >= job.give_up_at_ms || has_waited_without_minion
    }

    /// Refuses the jobs of which nothing has run and that cannot meet their
    /// objective.
    pub(crate) fn shed(&mut self, now_ms: u64) {
        for started in self.started_work.values_mut() {
            started.decay(now_ms);
        }
        self.reserve(now_ms);
        let rates = self.drain_rates();
        let mut pools = self.pools();
        let mut ahead: BTreeMap<(Name, Pool), f64> = BTreeMap::new();
        let mut shed_jobs = Vec::new();
        for (_, id) in self.waiting_by_urgency(now_ms) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let service = &job.job.queue.service;
            let pool = pools.of_job(job);
            let rate_milli = match pool {
                Pool::Whole => rates.get(service).copied().unwrap_or(MIN_RATE_MILLI),
                Pool::Part { .. } => self.drain_rate_for(service, &job.job.steps[job.next_step()]),
            };
            let pool = (service.clone(), pool);
            let work = ahead.get(&pool).copied().unwrap_or(0.0) + job.waiting_work(&self.estimates);
            if !job.is_stored && self.cannot_meet_objective(now_ms, job, work / rate_milli) {
                shed_jobs.push((id, service.clone(), job.received_ms));
            } else {
                ahead.insert(pool, work);
            }
        }
        for (id, service, received_ms) in shed_jobs {
            self.policy.note_shed(now_ms, &service, received_ms);
            self.refuse_overloaded(now_ms, &id, "no-prospect");
        }
    }

    /// Refuses a job of which nothing has run because the service is
    /// overloaded.
    pub(crate) fn refuse_overloaded(&mut self, now_ms: u64, id: &Name, cause: &'static str) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let view = self.view_for(now_ms, job);
        let jitter = self.rng.random::<f64>();
        let outcome = JobOutcome::Refused {
            reason: Refusal::Overloaded,
            retry_after_ms: self.policy.retry_after_ms(&view, jitter),
        };
        self.finish(now_ms, id, outcome, cause);
    }

    /// Returns whether nothing of a job has run and it cannot meet its
    /// objective if `wait_ms` milliseconds pass until all of its tasks have
    /// started.
    fn cannot_meet_objective(&self, now_ms: u64, job: &JobState, wait_ms: f64) -> bool {
        let service = &job.job.queue.service;
        if !job.has_never_run()
            || !self.has_minions(service)
            || !self.have_all_reported_free(service)
        {
            return false;
        }
        let waiting = job.waiting(&self.estimates);
        !self.policy.can_meet_objective(now_ms, &waiting, wait_ms)
    }
}
