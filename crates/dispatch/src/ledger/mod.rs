//! The ledger: the partitions of the job log that an entry owns, and their stored jobs.
//!
//! The platform's store assigns the partitions to the members: the entries that have joined.
//! It fences an owner's appends once another entry has claimed the partition, but it doesn't
//! stop the runs of the former owner. An owner therefore lets tasks run only for
//! [`OWNER_LEASE_MS`] after the store last listed the partition as its own. The next owner
//! waits until this time and the leases of the runs are over before it starts jobs that
//! earlier owners accepted. Jobs submitted in the meantime have not run anywhere and start
//! at once.

mod calls;
mod jobs;
mod log;
pub(crate) mod partition;
mod records;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use gannetvane_wire::Name;

use crate::Dispatcher;
use crate::Disposition;
use crate::LogRecord;
use crate::Partition;
use crate::RUNS_GONE_AFTER_MS;
use crate::Refusal;
use crate::StoredAnswer;
use crate::StoredCaller;
use crate::dispatcher::EntryEvent;
use crate::ledger::calls::UnconfirmedCall;
use crate::ledger::calls::Watcher;
use crate::ledger::jobs::PendingEnd;
use crate::ledger::partition::Change;
use crate::ledger::partition::OwnedPartition;
use crate::ledger::partition::Stage;

/// Time for which an owner lets tasks run after the store last listed the partition as its
/// own, in milliseconds: five join intervals, so that one join may take long.
pub const OWNER_LEASE_MS: u64 = 1_500;
/// Time without a join after which the store assigns an entry's partitions to other members,
/// in milliseconds: three joins may be lost.
pub const MEMBER_TTL_MS: u64 = 1_200;
/// Fraction of the store's write rate for the records of jobs; the rest is left for joins,
/// repeated appends and other writes.
const JOB_WRITES_FRACTION: f64 = 0.8;
/// Minimum time between two joins, in milliseconds. It applies while calls wait for a join,
/// and after the members changed, because they often change again soon.
const MIN_JOIN_INTERVAL_MS: u64 = 100;
/// Usual time between two joins, in milliseconds.
const JOIN_INTERVAL_MS: u64 = 300;

/// Settings of a ledger.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// Number of partitions of the job log.
    pub partitions: u32,
    /// Number of appends per second that the store takes from all entries together.
    pub store_writes_per_s: u32,
}

impl LedgerSettings {
    /// Returns the pause between two appends to a partition, in milliseconds. With this pause,
    /// all partitions together stay below the store's rate.
    fn append_pause_ms(&self) -> u64 {
        let rate_per_s = f64::from(self.store_writes_per_s.max(1)) * JOB_WRITES_FRACTION;
        (f64::from(self.partitions) * 1_000.0 / rate_per_s).ceil() as u64
    }
}

/// The partitions that the store assigns to this entry, as the answer to a join lists them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Number that rises with each change of the members.
    pub generation: u64,
    /// Partitions of this entry.
    pub partitions: BTreeSet<Partition>,
}

/// Action that the process around a ledger carries out for it.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAction {
    /// Become a member or stay one. The result goes to [`Ledger::joined`].
    Join {
        /// Generation of the last assignment that this entry has carried out: it has released
        /// the partitions that this assignment doesn't list.
        generation: u64,
    },
    /// Stop being a member, so that the store assigns this entry no partitions.
    Leave,
    /// Append records to a partition, all or none. The result goes to [`Ledger::appended`].
    Append {
        /// Partition to append to.
        partition: Partition,
        /// This entry's epoch in the partition.
        epoch: u32,
        /// Number of the append in the epoch. The store carries out each number once.
        number: u64,
        /// Offset at which the partition must end; otherwise the store does nothing. `None`
        /// allows any offset.
        expected_end: Option<u64>,
        /// Records to append.
        records: Vec<LogRecord>,
    },
    /// Read the newest record of each key of a partition. The result goes to
    /// [`Ledger::loaded`].
    Load {
        /// Partition to read.
        partition: Partition,
        /// Number of the read, passed back with the result.
        load: u64,
    },
    /// Send the answer to a caller.
    Answer(StoredCaller, StoredAnswer),
    /// Log and count the event.
    Event(EntryEvent),
}

/// The stored jobs of an entry and the partitions that it owns.
#[derive(Debug)]
pub struct Ledger {
    pub(crate) settings: LedgerSettings,
    pub(crate) partitions: BTreeMap<Partition, OwnedPartition>,
    /// This entry's last epoch and the next append number in it, for each partition that it
    /// gave up.
    given_up_numbers: BTreeMap<Partition, (u32, u64)>,
    is_active: bool,
    is_stopping: bool,
    has_left: bool,
    /// Time of the next join in milliseconds; `None` while a join is under way or the ledger
    /// isn't active.
    join_due_ms: Option<u64>,
    /// Generation of the newest assignment.
    generation: u64,
    /// Generation of the last assignment that was carried out, with no partition left to
    /// release.
    accepted_generation: u64,
    /// Number of the next read of a partition.
    pub(crate) next_load: u64,
    last_join_ms: u64,
    pub(crate) watchers: Vec<Watcher>,
    pub(crate) unconfirmed_calls: Vec<UnconfirmedCall>,
    pub(crate) pending_ends: Vec<PendingEnd>,
    pub(crate) actions: Vec<LedgerAction>,
}

impl Ledger {
    /// Returns a ledger that is not active, so the entry is not a member yet.
    #[must_use]
    pub fn new(settings: LedgerSettings) -> Self {
        Self {
            settings,
            partitions: BTreeMap::new(),
            given_up_numbers: BTreeMap::new(),
            is_active: false,
            is_stopping: false,
            has_left: false,
            join_due_ms: None,
            generation: 0,
            accepted_generation: 0,
            next_load: 1,
            last_join_ms: 0,
            watchers: Vec::new(),
            unconfirmed_calls: Vec::new(),
            pending_ends: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Returns the actions to carry out, and removes them from the ledger.
    pub fn take_actions(&mut self) -> Vec<LedgerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns whether the ledger takes part in the ownership of partitions. It does once the
    /// entry knows that the deployment has stored jobs.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// Makes the ledger active. Returns `false` if it is active already or stopping.
    pub fn activate(&mut self, now_ms: u64) -> bool {
        if self.is_active || self.is_stopping {
            return false;
        }
        self.is_active = true;
        self.join_due_ms = Some(now_ms);
        true
    }

    /// Begins a planned stop: releases all partitions.
    pub fn begin_stop(&mut self, now_ms: u64, dispatcher: &mut Dispatcher) {
        self.is_stopping = true;
        let owned: Vec<Partition> = self.partitions.keys().copied().collect();
        for partition in owned {
            self.release(now_ms, partition, dispatcher);
        }
    }

    /// Returns whether a planned stop may proceed: the entry no longer owns a partition.
    #[must_use]
    pub fn can_stop(&self) -> bool {
        self.partitions.is_empty()
    }

    /// Handles the result of a join that was sent at `sent_ms`; `None` if it failed.
    pub fn joined(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        assignment: Option<Assignment>,
        dispatcher: &mut Dispatcher,
    ) {
        self.join_due_ms = Some(now_ms.max(sent_ms + JOIN_INTERVAL_MS));
        if !self.unconfirmed_calls.is_empty() {
            self.join_soon(now_ms);
        }
        let Some(assignment) = assignment else {
            return;
        };
        // A partition can have gone to another entry and come back only if the generation
        // rose by more than one.
        let has_gap = assignment.generation > self.generation + 1;
        if assignment.generation != self.generation {
            self.join_soon(now_ms);
        }
        self.generation = assignment.generation;
        let epoch = u32::try_from(self.generation).unwrap_or(u32::MAX);
        let owned: Vec<Partition> = self.partitions.keys().copied().collect();
        for partition in owned {
            if !assignment.partitions.contains(&partition) {
                self.release(now_ms, partition, dispatcher);
            }
        }
        for partition in assignment.partitions {
            if let Some(owned) = self.partitions.get_mut(&partition) {
                owned.confirmed_ms = owned.confirmed_ms.max(sent_ms);
                if has_gap {
                    owned.verify(epoch);
                }
            } else if !self.is_stopping {
                self.claim(now_ms, sent_ms, partition);
            }
        }
    }

    /// Begins to claim a partition that the store assigned to this entry.
    fn claim(&mut self, now_ms: u64, sent_ms: u64, partition: Partition) {
        let epoch = u32::try_from(self.generation).unwrap_or(u32::MAX);
        let first_number = match self.given_up_numbers.get(&partition) {
            Some((last, next)) if *last == epoch => *next,
            _ => 0,
        };
        // The store last listed the partition as the former owner's before it answered this
        // join, so that owner's lease ends within `OWNER_LEASE_MS` from now.
        let former_runs_gone_at_ms = now_ms + OWNER_LEASE_MS + RUNS_GONE_AFTER_MS;
        let mut owned = OwnedPartition::claim(epoch, sent_ms, former_runs_gone_at_ms, first_number);
        owned.append_pause_ms = self.settings.append_pause_ms();
        self.partitions.insert(partition, owned);
        self.event(
            "partition-claimed",
            None,
            format!("partition={} epoch={epoch}", partition.0),
        );
    }

    /// Begins to hand a partition over to another owner.
    fn release(&mut self, now_ms: u64, partition: Partition, dispatcher: &mut Dispatcher) {
        let Some(owned) = self.partitions.get_mut(&partition) else {
            return;
        };
        match owned.stage {
            Stage::Claiming | Stage::Loading => self.give_up(partition, "unlisted", dispatcher),
            Stage::Serving | Stage::Verifying => {
                owned.stage = Stage::Releasing { since_ms: now_ms };
                for id in owned.jobs.keys() {
                    dispatcher.pause_stored(id);
                }
            }
            Stage::Releasing { .. } | Stage::Flushing | Stage::RecordingRelease => {}
        }
    }

    /// Gives a partition up at once. Its runs are stopped, because none may go on at an entry
    /// that isn't the owner. It is unknown whether the unconfirmed changes are in the log.
    pub(crate) fn give_up(
        &mut self,
        partition: Partition,
        cause: &str,
        dispatcher: &mut Dispatcher,
    ) {
        let Some(mut owned) = self.partitions.remove(&partition) else {
            return;
        };
        self.given_up_numbers
            .insert(partition, (owned.epoch, owned.next_number));
        for id in owned.jobs.keys() {
            dispatcher.drop_stored(id);
        }
        for change in owned.take_changes() {
            match change {
                Change::TaskEnd(_, link, number) => {
                    dispatcher.send_disposition(link, number, Disposition::NotOwner);
                }
                Change::Accept(_, callers)
                | Change::JobEnd(_, _, callers)
                | Change::EarlyCancel(_, callers) => {
                    self.answer_all(&callers, StoredAnswer::OutcomeUnknown);
                }
                _ => {}
            }
        }
        let detail = format!(
            "partition={} epoch={} cause={cause} jobs={}",
            partition.0,
            owned.epoch,
            owned.jobs.len()
        );
        self.event("partition-left", None, detail);
    }

    /// Does what is due. Returns the latest time for the next call, in milliseconds. Call it
    /// before [`Dispatcher::tick`], so that an owner that was suspended stops its runs before
    /// it extends their grants.
    pub fn tick(&mut self, now_ms: u64, dispatcher: &mut Dispatcher) -> Option<u64> {
        if !self.is_active {
            // Retained ends are offered again when there is an owner.
            dispatcher.take_stored_events();
            return None;
        }
        self.expire(now_ms, dispatcher);
        let owned: Vec<Partition> = self.partitions.keys().copied().collect();
        for partition in &owned {
            self.process_jobs(now_ms, *partition, dispatcher);
        }
        for event in dispatcher.take_stored_events() {
            self.apply_event(now_ms, event, dispatcher);
        }
        self.decide_on_pending_ends(now_ms, dispatcher);
        for partition in owned {
            self.flush(now_ms, partition, dispatcher);
        }
        self.answer_confirmed_calls(now_ms, dispatcher);
        self.answer_watchers(now_ms, dispatcher);
        self.join_if_due(now_ms);
        self.next_due_ms(now_ms)
    }

    /// Gives up the partitions that the store has not listed as this entry's for more than
    /// [`OWNER_LEASE_MS`].
    fn expire(&mut self, now_ms: u64, dispatcher: &mut Dispatcher) {
        let is_expired = |owned: &OwnedPartition| now_ms > owned.confirmed_ms + OWNER_LEASE_MS;
        let unconfirmed = self
            .partitions
            .iter()
            .filter(|(_, owned)| is_expired(owned));
        let unconfirmed: Vec<Partition> = unconfirmed.map(|(partition, _)| *partition).collect();
        for partition in unconfirmed {
            self.give_up(partition, "unconfirmed", dispatcher);
        }
    }

    /// Brings the next join forward, unless one is under way.
    pub(crate) fn join_soon(&mut self, now_ms: u64) {
        let soon_ms = now_ms.max(self.last_join_ms + MIN_JOIN_INTERVAL_MS);
        self.join_due_ms = self.join_due_ms.map(|due_ms| due_ms.min(soon_ms));
    }

    fn join_if_due(&mut self, now_ms: u64) {
        if self.join_due_ms.is_none_or(|due_ms| now_ms < due_ms) || self.has_left {
            return;
        }
        self.join_due_ms = None;
        self.last_join_ms = now_ms;
        if self.is_stopping && self.partitions.is_empty() {
            self.has_left = true;
            self.actions.push(LedgerAction::Leave);
            return;
        }
        let is_releasing = self.partitions.values().any(OwnedPartition::is_releasing);
        if !is_releasing {
            // The store may now assign the partitions that are no longer listed to other members.
            self.accepted_generation = self.generation;
        }
        self.actions.push(LedgerAction::Join {
            generation: self.accepted_generation,
        });
    }

    /// Returns the latest time for the next tick, in milliseconds.
    fn next_due_ms(&self, now_ms: u64) -> Option<u64> {
        let owned = self.partitions.values();
        let times = owned.flat_map(|owned| {
            let former_runs_gone_at_ms =
                (owned.former_runs_gone_at_ms > now_ms).then_some(owned.former_runs_gone_at_ms);
            let lease_ms = Some(owned.confirmed_ms + OWNER_LEASE_MS + 1);
            let rest_ms = owned.start_rest_at_ms(now_ms);
            [
                owned.next_due_ms(),
                former_runs_gone_at_ms,
                lease_ms,
                rest_ms,
            ]
        });
        let due_ms = times.flatten().chain(self.join_due_ms).min();
        let watchers_ms = self.watchers.iter().map(|watcher| watcher.until_ms);
        let due_ms = due_ms.into_iter().chain(watchers_ms).min();
        due_ms.map(|due_ms| due_ms.max(now_ms + 1))
    }

    pub(crate) fn refuse(&mut self, id: &Name, callers: &[StoredCaller], refusal: Refusal) {
        self.actions.push(LedgerAction::Event(EntryEvent {
            event: "refused",
            job: Some(id.clone()),
            detail: format!("reason={}", refusal.name()),
            reason: refusal.name(),
            took_ms: Some(0),
        }));
        self.answer_all(callers, StoredAnswer::Refused(refusal));
    }

    pub(crate) fn answer_all(&mut self, callers: &[StoredCaller], answer: StoredAnswer) {
        let answers = callers
            .iter()
            .map(|caller| LedgerAction::Answer(*caller, answer));
        self.actions.extend(answers);
    }

    pub(crate) fn event(&mut self, event: &'static str, job: Option<Name>, detail: String) {
        self.actions.push(LedgerAction::Event(EntryEvent {
            event,
            job,
            detail,
            reason: "",
            took_ms: None,
        }));
    }
}
