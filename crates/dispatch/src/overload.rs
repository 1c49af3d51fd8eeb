//! Jobs that cannot be of use any more are answered at once.

use gannetvane_wire::Name;

use crate::JobOutcome;
use crate::Refusal;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::RETRY_AFTER_MS;
use crate::jobs::JobState;

/// A job waits for the first minion of its service for one in this many parts
/// of its objective; agents greet within that after a restart.
pub(crate) const MINION_WAIT_PART: u64 = 3;
/// Pause between two looks for jobs without a prospect, in milliseconds.
pub(crate) const SHED_MS: u64 = 10;

impl Dispatcher {
    /// Answers jobs that cannot be of use any more.
    pub(crate) fn give_up(&mut self, now_ms: u64) {
        let over: Vec<Name> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_open() && self.is_hopeless(now_ms, job))
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let reason = if self.has_minions(&job.job.queue.service) {
                Refusal::Overloaded
            } else {
                Refusal::NoMinion
            };
            let outcome = if job.has_run || !job.is_clear() {
                JobOutcome::TooLate
            } else {
                JobOutcome::Refused {
                    reason,
                    retry_after_ms: RETRY_AFTER_MS,
                }
            };
            self.finish(now_ms, &id, outcome, "too-late");
        }
    }

    /// Whether a job is of no use any more, or has waited in vain for a minion
    /// of its service.
    pub(crate) fn is_hopeless(&self, now_ms: u64, job: &JobState) -> bool {
        let is_untouched = !job.has_run && job.is_clear();
        let waited_ms = now_ms.saturating_sub(job.received_ms);
        let objective_ms = job.objective_ms.saturating_sub(job.received_ms);
        let has_waited = waited_ms * MINION_WAIT_PART >= objective_ms;
        let waits_in_vain = is_untouched && has_waited && !self.has_minions(&job.job.queue.service);
        now_ms >= job.worthless_ms || waits_in_vain
    }

    /// Refuses jobs of which nothing has started and that would not be
    /// reached before they are of no use.
    pub(crate) fn shed(&mut self, now_ms: u64) {
        self.drained.decay(now_ms);
        let rate = self.drained.rate();
        let mut ahead = 0.0;
        let mut hopeless = Vec::new();
        for id in self.waiting_by_urgency(now_ms) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let wait_ms = ahead / rate;
            let step = job.next_step();
            let rest_ms =
                job.objective_ms as f64 - job.latest_start_ms(step, &self.estimates) as f64;
            let end_ms = now_ms as f64 + wait_ms + rest_ms;
            let is_untouched = !job.has_run && job.is_clear();
            let is_late = job.is_late(now_ms, step, &self.estimates);
            if is_untouched && is_late && end_ms > job.worthless_ms as f64 {
                hopeless.push(id);
            } else {
                ahead += job.waiting_work(&self.estimates);
            }
        }
        for id in hopeless {
            let outcome = JobOutcome::Refused {
                reason: Refusal::Overloaded,
                retry_after_ms: RETRY_AFTER_MS,
            };
            self.finish(now_ms, &id, outcome, "no-prospect");
        }
    }
}
