//! An entry's part in serving stored jobs: what reaches its ledger, and what the
//! ledger asks for.

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

/// What reaches an entry about stored jobs.
pub(crate) enum StoredInput {
    /// A call for the owner of a job's partition.
    Call(StoredCall, oneshot::Sender<StoredAnswer>),
    /// The first stored job that this entry sees.
    FirstJob,
    /// There are stored jobs.
    JobsKnown,
    /// The answer to a join that was sent at this time, if there was one.
    Joined(u64, Option<Assignment>),
    /// The answer to an append.
    Appended {
        partition: Partition,
        epoch: u32,
        number: u64,
        result: AppendResult,
    },
    /// The records of a partition, if they could be read.
    Loaded(Partition, u64, Option<Vec<LogRecord>>),
}

impl EntryNode {
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

    /// Takes part in serving stored jobs, and lets others know of them.
    pub(crate) fn activate_ledger(&mut self, now_ms: u64) {
        if self.ledger.activate(now_ms) {
            info!(self.log, "stored-jobs-known");
            self.handle.set_has_stored_jobs();
            self.gossip
                .send_modify(|gossip| gossip.has_stored_jobs = true);
        }
    }

    /// Announces the first stored job, before it is taken: otherwise nobody
    /// would look for it if all entries were restarted.
    fn announce_stored_jobs(&mut self, store: &StoreClient) {
        if self.ledger.is_active() || self.is_announcing_stored_jobs {
            return;
        }
        self.is_announcing_stored_jobs = true;
        let store = store.clone();
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            store.announce_stored_jobs().await;
            // Without a receiver the process is about to end.
            let _ = inputs.send(Input::Stored(StoredInput::JobsKnown));
        });
    }

    pub(crate) fn execute_ledger_actions(&mut self) {
        for action in self.ledger.take_actions() {
            match action {
                LedgerAction::Answer(caller, stored) => {
                    if let Some(answer) = self.stored_callers.remove(&caller) {
                        // A caller that left needs no answer.
                        let _ = answer.send(stored);
                    }
                }
                LedgerAction::Event(event) => self.event(&event),
                call => self.job_log.start_call(call),
            }
        }
    }
}
