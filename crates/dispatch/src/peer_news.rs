//! What an entry tells other entries, and what was told on a connection.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::Evacuations;
use crate::KnownEntry;
use crate::PeerFrame;
use crate::RoutingTable;

/// Frames from one with all known entries to the next; a change of the set is
/// told at once. The rest keep the connection alive.
const FRAMES_A_LIST: u32 = 5;

/// What an entry tells the others.
#[derive(Clone, Debug, Default)]
pub struct PeerNews {
    /// The configuration in force.
    pub table: Arc<RoutingTable>,
    /// The zones that are being emptied.
    pub evacuations: Evacuations,
    /// The entries that are known.
    pub entries: Vec<SocketAddr>,
    /// Whether there are stored jobs.
    pub has_stored_jobs: bool,
}

/// What was told on a connection.
#[derive(Debug, Default)]
pub struct PeerTeller {
    version: u64,
    evacuated_as_of: u64,
    entries: Vec<SocketAddr>,
    frames_since_list: u32,
}

impl PeerTeller {
    /// What changed since the last frame; everything in the first one.
    pub fn next_frame(
        &mut self,
        news: &PeerNews,
        known: impl FnOnce() -> Vec<KnownEntry>,
    ) -> PeerFrame {
        let is_newer = news.table.version > self.version;
        self.version = news.table.version;
        let is_later = news.evacuations.as_of > self.evacuated_as_of;
        self.evacuated_as_of = news.evacuations.as_of;
        self.frames_since_list += 1;
        let is_list_due = self.frames_since_list >= FRAMES_A_LIST || self.entries != news.entries;
        if is_list_due {
            self.frames_since_list = 0;
            self.entries.clone_from(&news.entries);
        }
        PeerFrame {
            entries: if is_list_due { known() } else { Vec::new() },
            table: is_newer.then(|| (*news.table).clone()),
            has_stored_jobs: news.has_stored_jobs,
            evacuations: is_later.then(|| news.evacuations.clone()),
        }
    }
}
