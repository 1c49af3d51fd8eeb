//! The entries that a process knows, and which of them it connects to.
//!
//! Every process starts with seeds from its settings and learns further entries by gossip.
//! It forgets an entry that nobody has mentioned for [`FORGET_MS`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;

use gannetvane_wire::Name;

use crate::SeenEntry;
use crate::rendezvous::RendezvousHash;

/// Largest number of entries that an agent keeps a link to. With this limit, the number of
/// its messages doesn't grow with the fleet, and each entry has enough agents as long as
/// there are fewer entries than agents.
pub const MAX_LINKED_ENTRIES: usize = 12;

/// Largest number of other entries that an entry connects to. On average the same number
/// of entries connect to it, so some hundred entries know each other after a few exchanges
/// of their lists.
pub const MAX_LINKED_PEERS: usize = 8;

/// Time after its last mention at which an entry is forgotten, in milliseconds. It is long
/// enough for a restart of the entry and for a network partition to heal.
const FORGET_MS: u64 = 30_000;

/// The addresses of known entries, with the times at which they were last mentioned and
/// last seen.
#[derive(Clone, Debug)]
pub struct Directory {
    /// Own address, if the process is an entry.
    own: Option<SocketAddr>,
    /// Entries named in the settings; they are never forgotten.
    seeds: BTreeSet<SocketAddr>,
    /// Time in milliseconds at which each entry was last reached, or named by others.
    last_mentioned_ms: BTreeMap<SocketAddr, u64>,
    /// Time in milliseconds at which this process or another one last reached each entry.
    last_seen_ms: BTreeMap<SocketAddr, u64>,
    /// Chooses the targets if their number is limited.
    rendezvous: Option<RendezvousHash>,
    /// Cached targets.
    targets: Option<Targets>,
    /// How many times an entry was mentioned or reached that was not known, or had been
    /// forgotten.
    discoveries: u64,
}

/// Cached result of the last choice of targets.
#[derive(Clone, Debug)]
struct Targets {
    entries: BTreeSet<SocketAddr>,
    /// Whether the seeds were candidates, because there were too few other entries.
    has_seeds: bool,
    /// Times in milliseconds between which the cache is valid: from the choice until the
    /// first candidate is forgotten.
    valid_ms: Range<u64>,
}

impl Directory {
    /// Returns a directory that knows only the seeds, which it never forgets. `own` is the
    /// address of the process itself, which is never a target.
    #[must_use]
    pub fn new(own: Option<SocketAddr>, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            own,
            seeds: seeds.into_iter().collect(),
            last_mentioned_ms: BTreeMap::new(),
            last_seen_ms: BTreeMap::new(),
            rendezvous: None,
            targets: None,
            discoveries: 0,
        }
    }

    /// Limits the number of targets to `max`. Rendezvous hashing with the name of this
    /// process, `chooser`, picks them, so that few links move when the set of entries
    /// changes.
    #[must_use]
    pub fn with_max_targets(mut self, chooser: Name, max: usize) -> Self {
        self.rendezvous = Some(RendezvousHash::new(chooser, max));
        self.targets = None;
        self
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
        self.targets = None;
    }

    /// Adds addresses that another process has recently reached, as mentioned just now.
    /// Returns true if the number of targets grew.
    pub fn add_mentioned(&mut self, now_ms: u64, entries: &[SocketAddr]) -> bool {
        let before = self.targets(now_ms).len();
        for entry in entries {
            self.record_mentioned(now_ms, *entry, now_ms);
        }
        self.targets(now_ms).len() > before
    }

    /// Adds entries that other entries reached, with the ages that they state. Entries that
    /// are too old are ignored.
    pub fn merge_seen(&mut self, now_ms: u64, entries: &[SeenEntry]) {
        let recent = |entry: &&SeenEntry| u64::from(entry.age_ms) < FORGET_MS;
        for entry in entries.iter().filter(recent) {
            let at_ms = now_ms.saturating_sub(u64::from(entry.age_ms));
            self.record_seen(now_ms, entry.addr, at_ms);
        }
    }

    /// Records that this process just reached an entry.
    pub fn mark_seen(&mut self, now_ms: u64, entry: SocketAddr) {
        self.record_seen(now_ms, entry, now_ms);
    }

    fn record_seen(&mut self, now_ms: u64, entry: SocketAddr, at_ms: u64) {
        self.record_mentioned(now_ms, entry, at_ms);
        self.discoveries += u64::from(record_time(&mut self.last_seen_ms, now_ms, entry, at_ms));
    }

    fn record_mentioned(&mut self, now_ms: u64, entry: SocketAddr, at_ms: u64) {
        if record_time(&mut self.last_mentioned_ms, now_ms, entry, at_ms) {
            self.discoveries += 1;
            self.add_target(now_ms, entry, at_ms);
        }
    }

    /// Adds an entry that was not known to the cached targets. Drops the cache if it has
    /// expired, if the seeds were candidates, or if the number of targets is not limited.
    fn add_target(&mut self, now_ms: u64, entry: SocketAddr, at_ms: u64) {
        let chosen = self.targets.take().zip(self.rendezvous.as_ref());
        self.targets = chosen.and_then(|(mut targets, rendezvous)| {
            if targets.has_seeds || !targets.valid_ms.contains(&now_ms) {
                return None;
            }
            if Some(entry) != self.own {
                targets.entries.insert(entry);
                targets.entries = rendezvous.select(targets.entries);
            }
            targets.valid_ms.end = targets.valid_ms.end.min(at_ms + FORGET_MS);
            Some(targets)
        });
    }

    /// Returns a number that rises whenever an entry becomes known. Processes watch it to
    /// connect to a new entry and to pass on its address at once. After a start of all
    /// processes, the entry would otherwise have no agents until the next periodic check.
    #[must_use]
    pub fn discoveries(&self) -> u64 {
        self.discoveries
    }

    /// Returns the entries to connect to, without this one. The choice considers all known
    /// entries and is read far more often than it changes, so it is cached until one of
    /// those entries is forgotten.
    pub fn targets(&mut self, now_ms: u64) -> BTreeSet<SocketAddr> {
        let cached = self.targets.take();
        let cached = cached.filter(|targets| targets.valid_ms.contains(&now_ms));
        let targets = cached.unwrap_or_else(|| self.choose(now_ms));
        self.targets.insert(targets).entries.clone()
    }

    fn choose(&self, now_ms: u64) -> Targets {
        let recent = || {
            let mentioned = self.last_mentioned_ms.iter();
            mentioned.filter(|(_, at_ms)| is_recent(now_ms, **at_ms))
        };
        let oldest_ms = recent().map(|(_, at_ms)| *at_ms).min();
        let mut entries: BTreeSet<SocketAddr> = recent().map(|(entry, _)| *entry).collect();
        let max = self
            .rendezvous
            .as_ref()
            .map_or(usize::MAX, RendezvousHash::max);
        let has_seeds = entries.len() < max;
        if has_seeds {
            // Seeds may no longer exist, so they are candidates only if the other entries
            // are fewer than the maximum.
            entries.extend(self.seeds.iter().copied());
        }
        entries.retain(|entry| Some(*entry) != self.own);
        if let Some(rendezvous) = &self.rendezvous {
            entries = rendezvous.select(entries);
        }
        Targets {
            entries,
            has_seeds,
            valid_ms: now_ms..oldest_ms.map_or(u64::MAX, |oldest_ms| oldest_ms + FORGET_MS),
        }
    }

    /// Returns the addresses that an entry sends to its agents: its own and those of the
    /// recently seen entries.
    #[must_use]
    pub fn recent_addrs(&self, now_ms: u64) -> Vec<SocketAddr> {
        let reached = self.seen_entries(now_ms);
        reached.into_iter().map(|entry| entry.addr).collect()
    }

    /// Returns the list that an entry sends to other entries: itself and the recently seen
    /// entries, with the time since each was last seen. Every receiver adds to this age, so
    /// that an entry that is gone is forgotten everywhere.
    #[must_use]
    pub fn seen_entries(&self, now_ms: u64) -> Vec<SeenEntry> {
        let own = self.own.map(|addr| (addr, now_ms));
        let recent = self
            .last_seen_ms
            .iter()
            .map(|(addr, at_ms)| (*addr, *at_ms));
        let others =
            recent.filter(|(addr, at_ms)| is_recent(now_ms, *at_ms) && Some(*addr) != self.own);
        let all: BTreeMap<SocketAddr, u64> = own.into_iter().chain(others).collect();
        let known = all.into_iter().map(|(addr, at_ms)| SeenEntry {
            addr,
            age_ms: u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX),
        });
        known.collect()
    }
}

/// Records that an entry was seen or mentioned at `at_ms`. Returns true if the entry was
/// not in `times`, or its time there was too old.
fn record_time(
    times: &mut BTreeMap<SocketAddr, u64>,
    now_ms: u64,
    entry: SocketAddr,
    at_ms: u64,
) -> bool {
    let known_ms = times.get(&entry).copied();
    times.insert(entry, at_ms.max(known_ms.unwrap_or(0)));
    known_ms.is_none_or(|known_ms| !is_recent(now_ms, known_ms))
}

fn is_recent(now_ms: u64, at_ms: u64) -> bool {
    now_ms < at_ms + FORGET_MS
}
