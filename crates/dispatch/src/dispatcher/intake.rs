//! Submission of jobs, and callers that leave or cancel.

use gannetvane_wire::Name;

use crate::CallerId;
use crate::Job;
use crate::JobOutcome;
use crate::Refusal;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::DispatcherAction;
use crate::dispatcher::EntryEvent;
use crate::dispatcher::evacuation::retry_after_ms;
use crate::dispatcher::jobs::JobState;

impl Dispatcher {
    /// Takes a job from a caller. If a job with this id has no outcome yet, the
    /// caller waits for that one; if its runs are still being stopped, the new
    /// job waits until they are gone.
    pub fn submit(&mut self, now_ms: u64, caller: CallerId, job: Job) {
        self.callers.insert(caller, job.id.clone());
        if let Some(earlier) = self.jobs.get_mut(&job.id) {
            if earlier.is_open() {
                earlier.callers.push(caller);
            } else {
                earlier.next_submission = Some((caller, job, now_ms));
            }
            return;
        }
        self.admit(caller, job, now_ms);
    }

    /// Removes a caller that has gone away. A job without callers is cancelled.
    pub fn caller_left(&mut self, now_ms: u64, caller: CallerId) {
        let Some(id) = self.callers.remove(&caller) else {
            return;
        };
        let Some(state) = self.jobs.get_mut(&id) else {
            return;
        };
        state.callers.retain(|other| *other != caller);
        if state
            .next_submission
            .as_ref()
            .is_some_and(|(next, ..)| *next == caller)
        {
            state.next_submission = None;
        }
        if state.callers.is_empty() && state.is_open() {
            self.finish(now_ms, &id, JobOutcome::Cancelled, "caller-left");
        }
    }

    /// Cancels a job whose caller waits. Returns `false` if no caller waits for a
    /// job with this id.
    pub fn cancel(&mut self, now_ms: u64, id: &Name) -> bool {
        let is_cancellable = |job: &JobState| job.is_open() && !job.is_stored;
        let can_cancel = self.jobs.get(id).is_some_and(is_cancellable);
        if can_cancel {
            self.finish(now_ms, id, JobOutcome::Cancelled, "cancelled");
        }
        can_cancel
    }

    /// Admits a job, or refuses it if it cannot run or the policy does not
    /// admit it.
    pub(crate) fn admit(&mut self, caller: CallerId, job: Job, received_ms: u64) {
        if let Err(reason) = self.check(&job) {
            let retry_after_ms = retry_after_ms(reason);
            let detail = format!("reason={} queue={}", reason.name(), job.queue.name);
            self.actions.push(DispatcherAction::Event(EntryEvent {
                event: "refused",
                job: Some(job.id.clone()),
                detail,
                reason: reason.name(),
                took_ms: Some(0),
            }));
            self.callers.remove(&caller);
            let outcome = JobOutcome::Refused {
                reason,
                retry_after_ms,
            };
            self.actions.push(DispatcherAction::Answer(caller, outcome));
            return;
        }
        let id = job.id.clone();
        let now_ms = self.last_tick_ms.max(received_ms);
        let mut state = JobState::new(received_ms, caller, job, &self.estimates);
        state.may_have_run = self.has_delayed_starts(now_ms, &state);
        let is_admitted = self.policy_admits(now_ms, &state);
        self.jobs.insert(id.clone(), state);
        self.apply_known_crashes(&id);
        if !is_admitted {
            self.refuse_overloaded(now_ms, &id, "over-share");
        } else if self.jobs.get(&id).is_some_and(JobState::crashes_minions) {
            self.advance_job(now_ms, &id);
        }
    }

    /// Returns why a job must be refused, if it must. A job whose service has
    /// no minions waits for one.
    pub(crate) fn check(&self, job: &Job) -> Result<(), Refusal> {
        if self.is_stopping {
            return Err(Refusal::Stopping);
        }
        let service = &job.queue.service;
        if !self.has_minions(service) {
            return Ok(());
        }
        if let Some(reason) = self.capacity_refusal(job) {
            return Err(reason);
        }
        if self.is_evacuated(job) {
            return Err(Refusal::Evacuated);
        }
        Ok(())
    }

    /// Returns whether an agent of the service is connected.
    pub(crate) fn has_minions(&self, service: &Name) -> bool {
        let mut agents = self.agents.values();
        agents.any(|agent| agent.hello.service == *service)
    }
}
