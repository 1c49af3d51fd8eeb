//! Gossip between entries: the state that an entry spreads, and the updates that it sends
//! on each connection.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::Evacuations;
use crate::KnownCrashes;
use crate::KnownDelayedStarts;
use crate::PeerFrame;
use crate::ReportedStarts;
use crate::RoutingTable;
use crate::SeenEntry;

/// Time between two frames with all known entries on a connection, in milliseconds: a
/// little less than five keepalives between entries. An entry that became known is sent at
/// once.
const FULL_LIST_INTERVAL_MS: u64 = 4_500;

/// State that an entry spreads to the other entries.
#[derive(Clone, Debug, Default)]
pub struct GossipState {
    /// Configuration that the entry uses.
    pub table: Arc<RoutingTable>,
    /// Evacuated zones.
    pub evacuations: Evacuations,
    /// Addresses of the recently seen entries, sorted.
    pub entries: Vec<SocketAddr>,
    /// Whether the deployment has stored jobs, as far as the entry knows.
    pub has_stored_jobs: bool,
    /// Recent crashes of minions under tasks.
    pub crashes: KnownCrashes,
    /// Starts that minions may still carry out.
    pub delayed_starts: KnownDelayedStarts,
    /// Starts of lost entries that witnesses reported.
    pub witnessed_starts: ReportedStarts,
}

/// Position of one connection in the gossip: what was sent on it so far.
#[derive(Debug, Default)]
pub struct GossipSender {
    /// Version of the configuration that was sent last.
    sent_version: u64,
    /// Log offset of the evacuations that were sent last.
    sent_evacuations_offset: u64,
    /// Sequence number of the newest crash that was sent.
    sent_crash_sequence: u64,
    /// Sequence number of the newest delayed start that was sent.
    sent_delayed_start_sequence: u64,
    /// Sequence number of the newest witnessed start that was sent.
    sent_witnessed_start_sequence: u64,
    /// Entries known when the last list was sent, sorted.
    sent_entries: Vec<SocketAddr>,
    /// Time of the last frame with all entries, in milliseconds.
    last_list_ms: Option<u64>,
}

impl GossipSender {
    /// Returns the next frame: what changed since the last frame on the connection, or
    /// everything if there was none. `known` returns the recently seen entries with ages.
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
        let last_sequence = self.sent_delayed_start_sequence;
        let delayed_starts = gossip.delayed_starts.since(now_ms, last_sequence);
        self.sent_delayed_start_sequence = gossip.delayed_starts.last_sequence();
        let last_sequence = self.sent_witnessed_start_sequence;
        let witnessed_starts = gossip.witnessed_starts.since(now_ms, last_sequence);
        self.sent_witnessed_start_sequence = gossip.witnessed_starts.last_sequence();
        PeerFrame {
            entries: self.next_entries(now_ms, gossip, known),
            table: has_newer_table.then(|| (*gossip.table).clone()),
            has_stored_jobs: gossip.has_stored_jobs,
            evacuations: has_newer_evacuations.then(|| gossip.evacuations.clone()),
            crashes,
            delayed_starts,
            witnessed_starts,
        }
    }

    /// Returns the entries for the next frame. These are all entries when a full list is due,
    /// because receivers also need their ages. Otherwise they are only the entries that became
    /// known since the last list.
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
