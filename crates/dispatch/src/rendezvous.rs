//! Choice of the entries that a process connects to, by rendezvous hashing.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use gannetvane_wire::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Selects a limited number of entries by rendezvous hashing. When the set of entries
/// changes, few links move, and any process can compute what another one selects.
#[derive(Clone, Debug)]
pub(crate) struct RendezvousHash {
    /// Name of the process that selects; other names lead to other entries.
    chooser: Name,
    /// Largest number of selected entries.
    max: usize,
}

impl RendezvousHash {
    pub(crate) fn new(chooser: Name, max: usize) -> Self {
        Self { chooser, max }
    }

    pub(crate) fn max(&self) -> usize {
        self.max
    }

    /// Returns the entries with the highest ranks for the chooser, at most `max`.
    pub(crate) fn select(&self, entries: BTreeSet<SocketAddr>) -> BTreeSet<SocketAddr> {
        if entries.len() <= self.max {
            return entries;
        }
        let rank = |entry| (Reverse(self.rank(entry)), entry);
        let mut ranked: Vec<_> = entries.into_iter().map(rank).collect();
        ranked.select_nth_unstable(self.max);
        ranked.truncate(self.max);
        ranked.into_iter().map(|(_, entry)| entry).collect()
    }

    fn rank(&self, entry: SocketAddr) -> u64 {
        let key = format!("{} {entry}", self.chooser);
        xxh3_64(key.as_bytes())
    }
}
