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
    sent_version: u64,
    sent_evacuations_offset: u64,
    sent_crash_sequence: u64,
    sent_entries: Vec<SocketAddr>,
    last_list_ms: Option<u64>,
}

impl GossipSender {
    /// What changed since the last frame; everything in the first one.
    pub fn next_frame(
        &mut self,
        now_ms: u64,
        gossip: &GossipState,
        known: impl FnOnce() -> Vec<SeenEntry>,
    ) -> PeerFrame {
        let has_newer_table = gossip.table.version > self.sent_version;
        self.sent_version = gossip.table.version;
        let has_newer_evacuations = gossip.evacuations.log_offset > self.sent_evacuations_offset;
        self.sent_evacuations_offset = gossip.evacuations.log_offset;
        let crashes = gossip.crashes.since(now_ms, self.sent_crash_sequence);
        self.sent_crash_sequence = gossip.crashes.last_sequence();
        PeerFrame {
            entries: self.next_entries(now_ms, gossip, known),
            table: has_newer_table.then(|| (*gossip.table).clone()),
            has_stored_jobs: gossip.has_stored_jobs,
            evacuations: has_newer_evacuations.then(|| gossip.evacuations.clone()),
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
            .last_list_ms
            .is_none_or(|at_ms| now_ms >= at_ms + FULL_LIST_INTERVAL_MS);
        if !is_list_due && self.sent_entries == gossip.entries {
            return Vec::new();
        }
        let mut entries = known();
        if is_list_due {
            self.last_list_ms = Some(now_ms);
        } else {
            entries.retain(|entry| self.sent_entries.binary_search(&entry.addr).is_err());
        }
        self.sent_entries.clone_from(&gossip.entries);
        entries
    }
}
