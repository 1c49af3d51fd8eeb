//! Stored jobs: what callers ask of them, and how they lie in the job log.
//!
//! The job log is divided into partitions by job id. Each partition has one
//! owner among the entries, which alone appends to it and runs its jobs.

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

/// First run number of a stored task: its owner's epoch times this. Runs of
/// other jobs stay below, so that an agent that starts anew can tell which ends
/// on its minion may still have to be recorded. A million epochs fit, 29 years
/// of a hundred changes of the group a day.
pub(crate) const RUNS_PER_EPOCH: u32 = 4_096;

/// Key of the record that tells that the last owner left nothing behind; job
/// ids are longer.
pub(crate) const RELEASED_KEY: &str = "released";
/// Key of the record with the last epoch that started what it had not accepted
/// itself.
const STARTED_KEY: &str = "started";
/// Key of the record with which an owner claims a partition.
const OWNER_KEY: &str = "owner";
/// What follows a job's id in the key of its progress.
const PROGRESS_SUFFIX: &str = ".progress";
/// What follows a job's id in the key of its crashes.
const CRASHES_SUFFIX: &str = ".crashes";

/// One part of the job log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Partition(pub u32);

impl Partition {
    /// The partition of a job, of this many.
    #[must_use]
    pub fn of(job: &str, partitions: u32) -> Self {
        let hash = xxh3_64(job.as_bytes()) % u64::from(partitions.max(1));
        Self(u32::try_from(hash).unwrap_or(0))
    }
}

/// A job that is kept until it has ended, whoever serves it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredJob {
    /// Id chosen by the caller.
    pub id: Name,
    /// Text that every task receives.
    pub spec: Name,
    /// Its steps.
    pub steps: Vec<Step>,
    /// The queue it came in by, as it was then.
    pub queue: Arc<Queue>,
}

impl StoredJob {
    /// Time from its submission within which it should have ended, in
    /// milliseconds, by the run times that its caller declared.
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

    /// The position of a task, counted over all steps.
    pub(crate) fn position(&self, task: &TaskId) -> Option<u32> {
        let step = usize::try_from(task.step).ok()?;
        let counts = self.steps.iter().map(|step| step.count);
        let before: u32 = counts.take(step).sum();
        let exists = task.index < self.steps.get(step)?.count;
        exists.then_some(before + task.index)
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

/// A caller that waits for an answer about a stored job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoredCaller(pub u64);

/// What is asked of the owner of a partition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoredCall {
    /// Accept a job; a job that is known already is accepted as it is.
    Submit(StoredJob),
    /// Tell how far a job is.
    State(Name),
    /// Cancel a job.
    Cancel(Name),
    /// Count the jobs of a queue of which nothing has started.
    Pending(Name),
}

/// What the owner answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredAnswer {
    /// The job lies in the log.
    Accepted,
    /// The job was refused, and never runs.
    Refused(Refusal),
    /// How far the job is.
    State(StoredState),
    /// The job is cancelled, or had ended.
    Cancelled,
    /// There is no such job.
    Unknown,
    /// Jobs of which nothing has started.
    Pending {
        /// How many.
        jobs: u32,
        /// In how many partitions they were counted.
        partitions: u32,
    },
    /// This entry does not serve the partition now; nothing was done.
    NotOwner,
    /// It cannot be told whether the call was carried out.
    OutcomeUnknown,
}

/// How far a stored job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredState {
    /// Nothing of it has started.
    Queued,
    /// Some of it has started.
    Running,
    /// It has ended.
    Ended(StoredEnd),
}

/// How a stored job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredEnd {
    /// All tasks are done.
    Completed,
    /// A task failed in all its attempts.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// What the dispatcher tells of the stored jobs that it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StoredEvent {
    /// A run ended; its agent keeps the end until it is recorded.
    TaskEnded {
        /// The job.
        job: Name,
        /// The task's position in the job.
        position: u32,
        /// The link to the agent.
        link: LinkId,
        /// Number under which the minion keeps the end.
        number: u64,
        /// Number of the run.
        run: u32,
        /// Whether its work is done; otherwise it failed.
        is_done: bool,
    },
    /// A run was out of reach until it was surely gone. Its end may be kept by
    /// its minion all the same.
    RunLost {
        /// The job.
        job: Name,
        /// The task's position in the job.
        position: u32,
        /// Number of the run.
        run: u32,
    },
    /// A minion crashed under a task, which is started anew once that is recorded.
    Crashed {
        /// The task's position in its job.
        position: u32,
        /// The crash.
        crash: Crash,
    },
    /// An agent offers an end that waits for an owner.
    EndRetained(LinkId, RetainedEnd),
    /// All tasks are done, or one cannot be.
    JobEnded(Name, StoredEnd),
}

/// A record of the job log: a key, and nothing to drop the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// The key.
    pub key: Name,
    /// The value; empty to drop the key.
    pub value: Vec<u8>,
}

/// Value of the record under a job's id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum JobRecord {
    /// Accepted, and not ended.
    Open(StoredJob),
    /// Ended.
    Ended {
        /// How.
        end: StoredEnd,
        /// The runs that did its tasks, by position.
        done: BTreeMap<u32, u32>,
    },
}

/// Value of the record with a job's progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Progress {
    /// Positions of the tasks that are done, with the run that did it.
    pub(crate) done: BTreeMap<u32, u32>,
    /// Failed runs by position.
    pub(crate) failures: BTreeMap<u32, BTreeSet<u32>>,
    /// Last runs by position whose ends must not count: the task was started
    /// anew.
    pub(crate) last_lost_runs: BTreeMap<u32, u32>,
}

impl Progress {
    /// Notes how a run ended.
    pub(crate) fn record_end(&mut self, position: u32, run: u32, is_done: bool) {
        if is_done {
            self.done.insert(position, run);
        } else {
            self.failures.entry(position).or_default().insert(run);
        }
    }

    /// Whether the end of this run is noted.
    pub(crate) fn has_end(&self, position: u32, run: u32) -> bool {
        let failures = self.failures.get(&position);
        self.done.get(&position) == Some(&run) || failures.is_some_and(|runs| runs.contains(&run))
    }

    /// Whether the end of this run must not count.
    pub(crate) fn is_superseded(&self, position: u32, run: u32) -> bool {
        self.last_lost_runs
            .get(&position)
            .is_some_and(|last_lost| run <= *last_lost)
    }

    /// Runs of a task that failed.
    pub(crate) fn failures(&self, position: u32) -> u32 {
        let failures = self.failures.get(&position).map_or(0, BTreeSet::len);
        u32::try_from(failures).unwrap_or(u32::MAX)
    }
}

/// Crashes of minions under the tasks of a job, by position and number.
pub(crate) type JobCrashes = BTreeMap<u32, BTreeMap<u64, CrashEvidence>>;

/// A record that cannot be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("record {key}: {cause}")]
pub struct RecordError {
    /// Its key.
    pub key: Name,
    /// Why not.
    pub cause: String,
}

/// What a record says.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RecordContent {
    Job(Name, JobRecord),
    Progress(Name, Progress),
    Crashes(Name, JobCrashes),
    Owner,
    Released,
    Started(u32),
}

impl LogRecord {
    pub(crate) fn job(id: &Name, record: &JobRecord) -> Result<Self, postcard::Error> {
        let value = postcard::to_stdvec(record)?;
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

    /// The claim of an owner. The append counts, so that none of an earlier time
    /// with the same epoch can follow it.
    pub(crate) fn owner(epoch: u32) -> Self {
        Self {
            key: OWNER_KEY.into(),
            value: epoch.to_be_bytes().to_vec(),
        }
    }

    /// Whether it is the claim of an owner.
    pub(crate) fn is_claim(&self) -> bool {
        &*self.key == OWNER_KEY
    }

    /// The word that an owner is about to start jobs of earlier owners.
    pub(crate) fn started(epoch: u32) -> Self {
        Self {
            key: STARTED_KEY.into(),
            value: epoch.to_be_bytes().to_vec(),
        }
    }

    /// The word that an owner left nothing behind.
    pub(crate) fn released() -> Self {
        Self {
            key: RELEASED_KEY.into(),
            value: vec![1],
        }
    }

    /// A record that drops a key.
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

    /// Reads the record.
    pub(crate) fn content(&self) -> Result<RecordContent, RecordError> {
        let failed = |error: postcard::Error| self.malformed(&error.to_string());
        match &*self.key {
            OWNER_KEY => return Ok(RecordContent::Owner),
            RELEASED_KEY => return Ok(RecordContent::Released),
            STARTED_KEY => {
                let bytes = self.value.as_slice().try_into();
                let bytes = bytes.map_err(|_| self.malformed("not four bytes"))?;
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
        let record = postcard::from_bytes(&self.value).map_err(failed)?;
        Ok(RecordContent::Job(self.key.clone(), record))
    }
}

/// Key of the record with a job's progress.
pub(crate) fn progress_key(id: &Name) -> Name {
    format!("{id}{PROGRESS_SUFFIX}").into()
}

/// Key of the record with the crashes under a job's tasks.
pub(crate) fn crashes_key(id: &Name) -> Name {
    format!("{id}{CRASHES_SUFFIX}").into()
}
