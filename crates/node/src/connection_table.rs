//! The open connections of a listener, with what is held for each. Where a limit is
//! reached, connections that only wait for their client are closed for others.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use thiserror::Error;
use tokio::sync::Notify;

use crate::ClientLimits;
use crate::body_buffer::BodyBuffer;
use crate::close_reason::CloseReason;
use crate::connection_phase::Phase;
use crate::connection_phase::RequestCounts;

/// Turns that other tasks get before a connection is closed for another one. After a pause
/// of the process, requests have arrived that were not read yet.
const TURNS_BEFORE_EVICTION: usize = 4;

/// The memory for clients is used up by requests that are being served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the memory for clients is used up")]
pub struct ClientMemoryExhausted;

/// Order of eviction: the rank of the phase, when the phase began, and the connection.
type EvictionKey = (u8, u64, u64);

#[derive(Debug)]
struct Entry {
    phase: Phase,
    /// Number of the change that began the phase.
    since: u64,
    /// Size of the body or job.
    held_bytes: usize,
    /// Size of the answer that is not sent yet.
    answer_bytes: usize,
    shared: Rc<Shared>,
}

/// What the table and the task of a connection share.
#[derive(Debug, Default)]
struct Shared {
    /// Tells the task that it has to close the connection.
    evicted: Notify,
    is_evicted: Cell<bool>,
    /// The body that is being received. It is dropped with the eviction, since the task
    /// runs only later.
    body: RefCell<BodyBuffer>,
}

impl Entry {
    fn total_bytes(&self) -> usize {
        self.held_bytes + self.answer_bytes
    }
}

/// The connections of one listener. Clones share them.
#[derive(Clone)]
pub(crate) struct ConnectionTable {
    inner: Rc<RefCell<Inner>>,
    on_close: Rc<dyn Fn(CloseReason)>,
}

impl fmt::Debug for ConnectionTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionTable").finish_non_exhaustive()
    }
}

struct Inner {
    limits: ClientLimits,
    entries: BTreeMap<u64, Entry>,
    eviction_order: BTreeSet<EvictionKey>,
    held_bytes: usize,
    /// Number of the last change, which orders phases by their age.
    last_change: u64,
    counts: Arc<RequestCounts>,
}

impl ConnectionTable {
    pub(crate) fn new(
        limits: ClientLimits,
        counts: Arc<RequestCounts>,
        on_close: Rc<dyn Fn(CloseReason)>,
    ) -> Self {
        let inner = Inner {
            limits,
            entries: BTreeMap::new(),
            eviction_order: BTreeSet::new(),
            held_bytes: 0,
            last_change: 0,
            counts,
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
            on_close,
        }
    }

    /// Registers a connection. Closes another one for it if the most are open; `None` if
    /// all of them have a request that is being served.
    pub(crate) async fn open(&self) -> Option<ConnectionSlot> {
        for _ in 0..TURNS_BEFORE_EVICTION {
            if !self.is_full() {
                break;
            }
            tokio::task::yield_now().await;
        }
        if self.is_full() {
            let victim = self.inner.borrow().first_evictable();
            let Some(victim) = victim else {
                self.count(CloseReason::AllServing);
                return None;
            };
            self.evict(victim, CloseReason::ConnectionLimit);
        }
        Some(self.register())
    }

    fn is_full(&self) -> bool {
        let inner = self.inner.borrow();
        inner.entries.len() >= inner.limits.max_connections
    }

    fn register(&self) -> ConnectionSlot {
        let shared = Rc::<Shared>::default();
        let mut inner = self.inner.borrow_mut();
        inner.last_change += 1;
        let id = inner.last_change;
        let entry = Entry {
            phase: Phase::Head,
            since: id,
            held_bytes: 0,
            answer_bytes: 0,
            shared: Rc::clone(&shared),
        };
        inner.enter(id, entry.phase, entry.since);
        inner.entries.insert(id, entry);
        drop(inner);
        ConnectionSlot {
            id,
            table: self.clone(),
            shared,
        }
    }

    /// Counts a connection that this side closes.
    pub(crate) fn count(&self, reason: CloseReason) {
        (self.on_close)(reason);
    }

    /// Removes a connection with what is held for it, and tells its task to close it.
    fn evict(&self, id: u64, reason: CloseReason) {
        let mut inner = self.inner.borrow_mut();
        let Some(entry) = inner.remove(id) else {
            return;
        };
        inner.held_bytes -= entry.held_bytes;
        drop(inner);
        self.count(reason);
        entry.shared.body.take();
        entry.shared.is_evicted.set(true);
        entry.shared.evicted.notify_one();
    }

    /// Adds to what is held for the request of a connection. Closes others for it if the
    /// memory is used up, those first whose request is the oldest.
    fn hold(&self, id: u64, bytes: usize) -> Result<(), ClientMemoryExhausted> {
        self.make_room(id, bytes)?;
        let mut inner = self.inner.borrow_mut();
        inner.held_bytes += bytes;
        if let Some(entry) = inner.entries.get_mut(&id) {
            entry.held_bytes += bytes;
        }
        Ok(())
    }

    /// Notes that an answer of this size is to be sent on a connection. Closes others for
    /// it if the memory is used up; the answer itself is sent in any case.
    fn hold_answer(&self, id: u64, bytes: usize) {
        let _ = self.make_room(id, bytes);
        self.inner.borrow_mut().set_answer_bytes(id, bytes);
    }

    /// Closes connections other than `id` until there is room for this many bytes.
    fn make_room(&self, id: u64, bytes: usize) -> Result<(), ClientMemoryExhausted> {
        while self.inner.borrow().lacks(bytes) {
            let victim = self.inner.borrow().oldest_large();
            match victim {
                Some(victim) if victim != id => self.evict(victim, CloseReason::MemoryLimit),
                _ => return Err(ClientMemoryExhausted),
            }
        }
        Ok(())
    }

    /// Takes back what was held for the request of a connection.
    fn release(&self, id: u64, bytes: usize) {
        let mut inner = self.inner.borrow_mut();
        inner.held_bytes -= bytes;
        if let Some(entry) = inner.entries.get_mut(&id) {
            entry.held_bytes -= bytes;
        }
    }
}

impl Inner {
    fn lacks(&self, bytes: usize) -> bool {
        self.held_bytes + bytes > self.limits.max_held_bytes
    }

    fn first_evictable(&self) -> Option<u64> {
        self.eviction_order.first().map(|(_, _, id)| *id)
    }

    /// Returns the first connection in the order of eviction that holds at least as much
    /// as the average of those in this order, so that small requests are spared.
    fn oldest_large(&self) -> Option<u64> {
        let held = |id: &u64| self.entries[id].total_bytes();
        let ids = || self.eviction_order.iter().map(|(_, _, id)| *id);
        let evictable_bytes: usize = ids().map(|id| held(&id)).sum();
        let average_bytes = evictable_bytes / self.eviction_order.len().max(1);
        ids().find(|id| held(id) >= average_bytes.max(1))
    }

    /// Moves a connection to a phase, which is as old as the former one if it is the body
    /// of the same request.
    fn set_phase(&mut self, id: u64, phase: Phase) {
        let Some(mut entry) = self.entries.remove(&id) else {
            return;
        };
        self.leave(id, entry.phase, entry.since);
        if phase != Phase::Body {
            self.last_change += 1;
            entry.since = self.last_change;
        }
        entry.phase = phase;
        self.enter(id, entry.phase, entry.since);
        self.entries.insert(id, entry);
    }

    fn enter(&mut self, id: u64, phase: Phase, since: u64) {
        if let Some(rank) = phase.eviction_rank() {
            self.eviction_order.insert((rank, since, id));
        }
        if let Some(count) = self.counts.count(phase) {
            count.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn leave(&mut self, id: u64, phase: Phase, since: u64) {
        if let Some(rank) = phase.eviction_rank() {
            self.eviction_order.remove(&(rank, since, id));
        }
        if let Some(count) = self.counts.count(phase) {
            count.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn remove(&mut self, id: u64) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.leave(id, entry.phase, entry.since);
        self.held_bytes -= entry.answer_bytes;
        Some(entry)
    }

    fn set_answer_bytes(&mut self, id: u64, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(&id) {
            self.held_bytes = self.held_bytes + bytes - entry.answer_bytes;
            entry.answer_bytes = bytes;
        }
    }
}

/// The place of one connection in the table. Clones share it. An evicted connection has
/// none, and what is done with its slot has no effect.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionSlot {
    id: u64,
    table: ConnectionTable,
    shared: Rc<Shared>,
}

impl ConnectionSlot {
    /// Waits until the connection is to be closed for another one.
    pub(crate) async fn evicted(&self) {
        self.shared.evicted.notified().await;
    }

    /// Notes that bytes arrived: after an answer they begin another request.
    pub(crate) fn bytes_received(&self) {
        if self.phase() == Some(Phase::Idle) {
            self.set_phase(Phase::Head);
        }
    }

    /// Notes that the head of a request is complete, and that its body is not.
    pub(crate) fn body_expected(&self) {
        self.set_phase(Phase::Body);
    }

    /// Notes that the request is complete.
    pub(crate) fn request_received(&self) {
        self.set_phase(Phase::Serving);
    }

    /// Notes that the answer, whose body has this size, is to be sent.
    pub(crate) fn answer_started(&self, bytes: usize) {
        self.set_phase(Phase::Responding);
        self.table.hold_answer(self.id, bytes);
    }

    /// Notes that all bytes were handed to the system.
    pub(crate) fn all_sent(&self) {
        if self.phase() == Some(Phase::Responding) {
            self.set_phase(Phase::Idle);
            self.table.inner.borrow_mut().set_answer_bytes(self.id, 0);
        }
    }

    /// Returns whether the connection waits for its client.
    pub(crate) fn awaits_client(&self) -> bool {
        self.phase() != Some(Phase::Serving)
    }

    /// Counts the connection as closed by this side.
    pub(crate) fn count(&self, reason: CloseReason) {
        self.table.count(reason);
    }

    /// Reserves memory for the request of the connection until the returned value is
    /// dropped, also if the connection ends before.
    ///
    /// # Errors
    ///
    /// [`ClientMemoryExhausted`] if no other connection can be closed for it.
    pub(crate) fn hold(&self, bytes: usize) -> Result<HeldBytes, ClientMemoryExhausted> {
        let mut held = HeldBytes {
            slot: self.clone(),
            bytes: 0,
        };
        held.grow(bytes)?;
        Ok(held)
    }

    /// Adds a part to the body, whose memory is reserved in `held`.
    ///
    /// # Errors
    ///
    /// [`ClientMemoryExhausted`] if no other connection can be closed for it.
    pub(crate) fn append_to_body(
        &self,
        part: &[u8],
        held: &mut HeldBytes,
    ) -> Result<(), ClientMemoryExhausted> {
        let needed_bytes = self.shared.body.borrow().needed_bytes(part);
        held.grow(needed_bytes)?;
        self.shared.body.borrow_mut().append(part);
        Ok(())
    }

    /// Takes the body that was received so far.
    pub(crate) fn take_body(&self) -> BodyBuffer {
        self.shared.body.take()
    }

    /// Returns the most memory that may be held for all connections, in bytes.
    pub(crate) fn max_held_bytes(&self) -> usize {
        self.table.inner.borrow().limits.max_held_bytes
    }

    /// Removes the connection from the table when it has ended.
    pub(crate) fn close(&self) {
        self.table.inner.borrow_mut().remove(self.id);
    }

    fn phase(&self) -> Option<Phase> {
        let inner = self.table.inner.borrow();
        inner.entries.get(&self.id).map(|entry| entry.phase)
    }

    fn set_phase(&self, phase: Phase) {
        self.table.inner.borrow_mut().set_phase(self.id, phase);
    }
}

/// Memory that is reserved for the request of a client. That of an evicted connection is
/// free at once, since its task is about to end.
#[derive(Debug)]
pub struct HeldBytes {
    slot: ConnectionSlot,
    bytes: usize,
}

impl HeldBytes {
    /// Reserves more memory.
    ///
    /// # Errors
    ///
    /// [`ClientMemoryExhausted`] if no other connection can be closed for it.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), ClientMemoryExhausted> {
        if !self.slot.shared.is_evicted.get() {
            self.slot.table.hold(self.slot.id, bytes)?;
        }
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if !self.slot.shared.is_evicted.get() {
            self.slot.table.release(self.slot.id, self.bytes);
        }
    }
}
