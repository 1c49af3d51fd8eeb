//! The inputs of an entry, and the handle through which the HTTP interface for
//! callers reaches the entry.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gannetvane_dispatch::AgentFrame;
use gannetvane_dispatch::AgentHello;
use gannetvane_dispatch::CallerId;
use gannetvane_dispatch::Job;
use gannetvane_dispatch::JobOutcome;
use gannetvane_dispatch::LinkId;
use gannetvane_dispatch::PeerFrame;
use gannetvane_dispatch::Queue;
use gannetvane_dispatch::Refusal;
use gannetvane_dispatch::RouteError;
use gannetvane_dispatch::RoutingTable;
use gannetvane_dispatch::StoredAnswer;
use gannetvane_dispatch::StoredCall;
use gannetvane_dispatch::StoredJob;
use gannetvane_wire::Name;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::OperatorUpdate;
use crate::Tunables;
use crate::entry_stored::StoredInput;
use crate::links::FrameSender;
use crate::stored_calls::StoredCalls;

/// Time for the entries to divide the job log among themselves for the first
/// time, in milliseconds: all entries have learned of the first stored job and
/// joined the group of owners by then.
const GROUP_FORMATION_MS: u64 = 2_000;

/// An input of an entry's event loop.
pub(crate) enum Input {
    /// An agent connected. The last field stops the task that reads its frames.
    AgentUp(LinkId, AgentHello, FrameSender, AbortHandle),
    /// An agent sent a frame.
    AgentFrame(LinkId, AgentFrame),
    /// The connection of an agent ended.
    LinkDown(LinkId),
    /// The entry at this address sent a frame.
    Peer(SocketAddr, PeerFrame),
    /// A caller submits a job and waits for its outcome.
    Submit(CallerId, Job, oneshot::Sender<JobOutcome>),
    /// A caller left before its job was answered.
    CallerLeft(CallerId),
    /// Cancels the job with this id if its caller waits here; the answer is whether it
    /// was cancelled.
    Cancel(Name, oneshot::Sender<bool>),
    /// Asks for the number of jobs of this queue whose callers wait here and of
    /// which nothing has started.
    Pending(Name, oneshot::Sender<usize>),
    /// The store has new records of the operators.
    Operators(OperatorUpdate),
    /// Entries that announced themselves in the store.
    Entries(Vec<SocketAddr>),
    /// It is time to compare the set of known entries with the one sent last.
    Refresh,
    /// An input about stored jobs.
    Stored(StoredInput),
    /// The settings changed.
    Reload(Tunables),
    /// A planned stop begins.
    Stop,
}

/// Handle of a running entry for the HTTP interface towards callers.
#[derive(Clone, Debug)]
pub struct EntryHandle {
    inputs: UnboundedSender<Input>,
    table: Rc<RefCell<Arc<RoutingTable>>>,
    is_ready: Rc<Cell<bool>>,
    next_caller: Rc<Cell<u64>>,
    /// When this entry learned that there are stored jobs.
    stored_jobs_known_since: Rc<Cell<Option<Instant>>>,
    stored_calls: Rc<StoredCalls>,
}

impl std::fmt::Debug for StoredCalls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StoredCalls").finish_non_exhaustive()
    }
}

impl std::fmt::Debug for Input {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Input")
    }
}

/// Reports [`Input::CallerLeft`] when it is dropped before the job is answered.
struct CallerGuard {
    caller: CallerId,
    inputs: UnboundedSender<Input>,
    is_answered: bool,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.is_answered {
            // The send only fails when the process is about to end.
            let _ = self.inputs.send(Input::CallerLeft(self.caller));
        }
    }
}

impl EntryHandle {
    pub(crate) fn new(inputs: UnboundedSender<Input>, stored_calls: StoredCalls) -> Self {
        Self {
            inputs,
            table: Rc::default(),
            is_ready: Rc::default(),
            next_caller: Rc::default(),
            stored_jobs_known_since: Rc::default(),
            stored_calls: Rc::new(stored_calls),
        }
    }

    pub(crate) fn set_stored_jobs_known(&self) {
        self.stored_jobs_known_since.set(Some(Instant::now()));
    }

    pub(crate) fn set_table(&self, table: Arc<RoutingTable>) {
        *self.table.borrow_mut() = table;
    }

    pub(crate) fn set_ready(&self, is_ready: bool) {
        self.is_ready.set(is_ready);
    }

    /// Returns the queue for a request to this host and path.
    ///
    /// # Errors
    ///
    /// Returns a [`RouteError`] if the configuration has no such queue.
    pub fn find(&self, host: &str, path: &str) -> Result<Arc<Queue>, RouteError> {
        self.table.borrow().find(host, path)
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn table(&self) -> Arc<RoutingTable> {
        Arc::clone(&self.table.borrow())
    }

    /// Returns whether the balancer may send requests to this entry.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    /// Submits a job and waits for its outcome. Dropping the future stops the job,
    /// unless another caller waits for the same job.
    pub async fn submit(&self, job: Job) -> JobOutcome {
        let caller = CallerId(self.next_caller.get());
        self.next_caller.set(caller.0 + 1);
        let (answer, outcome) = oneshot::channel();
        let mut guard = CallerGuard {
            caller,
            inputs: self.inputs.clone(),
            is_answered: false,
        };
        let stopped = JobOutcome::Refused {
            reason: Refusal::Stopping,
            retry_after_ms: 0,
        };
        if self
            .inputs
            .send(Input::Submit(caller, job, answer))
            .is_err()
        {
            guard.is_answered = true;
            return stopped;
        }
        // The entry answers all jobs before it ends.
        let outcome = outcome.await.unwrap_or(JobOutcome::TooLate);
        guard.is_answered = true;
        outcome
    }

    /// Submits a stored job. Returns once the job log holds it or it is refused.
    pub async fn store(&self, job: StoredJob, wait_ms: u64) -> StoredAnswer {
        let known_since = self.stored_jobs_known_since.get();
        if known_since.is_none() {
            // The send only fails when the process is about to end.
            let _ = self.inputs.send(Input::Stored(StoredInput::FirstJob));
        }
        let formation = Duration::from_millis(GROUP_FORMATION_MS);
        let is_forming = known_since.is_none_or(|since| since.elapsed() < formation);
        self.stored_calls.submit(job, wait_ms, is_forming).await
    }

    /// Returns the state of a stored job.
    pub async fn state(&self, job: Name, wait_ms: u64) -> StoredAnswer {
        if let Some(answer) = self.answer_if_no_stored_jobs().await {
            return answer;
        }
        let call = StoredCall::State(job.clone());
        self.stored_calls.ask(&job, call, wait_ms).await
    }

    /// Cancels a job whose caller waits at this entry, or a stored job.
    pub async fn cancel(&self, job: Name, wait_ms: u64) -> StoredAnswer {
        let (answer, is_cancelled) = oneshot::channel();
        let is_sent = self.inputs.send(Input::Cancel(job.clone(), answer)).is_ok();
        if is_sent && is_cancelled.await.unwrap_or(false) {
            return StoredAnswer::Cancelled;
        }
        if let Some(answer) = self.answer_if_no_stored_jobs().await {
            return answer;
        }
        let call = StoredCall::Cancel(job.clone());
        self.stored_calls.ask(&job, call, wait_ms).await
    }

    /// Returns the answer for any job id if there are no stored jobs, or if the
    /// store does not say whether there are; `None` if there are stored jobs.
    async fn answer_if_no_stored_jobs(&self) -> Option<StoredAnswer> {
        if self.stored_jobs_known_since.get().is_some() {
            return None;
        }
        match self.stored_calls.is_in_use().await {
            Some(true) => {
                // The send only fails when the process is about to end.
                let _ = self.inputs.send(Input::Stored(StoredInput::JobsKnown));
                None
            }
            Some(false) => Some(StoredAnswer::Unknown),
            None => Some(StoredAnswer::NotOwner),
        }
    }

    /// Returns the number of jobs of a queue of which nothing has started: those
    /// whose callers wait at this entry, and the stored ones at all owners. `None`
    /// if the stored ones cannot be counted.
    pub async fn pending(&self, queue: Name) -> Option<usize> {
        let (answer, pending) = oneshot::channel();
        let is_sent = self.inputs.send(Input::Pending(queue.clone(), answer));
        let waiting_here = match is_sent {
            Ok(()) => pending.await.unwrap_or(0),
            Err(_) => 0,
        };
        if self.stored_jobs_known_since.get().is_none() {
            return Some(waiting_here);
        }
        let stored = self.stored_calls.pending(&queue).await;
        stored.map(|stored| waiting_here + stored)
    }

    /// Applies changed settings.
    pub fn reload(&self, tunables: Tunables) {
        // The send only fails when the process is about to end.
        let _ = self.inputs.send(Input::Reload(tunables));
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        // The send only fails when the process is about to end.
        let _ = self.inputs.send(Input::Stop);
    }
}
