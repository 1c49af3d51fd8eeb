//! What an owned partition writes to the log, and how it reads it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use gannetvane_wire::Name;

use crate::LogRecord;
use crate::RecordError;
use crate::ledger::partition::Change;
use crate::ledger::partition::OwnedJob;
use crate::ledger::partition::OwnedPartition;
use crate::stored::JobRecord;
use crate::stored::RELEASED_KEY;
use crate::stored::RecordContent;
use crate::stored::crashes_key;
use crate::stored::progress_key;

impl OwnedPartition {
    /// Records for the changes: one for each job and key, as it stands now.
    pub(crate) fn records(
        &mut self,
        changes: &[Change],
    ) -> Result<Vec<LogRecord>, postcard::Error> {
        let closing = changes.iter().filter_map(|change| match change {
            Change::JobEnd(id, ..) => Some(id),
            _ => None,
        });
        let closing: BTreeSet<&Name> = closing.collect();
        let mut records: BTreeMap<Name, LogRecord> = BTreeMap::new();
        let mut add = |record: LogRecord| records.insert(record.key.clone(), record);
        for change in changes {
            match change {
                Change::Claim | Change::Verify => {
                    add(LogRecord::owner(self.epoch));
                }
                Change::Reopen => {
                    add(LogRecord::drop_key(RELEASED_KEY.into()));
                    add(LogRecord::started(self.epoch));
                }
                Change::Release => {
                    add(LogRecord::released());
                }
                Change::Accept(id, _) => {
                    let job = self.jobs.get(id).and_then(|entry| entry.job.clone());
                    if let Some(job) = job {
                        add(LogRecord::job(id, &JobRecord::Open(job))?);
                    }
                }
                Change::TaskEnd(id, ..) | Change::RunLost(id, _) if closing.contains(id) => {}
                Change::TaskEnd(id, ..) | Change::RunLost(id, _) => {
                    let entry = self.jobs.get_mut(id);
                    if let Some(entry) = entry.filter(|entry| entry.end.is_none()) {
                        entry.has_progress_record = true;
                        add(LogRecord::progress(id, &entry.progress)?);
                    }
                }
                Change::Crashed(id, _) if closing.contains(id) => {}
                Change::Crashed(id, _) => {
                    let entry = self.jobs.get(id);
                    if let Some(entry) = entry.filter(|entry| entry.end.is_none()) {
                        add(LogRecord::crashes(id, &entry.crashes)?);
                    }
                }
                Change::JobEnd(id, end, _) => {
                    let entry = self.jobs.get(id);
                    let done = entry.map(|entry| entry.progress.done.clone());
                    let ended = JobRecord::Ended {
                        end: *end,
                        done: done.unwrap_or_default(),
                    };
                    add(LogRecord::job(id, &ended)?);
                    if entry.is_some_and(|entry| entry.has_progress_record) {
                        add(LogRecord::drop_key(progress_key(id)));
                    }
                    if entry.is_some_and(|entry| !entry.crashes.is_empty()) {
                        add(LogRecord::drop_key(crashes_key(id)));
                    }
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

    /// Takes over what the log holds; records that cannot be read are returned.
    pub(crate) fn load(&mut self, now_ms: u64, records: &[LogRecord]) -> Vec<RecordError> {
        if records.iter().all(LogRecord::is_claim) {
            // Nobody has owned it before.
            self.former_runs_gone_at_ms = now_ms;
        }
        let mut errors = Vec::new();
        let mut progress = BTreeMap::new();
        let mut crashes = BTreeMap::new();
        for record in records.iter().filter(|record| !record.value.is_empty()) {
            match record.content() {
                Ok(RecordContent::Job(id, JobRecord::Open(job))) => {
                    let mut entry = OwnedJob::new(job);
                    entry.is_accepted = true;
                    self.jobs.insert(id, entry);
                }
                Ok(RecordContent::Job(id, JobRecord::Ended { end, done })) => {
                    self.jobs.insert(id, OwnedJob::ended(end, done, now_ms));
                }
                Ok(RecordContent::Progress(id, of_job)) => {
                    progress.insert(id, of_job);
                }
                Ok(RecordContent::Crashes(id, of_job)) => {
                    crashes.insert(id, of_job);
                }
                Ok(RecordContent::Owner) => {}
                Ok(RecordContent::Released) => self.reopen(now_ms),
                Ok(RecordContent::Started(epoch)) => self.started_epoch = epoch,
                Err(error) => errors.push(error),
            }
        }
        for (id, of_job) in progress {
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.progress = of_job;
                entry.has_progress_record = true;
            }
        }
        for (id, of_job) in crashes {
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.crashes = of_job;
            }
        }
        errors
    }
}
