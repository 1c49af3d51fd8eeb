//! Retains the ids and answers of submissions, grouped in generations.

use std::collections::BTreeMap;
use std::sync::Arc;

use gannetvane_wire::Answer;
use gannetvane_wire::HandoverEntry;
use gannetvane_wire::NodeId;
use gannetvane_wire::SubmissionId;

/// Length of one generation in milliseconds. All processes must use the same
/// value.
pub const GENERATION_MS: u64 = 60_000;

/// Limits of a [`SubmissionTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSettings {
    /// Number of generations that are retained, including the current one.
    pub kept_generations: u32,
    /// Maximum number of bytes of task output that are retained. Beyond it the
    /// oldest answers are dropped, while their ids are retained.
    pub max_answer_bytes: usize,
}

impl TableSettings {
    /// Returns the minimum time in milliseconds for which an id is retained.
    #[must_use]
    pub fn retention_ms(&self) -> u64 {
        GENERATION_MS * u64::from(self.kept_generations.saturating_sub(1))
    }
}

/// The result of looking up an id in a [`SubmissionTable`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The id belongs to another home.
    Foreign,
    /// The generation of the id is no longer retained.
    Expired,
    /// The generation of the id has not begun yet.
    Future,
    /// No submission with this id has arrived.
    New,
    /// The id is in use by a submission with different content.
    Reused,
    /// The submission has no final answer yet.
    Open,
    /// The submission has ended with this answer.
    Answered(Arc<Answer>),
    /// The submission has ended, and its answer is no longer retained.
    Dropped,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    state: EntryState,
}

#[derive(Clone, Debug)]
enum EntryState {
    Open,
    Answered(Arc<Answer>),
    Dropped,
}

/// The ids that one home has received, grouped in generations and dropped one
/// whole generation at a time.
///
/// A generation is a number that the home advances on its own clock, so the
/// clocks of two processes are never compared. An id of a dropped generation is
/// never accepted.
#[derive(Clone, Debug)]
pub struct SubmissionTable {
    home: NodeId,
    settings: TableSettings,
    started_at_ms: i64,
    /// Generation in which the table was created or taken over.
    created_in: u32,
    oldest: u32,
    generations: BTreeMap<u32, BTreeMap<u64, Entry>>,
    answer_bytes: usize,
}

impl SubmissionTable {
    /// Creates an empty table of a home that has been up for `uptime_ms`.
    #[must_use]
    pub fn new(home: NodeId, settings: TableSettings, now_ms: u64, uptime_ms: u64) -> Self {
        Self {
            home,
            settings,
            started_at_ms: now_ms.cast_signed() - uptime_ms.cast_signed(),
            created_in: generation_at(uptime_ms),
            oldest: 0,
            generations: BTreeMap::new(),
            answer_bytes: 0,
        }
    }

    /// Returns the home that the ids of this table name.
    #[must_use]
    pub fn home(&self) -> NodeId {
        self.home
    }

    /// Returns the milliseconds since the home started.
    #[must_use]
    pub fn uptime_ms(&self, now_ms: u64) -> u64 {
        (now_ms.cast_signed() - self.started_at_ms)
            .max(0)
            .cast_unsigned()
    }

    /// Returns whether more than `retention_ms` have passed since the end of
    /// the newest generation that an id of this table can name. That is the
    /// generation in which the table was taken over, or a later one of a
    /// retained id. This is for the table of a home that left, which creates no
    /// further ids.
    #[must_use]
    pub fn is_past(&self, now_ms: u64, retention_ms: u64) -> bool {
        let newest = self
            .generations
            .keys()
            .next_back()
            .copied()
            .unwrap_or(self.created_in);
        let end_ms = u64::from(newest.max(self.created_in) + 1) * GENERATION_MS;
        self.uptime_ms(now_ms) > end_ms + retention_ms
    }

    /// Returns the oldest generation that is retained.
    #[must_use]
    pub fn oldest_generation(&self) -> u32 {
        self.oldest
    }

    /// Drops all generations before `oldest`; their ids are not accepted any
    /// more.
    pub fn raise_oldest(&mut self, oldest: u32) {
        self.oldest = self.oldest.max(oldest);
        let kept = self.generations.split_off(&self.oldest);
        let dropped = std::mem::replace(&mut self.generations, kept);
        for entry in dropped.values().flat_map(BTreeMap::values) {
            self.answer_bytes -= entry.bytes();
        }
    }

    /// Drops the generations that are older than the retention.
    pub fn advance(&mut self, now_ms: u64) {
        let current = generation_at(self.uptime_ms(now_ms));
        let oldest = (current + 1).saturating_sub(self.settings.kept_generations);
        if oldest > self.oldest {
            self.raise_oldest(oldest);
        }
    }

    /// Looks up an id whose submission has this `fingerprint`, the hash of its
    /// content; 0 matches any content. Call [`Self::advance`] first.
    #[must_use]
    pub fn lookup(&self, now_ms: u64, id: SubmissionId, fingerprint: u64) -> Lookup {
        if id.home != self.home {
            return Lookup::Foreign;
        }
        if id.generation < self.oldest {
            return Lookup::Expired;
        }
        // An entry computes generations on its own clock, so it may be one
        // ahead.
        let newest = generation_at(self.uptime_ms(now_ms)) + 1;
        if id.generation > newest {
            return Lookup::Future;
        }
        let entries = self.generations.get(&id.generation);
        match entries.and_then(|entries| entries.get(&id.nonce)) {
            None => Lookup::New,
            Some(entry) => entry.lookup(fingerprint),
        }
    }

    /// Records that the submission with this id is being run.
    pub fn open(&mut self, id: SubmissionId, fingerprint: u64) {
        self.insert_entry(
            id,
            Entry {
                fingerprint,
                state: EntryState::Open,
            },
        );
    }

    /// Records the final answer of a submission.
    pub fn answer(&mut self, id: SubmissionId, fingerprint: u64, answer: Arc<Answer>) {
        self.insert_entry(
            id,
            Entry {
                fingerprint,
                state: EntryState::Answered(answer),
            },
        );
        self.drop_oldest_answers();
    }

    /// Adds a submission from a table that another agent hands over.
    pub fn adopt(&mut self, entry: HandoverEntry) {
        let state = entry
            .answer
            .map_or(EntryState::Dropped, EntryState::Answered);
        self.insert_entry(
            entry.id,
            Entry {
                fingerprint: entry.fingerprint,
                state,
            },
        );
        self.drop_oldest_answers();
    }

    /// Returns all retained submissions, to hand the table over. All of them
    /// must have ended: an open submission is exported without an answer, so
    /// that the successor records it as ended with a dropped answer.
    #[must_use]
    pub fn export(&self) -> Vec<HandoverEntry> {
        let mut exported = Vec::with_capacity(self.len());
        for (generation, entries) in &self.generations {
            for (nonce, entry) in entries {
                let id = SubmissionId {
                    home: self.home,
                    generation: *generation,
                    nonce: *nonce,
                };
                let answer = match &entry.state {
                    EntryState::Answered(answer) => Some(Arc::clone(answer)),
                    EntryState::Open | EntryState::Dropped => None,
                };
                exported.push(HandoverEntry {
                    id,
                    fingerprint: entry.fingerprint,
                    answer,
                });
            }
        }
        exported
    }

    /// Returns the number of ids retained.
    #[must_use]
    pub fn len(&self) -> usize {
        self.generations.values().map(BTreeMap::len).sum()
    }

    /// Returns whether no id is retained.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of bytes of task output retained.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    fn insert_entry(&mut self, id: SubmissionId, entry: Entry) {
        if id.generation < self.oldest {
            return;
        }
        self.answer_bytes += entry.bytes();
        let entries = self.generations.entry(id.generation).or_default();
        if let Some(replaced) = entries.insert(id.nonce, entry) {
            self.answer_bytes -= replaced.bytes();
        }
    }

    /// Drops the oldest answers if the limit on retained output is exceeded.
    fn drop_oldest_answers(&mut self) {
        if self.answer_bytes <= self.settings.max_answer_bytes {
            return;
        }
        // Frees a quarter of the space at once, so that this scan is rare.
        let target_bytes = self.settings.max_answer_bytes / 4 * 3;
        for entry in self.generations.values_mut().flat_map(BTreeMap::values_mut) {
            if self.answer_bytes <= target_bytes {
                break;
            }
            if matches!(entry.state, EntryState::Answered(_)) {
                self.answer_bytes -= entry.bytes();
                entry.state = EntryState::Dropped;
            }
        }
    }
}

impl Entry {
    fn lookup(&self, fingerprint: u64) -> Lookup {
        if fingerprint != 0 && self.fingerprint != 0 && fingerprint != self.fingerprint {
            return Lookup::Reused;
        }
        match &self.state {
            EntryState::Open => Lookup::Open,
            EntryState::Answered(answer) => Lookup::Answered(Arc::clone(answer)),
            EntryState::Dropped => Lookup::Dropped,
        }
    }

    fn bytes(&self) -> usize {
        match &self.state {
            EntryState::Open | EntryState::Dropped => 0,
            EntryState::Answered(answer) => answer.tasks.iter().map(|t| t.output.len()).sum(),
        }
    }
}

/// Returns the current generation of a home that has been up for `uptime_ms`.
#[must_use]
pub(crate) fn generation_at(uptime_ms: u64) -> u32 {
    u32::try_from(uptime_ms / GENERATION_MS).unwrap_or(u32::MAX - 1)
}
