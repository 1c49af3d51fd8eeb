//! Calls about stored jobs. A call goes to the entry that owns the job's partition,
//! over one connection to each owner, and is retried while the ownership changes.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gannetvane_dispatch::Greeting;
use gannetvane_dispatch::Partition;
use gannetvane_dispatch::StoredAnswer;
use gannetvane_dispatch::StoredCall;
use gannetvane_dispatch::StoredJob;
use gannetvane_dispatch::StoredReply;
use gannetvane_dispatch::StoredRequest;
use gannetvane_dispatch::decode;
use gannetvane_dispatch::encode;
use gannetvane_wire::Name;
use slog::Logger;
use slog::warn;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::entry_handle::Input;
use crate::entry_stored::StoredInput;
use crate::links;
use crate::links::FrameReader;
use crate::links::FrameSender;
use crate::ports::JobLogPort;

/// Longest time that a call waits for its answer, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_500;
/// Longest time for which a call searches for an owner, in milliseconds. The store
/// reassigns the partitions of a lost owner after 1.2 s, and the new owner needs some
/// more time to claim them. A submission has less time, so that a refused job can
/// still be run elsewhere.
const MAX_SEARCH_MS: u64 = 2_000;
/// Time after which an unanswered call and its connection to the owner are given up,
/// in milliseconds: the store may be 60 times slower than its usual 4 ms.
const ATTEMPT_TIMEOUT_MS: u64 = 700;
/// A submission searches for an owner for at most its objective divided by this
/// number; a job that is refused later than that counts as held back.
const SEARCH_DIVISOR: u64 = 5;
/// Pause between two attempts of a call, in milliseconds.
const RETRY_PAUSE_MS: u64 = 20;
/// Largest age at which the store's answer that there are no stored jobs is still
/// used, in milliseconds: entries learn of the first one by gossip within a second.
const MAX_UNUSED_AGE_MS: u64 = 1_000;
/// Largest age at which the list of owners is still used to count the jobs of all of
/// them, in milliseconds: a count may be 2 s old.
const MAX_COUNTED_OWNERS_AGE_MS: u64 = 1_000;
/// Smallest age at which the list of owners is read again, in milliseconds.
const MIN_OWNERS_AGE_MS: u64 = 150;

/// Finds the owner of a job's partition and sends it calls.
pub(crate) struct StoredCalls {
    own_addr: SocketAddr,
    partitions: u32,
    inputs: UnboundedSender<Input>,
    job_log: Rc<dyn JobLogPort>,
    log: Logger,
    owners: RefCell<BTreeMap<Partition, SocketAddr>>,
    /// When the last read of the owners started.
    owners_read_at: Cell<Option<Instant>>,
    /// When the store last answered that there are no stored jobs.
    found_unused_at: Cell<Option<Instant>>,
    /// Whether the store answered the last read of the owners.
    is_store_answering: Cell<bool>,
    owner_links: RefCell<BTreeMap<SocketAddr, Rc<OwnerLink>>>,
}

/// Why an attempt has no answer.
enum AttemptError {
    /// The call was not sent.
    NotSent,
    /// The call was sent and may have been carried out.
    NoAnswer,
}

impl StoredCalls {
    pub(crate) fn new(
        own_addr: SocketAddr,
        partitions: u32,
        inputs: UnboundedSender<Input>,
        job_log: Rc<dyn JobLogPort>,
        log: Logger,
    ) -> Self {
        Self {
            own_addr,
            partitions,
            inputs,
            job_log,
            log,
            owners: RefCell::default(),
            owners_read_at: Cell::default(),
            found_unused_at: Cell::default(),
            is_store_answering: Cell::new(true),
            owner_links: RefCell::default(),
        }
    }

    /// Submits a job. While the group of owners forms, the call searches for an owner
    /// as long as other calls do.
    pub(crate) async fn submit(
        &self,
        job: StoredJob,
        wait_ms: u64,
        is_forming: bool,
    ) -> StoredAnswer {
        let search_ms = if is_forming {
            MAX_SEARCH_MS
        } else {
            job.objective_ms() / SEARCH_DIVISOR
        };
        let id = job.id.clone();
        let call = StoredCall::Submit(job);
        self.ask_within(&id, call, wait_ms, search_ms).await
    }

    /// Sends a call to the owner of a job's partition, and waits for the answer for
    /// at most `wait_ms` milliseconds.
    pub(crate) async fn ask(&self, id: &Name, call: StoredCall, wait_ms: u64) -> StoredAnswer {
        self.ask_within(id, call, wait_ms, MAX_SEARCH_MS).await
    }

    /// Sends a call to the owner of a job's partition, and retries it for at most
    /// `search_ms` milliseconds while it gets no answer from an owner.
    async fn ask_within(
        &self,
        id: &Name,
        call: StoredCall,
        wait_ms: u64,
        search_ms: u64,
    ) -> StoredAnswer {
        let partition = Partition::of(id, self.partitions);
        let start = Instant::now();
        let end = start + Duration::from_millis(wait_ms.min(CALL_TIMEOUT_MS));
        let search_end = end.min(start + Duration::from_millis(search_ms.min(MAX_SEARCH_MS)));
        let mut is_outcome_unknown = false;
        loop {
            match self.attempt(partition, &call, end).await {
                Ok(StoredAnswer::NotOwner) | Err(AttemptError::NotSent) => {}
                Ok(StoredAnswer::OutcomeUnknown) | Err(AttemptError::NoAnswer) => {
                    is_outcome_unknown = true;
                }
                Ok(answer) => return answer,
            }
            let is_store_answering = self.read_owners(search_end).await;
            let next_attempt_at = Instant::now() + Duration::from_millis(RETRY_PAUSE_MS);
            if next_attempt_at >= search_end || !is_store_answering {
                return if is_outcome_unknown {
                    StoredAnswer::OutcomeUnknown
                } else {
                    StoredAnswer::NotOwner
                };
            }
            tokio::time::sleep_until(next_attempt_at).await;
        }
    }

    /// Returns whether there are stored jobs; `None` if the call to the store fails.
    pub(crate) async fn is_in_use(&self) -> Option<bool> {
        let is_fresh = |at: Instant| at.elapsed() < Duration::from_millis(MAX_UNUSED_AGE_MS);
        if self.found_unused_at.get().is_some_and(is_fresh) {
            return Some(false);
        }
        match self.job_log.is_in_use().await {
            Ok(true) => Some(true),
            Ok(false) => {
                self.found_unused_at.set(Some(Instant::now()));
                Some(false)
            }
            Err(error) => {
                warn!(self.log, "store-lost"; "call" => "announced", "error" => %error);
                None
            }
        }
    }

    /// Returns the number of stored jobs of a queue of which nothing has started, at
    /// all owners; `None` if a partition has no owner that answers.
    pub(crate) async fn pending(&self, queue: &Name) -> Option<usize> {
        let end = Instant::now() + Duration::from_millis(ATTEMPT_TIMEOUT_MS);
        let owners_read_at = self.owners_read_at.get();
        let is_old = |at: Instant| at.elapsed() >= Duration::from_millis(MAX_COUNTED_OWNERS_AGE_MS);
        if owners_read_at.is_none_or(is_old) {
            self.read_owners(end).await;
        }
        let owners: BTreeSet<SocketAddr> = self.owners.borrow().values().copied().collect();
        let (mut sum, mut counted) = (0, 0);
        for owner in owners {
            let call = StoredCall::Pending(queue.clone());
            let answer = self.ask_owner(owner, &call, end).await;
            if let Ok(StoredAnswer::Pending { jobs, partitions }) = answer {
                sum += jobs as usize;
                counted += partitions;
            }
        }
        (counted >= self.partitions).then_some(sum)
    }

    /// Sends a call once to the owner that the list of owners names.
    async fn attempt(
        &self,
        partition: Partition,
        call: &StoredCall,
        end: Instant,
    ) -> Result<StoredAnswer, AttemptError> {
        let owner = self.owners.borrow().get(&partition).copied();
        let owner = owner.ok_or(AttemptError::NotSent)?;
        self.ask_owner(owner, call, end).await
    }

    /// Sends a call to this owner, which can be this entry itself.
    async fn ask_owner(
        &self,
        owner: SocketAddr,
        call: &StoredCall,
        end: Instant,
    ) -> Result<StoredAnswer, AttemptError> {
        if owner != self.own_addr {
            let owner_link = timeout_at(end, self.owner_link(owner)).await;
            let owner_link = owner_link.ok().flatten().ok_or(AttemptError::NotSent)?;
            return owner_link.ask(call, end).await;
        }
        let (answer, answered) = oneshot::channel();
        let input = Input::Stored(StoredInput::Call(call.clone(), answer));
        self.inputs.send(input).map_err(|_| AttemptError::NotSent)?;
        match timeout_at(end, answered).await {
            Ok(Ok(answer)) => Ok(answer),
            _ => Err(AttemptError::NoAnswer),
        }
    }

    /// Returns the connection to an owner, and opens one if there is none.
    async fn owner_link(&self, owner: SocketAddr) -> Option<Rc<OwnerLink>> {
        let known = self.owner_links.borrow().get(&owner).cloned();
        if let Some(owner_link) = known.filter(|owner_link| owner_link.is_open.get()) {
            return Some(owner_link);
        }
        let owner_link = Rc::new(OwnerLink::open(owner).await?);
        self.owner_links
            .borrow_mut()
            .insert(owner, Rc::clone(&owner_link));
        Some(owner_link)
    }

    /// Reads the owners of all partitions from the store, unless that was done within
    /// the last [`MIN_OWNERS_AGE_MS`]. Returns whether the store answered the last read.
    async fn read_owners(&self, end: Instant) -> bool {
        let is_fresh = |at: Instant| at.elapsed() < Duration::from_millis(MIN_OWNERS_AGE_MS);
        if !self.owners_read_at.get().is_some_and(is_fresh) {
            self.owners_read_at.set(Some(Instant::now()));
            let owners = timeout_at(end, self.job_log.owners()).await;
            let is_answered = match owners {
                Ok(Ok(owners)) => {
                    *self.owners.borrow_mut() = owners;
                    true
                }
                Ok(Err(error)) => {
                    warn!(self.log, "store-lost"; "call" => "owners", "error" => %error);
                    false
                }
                Err(_) => false,
            };
            self.is_store_answering.set(is_answered);
        }
        // The list can be empty: a group that has just formed has no owners yet.
        self.is_store_answering.get()
    }
}

/// A connection to another entry for calls about its stored jobs.
struct OwnerLink {
    sender: FrameSender,
    /// The senders for the answers to unanswered calls, by the number of the call.
    pending_calls: Rc<RefCell<BTreeMap<u64, oneshot::Sender<StoredAnswer>>>>,
    next_number: Cell<u64>,
    is_open: Rc<Cell<bool>>,
}

impl OwnerLink {
    async fn open(owner: SocketAddr) -> Option<Self> {
        let stream = links::connect(owner).await.ok()?;
        let (reader, sender) = links::split(stream).ok()?;
        sender.send(encode(&Greeting::StoredCalls).ok()?);
        let owner_link = Self {
            sender,
            pending_calls: Rc::default(),
            next_number: Cell::new(1),
            is_open: Rc::new(Cell::new(true)),
        };
        let pending_calls = Rc::clone(&owner_link.pending_calls);
        let is_open = Rc::clone(&owner_link.is_open);
        tokio::task::spawn_local(async move {
            read_replies(reader, &pending_calls).await;
            is_open.set(false);
            // Dropping the senders ends the calls that still wait.
            pending_calls.borrow_mut().clear();
        });
        Some(owner_link)
    }

    async fn ask(&self, call: &StoredCall, end: Instant) -> Result<StoredAnswer, AttemptError> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let request = StoredRequest {
            number,
            call: call.clone(),
        };
        let bytes = encode(&request).map_err(|_| AttemptError::NotSent)?;
        let (answer, answered) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(number, answer);
        self.sender.send(bytes);
        let end = end.min(Instant::now() + Duration::from_millis(ATTEMPT_TIMEOUT_MS));
        match timeout_at(end, answered).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(AttemptError::NoAnswer),
            Err(_) => {
                // The connection may have stopped passing data, so the next call
                // opens a new one.
                self.is_open.set(false);
                Err(AttemptError::NoAnswer)
            }
        }
    }
}

/// Passes the replies on a connection to the calls that wait for them.
async fn read_replies(
    mut reader: FrameReader,
    pending_calls: &RefCell<BTreeMap<u64, oneshot::Sender<StoredAnswer>>>,
) {
    while let Some(frame) = links::next_frame(&mut reader).await {
        let Ok(reply) = decode::<StoredReply>(&frame) else {
            return;
        };
        let answer = pending_calls.borrow_mut().remove(&reply.number);
        if let Some(answer) = answer {
            // The send only fails if the caller has left.
            let _ = answer.send(reply.answer);
        }
    }
}

/// Serves calls about stored jobs from another entry until its connection ends.
pub(crate) async fn serve(
    mut reader: FrameReader,
    sender: FrameSender,
    inputs: UnboundedSender<Input>,
) {
    while let Some(frame) = links::next_frame(&mut reader).await {
        let Ok(request) = decode::<StoredRequest>(&frame) else {
            return;
        };
        let (answer, answered) = oneshot::channel();
        let input = Input::Stored(StoredInput::Call(request.call, answer));
        if inputs.send(input).is_err() {
            return;
        }
        let sender = sender.clone();
        tokio::task::spawn_local(async move {
            let answered = timeout(Duration::from_millis(CALL_TIMEOUT_MS), answered).await;
            let Ok(Ok(answer)) = answered else {
                return;
            };
            let number = request.number;
            if let Ok(bytes) = encode(&StoredReply { number, answer }) {
                sender.send(bytes);
            }
        });
    }
}
