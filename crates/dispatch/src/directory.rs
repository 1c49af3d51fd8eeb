//! The entries that a process knows, and how long it remembers them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use gannetvane_wire::Name;

use crate::KnownEntry;
use crate::choice::Choice;

/// Entries that an agent keeps a link to: its messages stay the same in a larger
/// fleet, and each entry has agents enough while there are fewer entries than agents.
pub const LINKED_ENTRIES: usize = 12;

/// Other entries that an entry connects to; as many connect to it on average,
/// so that some hundred entries know each other after a few lists.
pub const LINKED_PEERS: usize = 8;

/// Time without any contact after which an entry is forgotten, in
/// milliseconds; long enough for a restart and for a cut to heal.
const FORGET_MS: u64 = 30_000;

/// Entries by address.
#[derive(Clone, Debug)]
pub struct Directory {
    own: Option<SocketAddr>,
    seeds: BTreeSet<SocketAddr>,
    /// When each was last named or reached.
    heard: BTreeMap<SocketAddr, u64>,
    /// When each was last reached, by anybody.
    reached: BTreeMap<SocketAddr, u64>,
    choice: Option<Choice>,
    /// Times that an entry was named or reached which was not known before.
    gains: u64,
}

impl Directory {
    /// A directory that starts with seeds, which are never forgotten, and
    /// never names the process itself as a target.
    #[must_use]
    pub fn new(own: Option<SocketAddr>, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            own,
            seeds: seeds.into_iter().collect(),
            heard: BTreeMap::new(),
            reached: BTreeMap::new(),
            choice: None,
            gains: 0,
        }
    }

    /// The same, with at most this many targets: those that rank highest for
    /// the chooser, by rendezvous hashing, so that a change of the set moves
    /// few links.
    #[must_use]
    pub fn with_choice(mut self, chooser: Name, most: usize) -> Self {
        self.choice = Some(Choice::new(chooser, most));
        self
    }

    /// Takes over other seeds.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
    }

    /// Notes addresses that somebody reached; true if one was not a target.
    pub fn learn(&mut self, now_ms: u64, entries: &[SocketAddr]) -> bool {
        let before = self.targets(now_ms).len();
        for entry in entries {
            self.gains += u64::from(note(&mut self.heard, now_ms, *entry, now_ms));
        }
        self.targets(now_ms).len() > before
    }

    /// Notes entries that others reached, as long ago as they say.
    pub fn learn_reached(&mut self, now_ms: u64, entries: &[KnownEntry]) {
        let recent = |entry: &&KnownEntry| u64::from(entry.age_ms) < FORGET_MS;
        for entry in entries.iter().filter(recent) {
            let at_ms = now_ms.saturating_sub(u64::from(entry.age_ms));
            for times in [&mut self.heard, &mut self.reached] {
                self.gains += u64::from(note(times, now_ms, entry.addr, at_ms));
            }
        }
    }

    /// Notes an entry that was reached just now.
    pub fn reached(&mut self, now_ms: u64, entry: SocketAddr) {
        for times in [&mut self.heard, &mut self.reached] {
            self.gains += u64::from(note(times, now_ms, entry, now_ms));
        }
    }

    /// A number that rises when an entry becomes known, so that it is dialed
    /// and told of at once: after a start of all processes, it would be without
    /// agents until the next look.
    #[must_use]
    pub fn gains(&self) -> u64 {
        self.gains
    }

    /// The entries, but this one, that are worth a connection.
    #[must_use]
    pub fn targets(&self, now_ms: u64) -> BTreeSet<SocketAddr> {
        let heard: BTreeSet<SocketAddr> = recent(&self.heard, now_ms).collect();
        let most = self.choice.as_ref().map_or(usize::MAX, Choice::most);
        let mut targets = heard;
        if targets.len() < most {
            // Seeds may be long gone, so they do not take the places of others.
            targets.extend(self.seeds.iter().copied());
        }
        targets.retain(|entry| Some(*entry) != self.own);
        match &self.choice {
            Some(choice) => choice.highest(targets),
            None => targets,
        }
    }

    /// What is told to agents: this entry and those reached lately.
    #[must_use]
    pub fn news(&self, now_ms: u64) -> Vec<SocketAddr> {
        let reached = self.known(now_ms);
        reached.into_iter().map(|entry| entry.addr).collect()
    }

    /// What is told to other entries: this entry and those reached lately, with
    /// the time since then. It grows on its way, so that one that is gone is
    /// forgotten everywhere.
    #[must_use]
    pub fn known(&self, now_ms: u64) -> Vec<KnownEntry> {
        let own = self.own.map(|addr| (addr, now_ms));
        let recent = self.reached.iter().map(|(addr, at_ms)| (*addr, *at_ms));
        let others =
            recent.filter(|(addr, at_ms)| is_recent(now_ms, *at_ms) && Some(*addr) != self.own);
        let all: BTreeMap<SocketAddr, u64> = own.into_iter().chain(others).collect();
        let known = all.into_iter().map(|(addr, at_ms)| KnownEntry {
            addr,
            age_ms: u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX),
        });
        known.collect()
    }
}

/// Notes the time of a contact; whether the entry was not known.
fn note(times: &mut BTreeMap<SocketAddr, u64>, now_ms: u64, entry: SocketAddr, at_ms: u64) -> bool {
    let known_ms = times.get(&entry).copied();
    times.insert(entry, at_ms.max(known_ms.unwrap_or(0)));
    known_ms.is_none_or(|known_ms| !is_recent(now_ms, known_ms))
}

fn is_recent(now_ms: u64, at_ms: u64) -> bool {
    now_ms < at_ms + FORGET_MS
}

fn recent(times: &BTreeMap<SocketAddr, u64>, now_ms: u64) -> impl Iterator<Item = SocketAddr> {
    let recent = times
        .iter()
        .filter(move |(_, at_ms)| is_recent(now_ms, **at_ms));
    recent.map(|(entry, _)| *entry)
}
