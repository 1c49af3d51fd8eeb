//! Stored jobs at an entry: the partitions of the job log that it owns, and
//! what it does for their jobs.
//!
//! The platform's store divides the partitions among the entries and fences an
//! owner's appends once another has claimed the partition. It does not stop the
//! runs of a former owner, so an owner runs tasks only for [`OWNER_LEASE_MS`]
//! after the store last listed the partition as its own, and the next one waits
//! until that time and the runs' own leases are over. Jobs that come in
//! meanwhile have not run anywhere and start at once.

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

/// Time for which an owner runs tasks after the store last listed a partition
/// as its own, in milliseconds: five joins, one of them may take long.
pub const OWNER_LEASE_MS: u64 = 1_500;
/// Time without a join after which the store gives an entry's partitions to
/// others, in milliseconds: three joins may be lost.
pub const MEMBER_TTL_MS: u64 = 1_200;
/// Part of the store's rate that job records may take; the rest is left for
/// joins, repeats and what else is written.
const JOB_WRITES_FRACTION: f64 = 0.8;
/// Least pause between two joins, in milliseconds: while calls wait for one, and
/// after the group changed, since it often does so again.
const MIN_JOIN_INTERVAL_MS: u64 = 100;
/// Pause between two joins, in milliseconds.
const JOIN_INTERVAL_MS: u64 = 300;

/// Settings of a ledger.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// Parts of the job log.
    pub partitions: u32,
    /// Appends that the store takes each second, from all entries together.
    pub store_writes_per_s: u32,
}

impl LedgerSettings {
    /// Pause between two appends to a partition, in milliseconds, with which
    /// all partitions together stay below what the store takes.
    fn append_pause_ms(&self) -> u64 {
        let rate_per_s = f64::from(self.store_writes_per_s.max(1)) * JOB_WRITES_FRACTION;
        (f64::from(self.partitions) * 1_000.0 / rate_per_s).ceil() as u64
    }
}

/// The partitions that the store lists as ours.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Rises with each change of the group.
    pub generation: u64,
    /// The partitions.
    pub partitions: BTreeSet<Partition>,
}

/// What a ledger asks the process around it to do.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAction {
    /// Join the group of entries or stay in it; the result goes to
    /// [`Ledger::joined`].
    Join {
        /// The generation that is taken over.
        generation: u64,
    },
    /// Leave the group.
    Leave,
    /// Append to a partition; the result goes to [`Ledger::appended`].
    Append {
        /// The partition.
        partition: Partition,
        /// Our epoch there.
        epoch: u32,
        /// Number of the append; one that is repeated is done once.
        number: u64,
        /// Where the partition must end; otherwise nothing is done.
        expected_end: Option<u64>,
        /// The records.
        records: Vec<LogRecord>,
    },
    /// Read the newest records of a partition; they go to [`Ledger::loaded`].
    Load {
        /// The partition.
        partition: Partition,
        /// Number of the read.
        load: u64,
    },
    /// Answer a caller.
    Answer(StoredCaller, StoredAnswer),
    /// Log and count.
    Event(EntryEvent),
}

/// The stored jobs of an entry.
#[derive(Debug)]
pub struct Ledger {
    pub(crate) settings: LedgerSettings,
    pub(crate) partitions: BTreeMap<Partition, OwnedPartition>,
    /// The epoch and next number of partitions that were given up.
    given_up_numbers: BTreeMap<Partition, (u32, u64)>,
    is_active: bool,
    is_stopping: bool,
    has_left: bool,
    join_due_ms: Option<u64>,
    /// The newest generation, and the last one taken over.
    generation: u64,
    accepted_generation: u64,
    pub(crate) next_load: u64,
    last_join_ms: u64,
    pub(crate) watchers: Vec<Watcher>,
    pub(crate) unconfirmed_calls: Vec<UnconfirmedCall>,
    pub(crate) pending_ends: Vec<PendingEnd>,
    pub(crate) actions: Vec<LedgerAction>,
}

impl Ledger {
    /// A ledger that takes no part yet.
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

    /// Takes what there is to do since the last call.
    pub fn take_actions(&mut self) -> Vec<LedgerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Whether there are stored jobs in this deployment, as far as is known.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// Begins to take part; `false` if it did already.
    pub fn activate(&mut self, now_ms: u64) -> bool {
        if self.is_active || self.is_stopping {
            return false;
        }
        self.is_active = true;
        self.join_due_ms = Some(now_ms);
        true
    }

    /// Begins a planned stop: all partitions go to others.
    pub fn begin_stop(&mut self, now_ms: u64, dispatcher: &mut Dispatcher) {
        self.is_stopping = true;
        let owned: Vec<Partition> = self.partitions.keys().copied().collect();
        for partition in owned {
            self.release(now_ms, partition, dispatcher);
        }
    }

    /// Whether a planned stop has handed everything over.
    #[must_use]
    pub fn may_stop(&self) -> bool {
        self.partitions.is_empty()
    }

    /// The store answered a join that was sent at `sent_ms`, or did not.
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
        // A partition may have gone to another entry and come back only if there
        // was more than one change.
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

    fn claim(&mut self, now_ms: u64, sent_ms: u64, partition: Partition) {
        let epoch = u32::try_from(self.generation).unwrap_or(u32::MAX);
        let first_number = match self.given_up_numbers.get(&partition) {
            Some((last, next)) if *last == epoch => *next,
            _ => 0,
        };
        // The last owner was listed before this answer was made.
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

    /// A partition goes to another owner.
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

    /// Gives a partition up at once: nothing is known to lie in the log any
    /// more, and nothing of it may run.
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
                Change::Accept(_, callers) | Change::JobEnd(_, _, callers) => {
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

    /// Does what is due; returns when to call again at the latest. Call it
    /// before [`Dispatcher::tick`], so that an owner that stood still stops its
    /// runs before it grants them more time.
    pub fn tick(&mut self, now_ms: u64, dispatcher: &mut Dispatcher) -> Option<u64> {
        if !self.is_active {
            // Offers come again when there is an owner.
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

    /// Gives up what the store has not listed as ours for too long.
    fn expire(&mut self, now_ms: u64, dispatcher: &mut Dispatcher) {
        let is_over = |owned: &OwnedPartition| now_ms > owned.confirmed_ms + OWNER_LEASE_MS;
        let unconfirmed = self.partitions.iter().filter(|(_, owned)| is_over(owned));
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
            // What is no longer listed may go to others now.
            self.accepted_generation = self.generation;
        }
        self.actions.push(LedgerAction::Join {
            generation: self.accepted_generation,
        });
    }

    fn next_due_ms(&self, now_ms: u64) -> Option<u64> {
        let owned = self.partitions.values();
        let times = owned.flat_map(|owned| {
            let former_runs_gone_at_ms =
                (owned.former_runs_gone_at_ms > now_ms).then_some(owned.former_runs_gone_at_ms);
            let lease_ms = Some(owned.confirmed_ms + OWNER_LEASE_MS + 1);
            [owned.next_due_ms(), former_runs_gone_at_ms, lease_ms]
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
