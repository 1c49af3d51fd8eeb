//! Encoding of a partition's changes into records of the log, and the reverse.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use gannetvane_wire::Name;

use crate::LogRecord;
use crate::RecordError;
use crate::StoredEnd;
use crate::ledger::partition::Change;
use crate::ledger::partition::OwnedJob;
use crate::ledger::partition::OwnedPartition;
use crate::stored::EndedJob;
use crate::stored::RELEASED_KEY;
use crate::stored::RecordContent;
use crate::stored::crashes_key;
use crate::stored::progress_key;

impl OwnedPartition {
    /// Returns the records for the changes: one for each key, with the present state of the job.
    pub(crate) fn records(
        &mut self,
        changes: &[Change],
    ) -> Result<Vec<LogRecord>, postcard::Error> {
        let ended_jobs = changes.iter().filter_map(|change| match change {
            Change::JobEnd(id, ..) => Some(id),
            _ => None,
        });
        let ended_jobs: BTreeSet<&Name> = ended_jobs.collect();
        let mut records: BTreeMap<Name, LogRecord> = BTreeMap::new();
        let mut add = |record: LogRecord| records.insert(record.key.clone(), record);
        for change in changes {
            match change {
                Change::Claim | Change::Verify => {
                    add(LogRecord::owner(self.epoch));
                }
                Change::Takeover => {
                    add(LogRecord::drop_key(RELEASED_KEY.into()));
                    add(LogRecord::started(self.epoch));
                }
                Change::Release => {
                    add(LogRecord::released());
                }
                Change::Accept(id, _) => {
                    let job = self
                        .jobs
                        .get(id)
                        .and_then(|owned_job| owned_job.job.clone());
                    if let Some(job) = job {
                        add(LogRecord::open(job)?);
                    }
                }
                Change::TaskEnd(id, ..) | Change::RunLost(id, _) if ended_jobs.contains(id) => {}
                Change::TaskEnd(id, ..) | Change::RunLost(id, _) => {
                    let owned_job = self.jobs.get_mut(id);
                    if let Some(owned_job) = owned_job.filter(|owned_job| owned_job.end.is_none()) {
                        owned_job.has_progress_record = true;
                        add(LogRecord::progress(id, &owned_job.progress)?);
                    }
                }
                Change::Crashed(id, _) if ended_jobs.contains(id) => {}
                Change::Crashed(id, _) => {
                    let owned_job = self.jobs.get(id);
                    if let Some(owned_job) = owned_job.filter(|owned_job| owned_job.end.is_none()) {
                        add(LogRecord::crashes(id, &owned_job.crashes)?);
                    }
                }
                Change::JobEnd(id, end, _) => {
                    let owned_job = self.jobs.get(id);
                    let done = owned_job.map(|owned_job| owned_job.progress.done.clone());
                    let ended = EndedJob {
                        end: *end,
                        done: done.unwrap_or_default(),
                        step_counts: owned_job.and_then(|owned_job| owned_job.step_counts.clone()),
                    };
                    add(LogRecord::ended(id, ended)?);
                    if owned_job.is_some_and(|owned_job| owned_job.has_progress_record) {
                        add(LogRecord::drop_key(progress_key(id)));
                    }
                    if owned_job.is_some_and(|owned_job| !owned_job.crashes.is_empty()) {
                        add(LogRecord::drop_key(crashes_key(id)));
                    }
                }
                Change::EarlyCancel(id, _) => {
                    let ended = EndedJob {
                        end: StoredEnd::Cancelled,
                        done: BTreeMap::new(),
                        step_counts: None,
                    };
                    add(LogRecord::ended(id, ended)?);
                }
                Change::Forget(id) => {
                    add(LogRecord::drop_key(id.clone()));
                    add(LogRecord::drop_key(progress_key(id)));
                    add(LogRecord::drop_key(crashes_key(id)));
                }
            }
        }
        Ok(records.into_values().collect())
    }

    /// Loads the jobs from the records of the log. Returns the errors of the records that
    /// could not be decoded.
    pub(crate) fn load(&mut self, now_ms: u64, records: &[LogRecord]) -> Vec<RecordError> {
        if records.iter().all(LogRecord::is_claim) {
            // The partition has only claims, so no earlier owner can have left runs.
            self.former_runs_gone_at_ms = now_ms;
        }
        let mut errors = Vec::new();
        let mut progress = BTreeMap::new();
        let mut crashes = BTreeMap::new();
        for record in records.iter().filter(|record| !record.value.is_empty()) {
            match record.content() {
                Ok(RecordContent::Open(id, job)) => {
                    let mut owned_job = OwnedJob::new(job);
                    owned_job.is_accepted = true;
                    self.jobs.insert(id, owned_job);
                }
                Ok(RecordContent::Ended(id, ended)) => {
                    self.jobs.insert(id, OwnedJob::ended(ended, now_ms));
                }
                Ok(RecordContent::Progress(id, of_job)) => {
                    progress.insert(id, of_job);
                }
                Ok(RecordContent::Crashes(id, of_job)) => {
                    crashes.insert(id, of_job);
                }
                Ok(RecordContent::Owner) => {}
                Ok(RecordContent::Released) => self.record_takeover(now_ms),
                Ok(RecordContent::Started(epoch)) => self.started_epoch = epoch,
                Err(error) => errors.push(error),
            }
        }
        for (id, of_job) in progress {
            if let Some(owned_job) = self.jobs.get_mut(&id) {
                owned_job.progress = of_job;
                owned_job.has_progress_record = true;
            }
        }
        for (id, of_job) in crashes {
            if let Some(owned_job) = self.jobs.get_mut(&id) {
                owned_job.crashes = of_job;
            }
        }
        errors
    }
}
