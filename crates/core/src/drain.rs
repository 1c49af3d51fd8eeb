//! The planned stop of an agent: it finishes its work, hands its tables over to
//! a successor and announces that it has left.

use std::collections::BTreeMap;

use gannetvane_wire::HandoverEntry;
use gannetvane_wire::MemberState;
use gannetvane_wire::Message;
use gannetvane_wire::NodeId;

use crate::Peer;
use crate::SubmissionTable;
use crate::View;

/// Maximum number of submissions in one part of a table.
const MAX_PART_ENTRIES: usize = 256;
/// Maximum number of bytes of task output in one part of a table, unless a
/// single submission has more.
const MAX_PART_BYTES: usize = 512 * 1024;
/// Interval in milliseconds between resends of a part that has not been
/// acknowledged.
const PART_RESEND_INTERVAL_MS: u64 = 500;
/// Timeout of the handover in milliseconds. When it passes, the agent leaves
/// without a successor.
const HANDOVER_TIMEOUT_MS: u64 = 15_000;
/// Time in milliseconds for which an agent that has left still announces its
/// successor.
const LEFT_ANNOUNCEMENT_MS: u64 = 1_500;
/// Interval in milliseconds between two announcements of the successor.
const ANNOUNCE_INTERVAL_MS: u64 = 300;

/// The stages of a planned stop.
#[derive(Debug)]
pub(crate) enum Drain {
    /// No stop is planned.
    NotLeaving,
    /// The agent finishes the work it has.
    Leaving { since_ms: u64 },
    /// The agent hands its tables over to the successor.
    HandingOver(Handover),
    /// The agent has left and announces which agent answers for its
    /// submissions.
    Left {
        since_ms: u64,
        next_announce_ms: u64,
        successor: Option<NodeId>,
    },
}

/// The tables being handed over to the successor, in parts.
#[derive(Debug)]
pub(crate) struct Handover {
    successor: Peer,
    started_at_ms: u64,
    unacknowledged: BTreeMap<PartKey, Part>,
}

/// Identifies one part of a home's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PartKey {
    pub(crate) home: NodeId,
    pub(crate) part: u32,
}

#[derive(Debug)]
struct Part {
    message: Message,
    next_send_ms: u64,
}

impl Handover {
    /// Splits the tables into parts for a successor.
    pub(crate) fn new<'a>(
        now_ms: u64,
        successor: Peer,
        tables: impl Iterator<Item = &'a SubmissionTable>,
    ) -> Self {
        let mut unacknowledged = BTreeMap::new();
        for table in tables {
            for (key, message) in parts_of(now_ms, table) {
                unacknowledged.insert(
                    key,
                    Part {
                        message,
                        next_send_ms: now_ms,
                    },
                );
            }
        }
        Self {
            successor,
            started_at_ms: now_ms,
            unacknowledged,
        }
    }

    pub(crate) fn successor(&self) -> Peer {
        self.successor
    }

    pub(crate) fn acknowledge(&mut self, key: PartKey) {
        self.unacknowledged.remove(&key);
    }

    /// Returns whether the successor has acknowledged all parts.
    pub(crate) fn is_done(&self) -> bool {
        self.unacknowledged.is_empty()
    }

    /// Returns whether the handover has timed out.
    pub(crate) fn is_overdue(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.started_at_ms) >= HANDOVER_TIMEOUT_MS
    }

    /// Returns the parts that are due to be sent.
    pub(crate) fn due(&mut self, now_ms: u64) -> Vec<Message> {
        let mut due = Vec::new();
        for part in self.unacknowledged.values_mut() {
            if part.next_send_ms <= now_ms {
                part.next_send_ms = now_ms + PART_RESEND_INTERVAL_MS;
                due.push(part.message.clone());
            }
        }
        due
    }
}

impl Drain {
    /// Returns whether the next announcement of the successor is due, and
    /// schedules the one after it.
    pub(crate) fn should_announce(&mut self, now_ms: u64) -> bool {
        match self {
            Self::Left {
                next_announce_ms, ..
            } if *next_announce_ms <= now_ms => {
                *next_announce_ms = now_ms + ANNOUNCE_INTERVAL_MS;
                true
            }
            _ => false,
        }
    }

    /// Returns whether the process may stop.
    pub(crate) fn is_finished(&self, now_ms: u64) -> bool {
        matches!(self, Self::Left { since_ms, .. } if now_ms.saturating_sub(*since_ms) >= LEFT_ANNOUNCEMENT_MS)
    }
}

/// Chooses the agent that will answer for the submissions of `me`: another home
/// of the service if there is one, otherwise any live agent.
pub(crate) fn choose_successor(view: &View, me: NodeId, service: &str) -> Option<Peer> {
    let homes = view.homes(service, usize::MAX);
    let of_service = homes.into_iter().find(|node| *node != me);
    let any = || {
        view.iter()
            .find(|m| m.state == MemberState::Alive && m.node != me)
            .map(|m| m.node)
    };
    of_service.or_else(any).and_then(|node| view.peer(node))
}

fn parts_of(now_ms: u64, table: &SubmissionTable) -> Vec<(PartKey, Message)> {
    let chunks = split(table.export());
    let parts = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    let message = |(part, entries): (u32, Vec<HandoverEntry>)| {
        let message = Message::Handover {
            home: table.home(),
            uptime_ms: table.uptime_ms(now_ms),
            oldest_generation: table.oldest_generation(),
            entries,
            part,
            parts,
        };
        (
            PartKey {
                home: table.home(),
                part,
            },
            message,
        )
    };
    (0u32..).zip(chunks).map(message).collect()
}

/// Splits the submissions of a table into chunks. The result has at least one
/// chunk, so that an empty table is handed over as well.
fn split(entries: Vec<HandoverEntry>) -> Vec<Vec<HandoverEntry>> {
    let mut chunks = vec![Vec::new()];
    let mut bytes = 0;
    for entry in entries {
        let added = output_bytes(&entry);
        let is_full = chunks.last().is_some_and(|chunk| {
            chunk.len() == MAX_PART_ENTRIES || (!chunk.is_empty() && bytes + added > MAX_PART_BYTES)
        });
        if is_full {
            chunks.push(Vec::new());
            bytes = 0;
        }
        bytes += added;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(entry);
        }
    }
    chunks
}

fn output_bytes(entry: &HandoverEntry) -> usize {
    let tasks = entry.answer.iter().flat_map(|answer| &answer.tasks);
    tasks.map(|task| task.output.len()).sum()
}
