//! What becomes of the jobs of an owned partition: they are started, their ends
//! recorded, and ends that were left behind taken over.

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

/// Time for which an offer waits for us to own its job, in milliseconds: as long
/// as its agent keeps it.
const PENDING_END_TTL_MS: u64 = 6_000;
/// Time for which an ended job is still known, in milliseconds; the platform
/// asks for 120 s.
const ENDED_JOB_TTL_MS: u64 = 150_000;
/// Time that runs have to end when a partition goes to another owner, in
/// milliseconds: most tasks are shorter.
const RELEASE_TIMEOUT_MS: u64 = 1_000;

/// An end that an agent offers to whoever owns its job.
#[derive(Debug)]
pub(crate) struct PendingEnd {
    link: LinkId,
    end: RetainedEnd,
    until_ms: u64,
}

impl Ledger {
    /// Takes over what the dispatcher tells of a job.
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

    /// Decides on the ends that agents offer, where their jobs are known.
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

    /// Starts, hands over and forgets jobs of a partition.
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
            // Runs of an earlier owner may be left.
            Stage::Flushing => self.give_up(partition, "released-unsettled", dispatcher),
            _ => {}
        }
    }
}

/// Whether nothing of the partition's jobs can be running here.
fn has_no_runs(owned: &OwnedPartition, dispatcher: &Dispatcher) -> bool {
    owned
        .jobs
        .keys()
        .all(|id| dispatcher.has_no_stored_runs(id))
}

/// Runs a job of which nothing has run anywhere.
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

/// Runs the jobs of earlier owners, when nothing of theirs runs any more and the
/// log says so; and those that could not be run at once.
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
        for id in due {
            start(now_ms, owned, &id, dispatcher);
        }
    } else if now_ms >= owned.former_runs_gone_at_ms {
        owned.record_takeover(now_ms);
    }
}

/// Records an end that an agent offers, or tells that it must not count.
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

/// What becomes of an offered end; `None` when it is to be recorded.
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
    let position = owned_job
        .job
        .as_ref()
        .and_then(|job| job.position(&end.task));
    let is_known_end = match position {
        Some(position) => owned_job.progress.has_end(position, end.run),
        // Of an ended job only the runs are known.
        None => owned_job.progress.done.values().any(|run| *run == end.run),
    };
    if is_known_end {
        // It may be on its way to the log still.
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

/// Runs a job; it is tried again while an earlier time of it is being stopped.
fn start(now_ms: u64, owned: &mut OwnedPartition, id: &Name, dispatcher: &mut Dispatcher) {
    let Some(owned_job) = owned.jobs.get_mut(id) else {
        return;
    };
    if let Some(job) = &owned_job.job {
        owned_job.is_started = dispatcher.run_stored(now_ms, job, owned.epoch, owned_job);
    }
}

/// Drops jobs that ended long ago.
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
        // It is dropped when that lies in the log; until then only once.
        owned_job.end = owned_job
            .end
            .map(|(end, _)| (end, u64::MAX - ENDED_JOB_TTL_MS));
        forgotten.push(id.clone());
    }
    for id in forgotten {
        owned.push(now_ms, Change::Forget(id));
    }
}
