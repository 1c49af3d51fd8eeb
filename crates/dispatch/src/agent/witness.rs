//! Starts of other agents that this agent holds as their witness.

use std::collections::BTreeMap;

use gannetvane_wire::NodeId;

use crate::Agent;
use crate::DelayedStart;
use crate::GRANT_MS;
use crate::LinkId;
use crate::OrderId;
use crate::Report;
use crate::TaskId;
use crate::WitnessedStarts;

/// Largest number of starts that are held for connected entries, and of those held for
/// lost entries.
const MAX_HELD_STARTS: usize = 4_096;
/// Time for which a start is held for a connected entry, as a multiple of the time after which
/// it is void: it may wait for as long before it is sent.
const HOLD_FACTOR: u64 = 2;
/// Minimum time between two searches for expired starts, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// A start that is held for a connected entry.
#[derive(Debug)]
struct HeldStart {
    task: TaskId,
    /// Agent that is to send the start.
    agent: NodeId,
    /// Whether the agent may still send it.
    may_be_sent: bool,
    /// Time after which nothing of it is left, as in [`WitnessedStarts::void_after_ms`].
    void_after_ms: u64,
    received_ms: u64,
}

impl HeldStart {
    /// When the start is forgotten although its entry is still connected, in milliseconds.
    fn expires_ms(&self) -> u64 {
        let factor = match self.may_be_sent {
            true => HOLD_FACTOR,
            false => 1,
        };
        let hold_ms = self.void_after_ms.saturating_mul(factor);
        self.received_ms.saturating_add(hold_ms)
    }

    /// When nothing of the start is left, in milliseconds, if its entry is lost now.
    fn void_ms(&self, now_ms: u64) -> u64 {
        match self.may_be_sent {
            // The agent may send it until the last grant of the entry expires.
            true => (now_ms + GRANT_MS).saturating_add(self.void_after_ms),
            false => self.expires_ms(),
        }
    }
}

/// The starts that an agent holds as their witness.
#[derive(Debug, Default)]
pub(crate) struct Witness {
    of_links: BTreeMap<(LinkId, OrderId), HeldStart>,
    /// Starts of lost entries, each with the time at which nothing of it is left.
    of_lost_entries: BTreeMap<(TaskId, NodeId), u64>,
    /// When to search for expired starts next, in milliseconds.
    expiry_due_ms: u64,
}

impl Witness {
    /// Holds starts for the entry of a link.
    pub(crate) fn hold(&mut self, now_ms: u64, link: LinkId, starts: &WitnessedStarts) {
        for start in &starts.orders {
            let held = HeldStart {
                task: TaskId {
                    job: starts.job.clone(),
                    step: start.step,
                    index: start.index,
                },
                agent: start.agent,
                may_be_sent: starts.may_be_sent,
                void_after_ms: starts.void_after_ms,
                received_ms: now_ms,
            };
            self.of_links.insert((link, start.order), held);
        }
        while self.of_links.len() > MAX_HELD_STARTS {
            self.of_links.pop_first();
        }
    }

    /// Forgets starts that the entry of a link does not need any more.
    pub(crate) fn forget(&mut self, link: LinkId, orders: &[OrderId]) {
        for order in orders {
            self.of_links.remove(&(link, *order));
        }
    }

    /// Forgets the starts of a link that this agent closes although the entry is there, which
    /// chooses another witness. Starts that are known to be delayed are kept for entries that
    /// are greeted later, since the entry may be lost before it chooses.
    pub(crate) fn link_closed(&mut self, now_ms: u64, link: LinkId) {
        self.of_links
            .retain(|(of_link, _), held| *of_link != link || !held.may_be_sent);
        self.entry_lost(now_ms, link);
    }

    /// Records that the entry of a link is lost, and returns its starts.
    fn entry_lost(&mut self, now_ms: u64, link: LinkId) -> Vec<DelayedStart> {
        let mut starts = Vec::new();
        let of_link = (link, OrderId(0))..=(link, OrderId(u64::MAX));
        let orders: Vec<OrderId> = self
            .of_links
            .range(of_link)
            .map(|((_, id), _)| *id)
            .collect();
        for order in orders {
            let Some(held) = self.of_links.remove(&(link, order)) else {
                continue;
            };
            let void_ms = held.void_ms(now_ms);
            let key = (held.task, held.agent);
            starts.push(delayed_start(now_ms, &key, void_ms));
            let known_ms = self.of_lost_entries.entry(key).or_default();
            *known_ms = void_ms.max(*known_ms);
            if self.of_lost_entries.len() > MAX_HELD_STARTS {
                self.of_lost_entries.pop_first();
            }
        }
        starts
    }

    /// Starts of lost entries, for an entry that is greeted.
    pub(crate) fn starts_of_lost_entries(&self, now_ms: u64) -> Vec<DelayedStart> {
        let starts = self.of_lost_entries.iter();
        let starts = starts.filter(|(_, void_ms)| now_ms < **void_ms);
        starts
            .map(|(key, void_ms)| delayed_start(now_ms, key, *void_ms))
            .collect()
    }

    /// Forgets the starts of which nothing is left.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        if now_ms < self.expiry_due_ms {
            return;
        }
        self.expiry_due_ms = now_ms + EXPIRY_INTERVAL_MS;
        self.of_links.retain(|_, held| now_ms < held.expires_ms());
        self.of_lost_entries.retain(|_, void_ms| now_ms < *void_ms);
    }
}

fn delayed_start(now_ms: u64, key: &(TaskId, NodeId), void_ms: u64) -> DelayedStart {
    DelayedStart {
        task: key.0.clone(),
        agent: key.1,
        is_stored: false,
        remaining_ms: void_ms.saturating_sub(now_ms),
    }
}

impl Agent {
    /// Reports the witnessed starts of an entry that is lost to all other entries.
    pub(crate) fn report_witnessed(&mut self, now_ms: u64, lost: LinkId) {
        let starts = self.witness.entry_lost(now_ms, lost);
        if starts.is_empty() {
            return;
        }
        let detail = format!("starts={}", starts.len());
        self.event("witnessed-starts-reported", None, detail);
        self.report_to_all(&Report::WitnessedStarts(starts));
    }
}
