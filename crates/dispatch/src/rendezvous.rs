//! Which of many entries a process links to.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use gannetvane_wire::Name;
use xxhash_rust::xxh3::xxh3_64;

/// A bound on the entries that are chosen, by rendezvous hashing: a change of
/// the set moves few links, and any process can tell what another one chooses.
#[derive(Clone, Debug)]
pub(crate) struct RendezvousHash {
    /// Whose choice it is; others choose other entries.
    chooser: Name,
    max: usize,
}

impl RendezvousHash {
    pub(crate) fn new(chooser: Name, max: usize) -> Self {
        Self { chooser, max }
    }

    pub(crate) fn max(&self) -> usize {
        self.max
    }

    /// Those that rank highest for the chooser.
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
