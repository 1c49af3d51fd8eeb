//! Calls to the job log on behalf of the ledger, each in its own asynchronous task.

use std::rc::Rc;
use std::time::Duration;

use gannetvane_dispatch::LedgerAction;
use gannetvane_dispatch::Partition;
use slog::Logger;
use slog::warn;
use tokio::sync::mpsc::UnboundedSender;

use crate::Clock;
use crate::entry_handle::Input;
use crate::entry_stored::StoredInput;
use crate::ports::AppendCall;
use crate::ports::JobLogPort;

/// Pause after a failed read, in milliseconds.
const LOAD_RETRY_PAUSE_MS: u64 = 100;

/// Makes the ledger's calls to the job log, and sends their results to the entry's
/// event loop.
pub(crate) struct JobLogCalls {
    job_log: Rc<dyn JobLogPort>,
    inputs: UnboundedSender<Input>,
    clock: Clock,
    log: Logger,
}

impl JobLogCalls {
    pub(crate) fn new(
        job_log: Rc<dyn JobLogPort>,
        inputs: UnboundedSender<Input>,
        clock: Clock,
        log: Logger,
    ) -> Self {
        Self {
            job_log,
            inputs,
            clock,
            log,
        }
    }

    /// Starts a call that the ledger asks for; its result arrives as an input.
    pub(crate) fn start_call(&self, action: LedgerAction) {
        match action {
            LedgerAction::Join { generation } => self.join(generation),
            LedgerAction::Leave => self.leave(),
            LedgerAction::Append {
                partition,
                epoch,
                number,
                expected_end,
                records,
            } => self.append(AppendCall {
                partition,
                epoch,
                number,
                expected_end,
                records,
            }),
            LedgerAction::Load { partition, load } => self.load(partition, load),
            LedgerAction::Answer(..) | LedgerAction::Event(_) => {}
        }
    }

    fn join(&self, generation: u64) {
        let job_log = Rc::clone(&self.job_log);
        let inputs = self.inputs.clone();
        let log = self.log.clone();
        let sent_ms = self.clock.now_ms();
        tokio::task::spawn_local(async move {
            let assignment = match job_log.join(generation).await {
                Ok(assignment) => Some(assignment),
                Err(error) => {
                    warn!(log, "store-lost"; "call" => "join", "error" => %error);
                    None
                }
            };
            // The send only fails when the process is about to end.
            let _ = inputs.send(Input::Stored(StoredInput::Joined(sent_ms, assignment)));
        });
    }

    fn leave(&self) {
        let job_log = Rc::clone(&self.job_log);
        let log = self.log.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = job_log.leave().await {
                // Without further joins, the store gives the partitions to other
                // entries.
                warn!(log, "store-lost"; "call" => "leave", "error" => %error);
            }
        });
    }

    fn append(&self, call: AppendCall) {
        let job_log = Rc::clone(&self.job_log);
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            let result = job_log.append(&call).await;
            // The send only fails when the process is about to end.
            let _ = inputs.send(Input::Stored(StoredInput::Appended {
                partition: call.partition,
                epoch: call.epoch,
                number: call.number,
                result,
            }));
        });
    }

    fn load(&self, partition: Partition, load: u64) {
        let job_log = Rc::clone(&self.job_log);
        let inputs = self.inputs.clone();
        let log = self.log.clone();
        tokio::task::spawn_local(async move {
            let records = match job_log.newest(partition).await {
                Ok(records) => Some(records),
                Err(error) => {
                    warn!(log, "store-lost"; "call" => "newest", "error" => %error);
                    tokio::time::sleep(Duration::from_millis(LOAD_RETRY_PAUSE_MS)).await;
                    None
                }
            };
            // The send only fails when the process is about to end.
            let _ = inputs.send(Input::Stored(StoredInput::Loaded(partition, load, records)));
        });
    }
}
