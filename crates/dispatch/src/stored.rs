//! Stored jobs: the calls about them, and their records in the job log.
//!
//! The job log is divided into partitions by job id. Each partition has one owner among the
//! entries, which alone appends to it and runs its jobs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use gannetvane_wire::Name;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::Crash;
use crate::CrashEvidence;
use crate::Job;
use crate::LinkId;
use crate::Queue;
use crate::Refusal;
use crate::RetainedEnd;
use crate::Step;
use crate::TaskId;

/// Run numbers per epoch of an owner. The numbers of a stored task's runs rise from the
/// product of this constant and the owner's epoch. The run numbers of other jobs stay below
/// this constant, so that a restarted agent can distinguish the ends on its minion that may
/// still have to be recorded. A million epochs fit: 29 years with a hundred changes of the
/// members a day.
pub(crate) const RUNS_PER_EPOCH: u32 = 4_096;

/// Key of the record that states that the last owner left no run behind. Job ids are longer
/// than this key and the two below, so they never collide.
pub(crate) const RELEASED_KEY: &str = "released";
/// Key of the record with the last epoch whose owner started jobs accepted in earlier epochs.
const STARTED_KEY: &str = "started";
/// Key of the record with which an owner claims a partition.
const OWNER_KEY: &str = "owner";
/// Suffix of a job's id in the key of its progress record.
const PROGRESS_SUFFIX: &str = ".progress";
/// Suffix of a job's id in the key of its crashes record.
const CRASHES_SUFFIX: &str = ".crashes";

/// Number of a partition of the job log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Partition(pub u32);

impl Partition {
    /// Returns the partition of the job with this id, out of `partitions`.
    #[must_use]
    pub fn of(job: &str, partitions: u32) -> Self {
        let hash = xxh3_64(job.as_bytes()) % u64::from(partitions.max(1));
        Self(u32::try_from(hash).unwrap_or(0))
    }
}

/// A job that stays in the job log until it has ended, whichever entry runs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredJob {
    /// Id of the job, chosen by the caller.
    pub id: Name,
    /// Text that is passed to every task.
    pub spec: Name,
    /// Steps, referred to by their index.
    pub steps: Vec<Step>,
    /// Queue to which the caller submitted the job, as configured at that time.
    pub queue: Arc<Queue>,
}

impl StoredJob {
    /// Returns the objective of the job: the time from its submission within which it should
    /// end, in milliseconds, from the run times that its caller declared.
    #[must_use]
    pub fn objective_ms(&self) -> u64 {
        let mut ends_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependencies = step.after.iter();
            let dependencies =
                dependencies.filter_map(|dependency| ends_ms.get(*dependency as usize));
            let start_ms = dependencies.max().copied().unwrap_or(0);
            ends_ms.push(start_ms.saturating_add(step.declared_ms));
        }
        let critical_path_ms = ends_ms.iter().max().copied().unwrap_or(0);
        let stretched_ms = (critical_path_ms as f64 * self.queue.stretch) as u64;
        stretched_ms.saturating_add(self.queue.target_latency_ms)
    }
}

impl From<Job> for StoredJob {
    fn from(job: Job) -> Self {
        Self {
            id: job.id,
            spec: job.spec,
            steps: job.steps,
            queue: job.queue,
        }
    }
}

/// Number of tasks in each step of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StepCounts(Vec<u32>);

impl StepCounts {
    pub(crate) fn of(steps: &[Step]) -> Self {
        Self(steps.iter().map(|step| step.count).collect())
    }

    /// Returns the position of a task, counted over all steps from 0; `None` if the job has no
    /// such task.
    pub(crate) fn position(&self, task: &TaskId) -> Option<u32> {
        let step = usize::try_from(task.step).ok()?;
        let before: u32 = self.0.iter().take(step).sum();
        let exists = task.index < *self.0.get(step)?;
        exists.then_some(before + task.index)
    }
}

/// Number of a caller at the owner that waits for an answer about a stored job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoredCaller(pub u64);

/// Call to the owner of a partition, about a stored job or a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoredCall {
    /// Accept a job. If the job is known already, it stays as it is.
    Submit(StoredJob),
    /// Return the state of the job with this id, after a short wait for its end.
    State(Name),
    /// Cancel the job with this id.
    Cancel(Name),
    /// Count the jobs of the queue with this name of which no task has started.
    Pending(Name),
}

/// Answer to a [`StoredCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredAnswer {
    /// The job is in the log.
    Accepted,
    /// The job was refused, and never runs.
    Refused(Refusal),
    /// State of the job.
    State(StoredState),
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// The owner of the partition has no such job.
    Unknown,
    /// Number of jobs of which no task has started.
    Pending {
        /// Number of jobs.
        jobs: u32,
        /// Number of partitions whose jobs were counted.
        partitions: u32,
    },
    /// The entry doesn't serve the partition at present, and did nothing.
    NotOwner,
    /// It is unknown whether the call was carried out.
    OutcomeUnknown,
}

/// State of a stored job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredState {
    /// No task of the job has started.
    Queued,
    /// A task of the job has started.
    Running,
    /// The job has ended.
    Ended(StoredEnd),
}

/// How a stored job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredEnd {
    /// All tasks are done.
    Completed,
    /// A task failed in as many runs as its queue allows, or minions crashed too often while
    /// it ran.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// Event of a stored job that the dispatcher passes to the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StoredEvent {
    /// A run ended. Its minion retains the end until the owner has recorded it.
    TaskEnded {
        /// Id of the job.
        job: Name,
        /// Position of the task in the job.
        position: u32,
        /// Link to the agent.
        link: LinkId,
        /// Number under which the minion retains the end.
        number: u64,
        /// Number of the run.
        run: u32,
        /// Whether the run did its work; otherwise it failed.
        is_done: bool,
    },
    /// The entry lost contact to a run for so long that the run must have ended. The minion
    /// may nevertheless retain an end of it.
    RunLost {
        /// Id of the job.
        job: Name,
        /// Position of the task in the job.
        position: u32,
        /// Number of the run.
        run: u32,
    },
    /// A minion crashed under a task. The task is started again once the crash is recorded.
    Crashed {
        /// Position of the task in its job.
        position: u32,
        /// Crash and its task.
        crash: Crash,
    },
    /// The agent at this link offers a retained end, on which the owner of the job has to
    /// decide.
    EndRetained(LinkId, RetainedEnd),
    /// A job ended: all its tasks are done, or one failed for good.
    JobEnded(Name, StoredEnd),
}

/// A record of the job log. The log keeps the newest record of each key; an empty value
/// drops the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Key of the record.
    pub key: Name,
    /// Encoded value; empty to drop the key.
    pub value: Vec<u8>,
}

/// Value of the record whose key is a job's id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum JobRecord {
    /// The job is accepted and has not ended.
    Open(StoredJob),
    /// The job has ended. The encoded [`StepCounts`] of the job follow, which older versions
    /// neither write nor read.
    Ended {
        /// How the job ended.
        end: StoredEnd,
        /// Numbers of the runs that did the tasks, by the task's position.
        done: BTreeMap<u32, u32>,
    },
}

/// Content of the record of an ended job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EndedJob {
    /// How the job ended.
    pub(crate) end: StoredEnd,
    /// Numbers of the runs that did the tasks, by the task's position.
    pub(crate) done: BTreeMap<u32, u32>,
    /// Number of tasks in each step; `None` in records of older versions.
    pub(crate) step_counts: Option<StepCounts>,
}

/// Value of the record with a job's progress: what became of the runs of its tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Progress {
    /// Numbers of the runs that did their tasks, by the task's position.
    pub(crate) done: BTreeMap<u32, u32>,
    /// Numbers of the failed runs, by the task's position.
    pub(crate) failures: BTreeMap<u32, BTreeSet<u32>>,
    /// Number of the last lost run, by the task's position. The ends of this run and of
    /// earlier ones must not count, because the task is started again.
    pub(crate) last_lost_runs: BTreeMap<u32, u32>,
}

impl Progress {
    /// Adds the end of a run.
    pub(crate) fn record_end(&mut self, position: u32, run: u32, is_done: bool) {
        if is_done {
            self.done.insert(position, run);
        } else {
            self.failures.entry(position).or_default().insert(run);
        }
    }

    /// Returns whether some run has ended at its minion.
    pub(crate) fn has_ends(&self) -> bool {
        !self.done.is_empty() || !self.failures.is_empty()
    }

    /// Returns whether this run did its work, if the progress contains its end.
    pub(crate) fn end_of(&self, position: u32, run: u32) -> Option<bool> {
        if self.done.get(&position) == Some(&run) {
            return Some(true);
        }
        let failures = self.failures.get(&position)?;
        failures.contains(&run).then_some(false)
    }

    /// Returns whether the end of this run must not count, because this run or a later one of
    /// the task was lost.
    pub(crate) fn is_superseded(&self, position: u32, run: u32) -> bool {
        self.last_lost_runs
            .get(&position)
            .is_some_and(|last_lost| run <= *last_lost)
    }

    /// Returns the number of failed runs of a task.
    pub(crate) fn failures(&self, position: u32) -> u32 {
        let failures = self.failures.get(&position).map_or(0, BTreeSet::len);
        u32::try_from(failures).unwrap_or(u32::MAX)
    }
}

/// Crashes of minions under the tasks of a job: the evidence, by the task's position and the
/// number of the crash.
pub(crate) type JobCrashes = BTreeMap<u32, BTreeMap<u64, CrashEvidence>>;

/// Error: a record of the job log could not be decoded.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("record {key} of the job log cannot be decoded: {cause}")]
pub struct RecordError {
    /// Key of the record.
    pub key: Name,
    /// What was wrong with the value.
    pub cause: String,
}

/// Decoded content of a record, with the job's id if the record belongs to a job.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RecordContent {
    Open(Name, StoredJob),
    Ended(Name, EndedJob),
    Progress(Name, Progress),
    Crashes(Name, JobCrashes),
    /// The claim of an owner.
    Owner,
    /// The last owner left no run behind.
    Released,
    /// The last epoch whose owner started jobs accepted in earlier epochs.
    Started(u32),
}

impl LogRecord {
    pub(crate) fn open(job: StoredJob) -> Result<Self, postcard::Error> {
        let key = job.id.clone();
        let value = postcard::to_stdvec(&JobRecord::Open(job))?;
        Ok(Self { key, value })
    }

    pub(crate) fn ended(id: &Name, job: EndedJob) -> Result<Self, postcard::Error> {
        let EndedJob {
            end,
            done,
            step_counts,
        } = job;
        let mut value = postcard::to_stdvec(&JobRecord::Ended { end, done })?;
        if let Some(step_counts) = &step_counts {
            value.extend(postcard::to_stdvec(step_counts)?);
        }
        Ok(Self {
            key: id.clone(),
            value,
        })
    }

    pub(crate) fn progress(id: &Name, progress: &Progress) -> Result<Self, postcard::Error> {
        let value = postcard::to_stdvec(progress)?;
        Ok(Self {
            key: progress_key(id),
            value,
        })
    }

    pub(crate) fn crashes(id: &Name, crashes: &JobCrashes) -> Result<Self, postcard::Error> {
        let value = postcard::to_stdvec(crashes)?;
        Ok(Self {
            key: crashes_key(id),
            value,
        })
    }

    /// Returns the record with which an owner claims its partition. Its append has a number
    /// too, so that no delayed append with the same epoch can follow it.
    pub(crate) fn owner(epoch: u32) -> Self {
        Self {
            key: OWNER_KEY.into(),
            value: epoch.to_be_bytes().to_vec(),
        }
    }

    /// Returns whether the record is the claim of an owner.
    pub(crate) fn is_claim(&self) -> bool {
        &*self.key == OWNER_KEY
    }

    /// Returns the record with which an owner states that it is about to start jobs that earlier
    /// owners accepted.
    pub(crate) fn started(epoch: u32) -> Self {
        Self {
            key: STARTED_KEY.into(),
            value: epoch.to_be_bytes().to_vec(),
        }
    }

    /// Returns the record with which an owner states that it left no run behind.
    pub(crate) fn released() -> Self {
        Self {
            key: RELEASED_KEY.into(),
            value: vec![1],
        }
    }

    /// Returns a record that drops a key.
    pub(crate) fn drop_key(key: Name) -> Self {
        Self {
            key,
            value: Vec::new(),
        }
    }

    fn malformed(&self, cause: &str) -> RecordError {
        RecordError {
            key: self.key.clone(),
            cause: cause.to_owned(),
        }
    }

    /// Decodes the record.
    pub(crate) fn content(&self) -> Result<RecordContent, RecordError> {
        let failed = |error: postcard::Error| self.malformed(&error.to_string());
        match &*self.key {
            OWNER_KEY => return Ok(RecordContent::Owner),
            RELEASED_KEY => return Ok(RecordContent::Released),
            STARTED_KEY => {
                let bytes = self.value.as_slice().try_into();
                let bytes =
                    bytes.map_err(|_| self.malformed("the epoch is not four bytes long"))?;
                return Ok(RecordContent::Started(u32::from_be_bytes(bytes)));
            }
            _ => {}
        }
        if let Some(id) = self.key.strip_suffix(PROGRESS_SUFFIX) {
            let progress = postcard::from_bytes(&self.value).map_err(failed)?;
            return Ok(RecordContent::Progress(id.into(), progress));
        }
        if let Some(id) = self.key.strip_suffix(CRASHES_SUFFIX) {
            let crashes = postcard::from_bytes(&self.value).map_err(failed)?;
            return Ok(RecordContent::Crashes(id.into(), crashes));
        }
        self.job_content().map_err(failed)
    }

    /// Decodes the record whose key is a job's id.
    fn job_content(&self) -> Result<RecordContent, postcard::Error> {
        let id = self.key.clone();
        let (record, rest) = postcard::take_from_bytes(&self.value)?;
        Ok(match record {
            JobRecord::Open(job) => RecordContent::Open(id, job),
            JobRecord::Ended { end, done } => {
                let step_counts = (!rest.is_empty()).then(|| postcard::from_bytes(rest));
                let ended = EndedJob {
                    end,
                    done,
                    step_counts: step_counts.transpose()?,
                };
                RecordContent::Ended(id, ended)
            }
        })
    }
}

/// Returns the key of the record with a job's progress.
pub(crate) fn progress_key(id: &Name) -> Name {
    format!("{id}{PROGRESS_SUFFIX}").into()
}

/// Returns the key of the record with the crashes under a job's tasks.
pub(crate) fn crashes_key(id: &Name) -> Name {
    format!("{id}{CRASHES_SUFFIX}").into()
}
