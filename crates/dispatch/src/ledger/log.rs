//! The exchange of a ledger with the job log: appends, what follows once their records are
//! in the log, and the read of a partition after its claim.

use crate::AppendResult;
use crate::Dispatcher;
use crate::Disposition;
use crate::Ledger;
use crate::LedgerAction;
use crate::LogRecord;
use crate::Partition;
use crate::Refusal;
use crate::StoredAnswer;
use crate::StoredEnd;
use crate::ledger::jobs::start_if_unfinished;
use crate::ledger::partition::Change;
use crate::ledger::partition::Stage;

impl Ledger {
    /// Handles the result of the append with this epoch and number. Results of earlier appends
    /// are ignored.
    pub fn appended(
        &mut self,
        now_ms: u64,
        partition: Partition,
        epoch: u32,
        number: u64,
        result: AppendResult,
        dispatcher: &mut Dispatcher,
    ) {
        let Some(owned) = self.partitions.get_mut(&partition) else {
            return;
        };
        let is_current_epoch = owned.epoch == epoch;
        let is_awaited = owned
            .batch
            .as_ref()
            .is_some_and(|batch| batch.number == number);
        if !is_current_epoch || !is_awaited {
            return;
        }
        match result {
            AppendResult::Appended(end) => {
                owned.end = Some(end);
                if let Some(batch) = owned.batch.take() {
                    self.apply_appended(now_ms, partition, batch.changes, dispatcher);
                }
            }
            AppendResult::Fenced => self.give_up(partition, "fenced", dispatcher),
            AppendResult::UnexpectedEnd => self.give_up(partition, "overtaken", dispatcher),
            AppendResult::UnexpectedNumber(expected) => {
                let is_outcome_unknown = owned
                    .batch
                    .as_ref()
                    .is_some_and(|batch| batch.is_outcome_unknown);
                if is_outcome_unknown || expected == number {
                    self.give_up(partition, "number", dispatcher);
                } else {
                    owned.renumber(now_ms, expected);
                }
            }
            AppendResult::Refused => self.append_failed(now_ms, partition, false),
            AppendResult::NoAnswer => self.append_failed(now_ms, partition, true),
        }
    }

    /// Schedules an append again that the store did not confirm, and refuses the new jobs that
    /// were not part of it.
    fn append_failed(&mut self, now_ms: u64, partition: Partition, is_outcome_unknown: bool) {
        let Some(owned) = self.partitions.get_mut(&partition) else {
            return;
        };
        owned.retry(now_ms, is_outcome_unknown);
        for (id, callers) in owned.withdraw_accepts() {
            self.refuse(&id, &callers, Refusal::NotStorable);
        }
    }

    /// Applies the changes whose records are now in the log, and answers the callers and
    /// agents that wait for them.
    fn apply_appended(
        &mut self,
        now_ms: u64,
        partition: Partition,
        changes: Vec<Change>,
        dispatcher: &mut Dispatcher,
    ) {
        let is_released = changes.contains(&Change::Release);
        for change in changes {
            let Some(owned) = self.partitions.get_mut(&partition) else {
                return;
            };
            match change {
                Change::Claim => {
                    owned.stage = Stage::Loading;
                    self.load(partition);
                }
                Change::Verify => {
                    if owned.stage == Stage::Verifying {
                        owned.stage = Stage::Serving;
                    }
                }
                Change::Takeover => owned.takeover_recorded(),
                // The other changes of the batch are in the log as well, so the partition is
                // given up only after them.
                Change::Release => {}
                Change::Accept(id, callers) => {
                    if let Some(owned_job) = owned.jobs.get_mut(&id) {
                        owned_job.is_accepted = true;
                    }
                    start_if_unfinished(now_ms, owned, &id, dispatcher);
                    self.event("accepted", Some(id), format!("partition={}", partition.0));
                    self.answer_all(&callers, StoredAnswer::Accepted);
                }
                Change::TaskEnd(_, link, number) => {
                    dispatcher.send_disposition(link, number, Disposition::Recorded);
                }
                Change::RunLost(id, position) => dispatcher.run_loss_recorded(&id, position),
                Change::Crashed(id, position) => dispatcher.crash_recorded(&id, position),
                Change::JobEnd(id, end, callers) => {
                    if let Some(owned_job) = owned.jobs.get_mut(&id) {
                        owned_job.end = Some((end, now_ms));
                        owned_job.job = None;
                    }
                    self.event("recorded", Some(id), format!("end={end:?}"));
                    self.answer_all(&callers, StoredAnswer::Cancelled);
                }
                Change::EarlyCancel(id, callers) => {
                    if let Some(owned_job) = owned.jobs.get_mut(&id) {
                        owned_job.end = Some((StoredEnd::Cancelled, now_ms));
                    }
                    self.event("cancelled-early", Some(id), String::new());
                    self.answer_all(&callers, StoredAnswer::Unknown);
                }
                Change::Forget(id) => {
                    owned.jobs.remove(&id);
                }
            }
        }
        if is_released {
            self.give_up(partition, "released", dispatcher);
        }
    }

    /// Handles the result of the read with number `load`: the records of the partition, or
    /// `None` if they could not be read, and the read is repeated.
    pub fn loaded(
        &mut self,
        now_ms: u64,
        partition: Partition,
        load: u64,
        records: Option<&[LogRecord]>,
    ) {
        let owned = self.partitions.get_mut(&partition);
        let Some(owned) = owned.filter(|owned| owned.load == load) else {
            return;
        };
        let Some(records) = records else {
            self.load(partition);
            return;
        };
        let errors = owned.load(now_ms, records);
        owned.stage = Stage::Serving;
        let open = owned
            .jobs
            .values()
            .filter(|owned_job| owned_job.is_unfinished())
            .count();
        let detail = format!(
            "partition={} epoch={} jobs={} open={open}",
            partition.0,
            owned.epoch,
            owned.jobs.len()
        );
        for error in errors {
            self.event("record-malformed", None, error.to_string());
        }
        self.event("partition-served", None, detail);
    }

    /// Requests a read of a partition.
    fn load(&mut self, partition: Partition) {
        if let Some(owned) = self.partitions.get_mut(&partition) {
            owned.load = self.next_load;
            self.next_load += 1;
            let load = owned.load;
            self.actions.push(LedgerAction::Load { partition, load });
        }
    }

    /// Appends the due changes of a partition to the log.
    pub(crate) fn flush(&mut self, now_ms: u64, partition: Partition, dispatcher: &mut Dispatcher) {
        let Some(owned) = self.partitions.get_mut(&partition) else {
            return;
        };
        match owned.due_batch(now_ms) {
            Ok(None) => {}
            Ok(Some(batch)) if batch.records.is_empty() => {
                // The log already holds everything that these changes would write.
                let changes = batch.changes.clone();
                owned.batch = None;
                self.apply_appended(now_ms, partition, changes, dispatcher);
            }
            Ok(Some(batch)) => {
                let append = LedgerAction::Append {
                    partition,
                    epoch: batch.epoch,
                    number: batch.number,
                    expected_end: batch.expected_end,
                    records: batch.records.clone(),
                };
                self.actions.push(append);
            }
            Err(error) => {
                self.event("record-malformed", None, error.to_string());
                self.give_up(partition, "record-malformed", dispatcher);
            }
        }
    }
}
