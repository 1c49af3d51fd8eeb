//! What an entry tells other entries, and what was told on a connection.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::Evacuations;
use crate::KnownCrashes;
use crate::PeerFrame;
use crate::RoutingTable;
use crate::SeenEntry;

/// Time from a frame with all known entries to the next, in milliseconds: a little
/// less than five keepalives. Entries that became known are told at once.
const FULL_LIST_INTERVAL_MS: u64 = 4_500;

/// What an entry tells the others.
#[derive(Clone, Debug, Default)]
pub struct GossipState {
    /// The configuration in force.
    pub table: Arc<RoutingTable>,
    /// The zones that are being emptied.
    pub evacuations: Evacuations,
    /// The entries that are known, in order.
    pub entries: Vec<SocketAddr>,
    /// Whether there are stored jobs.
    pub has_stored_jobs: bool,
    /// Crashes of minions under tasks.
    pub crashes: KnownCrashes,
}

/// What was told on a connection.
#[derive(Debug, Default)]
pub struct GossipSender {
    version: u64,
    sent_evacuations_offset: u64,
    last_crash: u64,
    entries: Vec<SocketAddr>,
    listed_ms: Option<u64>,
}

impl GossipSender {
    /// What changed since the last frame; everything in the first one.
    pub fn next_frame(
        &mut self,
        now_ms: u64,
        gossip: &GossipState,
        known: impl FnOnce() -> Vec<SeenEntry>,
    ) -> PeerFrame {
        let is_newer = gossip.table.version > self.version;
        self.version = gossip.table.version;
        let is_later = gossip.evacuations.log_offset > self.sent_evacuations_offset;
        self.sent_evacuations_offset = gossip.evacuations.log_offset;
        let crashes = gossip.crashes.since(now_ms, self.last_crash);
        self.last_crash = gossip.crashes.last();
        PeerFrame {
            entries: self.next_entries(now_ms, gossip, known),
            table: is_newer.then(|| (*gossip.table).clone()),
            has_stored_jobs: gossip.has_stored_jobs,
            evacuations: is_later.then(|| gossip.evacuations.clone()),
            crashes,
        }
    }

    /// All entries from time to time, since their ages are news too; otherwise
    /// those that became known.
    fn next_entries(
        &mut self,
        now_ms: u64,
        gossip: &GossipState,
        known: impl FnOnce() -> Vec<SeenEntry>,
    ) -> Vec<SeenEntry> {
        let is_list_due = self
            .listed_ms
            .is_none_or(|at_ms| now_ms >= at_ms + FULL_LIST_INTERVAL_MS);
        if !is_list_due && self.entries == gossip.entries {
            return Vec::new();
        }
        let mut entries = known();
        if is_list_due {
            self.listed_ms = Some(now_ms);
        } else {
            entries.retain(|entry| self.entries.binary_search(&entry.addr).is_err());
        }
        self.entries.clone_from(&gossip.entries);
        entries
    }
}
