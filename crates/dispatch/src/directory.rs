//! The entries that a process knows, and how long it remembers them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

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
    /// When each was last reached from here.
    reached: BTreeMap<SocketAddr, u64>,
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
        }
    }

    /// Notes addresses that somebody reached; true if one was not a target.
    pub fn learn(&mut self, now_ms: u64, entries: &[SocketAddr]) -> bool {
        let before = self.targets(now_ms).len();
        for entry in entries {
            self.heard.insert(*entry, now_ms);
        }
        self.targets(now_ms).len() > before
    }

    /// Notes an entry that was reached just now.
    pub fn reached(&mut self, now_ms: u64, entry: SocketAddr) {
        self.heard.insert(entry, now_ms);
        self.reached.insert(entry, now_ms);
    }

    /// All entries but this one that are worth a connection.
    #[must_use]
    pub fn targets(&self, now_ms: u64) -> BTreeSet<SocketAddr> {
        let heard = recent(&self.heard, now_ms);
        let all = self.seeds.iter().copied().chain(heard);
        all.filter(|entry| Some(*entry) != self.own).collect()
    }

    /// What is told to others: this entry and those reached lately. Nobody
    /// tells of an entry that it did not reach, so a dead one is forgotten.
    #[must_use]
    pub fn news(&self, now_ms: u64) -> Vec<SocketAddr> {
        let own = self.own.into_iter();
        let all: BTreeSet<SocketAddr> = own.chain(recent(&self.reached, now_ms)).collect();
        all.into_iter().collect()
    }
}

fn recent(times: &BTreeMap<SocketAddr, u64>, now_ms: u64) -> impl Iterator<Item = SocketAddr> {
    let is_recent = move |heard_ms: u64| now_ms < heard_ms + FORGET_MS;
    times
        .iter()
        .filter(move |(_, heard_ms)| is_recent(**heard_ms))
        .map(|(entry, _)| *entry)
}
