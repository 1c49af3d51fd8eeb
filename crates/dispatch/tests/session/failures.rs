//! Checks that a job reported as failed had a task that failed or crashed minions
//! often enough.

use std::collections::BTreeMap;

use gannetvane_dispatch::TaskId;

use super::Session;

/// Smallest number of minions that must have crashed under a task before its job may
/// fail.
const MIN_CRASHES_TO_FAIL: u32 = 2;

impl Session {
    /// Records a violation for a job that was reported as failed, unless one of its
    /// tasks failed as often as its queue allows, or enough minions crashed under one
    /// of its tasks.
    pub(super) fn check_failed(&mut self, id: &str) {
        let crashes = self.crashes_under(id);
        let failures = self.failures_of(id);
        let attempts = self.queues[0].max_attempts;
        let has_crashed = crashes.values().any(|times| *times >= MIN_CRASHES_TO_FAIL);
        let has_failed = failures.values().any(|times| *times >= attempts);
        if !has_crashed && !has_failed {
            let what = format!(
                "{} ms: {id}: crashes {crashes:?}, failed runs {failures:?}",
                self.now_ms
            );
            self.violations.failed_without_cause.push(what);
        }
    }

    /// Returns the number of minions that crashed while running a task of the job, by
    /// task.
    fn crashes_under(&self, id: &str) -> BTreeMap<TaskId, u32> {
        let mut crashes = BTreeMap::new();
        for minion in &self.ended_minions {
            let of_job = minion.running().filter(|key| *key.task.job == *id);
            for key in of_job {
                *crashes.entry(key.task.clone()).or_insert(0) += 1;
            }
        }
        crashes
    }

    /// Returns the number of failed runs of the job, by task.
    fn failures_of(&self, id: &str) -> BTreeMap<TaskId, u32> {
        let mut failures = BTreeMap::new();
        for minion in self.minions.iter().chain(&self.ended_minions) {
            let of_job = minion.failures.iter().filter(|(task, _)| *task.job == *id);
            for (task, times) in of_job {
                *failures.entry(task.clone()).or_insert(0) += times;
            }
        }
        failures
    }
}
