//! Calls about stored jobs and their answers, at the owner of the partition.

use gannetvane_wire::Name;

use crate::Dispatcher;
use crate::Ledger;
use crate::LedgerAction;
use crate::Partition;
use crate::Refusal;
use crate::StoredAnswer;
use crate::StoredCall;
use crate::StoredCaller;
use crate::StoredEnd;
use crate::StoredJob;
use crate::StoredState;
use crate::ledger::partition::Change;
use crate::ledger::partition::OwnedJob;
use crate::ledger::partition::OwnedPartition;

/// Longest time that a call about an unknown job waits for the store to confirm that this
/// entry still owns the partition, in milliseconds: enough for two joins.
const CONFIRMATION_TIMEOUT_MS: u64 = 1_000;
/// Longest time that a call for the state of an unfinished job waits for the job's end, in
/// milliseconds. Callers ask within 10 ms of the expected end, and then 250 ms later.
const MAX_STATE_WAIT_MS: u64 = 200;

/// A caller that asked for the state of a job and waits for the job's end.
#[derive(Debug)]
pub(crate) struct Watcher {
    caller: StoredCaller,
    job: Name,
    /// Time at which the caller gets an answer in any case, in milliseconds.
    pub(crate) until_ms: u64,
}

/// A call for the state or the cancellation of a job that is not known here. Another entry
/// may own the partition by now and have accepted the job. The call waits until the answer
/// to a join confirms that this entry is still the owner.
#[derive(Debug)]
pub(crate) struct UnconfirmedCall {
    caller: StoredCaller,
    job: Name,
    /// Whether the call cancels the job; otherwise it asks for the state.
    is_cancel: bool,
    called_ms: u64,
}

impl Ledger {
    /// Handles a call about a stored job or a queue. The answer is an action, now or later.
    pub fn call(
        &mut self,
        now_ms: u64,
        caller: StoredCaller,
        call: StoredCall,
        dispatcher: &mut Dispatcher,
    ) {
        let answer = match call {
            StoredCall::Submit(job) => self.submit(now_ms, caller, job, dispatcher),
            StoredCall::State(id) if self.is_unconfirmed(now_ms, &id) => {
                self.wait_for_confirmation(now_ms, caller, id, false)
            }
            StoredCall::Cancel(id) if self.is_unconfirmed(now_ms, &id) => {
                self.wait_for_confirmation(now_ms, caller, id, true)
            }
            StoredCall::State(id) => self.state_or_wait(now_ms, caller, &id, dispatcher),
            StoredCall::Cancel(id) => self.cancel(now_ms, caller, &id, dispatcher),
            StoredCall::Pending(queue) => Some(self.pending(&queue, dispatcher)),
        };
        if let Some(answer) = answer {
            self.actions.push(LedgerAction::Answer(caller, answer));
        }
    }

    /// Returns whether a job is not known here, and the store has not confirmed since the call
    /// that this entry owns the job's partition.
    fn is_unconfirmed(&mut self, called_ms: u64, id: &Name) -> bool {
        let Some(owned) = self.served_partition(id) else {
            return false;
        };
        let is_known = owned
            .jobs
            .get(id)
            .is_some_and(|owned_job| owned_job.is_accepted);
        !is_known && owned.confirmed_ms < called_ms
    }

    /// Defers the answer to a call until the store has confirmed the owner, and brings the
    /// next join forward.
    fn wait_for_confirmation(
        &mut self,
        called_ms: u64,
        caller: StoredCaller,
        job: Name,
        is_cancel: bool,
    ) -> Option<StoredAnswer> {
        self.unconfirmed_calls.push(UnconfirmedCall {
            caller,
            job,
            is_cancel,
            called_ms,
        });
        self.join_soon(called_ms);
        None
    }

    /// Answers the deferred calls whose partition the store has confirmed since, and those
    /// that have waited for too long.
    pub(crate) fn answer_confirmed_calls(&mut self, now_ms: u64, dispatcher: &mut Dispatcher) {
        for call in std::mem::take(&mut self.unconfirmed_calls) {
            let has_timed_out = now_ms >= call.called_ms + CONFIRMATION_TIMEOUT_MS;
            let answer = if !self.is_unconfirmed(call.called_ms, &call.job) {
                if call.is_cancel {
                    self.cancel(now_ms, call.caller, &call.job, dispatcher)
                } else {
                    self.state_or_wait(now_ms, call.caller, &call.job, dispatcher)
                }
            } else if has_timed_out {
                Some(StoredAnswer::NotOwner)
            } else {
                self.unconfirmed_calls.push(call);
                continue;
            };
            if let Some(answer) = answer {
                self.answer_all(&[call.caller], answer);
            }
        }
    }

    pub(crate) fn partition_of(&self, id: &Name) -> Partition {
        Partition::of(id, self.settings.partitions)
    }

    /// Returns the partition of a job if this entry serves it.
    fn served_partition(&mut self, id: &Name) -> Option<&mut OwnedPartition> {
        let partition = self.partition_of(id);
        let owned = self.partitions.get_mut(&partition);
        owned.filter(|owned| owned.is_serving())
    }

    /// Accepts a job. Returns no answer if the answer follows once the job is in the log.
    fn submit(
        &mut self,
        now_ms: u64,
        caller: StoredCaller,
        job: StoredJob,
        dispatcher: &Dispatcher,
    ) -> Option<StoredAnswer> {
        let id = job.id.clone();
        let partition = self.partition_of(&id);
        let owned = self.partitions.get_mut(&partition);
        let Some(owned) = owned.filter(|owned| owned.accepts_jobs()) else {
            return Some(StoredAnswer::NotOwner);
        };
        match owned.jobs.get(&id) {
            Some(known) if known.is_accepted => return Some(StoredAnswer::Accepted),
            Some(known) if known.is_cancelled_early() => {
                self.refuse(&id, &[caller], Refusal::Cancelled);
                return None;
            }
            Some(_) => {
                owned.add_accept_caller(&id, caller);
                return None;
            }
            None => {}
        }
        let refusal = if owned.is_append_delayed() {
            Err(Refusal::NotStorable)
        } else {
            dispatcher.check_stored(&job)
        };
        if let Err(refusal) = refusal {
            self.refuse(&id, &[caller], refusal);
            return None;
        }
        owned.jobs.insert(id.clone(), OwnedJob::new(job));
        owned.push(now_ms, Change::Accept(id, vec![caller]));
        None
    }

    /// Returns the state of a job. For an unfinished job, the answer is deferred until its end,
    /// because callers ask when they expect the end.
    fn state_or_wait(
        &mut self,
        now_ms: u64,
        caller: StoredCaller,
        id: &Name,
        dispatcher: &Dispatcher,
    ) -> Option<StoredAnswer> {
        let answer = self.state(id, dispatcher);
        if matches!(
            answer,
            StoredAnswer::State(StoredState::Queued | StoredState::Running)
        ) {
            self.watchers.push(Watcher {
                caller,
                job: id.clone(),
                until_ms: now_ms + MAX_STATE_WAIT_MS,
            });
            return None;
        }
        Some(answer)
    }

    /// Answers the callers that wait for the end of a job, once the job has ended, this entry
    /// no longer serves its partition, or the caller has waited for [`MAX_STATE_WAIT_MS`].
    pub(crate) fn answer_watchers(&mut self, now_ms: u64, dispatcher: &Dispatcher) {
        for watcher in std::mem::take(&mut self.watchers) {
            let answer = self.state(&watcher.job, dispatcher);
            let is_unfinished = matches!(
                answer,
                StoredAnswer::State(StoredState::Queued | StoredState::Running)
            );
            if is_unfinished && now_ms < watcher.until_ms {
                self.watchers.push(watcher);
            } else {
                self.answer_all(&[watcher.caller], answer);
            }
        }
    }

    fn state(&mut self, id: &Name, dispatcher: &Dispatcher) -> StoredAnswer {
        let Some(owned) = self.served_partition(id) else {
            return StoredAnswer::NotOwner;
        };
        let Some(owned_job) = owned.jobs.get(id).filter(|owned_job| owned_job.is_accepted) else {
            return StoredAnswer::Unknown;
        };
        let has_started = owned_job.progress.has_ends()
            || !owned_job.crashes.is_empty()
            || dispatcher.has_stored_job_started(id);
        StoredAnswer::State(match owned_job.end {
            Some((end, _)) => StoredState::Ended(end),
            None if has_started => StoredState::Running,
            None => StoredState::Queued,
        })
    }

    /// Cancels a job. Returns no answer if the answer follows once the end is in the log.
    fn cancel(
        &mut self,
        now_ms: u64,
        caller: StoredCaller,
        id: &Name,
        dispatcher: &mut Dispatcher,
    ) -> Option<StoredAnswer> {
        let Some(owned) = self.served_partition(id) else {
            return Some(StoredAnswer::NotOwner);
        };
        let Some(owned_job) = owned.jobs.get_mut(id) else {
            // A submission may still be on its way, from a caller that has left.
            owned.jobs.insert(id.clone(), OwnedJob::cancelled_early());
            owned.push(now_ms, Change::EarlyCancel(id.clone(), vec![caller]));
            return None;
        };
        if owned_job.is_cancelled_early() {
            owned.push(now_ms, Change::EarlyCancel(id.clone(), vec![caller]));
            return None;
        }
        if owned_job.end.is_some() {
            return Some(StoredAnswer::Cancelled);
        }
        let end = *owned_job.unrecorded_end.get_or_insert(StoredEnd::Cancelled);
        dispatcher.drop_stored(id);
        let change = Change::JobEnd(id.clone(), end, vec![caller]);
        owned.push(now_ms, change);
        None
    }

    /// Counts the jobs of a queue of which no task has started, in all partitions that accept
    /// jobs.
    fn pending(&self, queue: &Name, dispatcher: &Dispatcher) -> StoredAnswer {
        let accepting = || {
            self.partitions
                .values()
                .filter(|owned| owned.accepts_jobs())
        };
        let jobs = accepting().flat_map(|owned| &owned.jobs);
        let is_pending = |(id, owned_job): &(&Name, &OwnedJob)| {
            let of_queue = owned_job
                .job
                .as_ref()
                .is_some_and(|job| job.queue.name == *queue);
            of_queue
                && owned_job.is_accepted
                && owned_job.is_unfinished()
                && !dispatcher.has_stored_job_started(id)
        };
        StoredAnswer::Pending {
            jobs: u32::try_from(jobs.filter(is_pending).count()).unwrap_or(u32::MAX),
            partitions: u32::try_from(accepting().count()).unwrap_or(u32::MAX),
        }
    }
}
