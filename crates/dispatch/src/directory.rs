//! The entries that a process knows, and how long it remembers them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;

use gannetvane_wire::Name;

use crate::SeenEntry;
use crate::rendezvous::RendezvousHash;

/// Entries that an agent keeps a link to: its messages stay the same in a larger
/// fleet, and each entry has agents enough while there are fewer entries than agents.
pub const MAX_LINKED_ENTRIES: usize = 12;

/// Other entries that an entry connects to; as many connect to it on average,
/// so that some hundred entries know each other after a few lists.
pub const MAX_LINKED_PEERS: usize = 8;

/// Time without any contact after which an entry is forgotten, in
/// milliseconds; long enough for a restart and for a cut to heal.
const FORGET_MS: u64 = 30_000;

/// Entries by address.
#[derive(Clone, Debug)]
pub struct Directory {
    own: Option<SocketAddr>,
    seeds: BTreeSet<SocketAddr>,
    /// When each was last named or reached.
    last_mentioned_ms: BTreeMap<SocketAddr, u64>,
    /// When each was last reached, by anybody.
    last_seen_ms: BTreeMap<SocketAddr, u64>,
    rendezvous: Option<RendezvousHash>,
    targets: Option<Targets>,
    /// Times that an entry was named or reached which was not known before.
    discoveries: u64,
}

/// The targets as they were last chosen.
#[derive(Clone, Debug)]
struct Targets {
    entries: BTreeSet<SocketAddr>,
    /// Whether seeds were among those to choose from.
    has_seeds: bool,
    /// Since when they hold, and until when none is forgotten.
    valid_ms: Range<u64>,
}

impl Directory {
    /// A directory that starts with seeds, which are never forgotten, and
    /// never names the process itself as a target.
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

    /// The same, with at most this many targets: those that rank highest for
    /// the chooser, by rendezvous hashing, so that a change of the set moves
    /// few links.
    #[must_use]
    pub fn with_max_targets(mut self, chooser: Name, max: usize) -> Self {
        self.rendezvous = Some(RendezvousHash::new(chooser, max));
        self.targets = None;
        self
    }

    /// Takes over other seeds.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
        self.targets = None;
    }

    /// Notes addresses that somebody reached; true if one was not a target.
    pub fn learn(&mut self, now_ms: u64, entries: &[SocketAddr]) -> bool {
        let before = self.targets(now_ms).len();
        for entry in entries {
            self.record_mentioned(now_ms, *entry, now_ms);
        }
        self.targets(now_ms).len() > before
    }

    /// Notes entries that others reached, as long ago as they say.
    pub fn merge_seen(&mut self, now_ms: u64, entries: &[SeenEntry]) {
        let recent = |entry: &&SeenEntry| u64::from(entry.age_ms) < FORGET_MS;
        for entry in entries.iter().filter(recent) {
            let at_ms = now_ms.saturating_sub(u64::from(entry.age_ms));
            self.record_seen(now_ms, entry.addr, at_ms);
        }
    }

    /// Notes an entry that was reached just now.
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

    /// Chooses between the targets and an entry that was not known before.
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

    /// A number that rises when an entry becomes known, so that it is dialed
    /// and told of at once: after a start of all processes, it would be without
    /// agents until the next look.
    #[must_use]
    pub fn discoveries(&self) -> u64 {
        self.discoveries
    }

    /// The entries, but this one, that are worth a connection. Looked at far more
    /// often than they change, and chosen among all that are known: they are
    /// remembered until one of those is forgotten.
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
            // Seeds may be long gone, so they do not take the places of others.
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

    /// What is told to agents: this entry and those reached lately.
    #[must_use]
    pub fn recent_addrs(&self, now_ms: u64) -> Vec<SocketAddr> {
        let reached = self.known(now_ms);
        reached.into_iter().map(|entry| entry.addr).collect()
    }

    /// What is told to other entries: this entry and those reached lately, with
    /// the time since then. It grows on its way, so that one that is gone is
    /// forgotten everywhere.
    #[must_use]
    pub fn known(&self, now_ms: u64) -> Vec<SeenEntry> {
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

/// Notes the time of a contact; whether the entry was not known.
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
