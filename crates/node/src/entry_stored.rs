//! Stored jobs in the entry process: passes inputs to the ledger and executes the
//! ledger's actions.

use gannetvane_dispatch::AppendResult;
use gannetvane_dispatch::Assignment;
use gannetvane_dispatch::LedgerAction;
use gannetvane_dispatch::LogRecord;
use gannetvane_dispatch::Partition;
use gannetvane_dispatch::StoredAnswer;
use gannetvane_dispatch::StoredCall;
use gannetvane_dispatch::StoredCaller;
use slog::info;
use tokio::sync::oneshot;

use crate::EntryNode;
use crate::StoreClient;
use crate::entry_handle::Input;

/// An input of an entry's event loop about stored jobs.
pub(crate) enum StoredInput {
    /// A call to this entry as the owner of a job's partition.
    Call(StoredCall, oneshot::Sender<StoredAnswer>),
    /// A caller submits a stored job, and this entry knows of none yet.
    FirstJob,
    /// It became known that there are stored jobs.
    JobsKnown,
    /// The end of a join that was sent at this time in milliseconds; `None` if it
    /// failed.
    Joined(u64, Option<Assignment>),
    /// The end of an append.
    Appended {
        partition: Partition,
        epoch: u32,
        number: u64,
        result: AppendResult,
    },
    /// The end of the read with this number: the records of the partition; `None`
    /// if the read failed.
    Loaded(Partition, u64, Option<Vec<LogRecord>>),
}

impl EntryNode {
    /// Passes an input about stored jobs to the ledger.
    pub(crate) fn handle_stored_input(
        &mut self,
        now_ms: u64,
        input: StoredInput,
        store: &StoreClient,
    ) {
        let dispatcher = &mut self.dispatcher;
        match input {
            StoredInput::Call(call, answer) => {
                let caller = StoredCaller(self.next_stored_caller);
                self.next_stored_caller += 1;
                self.stored_callers.insert(caller, answer);
                self.ledger.call(now_ms, caller, call, dispatcher);
            }
            StoredInput::FirstJob => self.announce_stored_jobs(store),
            StoredInput::JobsKnown => self.activate_ledger(now_ms),
            StoredInput::Joined(sent_ms, assignment) => {
                self.ledger.joined(now_ms, sent_ms, assignment, dispatcher);
            }
            StoredInput::Appended {
                partition,
                epoch,
                number,
                result,
            } => {
                self.ledger
                    .appended(now_ms, partition, epoch, number, result, dispatcher);
            }
            StoredInput::Loaded(partition, load, records) => {
                self.ledger
                    .loaded(now_ms, partition, load, records.as_deref());
            }
        }
    }

    /// Starts to serve stored jobs, and spreads to other entries that there are some.
    pub(crate) fn activate_ledger(&mut self, now_ms: u64) {
        if self.ledger.activate(now_ms) {
            info!(self.log, "stored-jobs-known");
            self.handle.set_stored_jobs_known();
            self.gossip
                .send_modify(|gossip| gossip.has_stored_jobs = true);
        }
    }

    /// Announces in the store that there are stored jobs, before the first one is
    /// accepted: otherwise no entry would look for it after a restart of all entries.
    fn announce_stored_jobs(&mut self, store: &StoreClient) {
        if self.ledger.is_active() || self.is_announcing_stored_jobs {
            return;
        }
        self.is_announcing_stored_jobs = true;
        let store = store.clone();
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            store.announce_stored_jobs().await;
            // The send only fails when the process is about to end.
            let _ = inputs.send(Input::Stored(StoredInput::JobsKnown));
        });
    }

    /// Executes the actions that the ledger has asked for.
    pub(crate) fn execute_ledger_actions(&mut self) {
        for action in self.ledger.take_actions() {
            match action {
                LedgerAction::Answer(caller, stored) => {
                    if let Some(answer) = self.stored_callers.remove(&caller) {
                        // The send only fails if the caller has left.
                        let _ = answer.send(stored);
                    }
                }
                LedgerAction::Event(event) => self.event(&event),
                call => self.job_log.start_call(call),
            }
        }
    }
}
