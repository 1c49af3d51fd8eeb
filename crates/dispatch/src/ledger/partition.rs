//! State of one partition of the job log at the entry that owns it: its stage, its jobs, and
//! the changes on their way to the log.

use std::collections::BTreeMap;

use gannetvane_wire::Name;

use crate::LinkId;
use crate::LogRecord;
use crate::StoredCaller;
use crate::StoredEnd;
use crate::StoredJob;
use crate::TaskId;
use crate::stored::EndedJob;
use crate::stored::JobCrashes;
use crate::stored::Progress;
use crate::stored::StepCounts;

/// Pause before an append that the store did not confirm is sent again, in milliseconds. The
/// store usually answers within 4 ms.
const RETRY_PAUSE_MS: u64 = 60;
/// Longest time for which changes that are not urgent wait for others to share their append,
/// in milliseconds. The platform counts an end 100 ms after the minion listed it.
const MAX_GATHER_MS: u64 = 50;
/// Largest number of changes in one append.
const MAX_BATCH_CHANGES: usize = 64;
/// Size of the records from which an append takes fewer changes, in bytes: half of what the
/// platform accepts. One job is always smaller, as callers' requests are.
const MAX_BATCH_BYTES: usize = 1_048_576;

/// Result of an append to the job log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The records are in the log, and the partition ended at this offset after them.
    Appended(u64),
    /// The partition did not end at the expected offset: nothing was done.
    UnexpectedEnd,
    /// Another entry has appended with a higher epoch: nothing was done.
    Fenced,
    /// The log expects this number instead of the one sent: nothing was done.
    UnexpectedNumber(u64),
    /// The store refused, and did nothing.
    Refused,
    /// The call timed out: the records may be in the log.
    NoAnswer,
}

/// Stage of the ownership of a partition, from its claim to its release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The claim is being appended; it fences the last owner.
    Claiming,
    /// The records are being read.
    Loading,
    /// The owner answers calls and runs jobs.
    Serving,
    /// Jobs continue while an append finds out whether another entry has owned the partition in
    /// between and accepted jobs. Calls about jobs meanwhile get
    /// [`StoredAnswer::NotOwner`](crate::StoredAnswer::NotOwner).
    Verifying,
    /// The partition goes to another owner: jobs are still accepted, but nothing starts.
    Releasing {
        /// Time at which the release began, in milliseconds.
        since_ms: u64,
    },
    /// No runs are left, and the remaining changes are being appended.
    Flushing,
    /// The record that no run is left behind is being appended.
    RecordingRelease,
}

/// A stored job at the owner of its partition.
#[derive(Debug)]
pub(crate) struct OwnedJob {
    /// Specification of the job; `None` once its end is in the log.
    pub(crate) job: Option<StoredJob>,
    /// Number of tasks in each step; `None` if the log holds a record of an older version.
    pub(crate) step_counts: Option<StepCounts>,
    /// Progress of the job's tasks, including ends of runs that are not in the log yet.
    pub(crate) progress: Progress,
    /// Whether the log holds a progress record of the job.
    pub(crate) has_progress_record: bool,
    /// Crashes of minions under the job's tasks.
    pub(crate) crashes: JobCrashes,
    /// Whether the log holds the job.
    pub(crate) is_accepted: bool,
    /// Whether the job was passed to the dispatcher.
    pub(crate) is_started: bool,
    /// How the job ended, and the time in milliseconds at which that became known here; set
    /// once the end is in the log.
    pub(crate) end: Option<(StoredEnd, u64)>,
    /// How the job ended, set before the end is in the log.
    pub(crate) unrecorded_end: Option<StoredEnd>,
}

impl OwnedJob {
    pub(crate) fn new(job: StoredJob) -> Self {
        Self {
            step_counts: Some(StepCounts::of(&job.steps)),
            job: Some(job),
            progress: Progress::default(),
            has_progress_record: false,
            crashes: JobCrashes::new(),
            is_accepted: false,
            is_started: false,
            end: None,
            unrecorded_end: None,
        }
    }

    /// Returns a job that was cancelled before it arrived. It is never shown.
    pub(crate) fn cancelled_early() -> Self {
        Self {
            job: None,
            step_counts: None,
            progress: Progress::default(),
            has_progress_record: false,
            crashes: JobCrashes::new(),
            is_accepted: false,
            is_started: false,
            end: None,
            unrecorded_end: Some(StoredEnd::Cancelled),
        }
    }

    /// Returns whether the job was cancelled before it arrived.
    pub(crate) fn is_cancelled_early(&self) -> bool {
        !self.is_accepted && self.job.is_none()
    }

    /// Returns a job that the log holds as ended.
    pub(crate) fn ended(ended: EndedJob, now_ms: u64) -> Self {
        // Only a job that has arrived has steps.
        let was_accepted = ended.step_counts.is_some() || ended.end != StoredEnd::Cancelled;
        let progress = Progress {
            done: ended.done,
            ..Progress::default()
        };
        Self {
            job: None,
            step_counts: ended.step_counts,
            progress,
            has_progress_record: false,
            crashes: JobCrashes::new(),
            is_accepted: was_accepted,
            is_started: false,
            end: Some((ended.end, now_ms)),
            unrecorded_end: None,
        }
    }

    /// Returns the position of a task; `None` if the job has no such task, or if it is unknown.
    pub(crate) fn position(&self, task: &TaskId) -> Option<u32> {
        match &self.step_counts {
            Some(step_counts) => step_counts.position(task),
            // In the first step, positions equal indices.
            None => (task.step == 0).then_some(task.index),
        }
    }

    /// Returns whether this run is known to have done the task.
    pub(crate) fn is_done_by(&self, task: &TaskId, run: u32) -> bool {
        let done = &self.progress.done;
        match self.position(task) {
            Some(position) => done.get(&position) == Some(&run),
            None if self.step_counts.is_some() => false,
            // Without step sizes, only a run that did all tasks is certain to have done this one.
            None => self.is_completed() && done.values().all(|done_by| *done_by == run),
        }
    }

    fn is_completed(&self) -> bool {
        matches!(self.end, Some((StoredEnd::Completed, _)))
    }

    /// Returns whether the job has no end, recorded or not.
    pub(crate) fn is_unfinished(&self) -> bool {
        self.end.is_none() && self.unrecorded_end.is_none()
    }
}

/// A change to append to the log, with the callers or the agent to answer once it is there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Claims the partition with a new epoch, which fences the last owner.
    Claim,
    /// Claims the partition again with the owner's newer epoch, if the partition still ends at
    /// the owner's last append.
    Verify,
    /// Adds the job with this id; the callers wait for its acceptance.
    Accept(Name, Vec<StoredCaller>),
    /// Records the progress of the job with this id after the end of a run. The minion of the
    /// agent at this link retains the end under this number until it gets the disposition.
    TaskEnd(Name, LinkId, u64),
    /// Records that the last run of the task at this position was lost: its end must not count.
    RunLost(Name, u32),
    /// Records a crash of a minion under the task at this position.
    Crashed(Name, u32),
    /// Records the end of the job with this id; the callers wait for its cancellation.
    JobEnd(Name, StoredEnd, Vec<StoredCaller>),
    /// Records that the job with this id is cancelled, which has not arrived; the callers wait
    /// for that.
    EarlyCancel(Name, Vec<StoredCaller>),
    /// Drops the job with this id, which ended long ago.
    Forget(Name),
    /// Records that this owner is about to start jobs that earlier owners accepted, and drops
    /// the last owner's record that no run was left behind.
    Takeover,
    /// Records that this owner leaves no run behind.
    Release,
}

impl Change {
    /// Returns whether the change is appended without waiting for others: all but ends of runs
    /// and drops of old jobs, for which no caller waits.
    fn is_urgent(&self) -> bool {
        !matches!(self, Self::TaskEnd(..) | Self::Forget(_))
    }
}

/// Changes that are being appended to the log.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    pub(crate) epoch: u32,
    pub(crate) number: u64,
    pub(crate) changes: Vec<Change>,
    pub(crate) records: Vec<LogRecord>,
    /// Offset at which the partition must end, if the append depends on it.
    pub(crate) expected_end: Option<u64>,
    /// Time at which the batch is to be sent, in milliseconds; `None` while an answer is
    /// awaited.
    pub(crate) send_at_ms: Option<u64>,
    /// Whether an attempt was unanswered, so that its records may be in the log.
    pub(crate) is_outcome_unknown: bool,
    /// Whether an attempt was refused or unanswered.
    pub(crate) is_retried: bool,
}

/// A partition that this entry owns.
#[derive(Debug)]
pub(crate) struct OwnedPartition {
    /// This entry's present epoch in the partition.
    pub(crate) epoch: u32,
    /// Epoch of the first claim.
    claimed_epoch: u32,
    pub(crate) stage: Stage,
    /// Send time in milliseconds of the newest join whose answer listed the partition as this
    /// entry's.
    pub(crate) confirmed_ms: u64,
    /// Time in milliseconds from which no run of the last owner can be left.
    pub(crate) former_runs_gone_at_ms: u64,
    /// Last epoch whose owner started jobs that earlier owners accepted.
    pub(crate) started_epoch: u32,
    /// Whether this owner's takeover is recorded, so that it may start such jobs.
    pub(crate) has_taken_over: bool,
    /// Whether the takeover was queued for the log.
    is_taking_over: bool,
    /// Time in milliseconds at which jobs are started that were too many for one turn; `None`
    /// if there are none.
    start_rest_at_ms: Option<u64>,
    /// Number of the next append in the present epoch.
    pub(crate) next_number: u64,
    /// Offset at which the partition ended after this entry's last append.
    pub(crate) end: Option<u64>,
    /// Newer epoch with which the partition has yet to be claimed again.
    newer_epoch: Option<u32>,
    /// Number of the read whose result is awaited.
    pub(crate) load: u64,
    /// Changes that are being appended.
    pub(crate) batch: Option<Batch>,
    /// Jobs by id.
    pub(crate) jobs: BTreeMap<Name, OwnedJob>,
    /// Changes for the next batches.
    pending_changes: Vec<Change>,
    /// Time in milliseconds until which the pending changes wait for others.
    batch_due_ms: u64,
    /// Minimum pause between two appends, in milliseconds.
    pub(crate) append_pause_ms: u64,
    /// Time in milliseconds from which the next append is allowed by the pause.
    next_append_ms: u64,
}

impl OwnedPartition {
    /// Returns a partition that this entry begins to claim with a new epoch; `first_number` is
    /// the number of its first append.
    pub(crate) fn claim(
        epoch: u32,
        confirmed_ms: u64,
        former_runs_gone_at_ms: u64,
        first_number: u64,
    ) -> Self {
        Self {
            epoch,
            claimed_epoch: epoch,
            stage: Stage::Claiming,
            confirmed_ms,
            former_runs_gone_at_ms,
            started_epoch: 0,
            has_taken_over: false,
            is_taking_over: false,
            start_rest_at_ms: None,
            next_number: first_number,
            load: 0,
            end: None,
            newer_epoch: None,
            batch: None,
            jobs: BTreeMap::new(),
            pending_changes: vec![Change::Claim],
            batch_due_ms: 0,
            append_pause_ms: 0,
            next_append_ms: 0,
        }
    }

    /// Begins to claim the partition again with a newer epoch. This finds out whether another
    /// entry has owned it in between, and fences that entry.
    pub(crate) fn verify(&mut self, epoch: u32) {
        if matches!(self.stage, Stage::Serving | Stage::Verifying) {
            self.stage = Stage::Verifying;
            self.newer_epoch = Some(epoch);
        }
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.stage == Stage::Serving
    }

    /// Returns whether the entry accepts jobs. If another entry owns the partition by now, the
    /// log refuses the append of such a job.
    pub(crate) fn accepts_jobs(&self) -> bool {
        matches!(self.stage, Stage::Serving | Stage::Releasing { .. })
    }

    /// Returns whether the partition is on its way to another owner.
    pub(crate) fn is_releasing(&self) -> bool {
        matches!(
            self.stage,
            Stage::Releasing { .. } | Stage::Flushing | Stage::RecordingRelease
        )
    }

    /// Returns whether the store did not take the present batch at the first attempt.
    pub(crate) fn is_append_delayed(&self) -> bool {
        let batch = self.batch.as_ref();
        batch.is_some_and(|batch| batch.is_retried)
    }

    /// Queues the record that this owner is about to start jobs of earlier owners.
    pub(crate) fn record_takeover(&mut self, now_ms: u64) {
        if !self.is_taking_over {
            self.is_taking_over = true;
            self.push(now_ms, Change::Takeover);
        }
    }

    /// Returns whether no run of earlier owners can be left.
    pub(crate) fn has_no_former_runs(&self, now_ms: u64) -> bool {
        self.has_taken_over || now_ms >= self.former_runs_gone_at_ms
    }

    /// Returns whether this owner can decide on the end of a run that was started in `epoch`.
    /// While runs of earlier owners can be left, an earlier owner may still start the task of
    /// such a run again.
    pub(crate) fn can_decide(&self, now_ms: u64, epoch: u32) -> bool {
        epoch >= self.claimed_epoch || self.has_no_former_runs(now_ms)
    }

    /// Allows this owner to start jobs of earlier owners, because its takeover is in the log.
    pub(crate) fn takeover_recorded(&mut self) {
        self.started_epoch = self.epoch;
        self.has_taken_over = true;
    }

    /// Queues a change for the log.
    pub(crate) fn push(&mut self, now_ms: u64, change: Change) {
        if self.pending_changes.is_empty() {
            self.batch_due_ms = now_ms + MAX_GATHER_MS;
        }
        if change.is_urgent() {
            self.batch_due_ms = now_ms;
        }
        self.pending_changes.push(change);
    }

    /// Adds a caller to those that wait for the acceptance of a job.
    pub(crate) fn add_accept_caller(&mut self, id: &Name, caller: StoredCaller) {
        let sent = self.batch.iter_mut().flat_map(|batch| &mut batch.changes);
        for change in self.pending_changes.iter_mut().chain(sent) {
            if let Change::Accept(accepted, callers) = change
                && accepted == id
            {
                callers.push(caller);
                return;
            }
        }
    }

    /// Removes the new jobs that are in no batch yet. Returns their ids and callers.
    pub(crate) fn withdraw_accepts(&mut self) -> Vec<(Name, Vec<StoredCaller>)> {
        let mut withdrawn = Vec::new();
        self.pending_changes.retain(|change| match change {
            Change::Accept(id, callers) => {
                withdrawn.push((id.clone(), callers.clone()));
                false
            }
            _ => true,
        });
        for (id, _) in &withdrawn {
            let withdrawn = self.jobs.remove(id);
            if withdrawn.is_some_and(|owned_job| owned_job.unrecorded_end.is_some()) {
                self.jobs.insert(id.clone(), OwnedJob::cancelled_early());
            }
        }
        withdrawn
    }

    /// Removes and returns all changes that are not known to be in the log.
    pub(crate) fn take_changes(&mut self) -> Vec<Change> {
        let sent = self.batch.take().map(|batch| batch.changes);
        let mut changes = sent.unwrap_or_default();
        changes.append(&mut self.pending_changes);
        changes
    }

    /// Plans the next turn of starting jobs.
    pub(crate) fn start_rest_at(&mut self, at_ms: u64) {
        self.start_rest_at_ms = Some(at_ms);
    }

    /// Returns the time in milliseconds of the next turn of starting jobs, if one is planned.
    pub(crate) fn start_rest_at_ms(&self, now_ms: u64) -> Option<u64> {
        self.start_rest_at_ms.filter(|at_ms| now_ms < *at_ms)
    }

    /// Returns whether all changes are in the log.
    pub(crate) fn is_flushed(&self) -> bool {
        self.pending_changes.is_empty() && self.batch.is_none()
    }

    /// Returns the batch to send now, if one is due.
    pub(crate) fn due_batch(&mut self, now_ms: u64) -> Result<Option<&Batch>, postcard::Error> {
        if self.batch.is_none() {
            self.fill_batch(now_ms)?;
        }
        let batch = self.batch.as_mut();
        let is_due = |batch: &&mut Batch| batch.send_at_ms.is_some_and(|due_ms| now_ms >= due_ms);
        Ok(batch.filter(is_due).map(|batch| {
            batch.send_at_ms = None;
            &*batch
        }))
    }

    /// Makes a batch of the pending changes if they are due.
    fn fill_batch(&mut self, now_ms: u64) -> Result<(), postcard::Error> {
        if let Some(epoch) = self.newer_epoch.take() {
            self.epoch = epoch;
            self.next_number = 0;
            let end = self.end;
            let changes = vec![Change::Verify];
            let records = self.records(&changes)?;
            self.set_batch(now_ms, changes, records, end);
            return Ok(());
        }
        if self.pending_changes.is_empty() || now_ms < self.batch_due_ms.max(self.next_append_ms) {
            return Ok(());
        }
        let rest = self
            .pending_changes
            .split_off(self.pending_changes.len().min(MAX_BATCH_CHANGES));
        let mut changes = std::mem::replace(&mut self.pending_changes, rest);
        let mut records = self.records(&changes)?;
        // The store would refuse an append that is too large each time.
        while changes.len() > 1 && size(&records) > MAX_BATCH_BYTES {
            let rest = changes.split_off(changes.len() / 2);
            self.pending_changes.splice(0..0, rest);
            records = self.records(&changes)?;
        }
        self.set_batch(now_ms, changes, records, None);
        Ok(())
    }

    fn set_batch(
        &mut self,
        now_ms: u64,
        changes: Vec<Change>,
        records: Vec<LogRecord>,
        expected_end: Option<u64>,
    ) {
        self.next_append_ms = now_ms + self.append_pause_ms;
        let number = self.next_number;
        if !records.is_empty() {
            self.next_number += 1;
        }
        self.batch = Some(Batch {
            epoch: self.epoch,
            number,
            changes,
            records,
            expected_end,
            send_at_ms: Some(now_ms),
            is_outcome_unknown: false,
            is_retried: false,
        });
    }

    /// Returns the time in milliseconds at which a batch is due; `None` if there is nothing to
    /// send or an answer is awaited.
    pub(crate) fn next_due_ms(&self) -> Option<u64> {
        match &self.batch {
            Some(batch) => batch.send_at_ms,
            None if self.newer_epoch.is_some() => Some(0),
            None if self.pending_changes.is_empty() => None,
            None => Some(self.batch_due_ms.max(self.next_append_ms)),
        }
    }

    /// Schedules the batch to be sent again after [`RETRY_PAUSE_MS`].
    pub(crate) fn retry(&mut self, now_ms: u64, is_outcome_unknown: bool) {
        if let Some(batch) = &mut self.batch {
            batch.send_at_ms = Some(now_ms + RETRY_PAUSE_MS);
            batch.is_outcome_unknown |= is_outcome_unknown;
            batch.is_retried = true;
        }
    }

    /// Schedules the batch to be sent again at once, with the number that the log expects.
    pub(crate) fn renumber(&mut self, now_ms: u64, expected: u64) {
        if let Some(batch) = &mut self.batch {
            batch.number = expected;
            batch.send_at_ms = Some(now_ms);
            self.next_number = expected + 1;
        }
    }
}

/// Returns the size of the keys and values of these records, in bytes.
fn size(records: &[LogRecord]) -> usize {
    let sizes = records
        .iter()
        .map(|record| record.key.len() + record.value.len());
    sizes.sum()
}
