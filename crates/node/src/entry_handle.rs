//! How the interface for callers reaches an entry.

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

/// Time in which the entries divide the job log for the first time, in
/// milliseconds; all entries have learned of it and joined by then.
const GROUP_FORMATION_MS: u64 = 2_000;

/// What reaches an entry from its connections and callers.
pub(crate) enum Input {
    AgentUp(LinkId, AgentHello, FrameSender, AbortHandle),
    AgentFrame(LinkId, AgentFrame),
    LinkDown(LinkId),
    Peer(SocketAddr, PeerFrame),
    Submit(CallerId, Job, oneshot::Sender<JobOutcome>),
    CallerLeft(CallerId),
    Cancel(Name, oneshot::Sender<bool>),
    Pending(Name, oneshot::Sender<usize>),
    Operators(OperatorUpdate),
    Entries(Vec<SocketAddr>),
    Refresh,
    Stored(StoredInput),
    Reload(Tunables),
    Stop,
}

/// How the interface for callers reaches the entry.
#[derive(Clone, Debug)]
pub struct EntryHandle {
    inputs: UnboundedSender<Input>,
    table: Rc<RefCell<Arc<RoutingTable>>>,
    is_ready: Rc<Cell<bool>>,
    next_caller: Rc<Cell<u64>>,
    /// Since when it is known that there are stored jobs.
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

/// Tells the entry when a caller goes away before its answer.
struct CallerGuard {
    caller: CallerId,
    inputs: UnboundedSender<Input>,
    is_answered: bool,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.is_answered {
            // Without a receiver the process is about to end.
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

    pub(crate) fn set_has_stored_jobs(&self) {
        self.stored_jobs_known_since.set(Some(Instant::now()));
    }

    pub(crate) fn set_table(&self, table: Arc<RoutingTable>) {
        *self.table.borrow_mut() = table;
    }

    pub(crate) fn set_ready(&self, is_ready: bool) {
        self.is_ready.set(is_ready);
    }

    /// The queue of a request.
    ///
    /// # Errors
    ///
    /// [`RouteError`] when there is none.
    pub fn find(&self, host: &str, path: &str) -> Result<Arc<Queue>, RouteError> {
        self.table.borrow().find(host, path)
    }

    /// The configuration in force.
    #[must_use]
    pub fn table(&self) -> Arc<RoutingTable> {
        Arc::clone(&self.table.borrow())
    }

    /// Whether the balancer may send requests here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    /// Submits a job and waits for its end. When the caller drops this, the
    /// job is stopped.
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

    /// Submits a job that is to be kept until it has ended; the answer comes
    /// when it lies in the job log, or is refused.
    pub async fn store(&self, job: StoredJob, wait_ms: u64) -> StoredAnswer {
        let known_since = self.stored_jobs_known_since.get();
        if known_since.is_none() {
            // Without a receiver the process is about to end.
            let _ = self.inputs.send(Input::Stored(StoredInput::FirstJob));
        }
        let formation = Duration::from_millis(GROUP_FORMATION_MS);
        let is_forming = known_since.is_none_or(|since| since.elapsed() < formation);
        self.stored_calls.submit(job, wait_ms, is_forming).await
    }

    /// How far a stored job is.
    pub async fn state(&self, job: Name, wait_ms: u64) -> StoredAnswer {
        if let Some(answer) = self.answer_if_no_stored_jobs().await {
            return answer;
        }
        let call = StoredCall::State(job.clone());
        self.stored_calls.ask(&job, call, wait_ms).await
    }

    /// Cancels a job, whether its caller waits for it here or it is stored.
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

    /// The answer about any job where no job is stored, or that cannot be told.
    async fn answer_if_no_stored_jobs(&self) -> Option<StoredAnswer> {
        if self.stored_jobs_known_since.get().is_some() {
            return None;
        }
        match self.stored_calls.is_in_use().await {
            Some(true) => {
                // Without a receiver the process is about to end.
                let _ = self.inputs.send(Input::Stored(StoredInput::JobsKnown));
                None
            }
            Some(false) => Some(StoredAnswer::Unknown),
            None => Some(StoredAnswer::NotOwner),
        }
    }

    /// Jobs of a queue of which nothing has started: those whose callers wait
    /// here, and stored ones anywhere. `None` when those cannot be counted.
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

    /// Takes over changed settings.
    pub fn reload(&self, tunables: Tunables) {
        // Without a receiver the process is about to end.
        let _ = self.inputs.send(Input::Reload(tunables));
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        // Without a receiver the process is about to end.
        let _ = self.inputs.send(Input::Stop);
    }
}
