//! The jobs of owned partitions: the owner starts them, records the ends of their runs, and
//! decides on ends that minions retained for it.

use gannetvane_wire::Name;

use crate::Dispatcher;
use crate::Disposition;
use crate::Ledger;
use crate::LinkId;
use crate::Partition;
use crate::RetainedEnd;
use crate::ledger::partition::Change;
use crate::ledger::partition::OwnedJob;
use crate::ledger::partition::OwnedPartition;
use crate::ledger::partition::Stage;
use crate::stored::RUNS_PER_EPOCH;
use crate::stored::StoredEvent;

/// Time for which a retained end waits until this entry can decide on it, in milliseconds: as
/// long as its agent offers it.
const PENDING_END_TTL_MS: u64 = 6_000;
/// Time for which the state of an ended job stays available, in milliseconds; the platform
/// requires 120 s.
const ENDED_JOB_TTL_MS: u64 = 150_000;
/// Time that runs have to end when a partition is released, in milliseconds; the runs that are
/// left are then stopped. Most tasks are shorter.
const RELEASE_TIMEOUT_MS: u64 = 1_000;

/// Number of tasks from which no more jobs of a partition are passed to the dispatcher in one
/// turn of the event loop. An entry that stands still for longer than a grant loses its runs.
const MAX_TASKS_PER_TURN: usize = 10_000;
/// Time until the next jobs are passed, in milliseconds.
const TURN_PAUSE_MS: u64 = 2;

/// A retained end, offered by an agent, on which the owner of the job has to decide.
#[derive(Debug)]
pub(crate) struct PendingEnd {
    link: LinkId,
    end: RetainedEnd,
    /// Time after which the end is ignored here, in milliseconds.
    until_ms: u64,
}

impl Ledger {
    /// Applies an event of the dispatcher to the job, and queues the record for the log.
    pub(crate) fn apply_event(
        &mut self,
        now_ms: u64,
        event: StoredEvent,
        dispatcher: &mut Dispatcher,
    ) {
        match event {
            StoredEvent::TaskEnded {
                job,
                position,
                link,
                number,
                run,
                is_done,
            } => {
                let partition = self.partition_of(&job);
                let owned = self.partitions.get_mut(&partition);
                let Some(owned) = owned.filter(|owned| owned.jobs.contains_key(&job)) else {
                    dispatcher.send_disposition(link, number, Disposition::NotOwner);
                    return;
                };
                if let Some(owned_job) = owned.jobs.get_mut(&job) {
                    owned_job.progress.record_end(position, run, is_done);
                }
                owned.push(now_ms, Change::TaskEnd(job, link, number));
            }
            StoredEvent::RunLost { job, position, run } => {
                let partition = self.partition_of(&job);
                let Some(owned) = self.partitions.get_mut(&partition) else {
                    return;
                };
                if let Some(owned_job) = owned.jobs.get_mut(&job) {
                    owned_job.progress.last_lost_runs.insert(position, run);
                    owned.push(now_ms, Change::RunLost(job, position));
                }
            }
            StoredEvent::Crashed { position, crash } => {
                let job = crash.task.job.clone();
                let partition = self.partition_of(&job);
                let Some(owned) = self.partitions.get_mut(&partition) else {
                    return;
                };
                if let Some(owned_job) = owned.jobs.get_mut(&job) {
                    let of_task = owned_job.crashes.entry(position).or_default();
                    of_task.insert(crash.number, crash.evidence);
                    owned.push(now_ms, Change::Crashed(job, position));
                }
            }
            StoredEvent::EndRetained(link, end) => {
                self.pending_ends.push(PendingEnd {
                    link,
                    end,
                    until_ms: now_ms + PENDING_END_TTL_MS,
                });
            }
            StoredEvent::JobEnded(job, end) => {
                let partition = self.partition_of(&job);
                let Some(owned) = self.partitions.get_mut(&partition) else {
                    return;
                };
                let owned_job = owned.jobs.get_mut(&job);
                if let Some(owned_job) = owned_job.filter(|owned_job| owned_job.is_unfinished()) {
                    owned_job.unrecorded_end = Some(end);
                    owned.push(now_ms, Change::JobEnd(job, end, Vec::new()));
                }
            }
        }
    }

    /// Decides on the pending ends whose partition this entry serves, if no earlier owner can
    /// still start the task again.
    pub(crate) fn decide_on_pending_ends(&mut self, now_ms: u64, dispatcher: &mut Dispatcher) {
        for pending in std::mem::take(&mut self.pending_ends) {
            let partition = self.partition_of(&pending.end.task.job);
            let owned = self.partitions.get_mut(&partition);
            let epoch = pending.end.run / RUNS_PER_EPOCH;
            match owned.filter(|owned| owned.is_serving() && owned.can_decide(now_ms, epoch)) {
                Some(owned) => apply_decision(now_ms, owned, &pending, dispatcher),
                None if now_ms < pending.until_ms => self.pending_ends.push(pending),
                None => {}
            }
        }
    }

    /// Starts the due jobs of a partition and drops old ones, or advances its release.
    pub(crate) fn process_jobs(
        &mut self,
        now_ms: u64,
        partition: Partition,
        dispatcher: &mut Dispatcher,
    ) {
        let Some(owned) = self.partitions.get_mut(&partition) else {
            return;
        };
        match owned.stage {
            Stage::Serving => {
                start_due(now_ms, owned, dispatcher);
                forget_old(now_ms, owned);
            }
            Stage::Releasing { since_ms } => {
                let is_over = now_ms >= since_ms + RELEASE_TIMEOUT_MS;
                for id in owned.jobs.keys().filter(|_| is_over) {
                    dispatcher.drop_stored(id);
                }
                if has_no_runs(owned, dispatcher) {
                    owned.stage = Stage::Flushing;
                }
            }
            Stage::Flushing if !owned.is_flushed() => {}
            Stage::Flushing if owned.has_no_former_runs(now_ms) => {
                owned.stage = Stage::RecordingRelease;
                owned.push(now_ms, Change::Release);
            }
            // Runs of an earlier owner may be left, so no release may be recorded.
            Stage::Flushing => self.give_up(partition, "released-unsettled", dispatcher),
            _ => {}
        }
    }
}

/// Returns whether no run of the partition's jobs, ordered by this entry, can be left.
fn has_no_runs(owned: &OwnedPartition, dispatcher: &Dispatcher) -> bool {
    owned
        .jobs
        .keys()
        .all(|id| dispatcher.has_no_stored_runs(id))
}

/// Starts a newly accepted job, unless it was cancelled or the partition isn't served. No
/// entry has started a task of it, so it need not wait for runs of earlier owners to end.
pub(crate) fn start_if_unfinished(
    now_ms: u64,
    owned: &mut OwnedPartition,
    id: &Name,
    dispatcher: &mut Dispatcher,
) {
    let is_unfinished = owned.jobs.get(id).is_some_and(OwnedJob::is_unfinished);
    if is_unfinished && owned.is_serving() {
        start(now_ms, owned, id, dispatcher);
    }
}

/// Starts the jobs that earlier owners accepted, once all runs of earlier owners have ended
/// and the takeover is recorded; also the jobs that could not be started at once.
fn start_due(now_ms: u64, owned: &mut OwnedPartition, dispatcher: &mut Dispatcher) {
    let is_due = |owned_job: &OwnedJob| {
        owned_job.is_accepted && !owned_job.is_started && owned_job.is_unfinished()
    };
    let due = owned.jobs.iter().filter(|(_, owned_job)| is_due(owned_job));
    let due: Vec<Name> = due.map(|(id, _)| id.clone()).collect();
    if due.is_empty() {
        return;
    }
    if owned.has_taken_over {
        let mut started_tasks = 0;
        for id in due {
            started_tasks += start(now_ms, owned, &id, dispatcher);
            if started_tasks >= MAX_TASKS_PER_TURN {
                owned.start_rest_at(now_ms + TURN_PAUSE_MS);
                return;
            }
        }
    } else if now_ms >= owned.former_runs_gone_at_ms
        && !dispatcher.may_have_unknown_starts(now_ms, owned.former_runs_gone_at_ms)
    {
        owned.record_takeover(now_ms);
    }
}

/// Decides on a pending end: sends the disposition to the agent, or queues the record, after
/// which the agent gets its disposition.
fn apply_decision(
    now_ms: u64,
    owned: &mut OwnedPartition,
    pending: &PendingEnd,
    dispatcher: &mut Dispatcher,
) {
    let disposition = decide(now_ms, owned, &pending.end, dispatcher);
    match disposition {
        Some(disposition) => {
            dispatcher.send_disposition(pending.link, pending.end.number, disposition);
        }
        None => {
            let id = pending.end.task.job.clone();
            owned.push(
                now_ms,
                Change::TaskEnd(id, pending.link, pending.end.number),
            );
        }
    }
}

/// Returns the disposition of a retained end; `None` if the end has yet to be recorded.
fn decide(
    now_ms: u64,
    owned: &mut OwnedPartition,
    end: &RetainedEnd,
    dispatcher: &mut Dispatcher,
) -> Option<Disposition> {
    let is_old = end.run / RUNS_PER_EPOCH < owned.started_epoch;
    let id = &end.task.job;
    let Some(owned_job) = owned.jobs.get_mut(id) else {
        return Some(Disposition::Superseded);
    };
    let position = owned_job.position(&end.task);
    let recorded = position.and_then(|position| owned_job.progress.end_of(position, end.run));
    if recorded.is_some_and(|is_done| is_done != end.is_done) {
        // A later incarnation of the minion carried the start out again.
        return Some(Disposition::Superseded);
    }
    let is_known_end = match position {
        Some(_) if owned_job.end.is_none() => recorded.is_some(),
        // The log holds only the runs that did the tasks of an ended job.
        _ => owned_job.is_done_by(&end.task, end.run),
    };
    if is_known_end {
        // The end of an unfinished job may not be in the log yet.
        return owned_job.end.map(|_| Disposition::Recorded);
    }
    let is_countable = |position: &u32| {
        let is_superseded = owned_job.progress.is_superseded(*position, end.run);
        owned_job.is_unfinished() && !is_old && !is_superseded
    };
    let Some(position) = position.filter(is_countable) else {
        return Some(Disposition::Superseded);
    };
    let is_done = owned_job.progress.done.contains_key(&position);
    let is_applied =
        !owned_job.is_started || dispatcher.apply_retained_end(now_ms, id, position, end);
    if is_done || !is_applied {
        return Some(Disposition::Superseded);
    }
    owned_job
        .progress
        .record_end(position, end.run, end.is_done);
    None
}

/// Passes a job to the dispatcher; returns the number of its tasks, or 0 if it was not passed.
/// The caller tries again while the dispatcher is still stopping runs of the job from the last
/// time that this entry owned the partition.
fn start(now_ms: u64, owned: &mut OwnedPartition, id: &Name, dispatcher: &mut Dispatcher) -> usize {
    let Some(owned_job) = owned.jobs.get_mut(id) else {
        return 0;
    };
    let Some(job) = &owned_job.job else {
        return 0;
    };
    owned_job.is_started = dispatcher.run_stored(now_ms, job, owned.epoch, owned_job);
    let tasks = job.steps.iter().map(|step| step.count as usize).sum();
    if owned_job.is_started { tasks } else { 0 }
}

/// Drops the jobs that ended more than [`ENDED_JOB_TTL_MS`] ago.
fn forget_old(now_ms: u64, owned: &mut OwnedPartition) {
    let is_old = |owned_job: &OwnedJob| {
        let ended_ms = owned_job.end.map(|(_, ended_ms)| ended_ms);
        ended_ms.is_some_and(|ended_ms| now_ms >= ended_ms + ENDED_JOB_TTL_MS)
    };
    let old = owned
        .jobs
        .iter_mut()
        .filter(|(_, owned_job)| is_old(owned_job));
    let mut forgotten = Vec::new();
    for (id, owned_job) in old {
        // The job is removed once the log has dropped it. Until then, this end time keeps it
        // from being dropped again.
        owned_job.end = owned_job
            .end
            .map(|(end, _)| (end, u64::MAX - ENDED_JOB_TTL_MS));
        forgotten.push(id.clone());
    }
    for id in forgotten {
        owned.push(now_ms, Change::Forget(id));
    }
}
