//! What an entry tells other entries, and what was told on a connection.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::CrashBook;
use crate::Evacuations;
use crate::KnownEntry;
use crate::PeerFrame;
use crate::RoutingTable;

/// Time from a frame with all known entries to the next, in milliseconds: a little
/// less than five keepalives. Entries that became known are told at once.
const LIST_MS: u64 = 4_500;

/// What an entry tells the others.
#[derive(Clone, Debug, Default)]
pub struct PeerNews {
    /// The configuration in force.
    pub table: Arc<RoutingTable>,
    /// The zones that are being emptied.
    pub evacuations: Evacuations,
    /// The entries that are known, in order.
    pub entries: Vec<SocketAddr>,
    /// Whether there are stored jobs.
    pub has_stored_jobs: bool,
    /// Crashes of minions under tasks.
    pub crashes: CrashBook,
}

/// What was told on a connection.
#[derive(Debug, Default)]
pub struct PeerTeller {
    version: u64,
    evacuated_as_of: u64,
    last_crash: u64,
    entries: Vec<SocketAddr>,
    listed_ms: Option<u64>,
}

impl PeerTeller {
    /// What changed since the last frame; everything in the first one.
    pub fn next_frame(
        &mut self,
        now_ms: u64,
        news: &PeerNews,
        known: impl FnOnce() -> Vec<KnownEntry>,
    ) -> PeerFrame {
        let is_newer = news.table.version > self.version;
        self.version = news.table.version;
        let is_later = news.evacuations.as_of > self.evacuated_as_of;
        self.evacuated_as_of = news.evacuations.as_of;
        let crashes = news.crashes.since(now_ms, self.last_crash);
        self.last_crash = news.crashes.last();
        PeerFrame {
            entries: self.next_entries(now_ms, news, known),
            table: is_newer.then(|| (*news.table).clone()),
            has_stored_jobs: news.has_stored_jobs,
            evacuations: is_later.then(|| news.evacuations.clone()),
            crashes,
        }
    }

    /// All entries from time to time, since their ages are news too; otherwise
    /// those that became known.
    fn next_entries(
        &mut self,
        now_ms: u64,
        news: &PeerNews,
        known: impl FnOnce() -> Vec<KnownEntry>,
    ) -> Vec<KnownEntry> {
        let is_list_due = self.listed_ms.is_none_or(|at_ms| now_ms >= at_ms + LIST_MS);
        if !is_list_due && self.entries == news.entries {
            return Vec::new();
        }
        let mut entries = known();
        if is_list_due {
            self.listed_ms = Some(now_ms);
        } else {
            entries.retain(|entry| self.entries.binary_search(&entry.addr).is_err());
        }
        self.entries.clone_from(&news.entries);
        entries
    }
}
