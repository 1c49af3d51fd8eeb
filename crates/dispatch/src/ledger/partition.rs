//! One partition of the job log, at the entry that owns it.

use std::collections::BTreeMap;

use gannetvane_wire::Name;

use crate::LinkId;
use crate::LogRecord;
use crate::StoredCaller;
use crate::StoredEnd;
use crate::StoredJob;
use crate::stored::JobCrashes;
use crate::stored::Progress;

/// Pause before an append without an answer is sent again, in milliseconds: the
/// store usually answers within 4.
const RETRY_PAUSE_MS: u64 = 60;
/// Time for which progress that nobody waits for may gather, in milliseconds;
/// the platform counts an end 100 ms after the minion listed it.
const MAX_GATHER_MS: u64 = 50;
/// Most records of one append: 64 texts of 4,000 bytes are an eighth of what
/// the platform takes.
const MAX_BATCH_CHANGES: usize = 64;

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The records lie in the log, and where the partition ended with them.
    Appended(u64),
    /// The partition ends elsewhere than expected: nothing was done.
    UnexpectedEnd,
    /// Another entry has appended with a higher epoch: nothing was done.
    Fenced,
    /// The log expects another number: nothing was done.
    UnexpectedNumber(u64),
    /// The store refused, and did nothing.
    Refused,
    /// No answer; it may have been done.
    NoAnswer,
}

/// Where the takeover of a partition stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The claim is on its way: it fences the last owner.
    Claiming,
    /// The records are being read.
    Loading,
    /// Calls are answered and jobs are run.
    Serving,
    /// Jobs are run; whether another entry has owned it meanwhile, and taken
    /// jobs, is being found out.
    Verifying,
    /// It goes to another owner: jobs are taken, and nothing is started.
    Releasing {
        /// Since when.
        since_ms: u64,
    },
    /// What is known is being written before it goes.
    Flushing,
    /// The word that nothing is left behind is on its way.
    RecordingRelease,
}

/// One stored job at its owner.
#[derive(Debug)]
pub(crate) struct OwnedJob {
    /// The job; `None` once it has ended.
    pub(crate) job: Option<StoredJob>,
    pub(crate) progress: Progress,
    /// Whether the log holds progress of it.
    pub(crate) has_progress_record: bool,
    /// Crashes of minions under its tasks.
    pub(crate) crashes: JobCrashes,
    /// Whether the log holds it.
    pub(crate) is_accepted: bool,
    /// Whether the dispatcher runs it.
    pub(crate) is_started: bool,
    /// How it ended, once that lies in the log, and when.
    pub(crate) end: Option<(StoredEnd, u64)>,
    /// How it is about to end.
    pub(crate) unrecorded_end: Option<StoredEnd>,
}

impl OwnedJob {
    pub(crate) fn new(job: StoredJob) -> Self {
        Self {
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

    pub(crate) fn ended(end: StoredEnd, done: BTreeMap<u32, u32>, now_ms: u64) -> Self {
        let progress = Progress {
            done,
            ..Progress::default()
        };
        Self {
            job: None,
            progress,
            has_progress_record: false,
            crashes: JobCrashes::new(),
            is_accepted: true,
            is_started: false,
            end: Some((end, now_ms)),
            unrecorded_end: None,
        }
    }

    pub(crate) fn is_unfinished(&self) -> bool {
        self.end.is_none() && self.unrecorded_end.is_none()
    }
}

/// Something that is to lie in the log, and who waits for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// The last owner's fence.
    Claim,
    /// The same by the owner itself with a newer epoch.
    Verify,
    /// A new job.
    Accept(Name, Vec<StoredCaller>),
    /// An end of a task; the minion at the link keeps it until then, under this
    /// number.
    TaskEnd(Name, LinkId, u64),
    /// The last run of a task was lost, and its end must not count.
    RunLost(Name, u32),
    /// A minion crashed under a task.
    Crashed(Name, u32),
    /// The end of a job.
    JobEnd(Name, StoredEnd, Vec<StoredCaller>),
    /// A job that ended long ago.
    Forget(Name),
    /// Jobs of earlier owners are about to be started; what the last owner said
    /// of having left nothing behind is over.
    Takeover,
    /// Our own word of that.
    Release,
}

impl Change {
    fn is_urgent(&self) -> bool {
        !matches!(self, Self::TaskEnd(..) | Self::Forget(_))
    }
}

/// Changes that are on their way to the log.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    pub(crate) epoch: u32,
    pub(crate) number: u64,
    pub(crate) changes: Vec<Change>,
    pub(crate) records: Vec<LogRecord>,
    /// Where the partition must end, if that is known.
    pub(crate) expected_end: Option<u64>,
    /// When it is sent again; `None` while an answer is awaited.
    pub(crate) send_at_ms: Option<u64>,
    /// Whether an attempt got no answer.
    pub(crate) is_outcome_unknown: bool,
    /// Whether an attempt was not taken.
    pub(crate) is_retried: bool,
}

/// A partition that this entry owns.
#[derive(Debug)]
pub(crate) struct OwnedPartition {
    pub(crate) epoch: u32,
    /// The epoch with which it was taken over.
    claimed_epoch: u32,
    pub(crate) stage: Stage,
    /// When the store was last known to list it as ours: the time at which that
    /// call was sent.
    pub(crate) confirmed_ms: u64,
    /// When runs of the last owner are surely gone.
    pub(crate) former_runs_gone_at_ms: u64,
    /// The last epoch that started jobs of earlier owners.
    pub(crate) started_epoch: u32,
    /// Whether that is ours.
    pub(crate) has_taken_over: bool,
    is_taking_over: bool,
    pub(crate) next_number: u64,
    /// Where the partition ended with our last append.
    pub(crate) end: Option<u64>,
    /// The epoch with which it is to be claimed again.
    newer_epoch: Option<u32>,
    /// Number of the read that is awaited.
    pub(crate) load: u64,
    pub(crate) batch: Option<Batch>,
    pub(crate) jobs: BTreeMap<Name, OwnedJob>,
    pending_changes: Vec<Change>,
    batch_due_ms: u64,
    /// Least pause between two appends, and when the next may be sent.
    pub(crate) append_pause_ms: u64,
    next_append_ms: u64,
}

impl OwnedPartition {
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

    /// Finds out whether another entry has owned the partition since, and fences
    /// it.
    pub(crate) fn verify(&mut self, epoch: u32) {
        if matches!(self.stage, Stage::Serving | Stage::Verifying) {
            self.stage = Stage::Verifying;
            self.newer_epoch = Some(epoch);
        }
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.stage == Stage::Serving
    }

    /// Whether jobs are taken here; the log refuses them if that is not so.
    pub(crate) fn accepts_jobs(&self) -> bool {
        matches!(self.stage, Stage::Serving | Stage::Releasing { .. })
    }

    /// Whether it is on its way to another owner.
    pub(crate) fn is_releasing(&self) -> bool {
        matches!(
            self.stage,
            Stage::Releasing { .. } | Stage::Flushing | Stage::RecordingRelease
        )
    }

    /// Whether the store has not taken the last records at once.
    pub(crate) fn is_append_delayed(&self) -> bool {
        let batch = self.batch.as_ref();
        batch.is_some_and(|batch| batch.is_retried)
    }

    /// Makes known that jobs of earlier owners are about to be started here.
    pub(crate) fn record_takeover(&mut self, now_ms: u64) {
        if !self.is_taking_over {
            self.is_taking_over = true;
            self.push(now_ms, Change::Takeover);
        }
    }

    /// Whether nothing of earlier owners runs any more.
    pub(crate) fn has_no_former_runs(&self, now_ms: u64) -> bool {
        self.has_taken_over || now_ms >= self.former_runs_gone_at_ms
    }

    /// Whether the end of a run that was started in this epoch can be judged: an
    /// earlier owner may still start its task anew.
    pub(crate) fn can_decide(&self, now_ms: u64, epoch: u32) -> bool {
        epoch >= self.claimed_epoch || self.has_no_former_runs(now_ms)
    }

    /// Jobs of earlier owners may be started.
    pub(crate) fn takeover_recorded(&mut self) {
        self.started_epoch = self.epoch;
        self.has_taken_over = true;
    }

    pub(crate) fn push(&mut self, now_ms: u64, change: Change) {
        if self.pending_changes.is_empty() {
            self.batch_due_ms = now_ms + MAX_GATHER_MS;
        }
        if change.is_urgent() {
            self.batch_due_ms = now_ms;
        }
        self.pending_changes.push(change);
    }

    /// Adds a caller to those that wait for a job to be accepted.
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

    /// Takes back the jobs that were not sent to the log yet.
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
            self.jobs.remove(id);
        }
        withdrawn
    }

    /// All changes that are not known to lie in the log.
    pub(crate) fn take_changes(&mut self) -> Vec<Change> {
        let sent = self.batch.take().map(|batch| batch.changes);
        let mut changes = sent.unwrap_or_default();
        changes.append(&mut self.pending_changes);
        changes
    }

    pub(crate) fn is_flushed(&self) -> bool {
        self.pending_changes.is_empty() && self.batch.is_none()
    }

    /// The batch to send now, if one is due.
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

    /// Makes a batch of what waits, when it has gathered for long enough.
    fn fill_batch(&mut self, now_ms: u64) -> Result<(), postcard::Error> {
        if let Some(epoch) = self.newer_epoch.take() {
            self.epoch = epoch;
            self.next_number = 0;
            let end = self.end;
            return self.set_batch(now_ms, vec![Change::Verify], end);
        }
        if self.pending_changes.is_empty() || now_ms < self.batch_due_ms.max(self.next_append_ms) {
            return Ok(());
        }
        let rest = self
            .pending_changes
            .split_off(self.pending_changes.len().min(MAX_BATCH_CHANGES));
        let changes = std::mem::replace(&mut self.pending_changes, rest);
        self.set_batch(now_ms, changes, None)
    }

    fn set_batch(
        &mut self,
        now_ms: u64,
        changes: Vec<Change>,
        expected_end: Option<u64>,
    ) -> Result<(), postcard::Error> {
        let records = self.records(&changes)?;
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
        Ok(())
    }

    pub(crate) fn next_due_ms(&self) -> Option<u64> {
        match &self.batch {
            Some(batch) => batch.send_at_ms,
            None if self.newer_epoch.is_some() => Some(0),
            None if self.pending_changes.is_empty() => None,
            None => Some(self.batch_due_ms.max(self.next_append_ms)),
        }
    }

    /// The append is tried again; a claim with the number that is expected.
    pub(crate) fn retry(&mut self, now_ms: u64, is_outcome_unknown: bool) {
        if let Some(batch) = &mut self.batch {
            batch.send_at_ms = Some(now_ms + RETRY_PAUSE_MS);
            batch.is_outcome_unknown |= is_outcome_unknown;
            batch.is_retried = true;
        }
    }

    /// Sends the batch again with the number that the log expects.
    pub(crate) fn renumber(&mut self, now_ms: u64, expected: u64) {
        if let Some(batch) = &mut self.batch {
            batch.number = expected;
            batch.send_at_ms = Some(now_ms);
            self.next_number = expected + 1;
        }
    }
}
